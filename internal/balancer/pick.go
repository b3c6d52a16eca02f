package balancer

import "math"

const (
	// maxPicks is how often a request picks servers before it is rejected or failed.
	maxPicks = 3
	// manyAgentsOverloadQueue is the queue length beyond which a server counts as overloaded if many agents send to it,
	// in requests divided by the square root of the requests processed concurrently.
	manyAgentsOverloadQueue = 1.4
	// singleAgentOverloadQueue is the same for a single agent, which knows all requests sent to the server.
	singleAgentOverloadQueue = 3.0
	// reportHalfLifeServiceTimes is the half-life of a load report in service times, multiplied by the number of agents:
	// reports age faster with more agents, since each of them keeps sending.
	reportHalfLifeServiceTimes = 24.0
)

// dispatch picks servers for a request and sends it. It reports whether the request was sent.
func (b *Balancer) dispatch(r *request) bool {
	for ; r.picks < maxPicks; r.picks++ {
		first, second := b.pickPair(r.class)
		if first == nil {
			return false
		}
		b.checkHealth(r.class, first)
		if second != nil {
			b.checkHealth(r.class, second)
		}
		if b.sendToPair(r, first, second) {
			return true
		}
	}
	return false
}

// pickPair picks two adjacent servers of the candidate set, or a single server, with second nil. Both are nil if there
// is no candidate.
func (b *Balancer) pickPair(c *class) (first, second *server) {
	set := &c.candidates
	if b.candidatesOutdated(set) {
		b.rebuildCandidates(c)
	}
	if len(set.servers) == 0 {
		return nil, nil
	}
	if len(set.servers) == 1 || b.rng.Float64() < singleServerShare {
		return set.servers[set.weightSums.pick(b.rng.Float64())], nil
	}
	j := set.pairSums.pick(b.rng.Float64())
	return set.servers[j], set.servers[j+1]
}

// lessLoaded orders a pair by expected wait (requests in flight divided by speed), shortest first. Ties are broken at
// random.
func (b *Balancer) lessLoaded(x, y *server) (first, second *server) {
	if y == nil {
		return x, nil
	}
	xLoad := b.inFlightEstimate(x) * y.candidateSpeed
	yLoad := b.inFlightEstimate(y) * x.candidateSpeed
	xFirst := xLoad < yLoad
	if xLoad == yLoad {
		xFirst = b.rng.IntN(2) == 0
	}
	if xFirst {
		return x, y
	}
	return y, x
}

// sendToPair sends a request to the less loaded server of a pair, or else to the other one. It reports whether the
// request was sent.
func (b *Balancer) sendToPair(r *request, x, y *server) bool {
	first, second := b.lessLoaded(x, y)
	firstOverloaded := b.isOverloaded(r, first)
	secondOverloaded := second == nil || b.isOverloaded(r, second)
	if second != nil {
		wait := b.inFlightEstimate(first) / first.candidateSpeed
		typicalWait := b.typicalWait.value
		b.typicalWait.add(wait, fleetSampleWeight)
		if r.picks < maxPicks-1 && wait > typicalWait {
			return false // another pair is probably less loaded
		}
	}
	// The rejection by a skipped server is already recorded. Recording it again at every pick would let rejections
	// sustain themselves.
	if firstOverloaded && secondOverloaded && b.now >= first.skippedUntil {
		b.recordUtilization(1)
	}
	if !firstOverloaded && b.send(r, first) {
		return true
	}
	return !secondOverloaded && b.send(r, second)
}

// inFlightEstimate estimates the number of requests on a server: the attempts of this agent, or more if a load report
// shows more.
func (b *Balancer) inFlightEstimate(s *server) float64 {
	reported := 0.0
	own := float64(s.inFlight)
	if s.lastReport.Known && s.lastReport.InFlight >= 0 {
		halfLife := reportHalfLifeServiceTimes / float64(b.settings.Agents) * b.serviceSeconds(s)
		freshness := math.Exp2(-(b.now - s.reportedAt).Seconds() / halfLife)
		reported = s.lastReport.InFlight*freshness + float64(s.sentSinceReport)
		// Lost attempts stay in flight here until they time out, but a fresh report does not include them.
		own -= freshness * float64(s.silentAttempts)
	}
	if s.reportsQueue() {
		// The queue is out of date, and the number of requests being processed is not reported.
		reported = (reported + own) / 2
	}
	return max(reported, own)
}

// isOverloaded reports whether a server has no capacity for a request: it is skipped, its queue is too long, or the
// response would miss the request's objective. An idle server that is not skipped is never overloaded: without requests
// its last report would never be replaced.
func (b *Balancer) isOverloaded(r *request, s *server) bool {
	if b.now < s.skippedUntil {
		return true
	}
	inFlight := b.inFlightEstimate(s)
	if !s.lastReport.Known || inFlight < 1 {
		return false
	}
	queueTooLong := s.reportsQueue() && inFlight >= 1+2*b.overloadQueue
	tooLate := (inFlight+1)*b.serviceSeconds(s) > (r.objective - b.now).Seconds()
	return queueTooLong || tooLate
}
