package discovery

import (
	"time"

	"example.org/ryeloft/internal/balancer"
)

// notifyDeadline is the time at which the platform counts this agent as notified of the updates that it has missed. The
// zero value means that nothing was missed.
type notifyDeadline struct {
	at time.Time // deadline of what was missed; zero if nothing was
	// latest is the deadline of anything that changed since the list was last synced, across migrations; zero if
	// nothing was missed.
	latest time.Time
}

// recordMissed records that an update may have been missed that counts as notified at the given time. The first of
// several misses sets the deadline, and a later one does not move it even after it has passed, since the first update
// has still not arrived.
func (d *notifyDeadline) recordMissed(at time.Time) {
	if !d.pending() {
		d.restart(at)
	}
}

// restart sets the deadline even if one is set already.
func (d *notifyDeadline) restart(at time.Time) {
	d.at = at
	d.latest = at
}

// recordMigration records that discovery migrates. What the new service holds now counts as notified after
// NotifyBoundAfterMigration; what changed since the last sync counts as notified within NotifyBoundAfterFailure of the
// first migration of a series.
func (d *notifyDeadline) recordMigration(now time.Time) {
	if d.latest.IsZero() {
		d.latest = now.Add(balancer.NotifyBoundAfterFailure)
	}
	d.at = now.Add(balancer.NotifyBoundAfterMigration)
	if d.latest.Before(d.at) {
		d.at = d.latest
	}
}

// recordSync clears the deadline once the list is up to date.
func (d *notifyDeadline) recordSync() { *d = notifyDeadline{} }

// pending reports whether anything was missed.
func (d *notifyDeadline) pending() bool { return !d.at.IsZero() }

// remaining returns the time until the deadline, or 0 if it has passed or nothing was missed.
func (d *notifyDeadline) remaining() time.Duration { return max(0, time.Until(d.at)) }
