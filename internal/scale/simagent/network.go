package simagent

import "time"

// transmit sends an event from one server's machine to another's. The event is lost while their regions are
// partitioned.
func (s *shard) transmit(from, to *server, ev event) {
	f := s.fleet
	if from.region != to.region && f.regionsPartitioned.Load() {
		return
	}
	ev.due += f.networkDelay(from, to)
	s.post(to.shard, ev)
}

// networkDelay returns the one-way network delay between two servers' machines.
func (f *Fleet) networkDelay(from, to *server) time.Duration {
	fleet := &f.world.Scenario.Fleet
	ms := fleet.NetworkMS
	switch {
	case from == to:
		ms = 0
	case from.region != to.region:
		ms = fleet.RegionMS
	case from.zone != to.zone:
		ms = fleet.CrossMS
	}
	return time.Duration(ms * float64(time.Millisecond))
}
