package balancer

import (
	"cmp"
	"math"
)

const (
	sampleWeight      = 0.15 // weight of a sample of one server: a dozen settle a mean
	fleetSampleWeight = sampleWeight / 4
	kindPriorAnswers  = 8.0 // answers after which a kind's learnt speed counts as much as the list's weights
	maxSlowdown       = 8.0 // slower than this is the business of ejection
)

// machineKind is what servers of one kind of machine have in common.
type machineKind struct {
	latencyRatio mean    // time of an answer over its class's
	answers      float64 // answers that its pace was learnt from
}

func (b *Balancer) kindOf(s *server) *machineKind {
	k := b.machineKinds[s.Kind]
	if k == nil {
		k = &machineKind{latencyRatio: mean{1, true}}
		b.machineKinds[s.Kind] = k
	}
	return k
}

// recordLatency learns from how long an answer took beside others of its class, for each request that was ahead of it
// and itself. Danger: the service time that servers report covers the last request or two, and a server that is
// done with a costly one tells of it until the next.
func (b *Balancer) recordLatency(c *class, a *attempt, took float64) {
	s := a.server
	if took <= 0 {
		return // within a tick: it tells no speed
	}
	b.queueDepth.add(a.queueDepth, fleetSampleWeight)
	ratio, k := took/c.latencySeconds.value*b.queueDepth.value/a.queueDepth, b.kindOf(s)
	c.latencySeconds.add(min(took, 4*c.latencySeconds.value), fleetSampleWeight)
	b.latencySeconds.add(took, fleetSampleWeight)
	if b.minWarmth(s) == 1 || k.answers == 0 { // a cold server is no example
		k.answers, b.kindAnswers = k.answers+1, b.kindAnswers+1
		k.latencyRatio.add(min(ratio, 4), max(fleetSampleWeight, 1/(k.answers+kindPriorAnswers/2)))
	}
	b.recordSlowdown(s, ratio*b.expectedWarmth(s)/k.latencyRatio.value, sampleWeight/3)
}

// recordSlowdown takes in a sample of how many times slower than usual a server is.
func (b *Balancer) recordSlowdown(s *server, ratio, weight float64) {
	s.slowdown += weight * (min(max(ratio, 1/maxSlowdown), maxSlowdown) - s.slowdown)
	if math.Abs(b.speed(s)*b.expectedWarmth(s)-s.candidateSpeed) > speedTolerance*s.candidateSpeed {
		b.candidateEpoch++
	}
}

// speed is what a server can do when warm: by the list's weight, then by how long its kind takes. Danger:
// weights without the cores' speed overload the slow kind; single servers are seen too seldom to mend that.
// How many are in work has no part in it: who is sent more would look faster and be sent more again.
func (b *Balancer) speed(s *server) float64 {
	k, known := b.kindOf(s), b.kindAnswers/(b.kindAnswers+kindPriorAnswers)
	return math.Pow(s.listedSpeed, 1-known) * math.Pow(max(k.latencyRatio.value, 1e-3), -known) / s.slowdown
}

// serviceSeconds is how long a request of the usual size takes on a server, in seconds.
func (b *Balancer) serviceSeconds(s *server) float64 {
	if !b.queueDepth.known {
		return cmp.Or(max(0, s.lastReport.ServiceTime.Seconds()), b.classes[0].latencySeconds.value)
	}
	return b.latencySeconds.value / b.queueDepth.value * b.kindOf(s).latencyRatio.value * s.slowdown
}
