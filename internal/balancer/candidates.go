package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	singleServerShare    = 0.1 // p: a little blind traffic keeps agents from moving as one
	epsilonShare         = 0.5 // of the bound on epsilon: farthest from both ends, where a pair starves
	agentsPerServer      = 12  // agents that share a server: fewer spread unevenly, more know it late
	requestsPerCandidate = 10  // recent requests for each server of the line: busier agents use more servers
	minCandidates        = 6   // servers on a line at least: two may be out and pairs still differ
	speedTolerance       = 0.1 // change of speed that is worth a new line; less is noise
)

// candidateSet is what the requests of one class are drawn from: only servers that are open to it.
type candidateSet struct {
	servers      []*server // in the design's order
	weights      []float64 // their present speeds
	weightSums   sums      // of these
	pairSums     sums      // of the pairs' weights
	remoteWeight float64
	sendChances  []float64     // chance that a send to a server is let through while it is cold
	peakSpeed    float64       // speed of the line when all of it is warm, its highest of late
	epoch        int           // of the Balancer when it was built
	expiresAt    time.Duration // when time alone changes it
}

// eligible is placement: whether a class may ever go to a server.
func (c *class) eligible(s *server) bool {
	return (c.Zones == nil || slices.Contains(c.Zones, s.Zone)) &&
		(c.Kinds == nil || slices.Contains(c.Kinds, s.Kind))
}

// rebuildCandidates makes a class's line, the first open to it on this agent's ring of those near and of those far,
// and the sums that its draws use.
func (b *Balancer) rebuildCandidates(c *class) {
	l := &c.candidates
	l.epoch, l.expiresAt, l.servers, l.remoteWeight = b.candidateEpoch, math.MaxInt64, l.servers[:0], b.remoteWeight()
	// Danger: agents x servers connections fill all tables; many teach little, few are overloaded.
	size := max(minCandidates, agentsPerServer*len(b.servers)/b.settings.Agents,
		b.requestTimes.countSince(b.now-seconds(defaultRetryBudgetSeconds))/requestsPerCandidate)
	var usual, cold float64 // speed of all servers when they are warm, and of the cold ones on the line
	var on, of [2]float64   // servers on the line and open to it, far and near
	for _, s := range b.servers {
		until, near := s.health[c.index].ejectedUntil, b.localityOf(s)
		if s.State != Ready || !c.eligible(s) {
			continue
		}
		usual += b.speed(s)
		of[near]++
		if until > b.now {
			l.expiresAt = min(l.expiresAt, until)
		} else if int(on[near]) < size {
			on[near]++
			l.servers = append(l.servers, s)
		}
	}
	// Neighbours are of like size: ties are broken evenly and would blur unlike speeds, or send to and fro.
	slices.SortStableFunc(l.servers, func(x, y *server) int {
		return cmp.Or(cmp.Compare(b.localityOf(x), b.localityOf(y)), cmp.Compare(x.listedSpeed, y.listedSpeed))
	})
	l.weightSums, l.sendChances, l.weights = l.weightSums[:0], l.sendChances[:0], l.weights[:0]
	for _, s := range l.servers {
		speed, w := b.speed(s), b.minWarmth(s)
		s.candidateSpeed = speed * b.expectedWarmth(s)
		drawn := s.candidateSpeed
		if b.localityOf(s) == 0 && on[1] > 0 {
			drawn *= l.remoteWeight
		}
		l.weights, l.weightSums = append(l.weights, drawn), l.weightSums.add(drawn)
		if w < 1 {
			cold += drawn
			l.expiresAt = min(l.expiresAt, b.now+b.settings.SlowStartDuration/64)
		}
	}
	sum := l.weightSums.span(0, len(l.servers))
	l.peakSpeed = max(usual, l.peakSpeed*0.99)
	l.pairSums = appendPairSums(l.weights, l.pairSums[:0])
	for j, s := range l.servers {
		pass := 1.0
		if w := b.minWarmth(s); w < 1 {
			// Danger: all agents together push it over. Even if it wins each of its pairs, and what it turns
			// away comes again, it gets its present share of the traffic of the agents that have it on their line.
			inflow := (singleServerShare*l.weights[j] + (1-singleServerShare)*l.pairSums.span(j-1, j+1)) / sum
			share := b.speed(s) / l.peakSpeed * of[b.localityOf(s)] / on[b.localityOf(s)]
			pass = min(1, slowStartMargin*b.settings.OverloadFactor*w*share/inflow)
			pass /= 1 + (maxPicks-1)*cold/sum*(1-pass)
		}
		l.sendChances = append(l.sendChances, pass)
	}
}

// appendPairSums appends the running sums of the pairs' weights, speed plus epsilon.
func appendPairSums(mu []float64, sums sums) sums {
	n := len(mu)
	if n < 2 {
		return sums
	}
	eps := 0.0
	if n > 2 {
		bound := (mu[n-1] + mu[n-2]) / float64(n-2)
		for j := 1; j < n-1; j++ {
			bound = min(bound, mu[j]/float64(j))
		}
		eps = epsilonShare * bound
	}
	for j, m := range mu[:n-1] {
		if j == n-2 {
			eps = mu[n-1] - float64(n-2)*eps
		}
		sums = sums.add(m + eps)
	}
	return sums
}
