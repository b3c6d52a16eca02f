// Package sweep plays a scenario at several sizes, one size after another, and fits how each figure of a run grows with
// each: what the target needs and what twice the target needs follow from the fits.
package sweep

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"

	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/scenario"
)

// Dimension is a size that is varied alone.
type Dimension struct {
	Name              string
	get               func(*scenario.Scenario) float64
	set               func(*scenario.Scenario, float64)
	sizes             func(*scenario.Scenario) []float64 // where none are given
	doublesWithTarget bool                               // grows with twice the target
}

// Dimensions are all that can be swept, in the order in which they are. Twice the target is twice as many servers, agents,
// changes and services, as deep as the target.
var Dimensions = []Dimension{
	{"servers", func(s *scenario.Scenario) float64 { return float64(s.Fleet.Servers) },
		func(s *scenario.Scenario, v float64) { s.Fleet.Servers = int(v) }, doubledSizes, true},
	{"agents", agentCount, func(s *scenario.Scenario, v float64) { s.Fleet.Agents = int(v) }, doubledSizes, true},
	{"changes", (*scenario.Scenario).ChangesPerMinute,
		func(s *scenario.Scenario, v float64) { s.Control.PerMinute, s.Control.ChangesDay = v, v*24*60 }, doubledChangeRates, true},
	{"services", func(s *scenario.Scenario) float64 { return float64(s.Fleet.Services) },
		func(s *scenario.Scenario, v float64) { s.Fleet.Services = int(v) },
		func(s *scenario.Scenario) []float64 {
			return spacedSizes(s.Fleet.Depth+1, s.Fleet.Services, s.Fleet.Servers)
		}, true},
	{"depth", func(s *scenario.Scenario) float64 { return float64(s.Fleet.Depth) },
		func(s *scenario.Scenario, v float64) { s.Fleet.Depth = int(v) },
		func(s *scenario.Scenario) []float64 {
			return spacedSizes(1, s.Fleet.Depth, min(maxDepth, s.Fleet.Services-1))
		}, false},
}

// maxDepth is how deep a scenario's calls go at most.
const maxDepth = 14

func agentCount(s *scenario.Scenario) float64 { return float64(s.Agents()) }

// doubledSizes are a half, one, two and four times the base's count; servers and agents have that in common. Servers carry the
// base's services at each size.
func doubledSizes(s *scenario.Scenario) []float64 {
	n := s.Agents()
	return sortedUnique([]float64{float64(max(n/2, s.Fleet.Services)), float64(n), float64(2 * n), float64(4 * n)})
}

// doubledChangeRates are none, the base's changes a minute and two and four times as many, in steps that a run's length can
// tell apart.
func doubledChangeRates(s *scenario.Scenario) []float64 {
	n := max(s.ChangesPerMinute(), 60/s.Seconds)
	return sortedUnique([]float64{0, s.ChangesPerMinute(), n, 2 * n, 4 * n})
}

// spacedSizes are five sizes: the least one, the base, and the three quarters, whole numbers, on the way to the largest one.
func spacedSizes(least, base, most int) []float64 {
	all := []float64{float64(base)}
	for quarter := range 4 {
		all = append(all, float64(least+(most-least)*quarter/3))
	}
	return sortedUnique(all)
}

// Options say what is swept and how a scenario is played.
type Options struct {
	Only     []string             // names of dimensions; none: all
	Sizes    map[string][]float64 // by dimension, four at least; none: the dimension's own
	Target   *scenario.Scenario   // what the fits are held against
	Limit    time.Duration        // of all plays together; 0: none. What is left out then is said
	Play     func(context.Context, *scenario.Scenario) (*result.Run, error)
	Check    func(*scenario.Scenario) error // of a size, before anything is played
	Progress func(string)
}

// baseRuns is how often the base itself is played: how its figures differ then is the noise that a growth or a kink has to
// stand out from, by noiseFactor.
const (
	baseRuns    = 3
	noiseFactor = 3
)

// minSizes is how many sizes a fit wants: three settle a parabola, a fourth shows what it leaves.
const minSizes = 4

// Growth is one figure along one dimension.
type Growth struct {
	Dimension string    `json:"dimension"`
	Metric    string    `json:"figure"`
	Unit      string    `json:"unit"`
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"`
	Fit       Fit       `json:"fit"`
	Noise     float64   `json:"noise"`  // standard deviation of the plays of the base itself
	Flat      bool      `json:"level"`  // the growth does not stand out from the noise; the target is then the mean
	Target    float64   `json:"target"` // by the line, the other sizes being the base's
	Twice     float64   `json:"twice"`
	Kink      string    `json:"kink,omitempty"`
	source    string
}

