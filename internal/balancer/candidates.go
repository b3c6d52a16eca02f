package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	dedicated       = 0.1 // p: a little blind traffic keeps agents from moving as one
	epsilonShare    = 0.5 // of the bound on epsilon: farthest from both ends, where a pair starves
	agentsPerServer = 12  // agents that share a server: fewer spread unevenly, more know it late
	requestsEach    = 10  // requests in retrySpan for each server of the line: busier agents use more servers
	shortestLine    = 6   // servers on a line at least: two may be out and pairs still differ
	speedStep       = 0.1 // change of speed that is worth a new line; less is noise
)

// line is what the requests of one class are drawn from: only servers that are open to it.
type line struct {
	servers  []*server // in the design's order
	mu       []float64 // their present speeds
	speeds   sums      // of these
	pairs    sums      // of the pairs' weights
	farther  float64
	pass     []float64     // chance that a send to a server is let through while it is cold
	usualSum float64       // speed of the line when all of it is warm, its highest of late
	epoch    int           // of the Balancer when it was built
	next     time.Duration // when time alone changes it
}

// eligible is placement: whether a class may ever go to a server.
func (c *class) eligible(s *server) bool {
	return (c.Zones == nil || slices.Contains(c.Zones, s.Zone)) &&
		(c.Kinds == nil || slices.Contains(c.Kinds, s.Kind))
}

// rebuild makes a class's line, the first open to it on this agent's ring of those near and of those far, and the
// sums that its draws use.
func (b *Balancer) rebuild(c *class) {
	l := &c.line
	l.epoch, l.next, l.servers, l.farther = b.epoch, math.MaxInt64, l.servers[:0], b.farther()
	// Danger: agents x servers connections fill all tables; many teach little, few are overloaded.
	size := max(shortestLine, agentsPerServer*len(b.ring)/b.set.Agents,
		b.taken.since(b.now-seconds(retrySpan))/requestsEach)
	var usual, cold float64 // speed of all servers when they are warm, and of the cold ones on the line
	var on, of [2]float64   // servers on the line and open to it, far and near
	for _, s := range b.ring {
		until, near := s.health[c.index].until, b.near(s)
		if s.State != Ready || !c.eligible(s) {
			continue
		}
		usual += b.speed(s)
		of[near]++
		if until > b.now {
			l.next = min(l.next, until)
		} else if int(on[near]) < size {
			on[near]++
			l.servers = append(l.servers, s)
		}
	}
	// Neighbours are of like size: ties are broken evenly and would blur unlike speeds, or send to and fro.
	slices.SortStableFunc(l.servers, func(x, y *server) int {
		return cmp.Or(cmp.Compare(b.near(x), b.near(y)), cmp.Compare(x.base, y.base))
	})
	l.speeds, l.pass, l.mu = l.speeds[:0], l.pass[:0], l.mu[:0]
	for _, s := range l.servers {
		speed, w := b.speed(s), b.warmth(s)
		s.built = speed * b.likely(s)
		drawn := s.built
		if b.near(s) == 0 && on[1] > 0 {
			drawn *= l.farther
		}
		l.mu, l.speeds = append(l.mu, drawn), l.speeds.add(drawn)
		if w < 1 {
			cold += drawn
			l.next = min(l.next, b.now+b.set.SlowStartDuration/64)
		}
	}
	sum := l.speeds.span(0, len(l.servers))
	l.usualSum = max(usual, l.usualSum*0.99)
	l.pairs = pairSums(l.mu, l.pairs[:0])
	for j, s := range l.servers {
		pass := 1.0
		if w := b.warmth(s); w < 1 {
			// Danger: all agents together push it over. Even if it wins each of its pairs, and what it turns
			// away comes again, it gets its present share of the traffic of the agents that have it on their line.
			inflow := (dedicated*l.mu[j] + (1-dedicated)*l.pairs.span(j-1, j+1)) / sum
			share := b.speed(s) / l.usualSum * of[b.near(s)] / on[b.near(s)]
			pass = min(1, coldMargin*b.set.OverloadFactor*w*share/inflow)
			pass /= 1 + (draws-1)*cold/sum*(1-pass)
		}
		l.pass = append(l.pass, pass)
	}
}

// pairSums appends the running sums of the pairs' weights, speed plus epsilon.
func pairSums(mu []float64, sums sums) sums {
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
