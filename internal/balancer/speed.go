package balancer

import (
	"cmp"
	"math"
)

const (
	gain      = 0.15 // weight of a sample of one server: a dozen settle a mean
	fleetGain = gain / 4
	kindDoubt = 8.0 // answers after which a kind's learnt speed counts as much as the list's weights
	maxSlow   = 8.0 // slower than this is the business of ejection
)

// kind is what servers of one kind of machine have in common.
type kind struct {
	ratio mean    // time of an answer over its class's
	seen  float64 // answers that its pace was learnt from
}

func (b *Balancer) kind(s *server) *kind {
	k := b.kinds[s.Kind]
	if k == nil {
		k = &kind{ratio: mean{1, true}}
		b.kinds[s.Kind] = k
	}
	return k
}

// observe learns from how long an answer took beside others of its class, for each request that was ahead of it
// and itself. Danger: the service time that servers report covers the last request or two, and a server that is
// done with a costly one tells of it until the next.
func (b *Balancer) observe(c *class, a *attempt, took float64) {
	s := a.server
	if took <= 0 {
		return // within a tick: it tells no speed
	}
	b.ahead.add(a.ahead, fleetGain)
	ratio, k := took/c.usual.v*b.ahead.v/a.ahead, b.kind(s)
	c.usual.add(min(took, 4*c.usual.v), fleetGain)
	b.service.add(took, fleetGain)
	if b.warmth(s) == 1 || k.seen == 0 { // a cold server is no example
		k.seen, b.seen = k.seen+1, b.seen+1
		k.ratio.add(min(ratio, 4), max(fleetGain, 1/(k.seen+kindDoubt/2)))
	}
	b.slower(s, ratio*b.likely(s)/k.ratio.v, gain/3)
}

// slower takes in a sample of how many times slower than usual a server is.
func (b *Balancer) slower(s *server, ratio, weight float64) {
	s.slow += weight * (min(max(ratio, 1/maxSlow), maxSlow) - s.slow)
	if math.Abs(b.speed(s)*b.likely(s)-s.built) > speedStep*s.built {
		b.epoch++
	}
}

// speed is what a server can do when warm: by the list's weight, then by how long its kind takes. Danger:
// weights without the cores' speed overload the slow kind; single servers are seen too seldom to mend that.
// How many are in work has no part in it: who is sent more would look faster and be sent more again.
func (b *Balancer) speed(s *server) float64 {
	k, known := b.kind(s), b.seen/(b.seen+kindDoubt)
	return math.Pow(s.base, 1-known) * math.Pow(max(k.ratio.v, 1e-3), -known) / s.slow
}

// each is how long a request of the usual size takes on a server, in seconds.
func (b *Balancer) each(s *server) float64 {
	if !b.ahead.known {
		return cmp.Or(max(0, s.load.ServiceTime.Seconds()), b.classes[0].usual.v)
	}
	return b.service.v / b.ahead.v * b.kind(s).ratio.v * s.slow
}