// Sweep is what all plays gave.
type Sweep struct {
	Base    string
	Growth  []Growth
	Kinks   []string // queues that do not drain, refusals, changes that did not come, by size
	Skipped []string // what was not played, and why
	Joint   map[string]Metric
	Runs    []Played
}

// Played is one play; its dimension is empty for the base itself.
type Played struct {
	Dimension string      `json:"dimension"`
	Size      float64     `json:"size"`
	Run       *result.Run `json:"run"`
}

// Run plays all sizes. An error is a size that cannot be played or an unknown dimension; one that failed as it was played
// is left out and said.
func Run(ctx context.Context, base *scenario.Scenario, o Options) (*Sweep, error) {
	dims, err := selectDimensions(o.Only)
	if err != nil {
		return nil, err
	}
	plan, err := planRuns(base, dims, o)
	if err != nil {
		return nil, err
	}
	w := &Sweep{Base: base.Name}
	if o.Limit > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, o.Limit)
		defer stop()
	}
	for _, p := range plan {
		w.playOne(ctx, p, o)
	}
	w.fitAll(dims, base, o.Target)
	return w, nil
}

// plannedRun is one size that is to be played.
type plannedRun struct {
	dimension Dimension
	size      float64
	scenario  *scenario.Scenario
}

func selectDimensions(only []string) ([]Dimension, error) {
	for _, name := range only {
		if !slices.ContainsFunc(Dimensions, func(d Dimension) bool { return d.Name == name }) {
			return nil, fmt.Errorf("only: %q is not one of servers, agents, changes, services, depth", name)
		}
	}
	var dims []Dimension
	for _, d := range Dimensions {
		if len(only) == 0 || slices.Contains(only, d.Name) {
			dims = append(dims, d)
		}
	}
	return dims, nil
}

// planRuns lays out every play and checks it, so that a size that cannot be is told before the first one.
func planRuns(base *scenario.Scenario, dims []Dimension, o Options) ([]plannedRun, error) {
	for name := range o.Sizes {
		if !slices.ContainsFunc(Dimensions, func(d Dimension) bool { return d.Name == name }) {
			return nil, fmt.Errorf("sizes: %q is not one of servers, agents, changes, services, depth", name)
		}
	}
	var all []plannedRun
	for range baseRuns {
		all = append(all, plannedRun{scenario: withSize(base, Dimension{}, 0)})
	}
	for _, d := range dims {
		sizes := o.Sizes[d.Name]
		if sizes == nil {
			sizes = d.sizes(base)
		}
		if n := len(sortedUnique(sizes)); n < minSizes {
			return nil, fmt.Errorf("sizes: %s has %d different sizes, at least %d are wanted", d.Name, n, minSizes)
		}
		if err := checkDistinguishable(base, d, sizes); err != nil {
			return nil, err
		}
		for _, size := range sizes {
			if size == d.get(base) {
				continue // that is the base
			}
			s := withSize(base, d, size)
			if o.Check != nil {
				if err := o.Check(s); err != nil {
					return nil, fmt.Errorf("sizes: %s=%g: %w", d.Name, size, err)
				}
			}
			all = append(all, plannedRun{d, size, s})
		}
	}
	return all, nil
}

// checkDistinguishable refuses changes a minute of which a run's length makes the same number of changes.
func checkDistinguishable(base *scenario.Scenario, d Dimension, sizes []float64) error {
	if d.Name != "changes" {
		return nil
	}
	by := map[float64]float64{}
	for _, size := range sortedUnique(sizes) {
		n := math.Round(size * base.Seconds / 60)
		if other, is := by[n]; is {
			return fmt.Errorf("sizes: changes: %g and %g a minute are both %g changes in %g s", other, size, n, base.Seconds)
		}
		by[n] = size
	}
	return nil
}

func sortedUnique(sizes []float64) []float64 {
	s := slices.Clone(sizes)
	slices.Sort(s)
	return slices.Compact(s)
}

// withSize is the base with one size changed. Agents beside servers keep the base's count when the servers vary, so that one
// size moves alone; the events of the base are played at each size.
func withSize(base *scenario.Scenario, d Dimension, size float64) *scenario.Scenario {
	s := *base
	s.Events = slices.Clone(base.Events)
	s.Classes = slices.Clone(base.Classes)
	s.Fleet.Agents = int(agentCount(base))
	s.Control.PerMinute = base.ChangesPerMinute()
	if d.set == nil { // the base itself
		return &s
	}
	d.set(&s, size)
	s.Fleet.Real = min(s.Fleet.Real, int(agentCount(&s)))
	s.Name = fmt.Sprintf("%s-%s-%g", base.Name, d.Name, size)
	return &s
}

