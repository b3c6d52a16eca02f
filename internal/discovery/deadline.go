package discovery

import (
	"time"

	"example.org/ryeloft/internal/balancer"
)

// notifyDeadline is the time from which the platform counts this agent as notified of what it has missed. The zero value says
// that nothing was missed.
type notifyDeadline struct {
	at time.Time // for what was missed; zero if nothing was
	// latest is the time for whatever came since the list was last synced, across migrations; zero likewise.
	latest time.Time
}

// recordMissed notes that an update was recordMissed that counts as notified at a time. Of several in a row the first one sets the
// deadline, also once it is over, since what it recordMissed has still not arrived.
func (d *notifyDeadline) recordMissed(at time.Time) {
	if !d.pending() {
		d.restart(at)
	}
}

// restart sets the deadline whether or not there was one.
func (d *notifyDeadline) restart(at time.Time) {
	d.at = at
	d.latest = at
}

// recordMigration notes that discovery migrates: what the new service has by now counts as notified after NotifyBoundAfterMigration,
// and what came since the last sync within NotifyBoundAfterFailure of the first migration of a series.
func (d *notifyDeadline) recordMigration(now time.Time) {
	if d.latest.IsZero() {
		d.latest = now.Add(balancer.NotifyBoundAfterFailure)
	}
	d.at = now.Add(balancer.NotifyBoundAfterMigration)
	if d.latest.Before(d.at) {
		d.at = d.latest
	}
}

// recordSync notes that nothing is missing any more.
func (d *notifyDeadline) recordSync() { *d = notifyDeadline{} }

// pending says whether anything was missed.
func (d *notifyDeadline) pending() bool { return !d.at.IsZero() }

// remaining is how long there is until the deadline; 0 if it is over or nothing was missed.
func (d *notifyDeadline) remaining() time.Duration { return max(0, time.Until(d.at)) }
