package discovery

import (
	"time"

	"example.org/ryeloft/internal/balancer"
)

const (
	// assumedLatency is how long a service takes for a poll as long as it has answered none.
	assumedLatency = balancer.NotifyBoundAfterFailure / 20
	// maxRound bounds the estimate of a round: a service that is back has to be polled in time.
	maxRound = balancer.NotifyBoundAfterFailure / 2
	// latencyGain is the reciprocal of the weight that a slower answer has in the estimate.
	latencyGain = 8
)

// latencyEstimate is how long the service takes for a poll, and so for a round: one poll of each agent.
type latencyEstimate struct {
	latency time.Duration // of one poll
	assumed bool          // no poll has been answered yet
	// timeoutRound is the round as polls in a row say that got no answer; 0 if the last one got one.
	timeoutRound time.Duration
}

func newLatencyEstimate() latencyEstimate {
	return latencyEstimate{latency: assumedLatency, assumed: true}
}

// recordAnswer notes how long an answered poll took. The shortest times are the service's work, the longer ones its queue,
// so a shorter one counts at once and longer ones little by little.
func (e *latencyEstimate) recordAnswer(took time.Duration) {
	if e.assumed || took < e.latency {
		e.latency = took
		e.assumed = false
		return
	}
	e.latency += (took - e.latency) / latencyGain
}

// recordTimeout notes for how long a poll was out that got no answer. Each one in a row doubles the round.
func (e *latencyEstimate) recordTimeout(took time.Duration) {
	e.timeoutRound = min(max(2*e.timeoutRound, took), maxRound)
}

// clearTimeouts ends a row of polls without an answer.
func (e *latencyEstimate) clearTimeouts() { e.timeoutRound = 0 }

// migrated begins anew with a service that has not answered yet: it is taken to be as slow as the one before, and no faster
// than assumedLatency.
func (e *latencyEstimate) migrated() {
	e.latency = max(e.latency, assumedLatency)
	e.assumed = true
	e.timeoutRound = 0
}

// round is the time in which the service can answer each agent once, as far as that is known.
func (e *latencyEstimate) round(agents int) time.Duration {
	return min(max(e.latency*time.Duration(agents), e.timeoutRound), maxRound)
}

// exceeds says that by its answers the service needs a time or more to answer each agent once.
func (e *latencyEstimate) exceeds(limit time.Duration, agents int) bool {
	return !e.assumed && e.latency*time.Duration(agents) >= limit
}