func (w *Sweep) playOne(ctx context.Context, p plannedRun, o Options) {
	name := p.scenario.Name
	if p.dimension.Name != "" {
		name = fmt.Sprintf("%s=%g", p.dimension.Name, p.size)
	}
	if ctx.Err() != nil {
		w.Skipped = append(w.Skipped, name+": no time was left")
		return
	}
	if o.Progress != nil {
		o.Progress("plays " + name)
	}
	r, err := o.Play(ctx, p.scenario)
	if err != nil {
		w.Skipped = append(w.Skipped, fmt.Sprintf("%s: %v", name, err))
		return
	}
	w.Runs = append(w.Runs, Played{p.dimension.Name, p.size, r})
	w.Kinks = append(w.Kinks, overloadSigns(name, r)...)
}

// saturatedBusy is the share of a machine's time at which its queue cannot be expected to drain.
const saturatedBusy = 0.95

// overloadSigns names what of a run says that a size is past what the control side carries.
func overloadSigns(name string, r *result.Run) []string {
	var all []string
	for _, m := range r.Control {
		if m.Busy >= saturatedBusy {
			all = append(all, fmt.Sprintf("%s: the queue of %s %s does not drain: busy %.2f of the run", name, m.Role, m.Name, m.Busy))
		}
		if m.Refused > 0 {
			all = append(all, fmt.Sprintf("%s: %s %s refused %d calls", name, m.Role, m.Name, m.Refused))
		}
	}
	if n := r.Simulated.Unheard + r.Real.Unheard; n > 0 {
		all = append(all, fmt.Sprintf("%s: %d changes had not come to an agent when the run ended", name, n))
	}
	return all
}

// fitAll fits every figure along every dimension that has sizes enough.
func (w *Sweep) fitAll(dims []Dimension, base, target *scenario.Scenario) {
	noise := w.baseNoise()
	for _, d := range dims {
		sizes, figures, units := w.series(d, base)
		if len(sortedUnique(sizes)) < minSizes {
			w.Skipped = append(w.Skipped, fmt.Sprintf("%s: %d sizes were played, no fit", d.Name, len(sortedUnique(sizes))))
			continue
		}
		run := fmt.Sprintf("sweep of %s: %s at %s, %.0f s each, seed %d", base.Name, d.Name, formatSizes(sortedUnique(sizes)), base.Seconds, base.Seed)
		for _, key := range sortedKeys(figures) {
			if len(figures[key]) != len(sizes) {
				continue // not every play measured it
			}
			w.Growth = append(w.Growth, newGrowth(d, key, units[key], run, sizes, figures[key], noise[key], target))
		}
	}
	w.joinDimensions(base, target)
}

// series are the sizes along a dimension that were played, the base's plays among them, and the figures of each, in one order.
func (w *Sweep) series(d Dimension, base *scenario.Scenario) (sizes []float64, figures map[string][]float64, units map[string]string) {
	figures, units = map[string][]float64{}, map[string]string{}
	plays := slices.Clone(w.Runs)
	for i := range plays {
		if plays[i].Dimension == "" {
			plays[i].Dimension, plays[i].Size = d.Name, d.get(base)
		}
	}
	slices.SortStableFunc(plays, func(a, b Played) int { return cmp.Compare(a.Size, b.Size) })
	for _, p := range plays {
		if p.Dimension != d.Name {
			continue
		}
		sizes = append(sizes, p.Size)
		for key, v := range extractMetrics(p.Run) {
			figures[key] = append(figures[key], v.value)
			units[key] = v.unit
		}
	}
	return sizes, figures, units
}

func newGrowth(d Dimension, key, unit, run string, sizes, values []float64, noise float64, target *scenario.Scenario) Growth {
	g := Growth{Dimension: d.Name, Metric: key, Unit: unit, Sizes: sizes, Values: values, Noise: noise, Fit: fitGrowth(sizes, values), source: run}
	g.Flat = math.Abs(g.Fit.Slope)*rangeOf(sizes) < noiseFactor*max(noise, g.Fit.Residual)
	if target != nil {
		x, twice := d.get(target), d.get(target)
		if d.doublesWithTarget {
			twice *= 2
		}
		g.Target, g.Twice = g.predict(x), g.predict(twice)
	}
	if g.Fit.isKinked(values, noise) {
		g.Kink = fmt.Sprintf("%s bends with %s: its quadratic term is %.3g, %.3g off the chord where the line leaves %.3g", key, d.Name, g.Fit.Quadratic, g.Fit.ChordDeviation, g.Fit.Residual)
	}
	return g
}

