package dispatch

import (
	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
)

// updateEndpoints updates the endpoints from the members of a list and returns the members as balancer endpoints.
func (l *Loop) updateEndpoints(members []discovery.Member) []balancer.Endpoint {
	entries := l.members.Endpoints(l.settings.Load(), members)
	for i, entry := range entries {
		if entry.State != balancer.Removed { // removeEndpoints removes these after the balancer has handled the list
			l.updateEndpoint(entry, members[i].Address)
		}
	}
	return entries
}

// updateEndpoint creates an endpoint for a server that is new, whose process or address has changed, or that is ready
// again after draining. It drains the endpoint of a server that is not ready.
func (l *Loop) updateEndpoint(entry balancer.Endpoint, addr string) {
	e := l.endpoints[entry.ID]
	same := e != nil && e.Is(addr, entry.Start)
	if !same || entry.State == balancer.Ready && e.Draining() {
		if e != nil {
			l.pool.Retire(e)
		}
		e = l.pool.AddEndpoint(addr, entry.Start)
		l.endpoints[entry.ID] = e
	}
	if entry.State != balancer.Ready {
		e.Drain()
	}
}

// removeEndpoints retires and deletes the endpoints that a list has removed.
func (l *Loop) removeEndpoints(update balancer.DiscoveryUpdate, entries []balancer.Endpoint) {
	for _, id := range l.members.RemoveGone(update, entries) {
		if e := l.endpoints[id]; e != nil {
			l.pool.Retire(e)
			delete(l.endpoints, id)
		}
	}
}
