package balancer

import "math"

const (
	// maxPicks is how many times a request picks servers before it is given up.
	maxPicks = 3
	// manyAgentsOverloadQueue is the queue on a server beyond which it counts as overloaded where many agents send to
	// it, in requests over the root of those that are served at once.
	manyAgentsOverloadQueue = 1.4
	// singleAgentOverloadQueue is the same for a single agent, which knows all that is sent.
	singleAgentOverloadQueue = 3.0
	// reportHalfLifeServiceTimes is after how many service times half of a report is out of date, times the number of
	// agents: the others go on sending.
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

// pickPair picks two neighbours of the candidate set, or one server alone; then second is nil. Both are nil when there
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

// lessLoaded orders a pair by expected wait, requests in flight over speed, shortest first. Ties are broken at random.
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

// sendToPair sends a request to the less loaded server of a pair, or to the other if that one cannot take it. It
// reports whether the request was sent.
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
	// A server that is skipped has had its rejection counted; were it counted at every pick, rejections would sustain
	// themselves.
	if firstOverloaded && secondOverloaded && b.now >= first.skippedUntil {
		b.recordUtilization(1)
	}
	if !firstOverloaded && b.send(r, first) {
		return true
	}
	return !secondOverloaded && b.send(r, second)
}

// inFlightEstimate returns how many requests a server holds: the attempts of this agent, or more if a report says so.
func (b *Balancer) inFlightEstimate(s *server) float64 {
	reported := 0.0
	own := float64(s.inFlight)
	if s.lastReport.Known && s.lastReport.InFlight >= 0 {
		halfLife := reportHalfLifeServiceTimes / float64(b.settings.Agents) * b.serviceSeconds(s)
		freshness := math.Exp2(-(b.now - s.reportedAt).Seconds() / halfLife)
		reported = s.lastReport.InFlight*freshness + float64(s.sentSinceReport)
		// Lost attempts stay in flight until they time out, and a fresh report does not count them.
		own -= freshness * float64(s.silentAttempts)
	}
	if s.reportsQueue() {
		reported = (reported + own) / 2 // the queue is out of date, and how many are being served is not reported
	}
	return max(reported, own)
}

// isOverloaded reports whether a server has no capacity for a request: it was skipped, its queue is too long, or the
// answer would miss the request's objective. A server that holds nothing is not overloaded, or nothing would be sent
// to it and its last report would stay for good.
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
