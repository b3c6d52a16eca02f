package run

import (
	"math"

	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/scenario"
)

// bytesPerKB is how many bytes a kilobyte of the operators' limits has, mega how many a megabyte of memory.
const (
	bytesPerKB = 1000
	bytesPerMB = 1 << 20
)

// budgetLine is one budget: what it is called, its limit (0 leaves it out) and how it is read from a run. The measured figure
// counts only where there was something to measure it by.
type budgetLine struct {
	name, unit string
	limit      func(scenario.Budgets) float64
	applies    func(result.Sizes) bool // nil: each run can measure it
	measure    func(*result.Run) (v float64, ok bool)
}

// budgetLines are all budgets, in the order in which they are printed. What an agent costs is the worse of the two sorts: a
// hollow agent that is dearer than a real one is a fault of the model, which the ratios show, and no reason to pass.
var budgetLines = []budgetLine{
	{"added_p99", "ms", func(b scenario.Budgets) float64 { return b.AddedP99MS }, anyReal,
		func(r *result.Run) (float64, bool) {
			// Failed calls have no time. More than one in a hundred and what is the 99th of the others is not the 99th.
			return r.Added.P99MS, r.Added.Through.N > 0 && r.Added.Failed*100 <= r.Added.CallsEach
		}},
	{"agent_cpu", "% of a core", func(b scenario.Budgets) float64 { return b.AgentCPU }, nil,
		func(r *result.Run) (float64, bool) {
			return worse(r, func(a result.AgentControl) float64 { return a.CPUPercent })
		}},
	{"agent_memory", "MB", func(b scenario.Budgets) float64 { return b.AgentMemMB }, nil,
		func(r *result.Run) (float64, bool) {
			return worse(r, func(a result.AgentControl) float64 { return max(a.HeapBytes, a.RSSBytes.Max) / bytesPerMB })
		}},
	{"agent_bytes", "KB/s", func(b scenario.Budgets) float64 { return b.AgentKBps }, nil,
		func(r *result.Run) (float64, bool) {
			return worse(r, func(a result.AgentControl) float64 { return a.Worst6s.Max / bytesPerKB })
		}},
	{"in_force_list", "s", func(b scenario.Budgets) float64 { return b.InForceS }, anyListChange,
		func(r *result.Run) (float64, bool) {
			return inForce(r, func(a result.AgentControl) result.Distribution { return a.ListInForce })
		}},
	{"in_force_config", "s", func(b scenario.Budgets) float64 { return b.InForceS }, anyConfig,
		func(r *result.Run) (float64, bool) {
			return inForce(r, func(a result.AgentControl) result.Distribution { return a.ConfInForce })
		}},
	{"control_machines", "machines", func(b scenario.Budgets) float64 { return b.ControlBusy }, nil,
		func(r *result.Run) (float64, bool) {
			sum := 0.0
			for _, m := range r.Control {
				sum += max(m.Worst6s, m.CPUPercent/100)
			}
			return sum, len(r.Control) > 0
		}},
	{"attempts_per_call", "times", func(b scenario.Budgets) float64 { return b.Attempts }, anyFailure,
		func(r *result.Run) (float64, bool) {
			if len(r.Depths) == 0 {
				return 0, false
			}
			v := r.Depths[len(r.Depths)-1].Amplification
			return v, v > 0
		}},
}

func anyReal(s result.Sizes) bool       { return s.Real > 0 }
func anyListChange(s result.Sizes) bool { return s.ListChanges > 0 }
func anyConfig(s result.Sizes) bool     { return s.Configs > 0 }
func anyFailure(s result.Sizes) bool    { return s.Failures > 0 && s.Agents > s.Real }

// worse is the larger figure of the two sorts of agents, false where neither has one above 0: control that cost nothing
// was not measured.
func worse(r *result.Run, of func(result.AgentControl) float64) (float64, bool) {
	v := max(of(r.Simulated), of(r.Real))
	return v, v > 0 && !math.IsInf(v, 0)
}

// recordInForce is the time until the last agent had a change, in seconds. It does not stand where a change that was due had
// not come to an agent when the run ended, or a sort of agents has not had any.
func inForce(r *result.Run, of func(result.AgentControl) result.Distribution) (float64, bool) {
	ok := of(r.Simulated).N+of(r.Real).N > 0
	for _, a := range []result.AgentControl{r.Simulated, r.Real} {
		if a.Agents > 0 && (of(a).N == 0 || a.Unheard > 0) {
			ok = false
		}
	}
	return max(of(r.Simulated).Max, of(r.Real).Max) / 1000, ok
}

// checkBudgets holds a run against the operators' limits. A line that has not been measured in a run that should have
// measured it is not ok: its figure is then what there is of it. One that what was played leaves no way to
// measure (no real agents, no change of the list) is left out.
func checkBudgets(limits scenario.Budgets, r *result.Run) []result.Budget {
	var all []result.Budget
	for _, l := range budgetLines {
		limit := l.limit(limits)
		if limit <= 0 || l.applies != nil && !l.applies(r.Sizes) {
			continue
		}
		v, ok := l.measure(r)
		all = append(all, result.Budget{Name: l.name, Measured: v, Limit: limit, Unit: l.unit, OK: ok && v <= limit})
	}
	return all
}
