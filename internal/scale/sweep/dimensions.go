package sweep

import (
	"fmt"
	"slices"

	"example.org/ryeloft/internal/scale/scenario"
)

// Dimension is a size of a scenario that a sweep varies while the others keep their values.
type Dimension struct {
	Name              string
	get               func(*scenario.Scenario) float64
	set               func(*scenario.Scenario, float64)
	defaultSizes      func(base *scenario.Scenario) []float64
	doublesWithTarget bool // twice the target has twice this size
}

// Dimensions are all dimensions, in the order in which they are swept. Twice the target has twice as many servers,
// agents, changes and services as the target, at the same depth.
var Dimensions = []Dimension{
	{
		Name:              "servers",
		get:               func(s *scenario.Scenario) float64 { return float64(s.Fleet.Servers) },
		set:               func(s *scenario.Scenario, v float64) { s.Fleet.Servers = int(v) },
		defaultSizes:      doubledSizes,
		doublesWithTarget: true,
	},
	{
		Name:              "agents",
		get:               agentCount,
		set:               func(s *scenario.Scenario, v float64) { s.Fleet.Agents = int(v) },
		defaultSizes:      doubledSizes,
		doublesWithTarget: true,
	},
	{
		Name:              "changes",
		get:               (*scenario.Scenario).ChangesPerMinute,
		set:               setChangesPerMinute,
		defaultSizes:      doubledChangeRates,
		doublesWithTarget: true,
	},
	{
		Name: "services",
		get:  func(s *scenario.Scenario) float64 { return float64(s.Fleet.Services) },
		set:  func(s *scenario.Scenario, v float64) { s.Fleet.Services = int(v) },
		defaultSizes: func(s *scenario.Scenario) []float64 {
			return spacedSizes(s.Fleet.Depth+1, s.Fleet.Services, s.Fleet.Servers)
		},
		doublesWithTarget: true,
	},
	{
		Name: "depth",
		get:  func(s *scenario.Scenario) float64 { return float64(s.Fleet.Depth) },
		set:  func(s *scenario.Scenario, v float64) { s.Fleet.Depth = int(v) },
		defaultSizes: func(s *scenario.Scenario) []float64 {
			return spacedSizes(1, s.Fleet.Depth, min(maxDepth, s.Fleet.Services-1))
		},
	},
}

// maxDepth is the maximum depth of a scenario's calls.
const maxDepth = 14

const (
	minutesPerDay    = 24 * 60
	secondsPerMinute = 60
)

func agentCount(s *scenario.Scenario) float64 { return float64(s.Agents()) }

func setChangesPerMinute(s *scenario.Scenario, v float64) {
	s.Control.PerMinute = v
	s.Control.ChangesDay = v * minutesPerDay
}

// doubledSizes returns half, one, two and four times the base's number of agents, the default sizes of both agents and
// servers. The smallest size is at least the base's number of services, since every service needs a server.
func doubledSizes(base *scenario.Scenario) []float64 {
	n := base.Agents()
	return sortedUnique([]float64{float64(max(n/2, base.Fleet.Services)), float64(n), float64(2 * n), float64(4 * n)})
}

// doubledChangeRates returns 0, the base's changes per minute, and one, two and four times that rate or, if it is
// higher, the rate of one change per run.
func doubledChangeRates(base *scenario.Scenario) []float64 {
	rate := base.ChangesPerMinute()
	n := max(rate, secondsPerMinute/base.Seconds)
	return sortedUnique([]float64{0, rate, n, 2 * n, 4 * n})
}

// spacedSizes returns the base's size and four integers that divide the range from smallest to largest into thirds.
func spacedSizes(smallest, base, largest int) []float64 {
	all := []float64{float64(base)}
	for third := range 4 {
		all = append(all, float64(smallest+(largest-smallest)*third/3))
	}
	return sortedUnique(all)
}

func sortedUnique(sizes []float64) []float64 {
	s := slices.Clone(sizes)
	slices.Sort(s)
	return slices.Compact(s)
}

// dimensionIndex returns the index of the named dimension in Dimensions, or -1.
func dimensionIndex(name string) int {
	return slices.IndexFunc(Dimensions, func(d Dimension) bool { return d.Name == name })
}

// checkDimension returns an error that begins with the field if no dimension has the name.
func checkDimension(field, name string) error {
	if dimensionIndex(name) < 0 {
		return fmt.Errorf("%s: %q is not one of servers, agents, changes, services, depth", field, name)
	}
	return nil
}

// selectDimensions returns the named dimensions, or all if names is empty.
func selectDimensions(names []string) ([]Dimension, error) {
	for _, name := range names {
		if err := checkDimension("only", name); err != nil {
			return nil, err
		}
	}
	var selected []Dimension
	for _, d := range Dimensions {
		if len(names) == 0 || slices.Contains(names, d.Name) {
			selected = append(selected, d)
		}
	}
	return selected, nil
}
