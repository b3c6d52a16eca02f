package sweep

import (
	"fmt"
	"strings"

	"example.org/ryeloft/internal/scale/scenario"
)

// The keys of joint metrics are jointPrefix, the metric's name and one of the suffixes.
const (
	jointPrefix  = "joint."
	suffixBase   = ".base"
	suffixTarget = ".target"
	suffixTwice  = ".twice"
)

// jointGrowth is one metric along all dimensions together.
type jointGrowth struct {
	baseSum      float64 // over the dimensions, of the value at the base
	targetFactor float64
	twiceFactor  float64
	unit         string
	dimensions   []string
	noBaseValue  bool // its value at the base is not above 0 along some dimension
}

// joinDimensions takes all dimensions together: the base's value times, for each dimension, the fit's value at the target
// over the one at the base. This takes dimensions to multiply, as agents and changes do in bytes; a metric to which they
// add comes out too large. A metric that is not above 0 at the base is left out.
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

// add adds the growth along one dimension.
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

// jointMetricName is the metric's name in the key of its joint value at the base; false for other keys.
func jointMetricName(key string) (string, bool) {
	name, isBase := strings.CutSuffix(key, suffixBase)
	if !isBase {
		return "", false
	}
	return strings.CutPrefix(name, jointPrefix)
}
