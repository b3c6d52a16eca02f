package run

import (
	"example.org/ryeloft/internal/scale/result"
)

// ratioRule is one figure by which the hollow agents are held against the real ones of the same run.
type ratioRule struct {
	name    string
	factor  float64                 // hollow over real may lie between 1/factor and factor
	floor   float64                 // figures below it count as it: below, the clock and the scheduler speak, not the agent
	applies func(result.Sizes) bool // nil: each run has it
	of      func(result.AgentControl) float64
	why     string
}

// ratioRules is the one table of them.
var ratioRules = []ratioRule{
	{"bytes", 1.5, 0, nil, func(a result.AgentControl) float64 { return a.BytesIn.Mean + a.BytesOut.Mean },
		"one client sends and reads both; only the reports' figures have other lengths, and real agents serve no modelled calls"},
	{"list_in_force", 4, 50, anyListChange, func(a result.AgentControl) float64 { return a.ListHeard.Mean },
		"both as control hears of it, in the mean; a change waits for an agent's turn, and few real ones stand at other turns; ms, below 50, the protocol's slack, as 50"},
	{"config_in_force", 4, 100, anyConfig, func(a result.AgentControl) float64 { return a.ConfInForce.P50 },
		"real ones read a file after a signal and answer in their log, hollow ones parse the same bytes in turn; ms, below 100 as 100"},
	{"cpu", 4, 0.2, nil, func(a result.AgentControl) float64 { return a.CPUPercent },
		"a real one's wake-ups, system calls and collector are its own, hollow ones share theirs and the fixed cost of their process; % of a core, below 0.2 as 0.2"},
}

// compareRatios holds each figure of the hollow agents against the real ones'. There is nothing to hold where a run has only one
// sort, or nothing that a figure could be measured by; a figure that one sort lacks altogether is off.
func compareRatios(r *result.Run) []result.Ratio {
	if r.Simulated.Agents == 0 || r.Real.Agents == 0 {
		return nil
	}
	var all []result.Ratio
	for _, h := range ratioRules {
		if h.applies != nil && !h.applies(r.Sizes) {
			continue
		}
		x := result.Ratio{Name: h.name, Simulated: h.of(r.Simulated), Real: h.of(r.Real), Factor: h.factor}
		if x.Simulated > 0 && x.Real > 0 {
			x.Ratio = max(x.Simulated, h.floor) / max(x.Real, h.floor)
			x.OK = x.Ratio <= h.factor && x.Ratio >= 1/h.factor
		}
		all = append(all, x)
	}
	return all
}
