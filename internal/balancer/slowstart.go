package balancer

import (
	"math"
	"slices"
)

const (
	// slowStartMargin is the part of OverloadFactor that servers are sent while they warm up; the rest is for peaks.
	slowStartMargin = 0.7
	// slowStartSteps is how many times candidate sets follow the warmth of a server while it warms up.
	slowStartSteps = 64
)

// minWarmth returns the least share of its capacity that a server has by now.
func (b *Balancer) minWarmth(s *server) float64 {
	age := b.now - s.Start
	if s.Start == 0 || age >= b.settings.SlowStartDuration {
		return 1
	}
	atStart := b.settings.SlowStartMinWeight
	return atStart + (1-atStart)*max(0, age.Seconds()/b.settings.SlowStartDuration.Seconds())
}

// expectedWarmth returns about the share of its capacity that a server has by now: the geometric mean of the least and
// all of it.
func (b *Balancer) expectedWarmth(s *server) float64 { return math.Sqrt(b.minWarmth(s)) }

// limitSlowStart sets the send chances of the candidates; warmingWeight is the weight of those that warm up.
func (b *Balancer) limitSlowStart(set *candidateSet, selected selection, warmingWeight float64) {
	totalWeight := set.weightSums.span(0, len(set.servers))
	set.sendChances = set.sendChances[:0]
	for j, s := range set.servers {
		chance := 1.0
		if b.minWarmth(s) < 1 {
			chance = b.slowStartChance(set, j, selected, totalWeight)
			// A request that is withheld picks again, and may pick a server that is warming up again.
			chance /= 1 + (maxPicks-1)*warmingWeight/totalWeight*(1-chance)
		}
		set.sendChances = append(set.sendChances, chance)
	}
}

// slowStartChance returns the chance at which candidate j, which is warming up, gets its budget. All agents together
// could overload it, so even if it wins each of its pairs, and what it rejects comes again, it gets no more than its
// present share of the requests of the agents that it is a candidate of.
func (b *Balancer) slowStartChance(set *candidateSet, j int, selected selection, totalWeight float64) float64 {
	s := set.servers[j]
	single := singleServerShare * set.weights[j]
	paired := (1 - singleServerShare) * set.pairSums.span(j-1, j+1)
	inflow := (single + paired) / totalWeight
	loc := b.localityOf(s)
	share := b.speed(s) / set.peakSpeed * float64(selected.eligible[loc]) / float64(selected.chosen[loc])
	return min(1, slowStartMargin*b.settings.OverloadFactor*b.minWarmth(s)*share/inflow)
}

// withholdSlowStart decides by chance whether a send is withheld from a server that is warming up.
func (b *Balancer) withholdSlowStart(c *class, s *server) bool {
	if b.minWarmth(s) >= 1 {
		return false
	}
	set := &c.candidates
	i := slices.Index(set.servers, s)
	return i >= 0 && b.rng.Float64() >= set.sendChances[i]
}
