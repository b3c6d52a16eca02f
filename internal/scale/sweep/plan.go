package sweep

import (
	"fmt"
	"math"
	"slices"

	"example.org/ryeloft/internal/scale/scenario"
)

// baseRuns is the number of runs of the base. The variation of their metrics is the noise.
const baseRuns = 3

// minSizes is the number of sizes that a fit needs: three determine a parabola, a fourth shows its residual.
const minSizes = 4

// plannedRun is one size to run. For the base, the dimension is the zero value.
type plannedRun struct {
	dimension Dimension
	size      float64
	scenario  *scenario.Scenario
}

// planRuns plans and checks all runs, so that invalid sizes are reported before the first run.
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

// planDimension plans the runs along one dimension, except those of the base.
func planDimension(base *scenario.Scenario, d Dimension, o Options) (runs []plannedRun, err error) {
	sizes := o.Sizes[d.Name]
	if sizes == nil {
		sizes = d.defaultSizes(base)
	}
	if n := len(sortedUnique(sizes)); n < minSizes {
		return nil, fmt.Errorf("sizes: %s has %d different sizes, at least %d are required", d.Name, n, minSizes)
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

// checkDistinguishable returns an error if two rates of changes give the same number of changes in a run.
func checkDistinguishable(base *scenario.Scenario, d Dimension, sizes []float64) error {
	if d.Name != "changes" {
		return nil
	}
	rateByCount := map[float64]float64{}
	for _, rate := range sortedUnique(sizes) {
		n := math.Round(rate * base.Seconds / secondsPerMinute)
		if other, found := rateByCount[n]; found {
			return fmt.Errorf("sizes: changes: %g and %g per minute both give %g changes in %g s", other, rate, n, base.Seconds)
		}
		rateByCount[n] = rate
	}
	return nil
}

// withSize returns a copy of the base with one size changed; the zero Dimension changes none. When the number of
// servers varies, the number of agents remains that of the base, so that only one size changes.
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
