package sweep

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"example.org/ryeloft/internal/scale/scenario"
)

// noiseFactor is how many times the noise a growth or a kink has to exceed to count as one.
const noiseFactor = 3

// Growth is one metric along one dimension.
type Growth struct {
	Dimension string    `json:"dimension"`
	Metric    string    `json:"figure"`
	Unit      string    `json:"unit"`
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"`
	Fit       Fit       `json:"fit"`
	Noise     float64   `json:"noise"`  // standard deviation over the runs of the base itself
	Flat      bool      `json:"level"`  // the growth does not stand out from the noise: every size is taken to have the mean
	Target    float64   `json:"target"` // by the fit, the other sizes being the base's
	Twice     float64   `json:"twice"`
	Kink      string    `json:"kink,omitempty"`
	source    string    // runs that gave it, for people
}

// series are the runs along one dimension: their sizes and, in the same order, the values of each metric.
type series struct {
	sizes  []float64
	values map[string][]float64
	units  map[string]string
}

// seriesOf collects the runs along a dimension, the base's among them, by rising size.
func (w *Sweep) seriesOf(d Dimension, base *scenario.Scenario) series {
	out := series{values: map[string][]float64{}, units: map[string]string{}}
	runs := slices.Clone(w.Runs)
	for i := range runs {
		if runs[i].Dimension == "" {
			runs[i].Dimension = d.Name
			runs[i].Size = d.get(base)
		}
	}
	slices.SortStableFunc(runs, func(a, b Played) int { return cmp.Compare(a.Size, b.Size) })
	for _, run := range runs {
		if run.Dimension != d.Name {
			continue
		}
		out.sizes = append(out.sizes, run.Size)
		for name, m := range extractMetrics(run.Run) {
			out.values[name] = append(out.values[name], m.value)
			out.units[name] = m.unit
		}
	}
	return out
}

// fitAll fits every metric along every dimension that has sizes enough.
func (w *Sweep) fitAll(dimensions []Dimension, base, target *scenario.Scenario) {
	noise := w.baseNoise()
	for _, d := range dimensions {
		along := w.seriesOf(d, base)
		distinct := sortedUnique(along.sizes)
		if len(distinct) < minSizes {
			w.Skipped = append(w.Skipped, fmt.Sprintf("%s: %d sizes were played, no fit", d.Name, len(distinct)))
			continue
		}
		source := fmt.Sprintf("sweep of %s: %s at %s, %.0f s each, seed %d", base.Name, d.Name, formatSizes(distinct), base.Seconds, base.Seed)
		for _, name := range sortedKeys(along.values) {
			if len(along.values[name]) != len(along.sizes) {
				continue // not every run measured it
			}
			g := Growth{
				Dimension: d.Name, Metric: name, Unit: along.units[name], Sizes: along.sizes, Values: along.values[name],
				Noise: noise[name], source: source,
			}
			g.fit()
			g.extrapolate(d, target)
			w.Growth = append(w.Growth, g)
		}
	}
}

// baseNoise is, by metric, the standard deviation over the runs of the base.
func (w *Sweep) baseNoise() map[string]float64 {
	values := map[string][]float64{}
	for _, run := range w.Runs {
		if run.Dimension != "" {
			continue
		}
		for name, m := range extractMetrics(run.Run) {
			values[name] = append(values[name], m.value)
		}
	}
	noise := map[string]float64{}
	for name, v := range values {
		if len(v) > 1 {
			noise[name] = stat.StdDev(v, nil)
		}
	}
	return noise
}

// fit fits the growth and says whether it is flat and whether it has a kink.
func (g *Growth) fit() {
	g.Fit = fitGrowth(g.Sizes, g.Values)
	g.Flat = math.Abs(g.Fit.Slope)*rangeOf(g.Sizes) < noiseFactor*max(g.Noise, g.Fit.Residual)
	if g.Fit.isKinked(g.Values, g.Noise) {
		g.Kink = fmt.Sprintf("%s bends with %s: its quadratic term is %.3g, %.3g off the chord where the line leaves %.3g",
			g.Metric, g.Dimension, g.Fit.Quadratic, g.Fit.ChordDeviation, g.Fit.Residual)
	}
}

// extrapolate evaluates the fit at the target and at twice the target, if there is one.
func (g *Growth) extrapolate(d Dimension, target *scenario.Scenario) {
	if target == nil {
		return
	}
	size := d.get(target)
	twice := size
	if d.doublesWithTarget {
		twice *= 2
	}
	g.Target = g.predict(size)
	g.Twice = g.predict(twice)
}

// predict is what the metric is taken to be at a size.
func (g *Growth) predict(size float64) float64 {
	if g.Flat {
		return stat.Mean(g.Values, nil)
	}
	return g.Fit.predict(size)
}

// meansBySize are the values by size, the mean where one was played more than once.
func (g *Growth) meansBySize() map[float64]float64 {
	means := map[float64]float64{}
	runs := map[float64]float64{}
	for i, size := range g.Sizes {
		means[size] += g.Values[i]
		runs[size]++
	}
	for size := range means {
		means[size] /= runs[size]
	}
	return means
}
