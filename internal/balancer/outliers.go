package balancer

import (
	"slices"
	"time"
)

const (
	// skipLatencies is how long a server without capacity is skipped, in mean latencies.
	skipLatencies = 3.0
	// maxEjectedShare bounds the ejected part of the servers of a class. When more look bad, the cause is overload or
	// this agent's own network.
	maxEjectedShare = 0.3
	// ejectionObjectives is how long a first ejection lasts, in latency objectives.
	ejectionObjectives = 4.0
	// maxEjectionDoublings is how many times that doubles while the server goes on failing.
	maxEjectionDoublings = 3
	// failuresAfterEjection is what an ejection leaves of the failures: the server is readmitted on trial.
	failuresAfterEjection = 0.5
	// singleFailureWeight is the weight of a failure soon after an answer: three in a row eject.
	singleFailureWeight = 0.34
	// fullFailureWeight is the weight that ejects at once.
	fullFailureWeight = 1.0
	// maxResetsInRow is how many connection resets without an answer between them show that the server has died.
	maxResetsInRow = 3
	// silenceLatencies is after how many mean latencies an attempt counts as silent; it is the latency objective at
	// least.
	silenceLatencies = 6.0
	// silenceFailureStep is the weight that each expiry of the silence timer adds, in failure weights.
	silenceFailureStep = 0.5
	// maxHealthyFailures is below which failures a server that falls silent counts as having been healthy.
	maxHealthyFailures = 0.25
	// silenceUtilizationFactor scales objectiveUsage to the utilization that the silence of a healthy server stands for.
	silenceUtilizationFactor = 4.0
)

// failureReason says in the log why a server was ejected.
type failureReason string

const (
	reasonErrors         failureReason = "errors"
	reasonResets         failureReason = "resets"
	reasonConnections    failureReason = "connections"
	reasonSilence        failureReason = "silence"
	reasonSeveralClasses failureReason = "several classes"
)

// classHealth is how a server has answered one class.
type classHealth struct {
	failures     float64 // weighted failures of late, halved by each success
	ejectedUntil time.Duration
	ejections    int           // in a row
	lastResponse time.Duration // 0 if it has not answered yet
}

// recordOutcome draws the conclusions from the outcome of an attempt; objectiveUsage is its latency over the latency
// objective.
func (b *Balancer) recordOutcome(c *class, a *attempt, outcome Outcome, objectiveUsage float64) {
	s := a.server
	switch outcome {
	case OutcomeOK:
		b.recordSuccess(c, s, objectiveUsage)
	case OutcomeTimeout:
		b.recordSlowdown(s, maxSlowdown/2, sampleWeight)
		if s.health[c.index].lastResponse <= a.sentAt { // it may have answered other classes
			b.recordSilence(c, a, fullFailureWeight)
		}
	case OutcomeRejected:
		b.recordRejection(s)
	case OutcomeError:
		// Errors return early, so their latency would overstate the server's speed and is not recorded.
		if b.failureWeight(c, s) == fullFailureWeight {
			b.recordFailureForAllClasses(s, reasonErrors)
		} else {
			b.recordFailure(c, s, singleFailureWeight, reasonErrors)
		}
	case OutcomeReset:
		// Networks reset connections to healthy servers; a server that has died resets all, or refuses the next.
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
			b.skip(s) // it answers over other connections: its backlog is full
		}
	}
}

// recordSuccess takes in an answer.
func (b *Balancer) recordSuccess(c *class, s *server, objectiveUsage float64) {
	s.lastResponse = b.now
	s.resetsInRow = 0
	h := &s.health[c.index]
	h.failures /= 2
	h.ejections = 0
	h.lastResponse = b.now
	b.objectiveUsage.add(min(objectiveUsage, 1), sampleWeight)
	if !s.reportsQueue() { // a reported queue tells more than one costly request
		b.recordUtilization(objectiveUsage)
	}
}

// recordRejection skips a server that has rejected an attempt: it has few requests in flight and would win every pair.
func (b *Balancer) recordRejection(s *server) {
	b.skip(s)
	// A server that reports its load may reject for reasons of its own. Its load is judged whenever it is picked.
	if !s.lastReport.Known {
		b.recordUtilization(maxUtilization)
	}
}

// skip keeps requests from a server without capacity for a while.
func (b *Balancer) skip(s *server) {
	s.skippedUntil = b.now + seconds(skipLatencies*b.latencySeconds.value)
}

// failureWeight returns the weight of a failure that does not show by itself that the server has died. It is less soon
// after an answer: busy agents meet single failures all the time.
func (b *Balancer) failureWeight(c *class, s *server) float64 {
	if s.lastResponse > 0 && b.now-s.lastResponse < c.LatencyObjective {
		return singleFailureWeight
	}
	return fullFailureWeight
}

// recordFailureForAllClasses ejects a server for all classes.
func (b *Balancer) recordFailureForAllClasses(s *server, reason failureReason) {
	for _, c := range b.classes {
		b.recordFailure(c, s, fullFailureWeight, reason)
	}
}

// recordFailure counts a failure of one class against a server and ejects it for that class when there are too many:
// a server may fail one class and serve the others well. One that is ejected for two classes is ejected for all.
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

// mayEjectAnother reports whether a class has enough servers left to eject one more.
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

// eject takes a server out of the candidate set of a class, for longer the more often in a row.
func (b *Balancer) eject(c *class, s *server, reason failureReason) {
	h := &s.health[c.index]
	doublings := min(h.ejections, maxEjectionDoublings)
	durationSeconds := ejectionObjectives * c.LatencyObjective.Seconds() * float64(int(1)<<doublings)
	jitter := 0.75 + b.rng.Float64()/2 // agents do not all readmit it at once
	h.ejectedUntil = b.now + seconds(durationSeconds*jitter)
	h.ejections++
	h.failures = failuresAfterEjection
	b.candidateEpoch++
	b.log("server %d ejected for class %d for %.1f s: %s", s.ID, c.index, durationSeconds, reason)
}

// silenceTimeout returns after how long without an answer an attempt counts as silent.
func (c *class) silenceTimeout() time.Duration {
	return max(seconds(silenceLatencies*c.latencySeconds.value), c.LatencyObjective)
}

// onSilenceTimer looks at an attempt that has been in flight for another silence timeout.
func (b *Balancer) onSilenceTimer(id TimerID) {
	requestID, position := id.attempt()
	r := b.requests[requestID]
	if r == nil || r.streaming || !r.isInFlight(position) {
		return
	}
	a := &r.attempts[position]
	// A server that answers others meanwhile is not silent: the request is costly, or its connection is dead.
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

// recordSilence raises what the silence of an attempt counts against its server to a weight. Overloaded servers fall
// silent too: where other answers are late, the silence of a server that was healthy counts as utilization.
func (b *Balancer) recordSilence(c *class, a *attempt, weight float64) {
	if a.server.health[c.index].failures < maxHealthyFailures && !a.server.reportsQueue() {
		b.recordUtilization(silenceUtilizationFactor * b.objectiveUsage.value)
	}
	b.recordFailure(c, a.server, weight-a.silenceWeight, reasonSilence)
	a.silenceWeight = weight
}

// EjectedEndpoints counts the listed servers that are ejected for every class.
func (b *Balancer) EjectedEndpoints(now time.Duration) (count int) {
	for _, s := range b.servers {
		isAdmitted := slices.ContainsFunc(b.classes, func(c *class) bool { return s.health[c.index].ejectedUntil <= now })
		if !isAdmitted && s.State != Removed {
			count++
		}
	}
	return count
}
