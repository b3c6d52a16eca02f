package balancer

import "math"

const (
	leastFar = 0.05 // part of their speed that far servers are drawn by at least, to hear of them
	farQueue = 0.5  // requests more that wait at near servers than at far ones when far ones are drawn in full
	farSlope = 2.0  // how fast that part falls as fewer do: a request less divides it by e to this
)

// near is 1 for a server in this agent's zone and 0 for others.
func (b *Balancer) near(s *server) int {
	if s.Zone == b.set.Zone {
		return 1
	}
	return 0
}

// farther is the part of their speed that servers in other zones are drawn by: all of it once the near ones have
// longer queues. Danger: a zone may have more traffic than its servers can carry, or lose them.
func (b *Balancer) farther() float64 {
	if b.set.Zone < 0 || !b.queue[1].known || !b.queue[0].known {
		return 1
	}
	return min(max(leastFar, math.Exp((b.queue[1].v-b.queue[0].v-farQueue)*farSlope)), 1)
}
