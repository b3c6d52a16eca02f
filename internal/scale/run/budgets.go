package run

import (
	"math"

	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/scenario"
)

const (
	bytesPerKB = 1000    // in the operators' limits
	bytesPerMB = 1 << 20 // of memory
)

// budgetLine is one budget: its name, its limit (0 leaves it out) and how it is read from a run. measure returns false
// where the run has nothing to measure it by.
type budgetLine struct {
	name, unit string
	limit      func(scenario.Budgets) float64
	applies    func(result.Sizes) bool // nil: each run can measure it
	measure    func(*result.Run) (v float64, ok bool)
}

// budgetLines are all budgets, in the order in which they are printed. An agent's cost is that of the more expensive sort,
// simulated or real, so that a fault of the model, which the ratios show, passes no budget.
var budgetLines = []budgetLine{
	{"added_p99", "ms", func(b scenario.Budgets) float64 { return b.AddedP99MS }, hasRealAgents,
		func(r *result.Run) (float64, bool) {
			// Failed calls have no time: with more than one in a hundred, the 99th of the others is not the 99th.
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

// maxOverAgentTypes is the larger value of the two sorts of agents, false where neither is above 0: a cost of nothing was not measured.
func maxOverAgentTypes(r *result.Run, metric func(result.AgentControl) float64) (float64, bool) {
	v := max(metric(r.Simulated), metric(r.Real))
	return v, v > 0 && !math.IsInf(v, 0)
}

// inForceSeconds is the time until the last agent had a change, in seconds. It returns false where a change that was due had not
// come to an agent when the run ended, or a sort of agents has had none.
func inForceSeconds(r *result.Run, metric func(result.AgentControl) result.Distribution) (float64, bool) {
	ok := metric(r.Simulated).N+metric(r.Real).N > 0
	for _, a := range []result.AgentControl{r.Simulated, r.Real} {
		if a.Agents > 0 && (metric(a).N == 0 || a.Undelivered > 0) {
			ok = false
		}
	}
	return max(metric(r.Simulated).Max, metric(r.Real).Max) / 1000, ok
}

// checkBudgets checks a run against the operators' limits. A budget that the run should have measured and did not is not
// ok. One that nothing played could measure (no real agents, no change of the list) is left out.
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
