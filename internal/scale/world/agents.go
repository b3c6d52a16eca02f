package world

import (
	"fmt"
)

// placeAgents puts agents beside the servers and chooses the real ones: spread evenly and, where possible, so that each
// service keeps a simulated one.
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

// nextSimulated returns the first simulated agent from a position on, cyclically, whose service is accepted, or -1.
func (w *World) nextSimulated(from int, accept func(service int) bool) int {
	for k := range w.Agents {
		i := (from + k) % len(w.Agents)
		if a := &w.Agents[i]; !a.Real && accept(w.Servers[a.Server].Service) {
			return i
		}
	}
	return -1
}

// assignCallingAgents finds for each server the agent by which its requests call on.
func (w *World) assignCallingAgents() {
	w.callingAgent = make([]int, len(w.Servers))
	byService := make([][]int, len(w.Services)) // simulated agents
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

// CallingAgent returns the agent by which a server's requests call on: the simulated one beside it, or else one of the same
// service. Below 0 means that there is none, and that they call nothing.
func (w *World) CallingAgent(server int) int {
	if server < len(w.callingAgent) {
		return w.callingAgent[server]
	}
	return -1 // echo servers call nothing
}
