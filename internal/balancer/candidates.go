package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// agentsPerServer is how many agents use a server as a candidate. With fewer, requests spread unevenly. With more,
	// each agent gets responses from its servers too rarely, and servers have too many connections.
	agentsPerServer = 12
	// requestsPerCandidate is the number of requests within candidateWindow per candidate.
	requestsPerCandidate = 10
	candidateWindow      = 5 * time.Second
	// minCandidates leaves several pairs to pick from while two candidates are ejected.
	minCandidates = 6
	// singleServerShare is the share of picks that select one server by weight alone instead of the less loaded of a
	// pair, so that agents with the same reports do not all prefer the same servers. It is p in He and Down.
	singleServerShare = 0.1
	// epsilonShare is the fraction of epsilon's upper bound that is used. Single pairs can get too few requests near
	// either end of the range, so the middle is used.
	epsilonShare = 0.5
	// speedTolerance is the relative change of a speed or of remoteWeight that triggers a rebuild; less is noise.
	speedTolerance = 0.1
	// peakSpeedDecay is the factor by which each rebuild reduces a peak speed that is no longer reached.
	peakSpeedDecay = 0.99
)

// candidateSet contains the servers that one class picks from, and the prefix sums for weighted picks. It follows the
// line variant of the policy for unequal speeds by He and Down: a pair consists of two adjacent servers of the set.
type candidateSet struct {
	servers           []*server  // remote servers first, then by listed speed
	weights           []float64  // current speeds, those of remote servers multiplied by remoteWeight
	weightSums        prefixSums // of weights
	pairSums          prefixSums // of the weights of pairs
	sendProbabilities []float64  // probability that a request is not withheld by slow start
	remoteWeight      float64
	peakSpeed         float64       // recent maximum of selection.warmSpeed
	epoch             int           // Balancer.candidateEpoch when it was built
	expiresAt         time.Duration // when the set is out of date even without a new epoch
}

// selection is the result of selectCandidates.
type selection struct {
	warmSpeed float64         // total speed of all eligible servers once warmed up
	eligible  [localities]int // number of ready servers that the class may be sent to
	chosen    [localities]int // number of candidates
}

// eligible reports whether the class's placement allows a server.
func (c *class) eligible(s *server) bool {
	return (c.Zones == nil || slices.Contains(c.Zones, s.Zone)) &&
		(c.Kinds == nil || slices.Contains(c.Kinds, s.Kind))
}

// candidatesOutdated reports whether a candidate set must be rebuilt.
func (b *Balancer) candidatesOutdated(set *candidateSet) bool {
	return set.epoch != b.candidateEpoch || b.now >= set.expiresAt ||
		math.Abs(set.remoteWeight-b.remoteWeight()) > speedTolerance*set.remoteWeight
}

// rebuildCandidates rebuilds a class's candidate set from the first eligible servers of each locality in this agent's
// order.
func (b *Balancer) rebuildCandidates(c *class) {
	set := &c.candidates
	set.epoch = b.candidateEpoch
	set.expiresAt = math.MaxInt64
	set.remoteWeight = b.remoteWeight()
	selected := b.selectCandidates(c)
	// Adjacent servers need similar speeds: ties in a pair are broken evenly, which would give servers of unequal speeds
	// equal traffic.
	slices.SortStableFunc(set.servers, func(x, y *server) int {
		return cmp.Or(cmp.Compare(b.localityOf(x), b.localityOf(y)), cmp.Compare(x.listedSpeed, y.listedSpeed))
	})
	warmingWeight := b.weighCandidates(set, selected)
	set.peakSpeed = max(selected.warmSpeed, set.peakSpeed*peakSpeedDecay)
	set.pairSums = appendPairSums(set.weights, set.pairSums[:0])
	b.limitSlowStart(set, selected, warmingWeight)
}

// selectCandidates chooses the servers of a class's candidate set.
func (b *Balancer) selectCandidates(c *class) selection {
	set := &c.candidates
	set.servers = set.servers[:0]
	bySharing := agentsPerServer * len(b.servers) / b.settings.Agents
	byTraffic := b.requestTimes.countSince(b.now-candidateWindow) / requestsPerCandidate
	size := max(minCandidates, bySharing, byTraffic)
	var selected selection
	for _, s := range b.servers {
		if s.State != Ready || !c.eligible(s) {
			continue
		}
		loc := b.localityOf(s)
		selected.warmSpeed += b.speed(s)
		selected.eligible[loc]++
		ejectedUntil := s.health[c.index].ejectedUntil
		if ejectedUntil > b.now {
			set.expiresAt = min(set.expiresAt, ejectedUntil)
		} else if selected.chosen[loc] < size {
			selected.chosen[loc]++
			set.servers = append(set.servers, s)
		}
	}
	return selected
}

// weighCandidates sets the weights of the candidates and returns the total weight of those that are warming up.
func (b *Balancer) weighCandidates(set *candidateSet, selected selection) (warmingWeight float64) {
	set.weights = set.weights[:0]
	set.weightSums = set.weightSums[:0]
	for _, s := range set.servers {
		s.candidateSpeed = b.speed(s) * b.expectedWarmupFactor(s)
		weight := s.candidateSpeed
		if b.localityOf(s) == remote && selected.chosen[local] > 0 {
			weight *= set.remoteWeight
		}
		set.weights = append(set.weights, weight)
		set.weightSums = set.weightSums.add(weight)
		if b.minWarmupFactor(s) < 1 {
			warmingWeight += weight
			set.expiresAt = min(set.expiresAt, b.now+b.settings.SlowStartDuration/slowStartSteps)
		}
	}
	return warmingWeight
}

// appendPairSums appends the prefix sums of the pair weights to pairs. The weight of a pair is the speed of its first
// server plus epsilon; the last pair has the remaining weight of its two servers.
func appendPairSums(speeds []float64, pairs prefixSums) prefixSums {
	n := len(speeds)
	if n < 2 {
		return pairs
	}
	epsilon := 0.0
	if n > 2 {
		bound := (speeds[n-1] + speeds[n-2]) / float64(n-2)
		for j := 1; j < n-1; j++ {
			bound = min(bound, speeds[j]/float64(j))
		}
		epsilon = epsilonShare * bound
	}
	for _, speed := range speeds[:n-2] {
		pairs = pairs.add(speed + epsilon)
	}
	remainder := speeds[n-1] - float64(n-2)*epsilon
	return pairs.add(speeds[n-2] + remainder)
}
