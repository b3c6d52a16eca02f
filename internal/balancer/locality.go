package balancer

import "math"

const (
	// minRemoteWeight is the least part of its speed that a remote server is weighted by, so that some answers still
	// tell how it does.
	minRemoteWeight = 0.05
	// remoteQueueMargin is by how many waiting requests local servers must exceed remote ones until remote servers are
	// weighted by their full speed.
	remoteQueueMargin = 0.5
	// remoteQueueSlope is how fast that weight falls below the margin: one request less divides it by e to this power.
	remoteQueueSlope = 2.0
)

// locality says whether a server is in this agent's zone.
type locality uint8

const (
	remote locality = iota
	local
	localities // how many there are
)

// localityOf returns the locality of a server.
func (b *Balancer) localityOf(s *server) locality {
	if s.Zone == b.settings.Zone {
		return local
	}
	return remote
}

// remoteWeight returns the part of their speed that remote servers are weighted by. It is all of it while local servers
// have longer queues, since a zone may have more traffic than its servers can carry.
func (b *Balancer) remoteWeight() float64 {
	if b.settings.Zone < 0 || !b.queueLength[local].known || !b.queueLength[remote].known {
		return 1
	}
	excess := b.queueLength[local].value - b.queueLength[remote].value - remoteQueueMargin
	return min(max(minRemoteWeight, math.Exp(excess*remoteQueueSlope)), 1)
}
