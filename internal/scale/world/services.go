package world

import (
	"fmt"
	"math"
	"slices"
)

// fanOut is the mean number of calls that a request makes. It is below 1 because few requests reach the deepest layer.
const fanOut = 0.9

// callsPerLayer returns the calls per root call to each layer from 1 to depth, if all requests can make calls.
func callsPerLayer(depth int) []float64 {
	out := make([]float64, depth)
	for d := range out {
		out[d] = math.Pow(fanOut, float64(d))
	}
	return out
}

// generateServices creates the services with their layers and classes. In descending order of size, each service goes
// to the layer that is missing the most servers for its calls. Once there are only as many services left as empty
// layers, each goes to an empty layer.
func (w *World) generateServices(sizes []int) {
	f := &w.Scenario.Fleet
	calls := callsPerLayer(f.Depth)
	missing := append([]float64{calls[0]}, calls...) // servers, by layer
	sum := 0.0
	for _, c := range missing {
		sum += c
	}
	for i := range missing {
		missing[i] *= float64(f.Servers) / sum
	}
	layers := make([][]int, f.Depth+1) // sizes of the services of each layer
	empty := len(layers)
	for i, size := range sizes {
		best := -1
		for l := range layers {
			if empty == len(sizes)-i && len(layers[l]) > 0 {
				continue
			}
			if best < 0 || missing[l] > missing[best] {
				best = l
			}
		}
		if len(layers[best]) == 0 {
			empty--
		}
		layers[best] = append(layers[best], size)
		missing[best] -= float64(size)
	}
	for l, layerSizes := range layers {
		for i, size := range layerSizes {
			w.Services = append(w.Services, Service{Name: fmt.Sprintf("d%d-%d", l, i), Layer: l, Servers: make([]int, 0, size)})
		}
	}
	// The first service of a layer is its largest.
	w.Deepest = slices.IndexFunc(w.Services, func(s Service) bool { return s.Layer == f.Depth })
	w.assignClasses()
}

// assignClasses assigns the services in random order to the classes, according to the classes' shares.
func (w *World) assignClasses() {
	classes := w.Scenario.Classes
	order := w.rng(streamClasses).Perm(len(w.Services))
	class := 0
	left := classes[0].Share * float64(len(order))
	for _, i := range order {
		for left < 0.5 && class < len(classes)-1 {
			class++
			left += float64(classes[class].Share * float64(len(order)))
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

// countServers returns the total number of servers of some services.
func (w *World) countServers(services []int) (n int) {
	for _, s := range services {
		n += len(w.Services[s].Servers)
	}
	return n
}
