package world

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"example.org/ryeloft/internal/scale/scenario"
)

// The streams of random numbers are independent, so that a fleet with more real agents is otherwise the same fleet.
const (
	streamClasses = iota + 1
	streamCalls
	streamServers
	streamWork
	streamEvents
)

// Generate draws a scenario's fleet. Its error is the scenario's, if that cannot be used.
//
// An agent i stands beside the server i, modulo their number. Where there are fewer agents than servers, requests call
// on by an agent of the same service; a service without any makes no calls, and root calls make up for that.
func Generate(s *scenario.Scenario) (*World, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	w := &World{Scenario: s}
	perRegion := s.Fleet.Zones / s.Fleet.Regions
	for z := range s.Fleet.Zones {
		w.Zones = append(w.Zones, fmt.Sprintf("r%d-z%d", z/perRegion, z%perRegion))
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

// apportion divides a whole number by weight into n parts of at least 1, by the largest remainder.
func apportion(whole, n int, weight func(int) float64) []int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	out := make([]int, n)
	remainder := make([]float64, n)
	order := make([]int, n)
	left := whole
	for i := range n {
		exact := float64(whole-n) * weight(i) / sum
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
