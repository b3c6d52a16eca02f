package balancer

import "math"

const (
	slowStartMargin = 0.7 // of overloadFactor that a cold server is sent; the rest is for peaks
)

// minWarmth is the least share of its capacity that a server has by now.
func (b *Balancer) minWarmth(s *server) float64 {
	age := b.now - s.Start
	if s.Start == 0 || age >= b.settings.SlowStartDuration {
		return 1
	}
	least := b.settings.SlowStartMinWeight
	return least + (1-least)*max(0, age.Seconds()/b.settings.SlowStartDuration.Seconds())
}

// expectedWarmth is about the share of its capacity that a server has by now: midway between the least and all of it.
func (b *Balancer) expectedWarmth(s *server) float64 { return math.Sqrt(b.minWarmth(s)) }
