package balancer

import (
	"slices"
	"time"
)

const (
	// skipLatencies is how long a server without capacity is skipped, in mean response latencies.
	skipLatencies = 3.0
	// maxEjectedShare limits the ejected share of a class's servers. When more of them seem to fail, the cause is
	// overload or this agent's own network.
	maxEjectedShare = 0.3
	// ejectionObjectives is the duration of a first ejection, in latency objectives.
	ejectionObjectives = 4.0
	// maxEjectionDoublings is how often the duration doubles while the server keeps failing.
	maxEjectionDoublings = 3
	// failuresAfterEjection is the failure weight after an ejection: a readmitted server is ejected again sooner.
	failuresAfterEjection = 0.5
	// singleFailureWeight is the weight of a failure soon after a response: three in a row eject the server.
	singleFailureWeight = 0.34
	// fullFailureWeight is the total weight that ejects a server.
	fullFailureWeight = 1.0
	// maxResetsInRow is the number of connection resets without a response in between that shows that the server has
	// died.
	maxResetsInRow = 3
	// silenceLatencies is the silence timeout in mean latencies of the class. The timeout is at least the latency
	// objective.
	silenceLatencies = 6.0
	// silenceFailureStep is the weight that each expiry of the silence timer adds, as a multiple of failureWeight.
	silenceFailureStep = 0.5
	// maxHealthyFailures is the failure weight below which a server counts as healthy when it stops responding.
	maxHealthyFailures = 0.25
	// silenceUtilizationFactor converts the mean objectiveUsage to the utilization sample that the silence of a healthy
	// server records.
	silenceUtilizationFactor = 4.0
)

// failureReason is the reason for an ejection, as logged.
type failureReason string

const (
	reasonErrors         failureReason = "errors"
	reasonResets         failureReason = "resets"
	reasonConnections    failureReason = "connections"
	reasonSilence        failureReason = "silence"
	reasonSeveralClasses failureReason = "several classes"
)

// classHealth is the health of a server for one class.
type classHealth struct {
	failures     float64 // total weight of recent failures, halved by each success
	ejectedUntil time.Duration
	ejections    int           // consecutive ejections without a success
	lastResponse time.Duration // time of the last OutcomeOK; 0 if there is none
}

// recordOutcome updates the health of a server and the overload from the outcome of an attempt. objectiveUsage is the
// latency of the attempt divided by the latency objective.
func (b *Balancer) recordOutcome(c *class, a *attempt, outcome Outcome, objectiveUsage float64) {
	s := a.server
	switch outcome {
	case OutcomeOK:
		b.recordSuccess(c, s, objectiveUsage)
	case OutcomeTimeout:
		b.recordSlowdown(s, maxSlowdown/2, sampleWeight)
		if s.health[c.index].lastResponse <= a.sentAt { // it may have responded to other classes
			b.recordSilence(c, a, fullFailureWeight)
		}
	case OutcomeRejected:
		b.recordRejection(s)
	case OutcomeError:
		// Errors return early. Their latency would overstate the server's speed and is not recorded.
		if b.failureWeight(c, s) == fullFailureWeight {
			b.recordFailureForAllClasses(s, reasonErrors)
		} else {
			b.recordFailure(c, s, singleFailureWeight, reasonErrors)
		}
	case OutcomeReset:
		// Networks also reset connections to healthy servers. A dead server resets all connections or refuses new ones.
		s.resetsInRow++
		if s.resetsInRow < maxResetsInRow {
			b.recordFailure(c, s, singleFailureWeight, reasonResets)
		} else {
			b.recordFailureForAllClasses(s, reasonResets)
		}
	case OutcomeConnectFailed:
		if s.resetsInRow > 0 || b.failureWeight(c, s) == fullFailureWeight {
			b.recordFailureForAllClasses(s, reasonConnections)
		} else {
			b.skip(s) // it responds on other connections: its backlog is full
		}
	}
}

// recordSuccess records a successful response.
func (b *Balancer) recordSuccess(c *class, s *server, objectiveUsage float64) {
	s.lastResponse = b.now
	s.resetsInRow = 0
	h := &s.health[c.index]
	h.failures /= 2
	h.ejections = 0
	h.lastResponse = b.now
	b.objectiveUsage.add(min(objectiveUsage, 1), sampleWeight)
	if !s.reportsQueue() { // a reported queue is more accurate than the latency of one request
		b.recordUtilization(objectiveUsage)
	}
}

// recordRejection skips a server that has rejected an attempt: it has few requests in flight and would win every pair.
func (b *Balancer) recordRejection(s *server) {
	b.skip(s)
	// A server that reports its load may reject requests for other reasons than load. Its reported load is checked at
	// every pick.
	if !s.lastReport.Known {
		b.recordUtilization(maxUtilization)
	}
}

// skip stops sending requests to a server without capacity for skipLatencies mean latencies.
func (b *Balancer) skip(s *server) {
	s.skippedUntil = b.now + seconds(skipLatencies*b.latencySeconds.value)
}

