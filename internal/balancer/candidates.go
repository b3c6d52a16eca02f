package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// agentsPerServer is how many agents share a server. Fewer spread the requests unevenly, with more each of them
	// hears of its servers too seldom, and the servers hold too many connections.
	agentsPerServer = 12
	// requestsPerCandidate is how many requests within candidateWindow warrant one more candidate.
	requestsPerCandidate = 10
	candidateWindow      = 5 * time.Second
	// minCandidates leaves different pairs while two of them are ejected.
	minCandidates = 6
	// singleServerShare is the share of requests that get a server picked by weight alone, rather than the better of a
	// pair, so that agents with the same reports do not all prefer the same servers. It is p in He and Down.
	singleServerShare = 0.1
	// epsilonShare is the part of epsilon's upper bound that is used: half is farthest from both ends of its range, at
	// which single pairs can get too few requests.
	epsilonShare = 0.5
	// speedTolerance is the relative change of a speed that warrants a rebuild; less is noise.
	speedTolerance = 0.1
	// peakSpeedDecay is what each rebuild leaves of a peak speed that is no longer reached.
	peakSpeedDecay = 0.99
)

// candidateSet holds the servers that one class picks from, and the sums that picks use. It follows the line variant of
// the policy for unequal speeds by He and Down: a pair is two neighbours in the order of the set.
type candidateSet struct {
	servers           []*server  // remote ones first, then by listed speed
	weights           []float64  // present speeds, those of remote servers reduced by remoteWeight
	weightSums        prefixSums // of weights
	pairSums          prefixSums // of the weights of pairs
	sendProbabilities []float64  // chance that a send is not withheld from a server that is warming up
	remoteWeight      float64
	peakSpeed         float64       // speed of all eligible servers once they are warm, the highest of late
	epoch             int           // Balancer.candidateEpoch when it was built
	expiresAt         time.Duration // when it is out of date though nothing has happened
}

// selection counts what selectCandidates saw.
type selection struct {
	warmSpeed float64         // speed of all eligible servers once they are warm
	eligible  [localities]int // ready servers that the class may be sent to
	chosen    [localities]int // candidates
}

// eligible reports whether the class may ever be sent to a server.
func (c *class) eligible(s *server) bool {
	return (c.Zones == nil || slices.Contains(c.Zones, s.Zone)) &&
		(c.Kinds == nil || slices.Contains(c.Kinds, s.Kind))
}

// candidatesOutdated reports whether a candidate set has to be rebuilt.
func (b *Balancer) candidatesOutdated(set *candidateSet) bool {
	return set.epoch != b.candidateEpoch || b.now >= set.expiresAt ||
		math.Abs(set.remoteWeight-b.remoteWeight()) > speedTolerance*set.remoteWeight
}

// rebuildCandidates makes a class's candidate set: of either locality the first eligible servers in this agent's order.
func (b *Balancer) rebuildCandidates(c *class) {
	set := &c.candidates
	set.epoch = b.candidateEpoch
	set.expiresAt = math.MaxInt64
	set.remoteWeight = b.remoteWeight()
	selected := b.selectCandidates(c)
	// Neighbours have similar speeds: ties between them are broken evenly, which would even out unlike speeds.
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

// weighCandidates sets the weights of the candidates and returns the sum of those that are warming up.
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

// appendPairSums appends to pairs the running sums of the weights of pairs. A pair weighs the speed of its first server
// plus epsilon; the last pair weighs what its two servers lack.
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
	rest := speeds[n-1] - float64(n-2)*epsilon
	return pairs.add(speeds[n-2] + rest)
}
