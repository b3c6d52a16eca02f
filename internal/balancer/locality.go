package balancer

import "math"

const (
	// minRemoteWeight is the minimum of remoteWeight, so that some responses still show how remote servers perform.
	minRemoteWeight = 0.05
	// remoteQueueMargin is the difference in mean queue length, local minus remote, from which remoteWeight is 1.
	remoteQueueMargin = 0.5
	// remoteQueueSlope is how steeply remoteWeight falls below the margin: each request less divides it by e to this
	// power.
	remoteQueueSlope = 2.0
)

// locality specifies whether a server is in this agent's zone.
type locality uint8

const (
	remote locality = iota
	local
	localities // number of localities
)

// localityOf returns the locality of a server.
func (b *Balancer) localityOf(s *server) locality {
	if s.Zone == b.settings.Zone {
		return local
	}
	return remote
}

// remoteWeight returns the factor by which the weights of remote servers are multiplied, from minRemoteWeight to 1. It
// is 1 while local servers have longer queues, since a zone may have more traffic than its servers can handle.
func (b *Balancer) remoteWeight() float64 {
	if b.settings.Zone < 0 || !b.queueLength[local].known || !b.queueLength[remote].known {
		return 1
	}
	excess := b.queueLength[local].value - b.queueLength[remote].value - remoteQueueMargin
	return min(max(minRemoteWeight, math.Exp(excess*remoteQueueSlope)), 1)
}
