package discovery

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"example.org/ryeloft/internal/balancer"
)

const (
	// minBackoff is the first pause between attempts in push mode, where calls cost the service nothing.
	minBackoff = 50 * time.Millisecond
	// maxBackoffDoublings keeps shifts of minBackoff from overflowing.
	maxBackoffDoublings = 10

	// overloadTimeoutSpan is how long consecutive polls must time out to show that the service cannot answer all agents
	// within the bound. A service that is down may also reject calls late, but an outage whose changes agents must
	// still receive in time is over after two bounds. The number of polls is a poor measure, since polls are frequent
	// at the end of the bound.
	overloadTimeoutSpan = 2 * balancer.NotifyBoundAfterFailure
	// overloadTimeouts consecutive timeouts are enough if the measured latency shows that the service cannot answer all
	// agents within the bound.
	overloadTimeouts = 4
	// overloadPollTime is the time for one poll by each agent from which on a service may become congested permanently if
	// agents poll as often as the bound requires.
	overloadPollTime = 3 * balancer.NotifyBoundAfterFailure / 4
	// overloadReserve is how much of a failed poll does not count towards the wait for the next one if the service may be
	// overloaded or hang: a poll of pollTimeout and the longest wait then take as long as the bound. If none of it counted,
	// an agent could miss the bound of what changes when a service that hung responds again.
	overloadReserve = balancer.NotifyBoundAfterFailure / 4
	// maxPauseDoublings bounds how often the pause between polls of an overloaded service doubles.
	maxPauseDoublings = 4

	// initialLoggedFailures is how many consecutive failures are each logged in poll mode. Later ones are logged only
	// when their number has doubled. In push mode, where attempts follow each other closely, this applies from the
	// first one on.
	initialLoggedFailures = 8
)

// overload tracks evidence that the discovery service has more callers than it can answer. Polls of relays are not
// evidence.
type overload struct {
	since    time.Time // start of the first poll in the current run of timeouts; zero if the last poll did not time out
	timeouts int       // consecutive
	pauses   int       // consecutive pauses in calls to discovery
}

// recordTimeout records that a poll that began at the given time got no response in time.
func (o *overload) recordTimeout(began time.Time) {
	o.timeouts++
	if o.since.IsZero() {
		o.since = began
	}
}

// reset records that discovery responded, or failed for a reason other than slowness.
func (o *overload) reset() { *o = overload{} }

// detected reports whether polls fail because the service cannot answer all agents within the bound.
func (o *overload) detected(estimate *latencyEstimate, agents int) bool {
	if estimate.exceeds(balancer.NotifyBoundAfterFailure, agents) && o.timeouts >= overloadTimeouts {
		return true
	}
	return !o.since.IsZero() && time.Since(o.since) >= overloadTimeoutSpan
}

// pollReserve returns how much of the duration of a failed poll does not count towards the wait for the next one, because
// polls may be failing since the service has more callers than it can answer: all of it if the service has not answered a
// poll yet or needs overloadPollTime, as agents that kept to the bound would keep it busy with polls that have already
// timed out; overloadReserve if it is nearly as slow or polls time out repeatedly, as they do at a service that hangs.
func (o *overload) pollReserve(estimate *latencyEstimate, agents int) time.Duration {
	switch {
	case estimate.assumed || estimate.exceeds(overloadPollTime, agents):
		return math.MaxInt64
	case o.timeouts >= overloadTimeouts || estimate.exceeds(maxFleetPollTime, agents):
		return overloadReserve
	}
	return 0
}

// nextPause returns how long not to call discovery. Each consecutive pause is twice the last, up to maxPauseDoublings.
func (o *overload) nextPause() time.Duration {
	o.pauses = min(o.pauses+1, maxPauseDoublings)
	return balancer.NotifyBoundAfterFailure << o.pauses
}

// pushBackoff returns the pause in push mode after the given number of consecutive failures. It is randomized so that
// agents that lost discovery together do not return together. Changes that discovery holds when it returns count as
// notified immediately, so the pause is bounded by drainGrace, the time within which an agent must stop sending to a
// draining endpoint.
func pushBackoff(failures int, drainGrace time.Duration) time.Duration {
	backoff := minBackoff << min(failures-1, maxBackoffDoublings)
	backoff = min(backoff, max(minBackoff, drainGrace/2))
	return backoff/2 + rand.N(backoff)
}

// shouldLogFailure reports whether the latest of the given number of consecutive failures is logged.
func shouldLogFailure(failures int, pollMode bool) bool {
	if failures&(failures-1) == 0 {
		return true
	}
	return pollMode && failures <= initialLoggedFailures
}

// sleep waits for the given time. It returns false if the context ends first.
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
