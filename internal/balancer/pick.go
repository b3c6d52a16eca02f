package balancer

import "math"

const (
	maxPicks                   = 3    // draws before a request has nowhere to go
	manyAgentsOverloadQueue    = 1.4  // waiting requests over the root of those served at once: beyond, servers jam,
	loneAgentOverloadQueue     = 3.0  // where this agent is the only one and knows all that is sent
	reportHalfLifeServiceTimes = 24.0 // service times, over the agents, that half of a report's news lasts: others send on
)

// dispatch sends the request to a server, or says that there is no room.
func (b *Balancer) dispatch(r *request) bool {
	for ; r.picks < maxPicks; r.picks++ {
		a, c := b.pickPair(r.class)
		if a == nil {
			return false
		}
		b.checkHealth(r, a, c)
		if b.sendToPair(r, a, c) {
			return true
		}
	}
	return false
}

// pickPair picks a dedicated server (c is nil), or a pair. Both are nil when no server is ready.
func (b *Balancer) pickPair(of *class) (a, c *server) {
	l := &of.candidates
	if l.epoch != b.candidateEpoch || b.now >= l.expiresAt ||
		math.Abs(l.remoteWeight-b.remoteWeight()) > speedTolerance*l.remoteWeight {
		b.rebuildCandidates(of)
	}
	switch n := len(l.servers); {
	case n == 0:
		return nil, nil
	case n == 1 || b.rng.Float64() < singleServerShare:
		return l.servers[l.weightSums.pick(b.rng.Float64())], nil
	}
	j := l.pairSums.pick(b.rng.Float64())
	return l.servers[j], l.servers[j+1]
}

// lessLoaded puts the shorter expected wait of a pair, in flight over speed, first; ties at random.
func (b *Balancer) lessLoaded(a, c *server) (first, second *server) {
	if c == nil {
		return a, nil
	}
	x, y := b.inFlightEstimate(a)*c.candidateSpeed, b.inFlightEstimate(c)*a.candidateSpeed
	if x < y || x == y && b.rng.IntN(2) == 0 {
		return a, c
	}
	return c, a
}

// sendToPair decides between a pair and sends. A crowded or cold server is passed by for the other.
func (b *Balancer) sendToPair(r *request, a, c *server) bool {
	a, c = b.lessLoaded(a, c)
	aFull, cFull := b.isOverloaded(r, a), c == nil || b.isOverloaded(r, c)
	if c != nil { // another pair may be idle: this one is longer than what is chosen usually
		wait, typical := b.inFlightEstimate(a)/a.candidateSpeed, b.typicalWait.value
		if b.typicalWait.add(wait, fleetSampleWeight); r.picks < maxPicks-1 && wait > typical {
			return false
		}
	}
	// Danger: a pair that has rejected something a moment ago is no crowd. It would press at every draw, and the
	// refusals make themselves lasting.
	if aFull && cFull && b.now >= a.skippedUntil {
		b.recordUtilization(1)
	}
	return !aFull && b.send(r, a) || !cFull && b.send(r, c)
}

// inFlightEstimate is what a server has in hand: our own attempts, or its report as far as that holds, or the usual.
func (b *Balancer) inFlightEstimate(s *server) float64 {
	held, own := 0.0, float64(s.inFlight)
	if s.lastReport.Known && s.lastReport.InFlight >= 0 {
		// Danger: attempts that are lost stay out until they time out, and their server would look busy all the
		// while. Of those that are silent a fresh report knows better, but not of those on their way.
		halfLife := reportHalfLifeServiceTimes / float64(b.settings.Agents) * b.serviceSeconds(s)
		news := math.Exp2(-(b.now - s.reportedAt).Seconds() / halfLife)
		held += (s.lastReport.InFlight-held)*news + float64(s.sentSinceReport)
		own -= news * float64(s.silentAttempts)
	}
	if s.reportsQueue() {
		held = (held + own) / 2 // who waits was counted a while ago, and who is in work is a guess
	}
	return max(held, own)
}

// isOverloaded says that a request would be late behind what the server holds, or help to jam it. Who had room is
// not crowded: where nobody sends, old figures stay for good.
func (b *Balancer) isOverloaded(r *request, s *server) bool {
	held, hadNoRoom := b.inFlightEstimate(s), b.now < s.skippedUntil
	jams := s.reportsQueue() && held >= 1+2*b.overloadQueue
	late := (held+1)*b.serviceSeconds(s) > (r.objective - b.now).Seconds()
	return hadNoRoom || s.lastReport.Known && held >= 1 && (jams || late)
}
