// Package sweep plays a scenario at several sizes, one run after another, and fits how each metric of a run grows with
// each size: what the target needs and what twice the target needs follow from the fits. It plays nothing by itself, but
// by Options.Play; a Sweep belongs to one goroutine.
package sweep

import (
	"context"
	"fmt"
	"time"

	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/scenario"
)

// Options say what is swept and how a scenario is played.
type Options struct {
	Only     []string             // names of dimensions; none: all
	Sizes    map[string][]float64 // by dimension, four at least; none: the dimension's own
	Target   *scenario.Scenario   // what the fits are evaluated at
	Limit    time.Duration        // of all runs together; 0: none. Sizes that are left then are Skipped
	Play     func(context.Context, *scenario.Scenario) (*result.Run, error)
	Check    func(*scenario.Scenario) error // of a size, before anything is played
	Progress func(string)
}

// Sweep is what all runs gave.
type Sweep struct {
	Base    string
	Growth  []Growth
	Kinks   []string // sizes past what the control side carries, and why
	Skipped []string // what was not played, and why
	Joint   map[string]Metric
	Runs    []Played
}

// Played is one run; its dimension is empty for the base itself.
type Played struct {
	Dimension string      `json:"dimension"`
	Size      float64     `json:"size"`
	Run       *result.Run `json:"run"`
}

// Run plays all sizes. It returns an error for a size that cannot be played or an unknown dimension; a run that fails is
// Skipped.
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
		w.playOne(ctx, p, o)
	}
	w.fitAll(dimensions, base, o.Target)
	w.joinDimensions(base, o.Target)
	return w, nil
}

// playOne plays one size and keeps its result, or why there is none.
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

// saturatedBusy is the busy share of a machine at which its queue cannot be expected to drain.
const saturatedBusy = 0.95

// overloadSigns names what of a run says that a size is past what the control side carries.
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
