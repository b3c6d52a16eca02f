package discovery

import (
	"time"

	"example.org/ryeloft/internal/balancer"
)

const (
	// assumedLatency is how long a service takes for a poll as long as it has answered none.
	assumedLatency = balancer.NotifyBoundAfterFailure / 20
	// maxFleetPollTime bounds the estimate of a round: a service that is back has to be polled in time.
	maxFleetPollTime = balancer.NotifyBoundAfterFailure / 2
	// latencySmoothing is the reciprocal of the weight that a slower answer has in the estimate.
	latencySmoothing = 8
)

// latencyEstimate is how long the service takes for a poll, and so for a round: one poll of each agent.
type latencyEstimate struct {
	latency time.Duration // of one poll
	assumed bool          // no poll has been answered yet
	// timeoutPollTime is the round as polls in a row say that got no answer; 0 if the last one got one.
	timeoutPollTime time.Duration
}

func newLatencyEstimate() latencyEstimate {
	return latencyEstimate{latency: assumedLatency, assumed: true}
}

// recordResponse notes how long an answered poll took. The shortest times are the service's work, the longer ones its queue,
// so a shorter one counts at once and longer ones little by little.
func (e *latencyEstimate) recordResponse(took time.Duration) {
	if e.assumed || took < e.latency {
		e.latency = took
		e.assumed = false
		return
	}
	e.latency += (took - e.latency) / latencySmoothing
}

// recordTimeout notes for how long a poll was out that got no answer. Each one in a row doubles the round.
func (e *latencyEstimate) recordTimeout(took time.Duration) {
	e.timeoutPollTime = min(max(2*e.timeoutPollTime, took), maxFleetPollTime)
}

// clearTimeouts ends a row of polls without an answer.
func (e *latencyEstimate) clearTimeouts() { e.timeoutPollTime = 0 }

// recordMigration begins anew with a service that has not answered yet: it is taken to be as slow as the one before, and no faster
// than assumedLatency.
func (e *latencyEstimate) recordMigration() {
	e.latency = max(e.latency, assumedLatency)
	e.assumed = true
	e.timeoutPollTime = 0
}

// fleetPollTime is the time in which the service can answer each agent once, as far as that is known.
func (e *latencyEstimate) fleetPollTime(agents int) time.Duration {
	return min(max(e.latency*time.Duration(agents), e.timeoutPollTime), maxFleetPollTime)
}

// exceeds says that by its answers the service needs a time or more to answer each agent once.
func (e *latencyEstimate) exceeds(limit time.Duration, agents int) bool {
	return !e.assumed && e.latency*time.Duration(agents) >= limit
}
