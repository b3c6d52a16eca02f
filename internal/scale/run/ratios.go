package run

import (
	"slices"

	"example.org/ryeloft/internal/scale/result"
)

// ratioRule compares a measurement of the simulated agents with that of the real agents of the same run.
type ratioRule struct {
	name    string
	factor  float64                 // simulated/real must lie between 1/factor and factor
	floor   float64                 // smaller values count as this, because clock and scheduler dominate them
	applies func(result.Sizes) bool // nil: applies to every run
	measure func(result.AgentControl) float64
	reason  string // why the factor was chosen, as printed
}

var ratioRules = []ratioRule{
	{"bytes", 1.5, 0, nil, func(a result.AgentControl) float64 { return a.BytesIn.Mean + a.BytesOut.Mean },
		"one client sends and reads both; only the reports' figures have other lengths, and real agents serve no modelled calls"},
	{"list_in_force", 4, 50, hasListChanges, func(a result.AgentControl) float64 { return a.ListAcknowledged.Mean },
		"both as control hears of it, in the mean; a change waits for an agent's turn, and few real ones stand at other turns; ms, below 50, the protocol's slack, as 50"},
	{"config_in_force", 4, 100, hasConfigs, func(a result.AgentControl) float64 { return a.ConfigInForce.P50 },
		"real ones read a file after a signal and answer in their log, hollow ones parse the same bytes in turn; ms, below 100 as 100"},
	{"cpu", 4, 0.2, nil, func(a result.AgentControl) float64 { return a.CPUPercent },
		"a real one's wake-ups, system calls and collector are its own, hollow ones share theirs and the fixed cost of their process; % of a core, below 0.2 as 0.2"},
}

// compareRatios applies the rules to a run with agents of both types. A ratio for which one type lacks the measurement
// is not OK.
func compareRatios(r *result.Run) []result.Ratio {
	if r.Simulated.Agents == 0 || r.Real.Agents == 0 {
		return nil
	}
	var all []result.Ratio
	for _, rule := range ratioRules {
		if rule.applies != nil && !rule.applies(r.Sizes) {
			continue
		}
		ratio := result.Ratio{Name: rule.name, Simulated: rule.measure(r.Simulated), Real: rule.measure(r.Real), Factor: rule.factor}
		if ratio.Simulated > 0 && ratio.Real > 0 {
			ratio.Ratio = max(ratio.Simulated, rule.floor) / max(ratio.Real, rule.floor)
			ratio.OK = ratio.Ratio <= rule.factor && ratio.Ratio >= 1/rule.factor
		}
		all = append(all, ratio)
	}
	return all
}

// ratioReason returns why a ratio has its factor, or an empty string for an unknown name.
func ratioReason(name string) string {
	i := slices.IndexFunc(ratioRules, func(r ratioRule) bool { return r.name == name })
	if i < 0 {
		return ""
	}
	return ratioRules[i].reason
}
