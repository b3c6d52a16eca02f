package sweep

import (
	"fmt"
	"math"
	"slices"

	"example.org/ryeloft/internal/scale/scenario"
)

// baseRuns is how often the base itself is played: how its metrics differ then is the noise.
const baseRuns = 3

// minSizes is how many sizes a fit needs: three determine a parabola, a fourth shows what it leaves.
const minSizes = 4

// plannedRun is one size that is to be played; its dimension has no name for the base itself.
type plannedRun struct {
	dimension Dimension
	size      float64
	scenario  *scenario.Scenario
}

// planRuns lays out every run and checks it, so that a size that cannot be played is reported before the first run.
func planRuns(base *scenario.Scenario, dimensions []Dimension, o Options) ([]plannedRun, error) {
	for name := range o.Sizes {
		if err := checkDimension("sizes", name); err != nil {
			return nil, err
		}
	}
	var all []plannedRun
	for range baseRuns {
		all = append(all, plannedRun{scenario: withSize(base, Dimension{}, 0)})
	}
	for _, d := range dimensions {
		runs, err := planDimension(base, d, o)
		if err != nil {
			return nil, err
		}
		all = append(all, runs...)
	}
	return all, nil
}

// planDimension lays out the runs along one dimension, but for the base.
func planDimension(base *scenario.Scenario, d Dimension, o Options) (runs []plannedRun, err error) {
	sizes := o.Sizes[d.Name]
	if sizes == nil {
		sizes = d.defaultSizes(base)
	}
	if n := len(sortedUnique(sizes)); n < minSizes {
		return nil, fmt.Errorf("sizes: %s has %d different sizes, at least %d are wanted", d.Name, n, minSizes)
	}
	if err := checkDistinguishable(base, d, sizes); err != nil {
		return nil, err
	}
	for _, size := range sizes {
		if size == d.get(base) {
			continue
		}
		s := withSize(base, d, size)
		if o.Check != nil {
			if err := o.Check(s); err != nil {
				return nil, fmt.Errorf("sizes: %s=%g: %w", d.Name, size, err)
			}
		}
		runs = append(runs, plannedRun{d, size, s})
	}
	return runs, nil
}

// checkDistinguishable reports rates of changes that make the same number of changes in a run.
func checkDistinguishable(base *scenario.Scenario, d Dimension, sizes []float64) error {
	if d.Name != "changes" {
		return nil
	}
	rateByCount := map[float64]float64{}
	for _, rate := range sortedUnique(sizes) {
		n := math.Round(rate * base.Seconds / secondsPerMinute)
		if other, taken := rateByCount[n]; taken {
			return fmt.Errorf("sizes: changes: %g and %g a minute are both %g changes in %g s", other, rate, n, base.Seconds)
		}
		rateByCount[n] = rate
	}
	return nil
}

// withSize is the base with one size changed; the dimension without a name changes none. The number of agents stays the
// base's when servers vary, so that one size moves alone.
func withSize(base *scenario.Scenario, d Dimension, size float64) *scenario.Scenario {
	s := *base
	s.Events = slices.Clone(base.Events)
	s.Classes = slices.Clone(base.Classes)
	s.Fleet.Agents = base.Agents()
	s.Control.PerMinute = base.ChangesPerMinute()
	if d.set == nil {
		return &s
	}
	d.set(&s, size)
	s.Fleet.Real = min(s.Fleet.Real, s.Agents())
	s.Name = fmt.Sprintf("%s-%s-%g", base.Name, d.Name, size)
	return &s
}