// predict is what a figure is taken to be at a size: what the line says, or the mean where there is no growth to tell.
func (g *Growth) predict(x float64) float64 {
	if g.Flat {
		return stat.Mean(g.Values, nil)
	}
	return g.Fit.predict(x)
}

// baseNoise is, by figure, the standard deviation over the plays of the base.
func (w *Sweep) baseNoise() map[string]float64 {
	values := map[string][]float64{}
	for _, p := range w.Runs {
		if p.Dimension != "" {
			continue
		}
		for key, v := range extractMetrics(p.Run) {
			values[key] = append(values[key], v.value)
		}
	}
	noise := map[string]float64{}
	for key, v := range values {
		if len(v) > 1 {
			noise[key] = stat.StdDev(v, nil)
		}
	}
	return noise
}

// joinDimensions takes all dimensions together: the base's value times, for each dimension, what its line says at the target over
// what it says at the base. This takes the dimensions to multiply, as agents and changes do in bytes; a figure to which
// they add comes out too large. A figure whose line is not above 0 at the base is left out.
func (w *Sweep) joinDimensions(base, target *scenario.Scenario) {
	w.Joint = map[string]Metric{}
	if target == nil {
		return
	}
	type joint struct {
		now, target, twice float64
		unit               string
		dims               []string
		bad                bool
	}
	all := map[string]*joint{}
	for _, g := range w.Growth {
		j := all[g.Metric]
		if j == nil {
			j = &joint{target: 1, twice: 1, unit: g.Unit}
			all[g.Metric] = j
		}
		here := g.predict(dimensionNamed(g.Dimension).get(base))
		if here <= 0 {
			j.bad = true
			continue
		}
		j.now += here
		j.target *= max(g.Target, 0) / here
		j.twice *= max(g.Twice, 0) / here
		j.dims = append(j.dims, g.Dimension)
	}
	for key, j := range all {
		if j.bad {
			continue
		}
		now := j.now / float64(len(j.dims))
		run := fmt.Sprintf("sweeps of %s together: %s, taken to multiply", base.Name, strings.Join(j.dims, ", "))
		w.Joint["joint."+key+".base"] = Metric{now, j.unit, run}
		w.Joint["joint."+key+".target"] = Metric{now * j.target, j.unit, run}
		w.Joint["joint."+key+".twice"] = Metric{now * j.twice, j.unit, run}
	}
}

func dimensionNamed(name string) Dimension {
	return Dimensions[slices.IndexFunc(Dimensions, func(d Dimension) bool { return d.Name == name })]
}

// formatSizes writes sizes for people.
func formatSizes(sizes []float64) string {
	var all []string
	for _, s := range sizes {
		all = append(all, fmt.Sprintf("%g", s))
	}
	return strings.Join(all, ", ")
}

// meansBySize are the figure's values by size, the mean where one was played more than once.
func (g *Growth) meansBySize() map[float64]float64 {
	sums, counts := map[float64]float64{}, map[float64]float64{}
	for i, size := range g.Sizes {
		sums[size] += g.Values[i]
		counts[size]++
	}
	for size := range sums {
		sums[size] /= counts[size]
	}
	return sums
}

// Metrics are the sweep's numbers by their stable keys: DIMENSION.FIGURE.{slope,intercept,residual,quadratic,exponent,
// target,twice,at_SIZE} and joint.FIGURE.{base,target,twice}.
func (w *Sweep) Metrics() map[string]Metric {
	all := map[string]Metric{}
	for _, g := range w.Growth {
		key := g.Dimension + "." + g.Metric + "."
		put := func(name string, v float64, unit string) { all[key+name] = Metric{v, unit, g.source} }
		put("slope", g.Fit.Slope, g.Unit+" each")
		put("intercept", g.Fit.Intercept, g.Unit)
		put("residual", g.Fit.Residual, g.Unit)
		put("quadratic", g.Fit.Quadratic, g.Unit+" each, squared")
		put("exponent", g.Fit.Exponent, "")
		put("target", g.Target, g.Unit)
		put("twice", g.Twice, g.Unit)
		for size, v := range g.meansBySize() {
			put(fmt.Sprintf("at_%g", size), v, g.Unit)
		}
	}
	for key, f := range w.Joint {
		all[key] = f
	}
	return all
}