// failureWeight returns the weight of a failure that does not prove that the server has died. The weight is lower soon
// after a response: single failures are common at high traffic.
func (b *Balancer) failureWeight(c *class, s *server) float64 {
	if s.lastResponse > 0 && b.now-s.lastResponse < c.LatencyObjective {
		return singleFailureWeight
	}
	return fullFailureWeight
}

// recordFailureForAllClasses records a failure that ejects the server for all classes.
func (b *Balancer) recordFailureForAllClasses(s *server, reason failureReason) {
	for _, c := range b.classes {
		b.recordFailure(c, s, fullFailureWeight, reason)
	}
}

// recordFailure records a failure of a server for one class and ejects the server for that class when the total weight
// reaches fullFailureWeight: a server may fail one class and serve the others well. A server that is ejected for two
// classes is ejected for all.
func (b *Balancer) recordFailure(c *class, s *server, weight float64, reason failureReason) {
	h := &s.health[c.index]
	h.failures += weight
	if h.failures < fullFailureWeight || h.ejectedUntil > b.now || s.State != Ready || !b.mayEjectAnother(c) {
		return
	}
	b.eject(c, s, reason)
	for i := range s.health {
		if i != c.index && s.health[i].ejectedUntil > b.now {
			b.recordFailureForAllClasses(s, reasonSeveralClasses)
			return
		}
	}
}

// mayEjectAnother reports whether one more server of a class may be ejected under maxEjectedShare. One server may
// always be ejected unless it is the only one.
func (b *Balancer) mayEjectAnother(c *class) bool {
	ejected, eligible := 0, 0
	for _, s := range b.servers {
		if s.State != Ready || !c.eligible(s) {
			continue
		}
		eligible++
		if s.health[c.index].ejectedUntil > b.now {
			ejected++
		}
	}
	allowed := max(maxEjectedShare*float64(eligible), float64(min(1, eligible-1)))
	return float64(ejected+1) <= allowed
}

// eject removes a server from the candidate set of a class. Consecutive ejections last longer.
func (b *Balancer) eject(c *class, s *server, reason failureReason) {
	h := &s.health[c.index]
	doublings := min(h.ejections, maxEjectionDoublings)
	durationSeconds := ejectionObjectives * c.LatencyObjective.Seconds() * float64(int(1)<<doublings)
	jitter := 0.75 + b.rng.Float64()/2 // so that agents do not all readmit it at the same time
	h.ejectedUntil = b.now + seconds(durationSeconds*jitter)
	h.ejections++
	h.failures = failuresAfterEjection
	b.candidateEpoch++
	b.log("server %d ejected for class %d for %.1f s: %s", s.ID, c.index, durationSeconds, reason)
}

// silenceTimeout returns the time without a response after which an attempt counts as silent.
func (c *class) silenceTimeout() time.Duration {
	return max(seconds(silenceLatencies*c.latencySeconds.value), c.LatencyObjective)
}

// onSilenceTimer handles an attempt that has been in flight for another silence timeout. It records the silence, sets
// the timer again if needed, and hedges the request if the attempt is lost or silent for the second time.
func (b *Balancer) onSilenceTimer(id TimerID) {
	requestID, index := id.attempt()
	r := b.requests[requestID]
	if r == nil || r.streaming || !r.isInFlight(index) {
		return
	}
	a := &r.attempts[index]
	// A server that has responded to other requests in the meantime is not silent: the request is slow, or its connection
	// is dead.
	serverResponds := a.server.lastResponse > a.sentAt
	weight := a.silenceWeight
	if !serverResponds {
		weight = min(weight+silenceFailureStep*b.failureWeight(r.class, a.server), fullFailureWeight)
	}
	b.recordSilence(r.class, a, weight)
	if a.silenceExpiries == 0 {
		a.server.silentAttempts++
	}
	a.silenceExpiries++
	if a.silenceWeight < fullFailureWeight && (!serverResponds || a.silenceExpiries < 2) {
		b.emit(Action{Kind: ActionSetTimer, TimerID: id, Delay: r.class.silenceTimeout()})
	}
	if a.silenceExpiries > 1 || a.isLost() {
		b.hedge(r)
	}
}

// recordSilence raises the failure weight of a silent attempt to the given weight. Overloaded servers stop responding
// too: if other responses are late, the silence of a healthy server raises the overload.
func (b *Balancer) recordSilence(c *class, a *attempt, weight float64) {
	if a.server.health[c.index].failures < maxHealthyFailures && !a.server.reportsQueue() {
		b.recordUtilization(silenceUtilizationFactor * b.objectiveUsage.value)
	}
	b.recordFailure(c, a.server, weight-a.silenceWeight, reasonSilence)
	a.silenceWeight = weight
}

// EjectedEndpoints returns the number of listed servers that are ejected for every class at the given time.
func (b *Balancer) EjectedEndpoints(now time.Duration) (count int) {
	for _, s := range b.servers {
		isUsable := slices.ContainsFunc(b.classes, func(c *class) bool { return s.health[c.index].ejectedUntil <= now })
		if !isUsable && s.State != Removed {
			count++
		}
	}
	return count
}
