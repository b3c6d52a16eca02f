package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"example.org/ryeloft/internal/balancer"
)

const (
	// minBackoff is the first pause between attempts where lists are pushed, which cost the service nothing.
	minBackoff = 50 * time.Millisecond
	// maxBackoffDoublings keeps the shift of minBackoff from overflowing.
	maxBackoffDoublings = 10

	// overloadTimeoutSpan is for how long polls have to time out in a row to show that the service cannot answer all agents
	// within the bound. A service that is down may reject late as well; an outage that agents have to make up for is over
	// after two bounds. The number of polls would say little, as they follow each other fast at the end of the bound.
	overloadTimeoutSpan = 2 * balancer.NotifyBoundAfterFailure
	// overloadTimeouts timeouts in a row are enough if the answers say that the service cannot answer each agent within the bound.
	overloadTimeouts = 4
	// maxPauseDoublings bounds how often the pause in polls of an overloaded service doubles.
	maxPauseDoublings = 4

	// initialLoggedFailures is how many failures in a row are each logged; after them, and in push mode, where attempts follow
	// each other closely, from the first one on, only each that doubles their number is.
	initialLoggedFailures = 8
)

// overload is the evidence that discovery itself has more callers than it can answer. Polls of relays say nothing about it.
type overload struct {
	since    time.Time // begin of the first poll of the present row of timeouts; zero if there is none
	timeouts int       // in a row
	pauses   int       // times in a row that discovery was left alone for it
}

// recordTimeout notes that a poll got no answer though it waited for one.
func (o *overload) recordTimeout(began time.Time) {
	o.timeouts++
	if o.since.IsZero() {
		o.since = began
	}
}

// reset notes that discovery answered, or failed in another way than by being slow.
func (o *overload) reset() { *o = overload{} }

// detected says whether polls fail because the service cannot answer all agents within the bound.
func (o *overload) detected(estimate *latencyEstimate, agents int) bool {
	if estimate.exceeds(balancer.NotifyBoundAfterFailure, agents) && o.timeouts >= overloadTimeouts {
		return true
	}
	return !o.since.IsZero() && time.Since(o.since) >= overloadTimeoutSpan
}

// possible says that polls may fail because the service has more callers than it can answer: no answer says otherwise, or polls time
// out again and again.
func (o *overload) possible(estimate *latencyEstimate, agents int) bool {
	return estimate.assumed || estimate.exceeds(maxFleetPollTime, agents) || o.timeouts >= overloadTimeouts
}

// nextPause is for how long discovery is to be left alone now; each in a row is twice the last.
func (o *overload) nextPause() time.Duration {
	o.pauses = min(o.pauses+1, maxPauseDoublings)
	return balancer.NotifyBoundAfterFailure << o.pauses
}

// pushBackoff is the pause after so many failures in a row where lists are pushed. It is randomized, as agents that lost
// discovery together must not come back together. What discovery has when it returns counts as notified at once, so the pause is
// bounded by the time in which an agent has to stop sending to a draining endpoint.
func pushBackoff(failures int, drainGrace time.Duration) time.Duration {
	backoff := minBackoff << min(failures-1, maxBackoffDoublings)
	backoff = min(backoff, max(minBackoff, drainGrace/2))
	return backoff/2 + rand.N(backoff)
}

// shouldLogFailure says whether the latest of so many failures in a row is logged.
func shouldLogFailure(failures int, pollMode bool) bool {
	if failures&(failures-1) == 0 {
		return true
	}
	return pollMode && failures <= initialLoggedFailures
}

// sleep waits, and returns false if the context ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
