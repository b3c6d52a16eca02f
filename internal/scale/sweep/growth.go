package sweep

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"example.org/ryeloft/internal/scale/scenario"
)

// noiseFactor is the multiple of the noise that a growth or a kink must exceed to be significant.
const noiseFactor = 3

// Growth is the growth of one metric along one dimension.
type Growth struct {
	Dimension string    `json:"dimension"`
	Metric    string    `json:"figure"`
	Unit      string    `json:"unit"`
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"`
	Fit       Fit       `json:"fit"`
	Noise     float64   `json:"noise"`  // standard deviation over the runs of the base
	Flat      bool      `json:"level"`  // the growth is within the noise, so the mean is predicted for every size
	Target    float64   `json:"target"` // predicted value at the target's size, with the base's other sizes
	Twice     float64   `json:"twice"`  // the same at twice the target
	Kink      string    `json:"kink,omitempty"`
	source    string    // description of the runs, for Metric.Run
}

// series holds the runs along one dimension: their sizes and, in the same order, the values of each metric.
type series struct {
	sizes  []float64
	values map[string][]float64
	units  map[string]string
}

// seriesOf collects the runs along a dimension, including those of the base, sorted by size.
func (w *Sweep) seriesOf(d Dimension, base *scenario.Scenario) series {
	out := series{values: map[string][]float64{}, units: map[string]string{}}
	runs := slices.Clone(w.Runs)
	for i := range runs {
		if runs[i].Dimension == "" {
			runs[i].Dimension = d.Name
			runs[i].Size = d.get(base)
		}
	}
	slices.SortStableFunc(runs, func(a, b SizeRun) int { return cmp.Compare(a.Size, b.Size) })
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

// fitAll fits every metric along every dimension with at least minSizes sizes.
func (w *Sweep) fitAll(dimensions []Dimension, base, target *scenario.Scenario) {
	noise := w.baseNoise()
	for _, d := range dimensions {
		along := w.seriesOf(d, base)
		distinct := sortedUnique(along.sizes)
		if len(distinct) < minSizes {
			w.Skipped = append(w.Skipped, fmt.Sprintf("%s: %d sizes were run, no fit", d.Name, len(distinct)))
			continue
		}
		source := fmt.Sprintf("sweep of %s: %s at %s, %.0f s each, seed %d", base.Name, d.Name, formatSizes(distinct), base.Seconds, base.Seed)
		for _, name := range sortedKeys(along.values) {
			if len(along.values[name]) != len(along.sizes) {
				continue // some runs did not measure it
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

// baseNoise returns the standard deviation of each metric over the runs of the base.
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

// fit sets Fit, Flat and Kink.
func (g *Growth) fit() {
	g.Fit = fitGrowth(g.Sizes, g.Values)
	g.Flat = math.Abs(g.Fit.Slope)*rangeOf(g.Sizes) < noiseFactor*max(g.Noise, g.Fit.Residual)
	if g.Fit.isKinked(g.Values, g.Noise) {
		g.Kink = fmt.Sprintf("%s bends with %s: its quadratic term is %.3g, %.3g off the chord where the line leaves %.3g",
			g.Metric, g.Dimension, g.Fit.Quadratic, g.Fit.ChordDeviation, g.Fit.Residual)
	}
}

// extrapolate sets Target and Twice if there is a target.
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

// predict returns the expected value of the metric at a size.
func (g *Growth) predict(size float64) float64 {
	if g.Flat {
		return roundDigits(stat.Mean(g.Values, nil))
	}
	return roundDigits(g.Fit.predict(size))
}

// meansBySize returns the mean value at each size.
func (g *Growth) meansBySize() map[float64]float64 {
	means := map[float64]float64{}
	runs := map[float64]float64{}
	for i, size := range g.Sizes {
		means[size] += g.Values[i]
		runs[size]++
	}
	for size := range means {
		means[size] = roundDigits(means[size] / runs[size])
	}
	return means
}
