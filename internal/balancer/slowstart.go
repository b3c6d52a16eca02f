package balancer

import (
	"math"
	"slices"
)

const (
	// slowStartMargin is the fraction of OverloadFactor that a server is sent while it warms up; the rest is headroom
	// for peaks.
	slowStartMargin = 0.7
	// slowStartSteps is how many times per SlowStartDuration the candidate sets are rebuilt with the new warmup factor
	// of a server.
	slowStartSteps = 64
)

// minWarmupFactor returns the lowest share of its capacity that a server can have now.
func (b *Balancer) minWarmupFactor(s *server) float64 {
	age := b.now - s.Start
	if s.Start == 0 || age >= b.settings.SlowStartDuration {
		return 1
	}
	atStart := b.settings.SlowStartMinWeight
	return atStart + (1-atStart)*max(0, age.Seconds()/b.settings.SlowStartDuration.Seconds())
}

// expectedWarmupFactor estimates the share of its capacity that a server has now: the geometric mean of
// minWarmupFactor and 1.
func (b *Balancer) expectedWarmupFactor(s *server) float64 { return math.Sqrt(b.minWarmupFactor(s)) }

// limitSlowStart sets the send probabilities of the candidates; warmingWeight is the total weight of those that are
// warming up.
func (b *Balancer) limitSlowStart(set *candidateSet, selected selection, warmingWeight float64) {
	totalWeight := set.weightSums.rangeSum(0, len(set.servers))
	set.sendProbabilities = set.sendProbabilities[:0]
	for j, s := range set.servers {
		probability := 1.0
		if b.minWarmupFactor(s) < 1 {
			probability = b.slowStartProbability(set, j, selected, totalWeight)
			// A withheld request picks again, and may again pick a server that is warming up.
			probability /= 1 + (maxPicks-1)*warmingWeight/totalWeight*(1-probability)
		}
		set.sendProbabilities = append(set.sendProbabilities, probability)
	}
}

// slowStartProbability returns the send probability at which candidate j, which is warming up, receives its slow-start
// budget. All agents together could overload the server. So even if it wins every pair and its rejections are retried,
// it gets no more than its current share of the requests of the agents that have it as a candidate.
func (b *Balancer) slowStartProbability(set *candidateSet, j int, selected selection, totalWeight float64) float64 {
	s := set.servers[j]
	single := singleServerShare * set.weights[j]
	paired := (1 - singleServerShare) * set.pairSums.rangeSum(j-1, j+1)
	inflow := (single + paired) / totalWeight
	loc := b.localityOf(s)
	share := b.speed(s) / set.peakSpeed * float64(selected.eligible[loc]) / float64(selected.chosen[loc])
	return min(1, slowStartMargin*b.settings.OverloadFactor*b.minWarmupFactor(s)*share/inflow)
}

// withholdForSlowStart randomly decides whether to withhold a request from a server that is warming up, according to
// the server's send probability.
func (b *Balancer) withholdForSlowStart(c *class, s *server) bool {
	if b.minWarmupFactor(s) >= 1 {
		return false
	}
	set := &c.candidates
	i := slices.Index(set.servers, s)
	return i >= 0 && b.rng.Float64() >= set.sendProbabilities[i]
}
