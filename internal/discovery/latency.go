package discovery

import (
	"time"

	"example.org/ryeloft/internal/balancer"
)

const (
	// assumedLatency is the latency of a service that has not answered a poll yet.
	assumedLatency = balancer.NotifyBoundAfterFailure / 20
	// maxFleetPollTime bounds fleetPollTime, so that a service that is reachable again is polled in time.
	maxFleetPollTime = balancer.NotifyBoundAfterFailure / 2
	// latencySmoothing is the reciprocal of the weight of a slower response in the estimate.
	latencySmoothing = 8
)

// latencyEstimate estimates how long the service takes for one poll, and from that how long for one poll by each agent
// of the fleet.
type latencyEstimate struct {
	latency time.Duration // of one poll
	assumed bool          // no poll has been answered yet; latency is not measured
	// timeoutPollTime is a lower bound of fleetPollTime that grows with consecutive timeouts; 0 after a successful
	// call.
	timeoutPollTime time.Duration
}

func newLatencyEstimate() latencyEstimate {
	return latencyEstimate{latency: assumedLatency, assumed: true}
}

// recordResponse records the duration of an answered poll. The shortest durations show the service's work and longer
// ones its queue, so a shorter one replaces the estimate and a longer one moves it by a fraction.
func (e *latencyEstimate) recordResponse(took time.Duration) {
	if e.assumed || took < e.latency {
		e.latency = took
		e.assumed = false
		return
	}
	e.latency += (took - e.latency) / latencySmoothing
}

// recordTimeout records the duration of a poll that timed out. Each consecutive timeout doubles timeoutPollTime.
func (e *latencyEstimate) recordTimeout(took time.Duration) {
	e.timeoutPollTime = min(max(2*e.timeoutPollTime, took), maxFleetPollTime)
}

// clearTimeouts ends a run of consecutive timeouts.
func (e *latencyEstimate) clearTimeouts() { e.timeoutPollTime = 0 }

// recordMigration resets the estimate for a service that has not answered yet. The new service is assumed to be as slow
// as the previous one, and no faster than assumedLatency.
func (e *latencyEstimate) recordMigration() {
	e.latency = max(e.latency, assumedLatency)
	e.assumed = true
	e.timeoutPollTime = 0
}

// fleetPollTime returns the estimated time in which the service can answer one poll by each agent, at most
// maxFleetPollTime.
func (e *latencyEstimate) fleetPollTime(agents int) time.Duration {
	return min(max(e.latency*time.Duration(agents), e.timeoutPollTime), maxFleetPollTime)
}

// exceeds reports whether the measured latency shows that the service needs at least the given time for one poll by
// each agent.
func (e *latencyEstimate) exceeds(limit time.Duration, agents int) bool {
	return !e.assumed && e.latency*time.Duration(agents) >= limit
}
