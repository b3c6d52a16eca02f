package world

import (
	"time"
)

// generateLoad sets the rates of root calls so that the fleet makes the scenario's total calls per second, and the work
// of the services so that its mean over all calls is the scenario's.
func (w *World) generateLoad() {
	w.setRootRates(1)
	f := &w.Scenario.Fleet
	rates := w.ServiceRates()
	total := sum(rates)
	if total == 0 { // all agents are real: no calls are simulated
		for i := range w.Services {
			w.Services[i].Work = time.Duration(f.ServiceMS * float64(time.Millisecond))
		}
		return
	}
	w.setRootRates(f.CallsPerSecond / total)
	rng := w.rng(streamWork)
	works := make([]float64, len(w.Services))
	weighted := 0.0
	for i := range works {
		works[i] = 0.5 + rng.Float64()
		weighted += float64(works[i] * rates[i])
	}
	for i := range works {
		ms := works[i] * f.ServiceMS * total / weighted
		w.Services[i].Work = time.Duration(ms * float64(time.Millisecond)).Round(time.Microsecond)
	}
}

// setRootRates gives each front service perServer root calls per second for each of its servers, distributed evenly
// over its simulated agents.
func (w *World) setRootRates(perServer float64) {
	simulated := make([]int, len(w.Services))
	for _, a := range w.Agents {
		if !a.Real {
			simulated[w.Servers[a.Server].Service]++
		}
	}
	for i, a := range w.Agents {
		s := w.Servers[a.Server].Service
		if !a.Real && w.Services[s].Layer == 0 {
			w.Agents[i].RootCallsPerSecond = perServer * float64(len(w.Services[s].Servers)) / float64(simulated[s])
		}
	}
}

// ServiceRates returns the expected calls per second to each service. The rates of the front and echo services are 0.
func (w *World) ServiceRates() []float64 {
	rates := make([]float64, len(w.Services))
	callingRequests := make([]float64, len(w.Services)) // requests per second that make calls
	for _, a := range w.Agents {
		callingRequests[w.Servers[a.Server].Service] += a.RootCallsPerSecond
	}
	for i, s := range w.Services { // callers are sorted before the services that they call
		if s.Layer > 0 {
			callingRequests[i] = rates[i] * w.callingShare(i)
		}
		for _, c := range s.Calls {
			rates[c.Service] += float64(callingRequests[i] * c.Chance)
		}
	}
	return rates
}

// callingShare returns the share of a service's requests that have a calling agent.
func (w *World) callingShare(service int) float64 {
	// Either all servers of a service have a calling agent or none has.
	if w.CallingAgent(w.Services[service].Servers[0]) < 0 {
		return 0
	}
	return 1
}

// LayerRates returns the expected calls per second to the layers from 1 to the depth. The element 0 is layer 1.
func (w *World) LayerRates() []float64 {
	out := make([]float64, w.Scenario.Fleet.Depth)
	for i, rate := range w.ServiceRates() {
		if l := w.Services[i].Layer; l > 0 {
			out[l-1] += rate
		}
	}
	return out
}

func sum(all []float64) (out float64) {
	for _, v := range all {
		out += v
	}
	return out
}
