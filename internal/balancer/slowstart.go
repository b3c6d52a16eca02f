package balancer

import "math"

const (
	coldMargin = 0.7 // of overloadFactor that a cold server is sent; the rest is for peaks
)

// warmth is the least share of its capacity that a server has by now.
func (b *Balancer) warmth(s *server) float64 {
	age := b.now - s.Start
	if s.Start == 0 || age >= b.set.SlowStartDuration {
		return 1
	}
	return b.set.SlowStartMinWeight + (1-b.set.SlowStartMinWeight)*max(0, age.Seconds()/b.set.SlowStartDuration.Seconds())
}

// likely is about the share of its capacity that a server has by now: midway between the least and all of it.
func (b *Balancer) likely(s *server) float64 { return math.Sqrt(b.warmth(s)) }
