package balancer

import (
	"cmp"
	"math"
)

const (
	// sampleWeight is the weight of a sample of a single server: a dozen settle a mean.
	sampleWeight = 0.15
	// fleetSampleWeight is the weight of a sample in a mean over all servers.
	fleetSampleWeight = sampleWeight / 4
	// slowdownSampleWeight is the weight of an answer in the slowdown of its server.
	slowdownSampleWeight = sampleWeight / 3
	// kindPriorResponses is after how many answers the learned speed of a kind counts as much as the listed weights.
	kindPriorResponses = 8.0
	// maxSlowdown bounds the slowdown of a server; a slower one is up to outlier detection.
	maxSlowdown = 8.0
	// maxLatencyRatio bounds a latency sample, in mean latencies.
	maxLatencyRatio = 4.0
	// minLatencyRatio keeps the speed of a kind finite.
	minLatencyRatio = 1e-3
)

// machineKind is what has been learned about the servers of one kind of machine.
type machineKind struct {
	latencyRatio movingAverage // latency of an answer over the mean of its class
	responses    float64       // answers that latencyRatio was learned from
}

// kindOf returns the kind of machine of a server.
func (b *Balancer) kindOf(s *server) *machineKind {
	k := b.machineKinds[s.Kind]
	if k == nil {
		k = &machineKind{latencyRatio: movingAverage{value: 1, known: true}}
		b.machineKinds[s.Kind] = k
	}
	return k
}

// recordLatency learns the speed of a server from an answer: its latency over the mean of the class, per request that
// the server held. Reported service times are not used, since they cover only the last request or two.
func (b *Balancer) recordLatency(c *class, a *attempt, latencySeconds float64) {
	if latencySeconds <= 0 {
		return // shorter than a tick
	}
	s := a.server
	kind := b.kindOf(s)
	b.queueDepth.add(a.queueDepth, fleetSampleWeight)
	ratio := latencySeconds / c.latencySeconds.value * b.queueDepth.value / a.queueDepth
	c.latencySeconds.add(min(latencySeconds, maxLatencyRatio*c.latencySeconds.value), fleetSampleWeight)
	b.latencySeconds.add(latencySeconds, fleetSampleWeight)
	if b.minWarmupFactor(s) == 1 || kind.responses == 0 { // a server that warms up is no example of its kind
		kind.responses++
		b.kindResponses++
		weight := max(fleetSampleWeight, 1/(kind.responses+kindPriorResponses/2))
		kind.latencyRatio.add(min(ratio, maxLatencyRatio), weight)
	}
	b.recordSlowdown(s, ratio*b.expectedWarmupFactor(s)/kind.latencyRatio.value, slowdownSampleWeight)
}

// recordSlowdown takes in a sample of how many times slower a server is than others of its kind.
func (b *Balancer) recordSlowdown(s *server, slowdown, weight float64) {
	s.slowdown += weight * (min(max(slowdown, 1/maxSlowdown), maxSlowdown) - s.slowdown)
	change := b.speed(s)*b.expectedWarmupFactor(s) - s.candidateSpeed
	if math.Abs(change) > speedTolerance*s.candidateSpeed {
		b.candidateEpoch++
	}
}

// speed returns the relative speed of a server once it is warm. Listed weights alone would overload kinds with slow
// cores, and single servers are seen too seldom to correct that, so a kind's latency takes their place. The requests in
// flight have no part in it: a server that is sent more would look faster and be sent more still.
func (b *Balancer) speed(s *server) float64 {
	kind := b.kindOf(s)
	confidence := b.kindResponses / (b.kindResponses + kindPriorResponses)
	listed := math.Pow(s.listedSpeed, 1-confidence)
	learned := math.Pow(max(kind.latencyRatio.value, minLatencyRatio), -confidence)
	return listed * learned / s.slowdown
}

// serviceSeconds returns how long a server takes for an average request, without waiting.
func (b *Balancer) serviceSeconds(s *server) float64 {
	if !b.queueDepth.known {
		return cmp.Or(max(0, s.lastReport.ServiceTime.Seconds()), b.classes[0].latencySeconds.value)
	}
	return b.latencySeconds.value / b.queueDepth.value * b.kindOf(s).latencyRatio.value * s.slowdown
}
