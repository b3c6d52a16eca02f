package balancer

import "math"

const (
	minRemoteWeight   = 0.05 // part of their speed that far servers are drawn by at least, to hear of them
	remoteQueueMargin = 0.5  // requests more that wait at near servers than at far ones when far ones are drawn in full
	remoteQueueSlope  = 2.0  // how fast that part falls as fewer do: a request less divides it by e to this
)

// localityOf is 1 for a server in this agent's zone and 0 for others.
func (b *Balancer) localityOf(s *server) int {
	if s.Zone == b.settings.Zone {
		return 1
	}
	return 0
}

// remoteWeight is the part of their speed that servers in other zones are drawn by: all of it once the near ones have
// longer queues. Danger: a zone may have more traffic than its servers can carry, or lose them.
func (b *Balancer) remoteWeight() float64 {
	if b.settings.Zone < 0 || !b.queueLength[1].known || !b.queueLength[0].known {
		return 1
	}
	longer := b.queueLength[1].value - b.queueLength[0].value - remoteQueueMargin
	return min(max(minRemoteWeight, math.Exp(longer*remoteQueueSlope)), 1)
}
