package world

import (
	"fmt"
)

// placeAgents assigns agents to servers and chooses the real ones: evenly distributed and, where possible, so that each
// service keeps a simulated agent.
func (w *World) placeAgents() {
	n := w.Scenario.Agents()
	realAgents := w.Scenario.Fleet.Real
	simulated := make([]int, len(w.Services))
	for i := range n {
		server := i % len(w.Servers)
		w.Agents = append(w.Agents, Agent{Name: fmt.Sprintf("n%d", i), Server: server})
		simulated[w.Servers[server].Service]++
	}
	for k := range realAgents {
		i := w.nextSimulated(k*n/realAgents, func(service int) bool { return simulated[service] > 1 })
		if i < 0 {
			i = w.nextSimulated(k*n/realAgents, func(int) bool { return true })
		}
		w.Agents[i].Real = true
		simulated[w.Servers[w.Agents[i].Server].Service]--
	}
	w.assignCallingAgents()
}

// nextSimulated returns the first simulated agent whose service is accepted, or -1. It searches cyclically, starting at
// the position from.
func (w *World) nextSimulated(from int, accept func(service int) bool) int {
	for k := range w.Agents {
		i := (from + k) % len(w.Agents)
		if a := &w.Agents[i]; !a.Real && accept(w.Servers[a.Server].Service) {
			return i
		}
	}
	return -1
}

// assignCallingAgents sets the agent through which each server's requests make their calls.
func (w *World) assignCallingAgents() {
	w.callingAgent = make([]int, len(w.Servers))
	byService := make([][]int, len(w.Services)) // the simulated agents
	for i := range w.callingAgent {
		w.callingAgent[i] = -1
	}
	for i, a := range w.Agents {
		if a.Real {
			continue
		}
		service := w.Servers[a.Server].Service
		byService[service] = append(byService[service], i)
		if w.callingAgent[a.Server] < 0 {
			w.callingAgent[a.Server] = i
		}
	}
	for s := range w.Services {
		for i, server := range w.Services[s].Servers {
			if w.callingAgent[server] < 0 && len(byService[s]) > 0 {
				w.callingAgent[server] = byService[s][i%len(byService[s])]
			}
		}
	}
}

// CallingAgent returns the agent through which a server's requests make their calls: the first simulated agent
// colocated with it, or otherwise one of the same service. A negative result means that there is none and the requests
// make no calls.
func (w *World) CallingAgent(server int) int {
	if server < len(w.callingAgent) {
		return w.callingAgent[server]
	}
	return -1 // echo servers make no calls
}
