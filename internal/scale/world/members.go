package world

import (
	"time"

	"example.org/ryeloft/internal/discovery"
)

// These are the states of members in lists.
const (
	stateReady       = "Ready"
	stateTerminating = "Terminating"
	stateGone        = "Gone"
)

// Members returns the full list before any step: the servers whose processes have started by the given time.
func (w *World) Members(at time.Time) []discovery.Member {
	out := make([]discovery.Member, 0, len(w.Servers))
	for i := range w.Servers {
		if m := w.member(i, stateReady); m.StartedAtMillis <= float64(at.UnixMilli()) {
			out = append(out, m)
		}
	}
	return out
}

// member returns the list entry of a server in its first generation.
func (w *World) member(server int, state string) discovery.Member {
	s := &w.Servers[server]
	return discovery.Member{
		ID: s.ID, Address: s.Addr, Zone: w.Zones[s.Zone], Kind: w.Services[s.Service].Name,
		Cell: s.Zone*w.Scenario.Fleet.Racks + s.Rack, State: state, Weight: s.Speed,
		StartedAtMillis: float64(s.Start.Milliseconds()),
	}
}
