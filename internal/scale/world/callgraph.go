package world

import (
	"slices"
)

// edge is a caller and a called service.
type edge struct{ caller, called int }

// generateCalls connects each layer to the next so that calls come to each service in proportion to its servers. It lays both
// layers along one line, each service as long as its share: where two overlap, one calls the other in proportion to the
// overlap. Doing so in two random orders gives more than the fewest edges.
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

// addOverlaps adds half of the overlaps of two layers' services that are laid along one line in their order.
func (w *World) addOverlaps(callers, called []int, flow map[edge]float64) {
	// Each layer is as long as the product of both numbers of servers: in integers no sliver is left by rounding.
	above := w.countServers(callers)
	below := w.countServers(called)
	whole := float64(above) * float64(below)
	i, j, leftI, leftJ := 0, 0, 0, 0
	for i < len(callers) || j < len(called) {
		if leftI == 0 {
			leftI = len(w.Services[callers[i]].Servers) * below
		}
		if leftJ == 0 {
			leftJ = len(w.Services[called[j]].Servers) * above
		}
		both := min(leftI, leftJ)
		flow[edge{callers[i], called[j]}] += float64(both) / whole / 2
		leftI -= both
		leftJ -= both
		if leftI == 0 {
			i++
		}
		if leftJ == 0 {
			j++
		}
	}
}

// setCalls turns a caller's part of the flow, which is 1 for all callers together, into chances, in the services' order.
func (w *World) setCalls(caller int, called []int, flow map[edge]float64, total float64, layer int) {
	s := &w.Services[caller]
	out := 1.0
	if layer > 0 {
		out = fanOut
	}
	share := float64(len(s.Servers)) / total
	for _, to := range slices.Sorted(slices.Values(called)) {
		if f := flow[edge{caller, to}]; f > 0 {
			s.Calls = append(s.Calls, Call{Service: to, Chance: min(1, out*f/share)})
		}
	}
}
