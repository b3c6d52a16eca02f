package sweep

import (
	"fmt"
	"strings"

	"example.org/ryeloft/internal/scale/scenario"
)

// The key of a joint metric consists of jointPrefix, the metric's name and one of the suffixes.
const (
	jointPrefix  = "joint."
	suffixBase   = ".base"
	suffixTarget = ".target"
	suffixTwice  = ".twice"
)

// jointGrowth accumulates the growth of one metric over all dimensions.
type jointGrowth struct {
	baseSum      float64 // sum over the dimensions of the fitted value at the base
	targetFactor float64
	twiceFactor  float64
	unit         string
	dimensions   []string
	noBaseValue  bool // along some dimension the fitted value at the base is not positive
}

// joinDimensions extrapolates the metrics along all dimensions together. It multiplies the value at the base by the
// ratio of the fits at target and base of each dimension. This assumes that the effects of the dimensions multiply, as
// those of agents and changes on bytes do; it overestimates metrics where they add up. A metric that is not positive at
// the base is omitted.
func (w *Sweep) joinDimensions(base, target *scenario.Scenario) {
	w.Joint = map[string]Metric{}
	if target == nil {
		return
	}
	byMetric := map[string]*jointGrowth{}
	for _, g := range w.Growth {
		j := byMetric[g.Metric]
		if j == nil {
			j = &jointGrowth{targetFactor: 1, twiceFactor: 1, unit: g.Unit}
			byMetric[g.Metric] = j
		}
		j.add(&g, base)
	}
	for name, j := range byMetric {
		if j.noBaseValue {
			continue
		}
		atBase := j.baseSum / float64(len(j.dimensions))
		source := fmt.Sprintf("sweeps of %s together: %s, taken to multiply", base.Name, strings.Join(j.dimensions, ", "))
		w.Joint[jointPrefix+name+suffixBase] = Metric{atBase, j.unit, source}
		w.Joint[jointPrefix+name+suffixTarget] = Metric{atBase * j.targetFactor, j.unit, source}
		w.Joint[jointPrefix+name+suffixTwice] = Metric{atBase * j.twiceFactor, j.unit, source}
	}
}

// add includes the growth along one dimension.
func (j *jointGrowth) add(g *Growth, base *scenario.Scenario) {
	d := Dimensions[dimensionIndex(g.Dimension)]
	atBase := g.predict(d.get(base))
	if atBase <= 0 {
		j.noBaseValue = true
		return
	}
	j.baseSum += atBase
	j.targetFactor *= max(g.Target, 0) / atBase
	j.twiceFactor *= max(g.Twice, 0) / atBase
	j.dimensions = append(j.dimensions, g.Dimension)
}

// jointMetricName returns the name of the metric if key is that of a joint value at the base, and false for other keys.
func jointMetricName(key string) (string, bool) {
	name, isBase := strings.CutSuffix(key, suffixBase)
	if !isBase {
		return "", false
	}
	return strings.CutPrefix(name, jointPrefix)
}
