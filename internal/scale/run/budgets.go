package run

import (
	"math"

	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/scenario"
)

const (
	bytesPerKB = 1000    // as in the operators' limits
	bytesPerMB = 1 << 20 // of memory
)

// budgetLine is one budget: its name, its limit (0: no budget) and how it is measured from a run. measure returns false
// if the run lacks the measurement.
type budgetLine struct {
	name, unit string
	limit      func(scenario.Budgets) float64
	applies    func(result.Sizes) bool // nil: every run can measure it
	measure    func(*result.Run) (v float64, ok bool)
}

// budgetLines lists all budgets in the order in which they are printed. An agent's cost is that of the more expensive
// type, simulated or real, so that an error of the model, which the ratios show, cannot make a run pass a budget.
var budgetLines = []budgetLine{
	{"added_p99", "ms", func(b scenario.Budgets) float64 { return b.AddedP99MS }, hasRealAgents,
		func(r *result.Run) (float64, bool) {
			// Failed calls have no latency: if more than 1% fail, the p99 of the others is not the p99 of all calls.
			return r.Added.P99MS, r.Added.Through.N > 0 && r.Added.Failed*100 <= r.Added.CallsEach
		}},
	{"agent_cpu", "% of a core", func(b scenario.Budgets) float64 { return b.AgentCPU }, nil,
		func(r *result.Run) (float64, bool) {
			return maxOverAgentTypes(r, func(a result.AgentControl) float64 { return a.CPUPercent })
		}},
	{"agent_memory", "MB", func(b scenario.Budgets) float64 { return b.AgentMemMB }, nil,
		func(r *result.Run) (float64, bool) {
			return maxOverAgentTypes(r, func(a result.AgentControl) float64 { return max(a.HeapBytes, a.RSSBytes.Max) / bytesPerMB })
		}},
	{"agent_bytes", "KB/s", func(b scenario.Budgets) float64 { return b.AgentKBps }, nil,
		func(r *result.Run) (float64, bool) {
			return maxOverAgentTypes(r, func(a result.AgentControl) float64 { return a.Worst6s.Max / bytesPerKB })
		}},
	{"in_force_list", "s", func(b scenario.Budgets) float64 { return b.InForceS }, hasListChanges,
		func(r *result.Run) (float64, bool) {
			return inForceSeconds(r, func(a result.AgentControl) result.Distribution { return a.ListInForce })
		}},
	{"in_force_config", "s", func(b scenario.Budgets) float64 { return b.InForceS }, hasConfigs,
		func(r *result.Run) (float64, bool) {
			return inForceSeconds(r, func(a result.AgentControl) result.Distribution { return a.ConfigInForce })
		}},
	{"control_machines", "machines", func(b scenario.Budgets) float64 { return b.ControlBusy }, nil,
		func(r *result.Run) (float64, bool) {
			sum := 0.0
			for _, m := range r.Control {
				sum += max(m.Worst6s, m.CPUPercent/100)
			}
			return sum, len(r.Control) > 0
		}},
	{"attempts_per_call", "times", func(b scenario.Budgets) float64 { return b.Attempts }, hasFailures,
		func(r *result.Run) (float64, bool) {
			if len(r.Depths) == 0 {
				return 0, false
			}
			v := r.Depths[len(r.Depths)-1].Amplification
			return v, v > 0
		}},
}

func hasRealAgents(s result.Sizes) bool  { return s.Real > 0 }
func hasListChanges(s result.Sizes) bool { return s.ListChanges > 0 }
func hasConfigs(s result.Sizes) bool     { return s.Configs > 0 }
func hasFailures(s result.Sizes) bool    { return s.Failures > 0 && s.Agents > s.Real }

// maxOverAgentTypes returns the larger value of the two agent types. It returns false if neither is above 0, because a
// cost of 0 means that it was not measured.
func maxOverAgentTypes(r *result.Run, metric func(result.AgentControl) float64) (float64, bool) {
	v := max(metric(r.Simulated), metric(r.Real))
	return v, v > 0 && !math.IsInf(v, 0)
}

// inForceSeconds returns the longest time until a change was in force at an agent, in seconds. It returns false if a
// change was undelivered when the run ended, or if agents of one type received none.
func inForceSeconds(r *result.Run, metric func(result.AgentControl) result.Distribution) (float64, bool) {
	ok := metric(r.Simulated).N+metric(r.Real).N > 0
	for _, a := range []result.AgentControl{r.Simulated, r.Real} {
		if a.Agents > 0 && (metric(a).N == 0 || a.Undelivered > 0) {
			ok = false
		}
	}
	return max(metric(r.Simulated).Max, metric(r.Real).Max) / 1000, ok
}

// checkBudgets checks a run against the operators' limits. A budget that the run should have measured but did not is
// not OK. A budget that the scenario cannot measure, such as one without real agents or list changes, is omitted.
func checkBudgets(limits scenario.Budgets, r *result.Run) []result.Budget {
	var all []result.Budget
	for _, line := range budgetLines {
		limit := line.limit(limits)
		if limit <= 0 || line.applies != nil && !line.applies(r.Sizes) {
			continue
		}
		v, ok := line.measure(r)
		all = append(all, result.Budget{Name: line.name, Measured: v, Limit: limit, Unit: line.unit, OK: ok && v <= limit})
	}
	return all
}
