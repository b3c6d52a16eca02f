package sweep

import (
	"fmt"
	"slices"

	"example.org/ryeloft/internal/scale/scenario"
)

// Dimension is a size of a scenario that is varied alone.
type Dimension struct {
	Name              string
	get               func(*scenario.Scenario) float64
	set               func(*scenario.Scenario, float64)
	defaultSizes      func(base *scenario.Scenario) []float64
	doublesWithTarget bool // twice the target is twice this size
}

// Dimensions are all that can be swept, in the order in which they are. Twice the target is twice as many servers, agents,
// changes and services, as deep as the target.
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

// maxDepth is how deep a scenario's calls go at most.
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

// doubledSizes are a half, one, two and four times the base's agents, for servers too. They are not below the base's
// services, which the servers carry at each size.
func doubledSizes(base *scenario.Scenario) []float64 {
	n := base.Agents()
	return sortedUnique([]float64{float64(max(n/2, base.Fleet.Services)), float64(n), float64(2 * n), float64(4 * n)})
}

// doubledChangeRates are none, the base's changes a minute and two and four times as many, but at least one in a run.
func doubledChangeRates(base *scenario.Scenario) []float64 {
	rate := base.ChangesPerMinute()
	n := max(rate, secondsPerMinute/base.Seconds)
	return sortedUnique([]float64{0, rate, n, 2 * n, 4 * n})
}

// spacedSizes are the base's size and four whole numbers that divide the span from least to most in three.
func spacedSizes(least, base, most int) []float64 {
	all := []float64{float64(base)}
	for third := range 4 {
		all = append(all, float64(least+(most-least)*third/3))
	}
	return sortedUnique(all)
}

func sortedUnique(sizes []float64) []float64 {
	s := slices.Clone(sizes)
	slices.Sort(s)
	return slices.Compact(s)
}

// dimensionIndex is the position of a dimension in Dimensions, or -1.
func dimensionIndex(name string) int {
	return slices.IndexFunc(Dimensions, func(d Dimension) bool { return d.Name == name })
}

// checkDimension reports a name that no dimension has, as the value of a field.
func checkDimension(field, name string) error {
	if dimensionIndex(name) < 0 {
		return fmt.Errorf("%s: %q is not one of servers, agents, changes, services, depth", field, name)
	}
	return nil
}

// selectDimensions returns the dimensions of some names; all, where there are none.
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
