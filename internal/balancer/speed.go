package balancer

import (
	"cmp"
	"math"
)

const (
	// sampleWeight is the weight of a sample from a single server: a mean settles after a dozen samples.
	sampleWeight = 0.15
	// fleetSampleWeight is the weight of a sample in a mean over all servers.
	fleetSampleWeight = sampleWeight / 4
	// slowdownSampleWeight is the weight of a response in the slowdown of its server.
	slowdownSampleWeight = sampleWeight / 3
	// kindPriorResponses is the number of responses after which learned speeds count as much as the listed weights.
	kindPriorResponses = 8.0
	// maxSlowdown limits the slowdown of a server; outlier detection handles slower servers.
	maxSlowdown = 8.0
	// maxLatencyRatio limits a latency sample, in mean latencies.
	maxLatencyRatio = 4.0
	// minLatencyRatio keeps the speed of a kind finite.
	minLatencyRatio = 1e-3
)

// machineKind is what has been learned about the servers of one machine kind.
type machineKind struct {
	latencyRatio movingAverage // response latency divided by the mean of its class
	responses    float64       // number of responses from which latencyRatio was learned
}

// kindOf returns the machine kind of a server and adds it if it is unknown.
func (b *Balancer) kindOf(s *server) *machineKind {
	k := b.machineKinds[s.Kind]
	if k == nil {
		k = &machineKind{latencyRatio: movingAverage{value: 1, known: true}}
		b.machineKinds[s.Kind] = k
	}
	return k
}

// recordLatency updates the speed of a server from a response: its latency divided by the mean of the class, per
// request on the server. Reported service times are not used, since they cover only the last one or two requests.
func (b *Balancer) recordLatency(c *class, a *attempt, latencySeconds float64) {
	if latencySeconds <= 0 {
		return // shorter than a tick, or the request was streaming
	}
	s := a.server
	kind := b.kindOf(s)
	b.queueDepth.add(a.queueDepth, fleetSampleWeight)
	ratio := latencySeconds / c.latencySeconds.value * b.queueDepth.value / a.queueDepth
	c.latencySeconds.add(min(latencySeconds, maxLatencyRatio*c.latencySeconds.value), fleetSampleWeight)
	b.latencySeconds.add(latencySeconds, fleetSampleWeight)
	if b.minWarmupFactor(s) == 1 || kind.responses == 0 { // a server that is warming up is slower than its kind
		kind.responses++
		b.kindResponses++
		weight := max(fleetSampleWeight, 1/(kind.responses+kindPriorResponses/2))
		kind.latencyRatio.add(min(ratio, maxLatencyRatio), weight)
	}
	b.recordSlowdown(s, ratio*b.expectedWarmupFactor(s)/kind.latencyRatio.value, slowdownSampleWeight)
}

// recordSlowdown adds a sample of the factor by which a server is slower than others of its kind. It invalidates the
// candidate sets if the speed has changed by more than speedTolerance since the last rebuild.
func (b *Balancer) recordSlowdown(s *server, slowdown, weight float64) {
	s.slowdown += weight * (min(max(slowdown, 1/maxSlowdown), maxSlowdown) - s.slowdown)
	change := b.speed(s)*b.expectedWarmupFactor(s) - s.candidateSpeed
	if math.Abs(change) > speedTolerance*s.candidateSpeed {
		b.candidateEpoch++
	}
}

// speed returns the relative speed of a server once warmed up. Listed weights alone would overload kinds with slow
// cores, and single servers give too few samples to correct that, so the learned speed of the kind gradually replaces
// the weights. The number of requests in flight is not used: a server that gets more requests would look faster and get
// even more.
func (b *Balancer) speed(s *server) float64 {
	kind := b.kindOf(s)
	confidence := b.kindResponses / (b.kindResponses + kindPriorResponses)
	listed := math.Pow(s.listedSpeed, 1-confidence)
	learned := math.Pow(max(kind.latencyRatio.value, minLatencyRatio), -confidence)
	return listed * learned / s.slowdown
}

// serviceSeconds returns the estimated processing time of an average request on a server, without queueing.
func (b *Balancer) serviceSeconds(s *server) float64 {
	if !b.queueDepth.known {
		return cmp.Or(max(0, s.lastReport.ServiceTime.Seconds()), b.classes[0].latencySeconds.value)
	}
	return b.latencySeconds.value / b.queueDepth.value * b.kindOf(s).latencyRatio.value * s.slowdown
}
