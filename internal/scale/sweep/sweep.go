// Package sweep runs a scenario at several sizes, one run after another, and fits how each metric grows with each size.
// From the fits it extrapolates the metrics to the target and to twice the target. It executes runs only through
// Options.RunScenario. A Sweep is not safe for concurrent use.
package sweep

import (
	"context"
	"fmt"
	"time"

	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/scenario"
)

// Options configures Run.
type Options struct {
	Only        []string             // names of the dimensions to sweep; empty: all
	Sizes       map[string][]float64 // at least minSizes per dimension; missing: its default sizes
	Target      *scenario.Scenario   // the scenario at which the fits are evaluated; nil: none
	Limit       time.Duration        // time limit of all runs; 0: none. Later sizes are listed in Sweep.Skipped
	RunScenario func(context.Context, *scenario.Scenario) (*result.Run, error)
	Check       func(*scenario.Scenario) error // checks the scenario of each size before the first run; nil: no check
	Progress    func(string)                   // is called with progress messages for the user; nil: none
}

// Sweep holds the runs of a sweep and the fits computed from them.
type Sweep struct {
	Base    string // name of the base scenario
	Growth  []Growth
	Kinks   []string // sizes at which the control plane is overloaded, with the reason
	Skipped []string // sizes without a result and dimensions without a fit, with the reason
	Joint   map[string]Metric
	Runs    []SizeRun
}

// SizeRun is one run. Dimension is empty for runs of the base.
type SizeRun struct {
	Dimension string      `json:"dimension"`
	Size      float64     `json:"size"`
	Run       *result.Run `json:"run"`
}

// Run runs the base and all sizes and fits the metrics. It returns an error, before the first run, for an unknown
// dimension or a size that Options.Check rejects. Failed runs are listed in Sweep.Skipped.
func Run(ctx context.Context, base *scenario.Scenario, o Options) (*Sweep, error) {
	dimensions, err := selectDimensions(o.Only)
	if err != nil {
		return nil, err
	}
	plan, err := planRuns(base, dimensions, o)
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
		w.runOne(ctx, p, o)
	}
	w.fitAll(dimensions, base, o.Target)
	w.joinDimensions(base, o.Target)
	return w, nil
}

// runOne runs one size and adds its result to Runs, or the reason why there is none to Skipped.
func (w *Sweep) runOne(ctx context.Context, p plannedRun, o Options) {
	name := p.scenario.Name
	if p.dimension.Name != "" {
		name = fmt.Sprintf("%s=%g", p.dimension.Name, p.size)
	}
	if ctx.Err() != nil {
		w.Skipped = append(w.Skipped, name+": the sweep ended before this run")
		return
	}
	if o.Progress != nil {
		o.Progress("runs " + name)
	}
	r, err := o.RunScenario(ctx, p.scenario)
	if err != nil {
		w.Skipped = append(w.Skipped, fmt.Sprintf("%s: %v", name, err))
		return
	}
	w.Runs = append(w.Runs, SizeRun{p.dimension.Name, p.size, r})
	w.Kinks = append(w.Kinks, overloadSigns(name, r)...)
}

// saturatedBusy is the busy share of a machine from which on its queue is not expected to drain.
const saturatedBusy = 0.95

// overloadSigns returns the signs in a run's result that the size overloads the control plane.
func overloadSigns(name string, r *result.Run) []string {
	var all []string
	for _, m := range r.Control {
		if m.Busy >= saturatedBusy {
			all = append(all, fmt.Sprintf("%s: the queue of %s %s does not drain: busy %.2f of the run", name, m.Role, m.Name, m.Busy))
		}
		if m.Rejected > 0 {
			all = append(all, fmt.Sprintf("%s: %s %s refused %d calls", name, m.Role, m.Name, m.Rejected))
		}
	}
	if n := r.Simulated.Undelivered + r.Real.Undelivered; n > 0 {
		all = append(all, fmt.Sprintf("%s: %d changes had not come to an agent when the run ended", name, n))
	}
	return all
}
