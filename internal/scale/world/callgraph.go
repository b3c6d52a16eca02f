package world

import (
	"slices"
)

// edge is an edge of the call graph, between two services.
type edge struct{ caller, called int }

// generateCalls connects each layer to the next so that each service receives calls in proportion to its number of
// servers. It places both layers on a line of the same length, where each service covers an interval proportional to
// its number of servers. Services with overlapping intervals get an edge weighted by the overlap. Averaging over two
// random orders gives more edges than the minimum.
func (w *World) generateCalls() {
	rng := w.rng(streamCalls)
	for layer := range w.Scenario.Fleet.Depth {
		callers := w.servicesInLayer(layer)
		called := w.servicesInLayer(layer + 1)
		flow := map[edge]float64{}
		for range 2 {
			rng.Shuffle(len(callers), func(i, j int) { callers[i], callers[j] = callers[j], callers[i] })
			rng.Shuffle(len(called), func(i, j int) { called[i], called[j] = called[j], called[i] })
			w.addOverlaps(callers, called, flow)
		}
		total := float64(w.countServers(callers))
		for _, c := range callers {
			w.setCalls(c, called, flow, total, layer)
		}
	}
}

// addOverlaps places the services of two layers on a line in the given orders, and adds half of each overlap to flow.
func (w *World) addOverlaps(callers, called []int, flow map[edge]float64) {
	// The line's length is the product of both layers' numbers of servers. Integers avoid tiny overlaps from rounding.
	callerServers := w.countServers(callers)
	calledServers := w.countServers(called)
	length := float64(callerServers) * float64(calledServers)
	i, j, leftI, leftJ := 0, 0, 0, 0
	for i < len(callers) || j < len(called) {
		if leftI == 0 {
			leftI = len(w.Services[callers[i]].Servers) * calledServers
		}
		if leftJ == 0 {
			leftJ = len(w.Services[called[j]].Servers) * callerServers
		}
		overlap := min(leftI, leftJ)
		flow[edge{callers[i], called[j]}] += float64(float64(overlap) / length / 2)
		leftI -= overlap
		leftJ -= overlap
		if leftI == 0 {
			i++
		}
		if leftJ == 0 {
			j++
		}
	}
}

// setCalls converts the caller's share of flow, which adds up to 1 over all callers, into the chances of its calls, in
// the order of the services. total is the number of servers in the callers' layer.
func (w *World) setCalls(caller int, called []int, flow map[edge]float64, total float64, layer int) {
	s := &w.Services[caller]
	callsPerRequest := 1.0
	if layer > 0 {
		callsPerRequest = fanOut
	}
	share := float64(len(s.Servers)) / total
	for _, to := range slices.Sorted(slices.Values(called)) {
		if f := flow[edge{caller, to}]; f > 0 {
			s.Calls = append(s.Calls, Call{Service: to, Chance: min(1, callsPerRequest*f/share)})
		}
	}
}
