package world

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"example.org/ryeloft/internal/scale/scenario"
)

// These are independent streams of random numbers, so that a change to the number of real agents changes nothing else
// in the fleet.
const (
	streamClasses = iota + 1
	streamCalls
	streamServers
	streamWork
	streamEvents
)

// Generate generates the fleet of a scenario from its seed. It returns the scenario's validation error if there is one.
//
// Agent i is colocated with server i modulo the number of servers. If there are fewer agents than servers, requests of
// a server without an agent make their calls through an agent of the same service. A service without simulated agents
// makes no calls; the rate of root calls is raised to compensate.
func Generate(s *scenario.Scenario) (*World, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	w := &World{Scenario: s}
	zonesPerRegion := s.Fleet.Zones / s.Fleet.Regions
	for z := range s.Fleet.Zones {
		w.Zones = append(w.Zones, fmt.Sprintf("r%d-z%d", z/zonesPerRegion, z%zonesPerRegion))
	}
	sizes := apportion(s.Fleet.Servers, s.Fleet.Services, func(i int) float64 {
		return math.Pow(float64(i+1), -s.Fleet.Uneven)
	})
	w.generateServices(sizes)
	w.generateServers()
	w.generateCalls()
	w.placeAgents()
	w.generateLoad()
	return w, nil
}

func (w *World) rng(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(w.Scenario.Seed, stream))
}

// apportion divides total into n parts of at least 1 in proportion to their weights, by the largest remainder method.
func apportion(total, n int, weight func(int) float64) []int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	out := make([]int, n)
	remainder := make([]float64, n)
	order := make([]int, n)
	left := total
	for i := range n {
		exact := float64(total-n) * weight(i) / sum
		out[i] = 1 + int(exact)
		order[i] = i
		remainder[i] = exact - math.Floor(exact)
		left -= out[i]
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainder[b], remainder[a]) })
	for _, i := range order[:left] {
		out[i]++
	}
	return out
}
