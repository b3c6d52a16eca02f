package world

import (
	"fmt"
	"math"
	"slices"
)

// fanOut is how many calls a request makes in the mean. It is below 1, as few requests go all the way down.
const fanOut = 0.9

// callsPerLayer returns the calls to layers 1 to depth for each root call, if all requests call on.
func callsPerLayer(depth int) []float64 {
	out := make([]float64, depth)
	for d := range out {
		out[d] = math.Pow(fanOut, float64(d))
	}
	return out
}

// generateServices gives each service its layer and class. The largest service comes first and goes to the layer that lacks
// most servers for its calls, unless as many layers are empty as services are left.
func (w *World) generateServices(sizes []int) {
	f := &w.Scenario.Fleet
	calls := callsPerLayer(f.Depth)
	lacks := append([]float64{calls[0]}, calls...)
	sum := 0.0
	for _, c := range lacks {
		sum += c
	}
	for i := range lacks {
		lacks[i] *= float64(f.Servers) / sum
	}
	layers := make([][]int, f.Depth+1) // of services' sizes
	empty := len(layers)
	for i, size := range sizes {
		best := -1
		for l := range layers {
			if empty == len(sizes)-i && len(layers[l]) > 0 {
				continue
			}
			if best < 0 || lacks[l] > lacks[best] {
				best = l
			}
		}
		if len(layers[best]) == 0 {
			empty--
		}
		layers[best] = append(layers[best], size)
		lacks[best] -= float64(size)
	}
	for l, of := range layers {
		for i, size := range of {
			w.Services = append(w.Services, Service{Name: fmt.Sprintf("d%d-%d", l, i), Layer: l, Servers: make([]int, 0, size)})
		}
	}
	w.Deepest = slices.IndexFunc(w.Services, func(s Service) bool { return s.Layer == f.Depth }) // the first is the largest
	w.assignClasses()
}

// assignClasses divides the services among the classes by their shares, in random order.
func (w *World) assignClasses() {
	classes := w.Scenario.Classes
	order := w.rng(streamClasses).Perm(len(w.Services))
	class := 0
	left := classes[0].Share * float64(len(order))
	for _, i := range order {
		for left < 0.5 && class < len(classes)-1 {
			class++
			left += classes[class].Share * float64(len(order))
		}
		w.Services[i].Class = class
		left--
	}
}

// servicesInLayer returns the services of one layer.
func (w *World) servicesInLayer(layer int) (out []int) {
	for i, s := range w.Services {
		if s.Layer == layer {
			out = append(out, i)
		}
	}
	return out
}

// countServers returns how many servers some services have.
func (w *World) countServers(services []int) (n int) {
	for _, s := range services {
		n += len(w.Services[s].Servers)
	}
	return n
}
