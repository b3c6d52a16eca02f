package sweep

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"

	"example.org/ryeloft/internal/scale/result"
)

// Metric is one value in a metrics file (figures.json), with its unit and a description of the runs it comes from.
type Metric struct {
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	Run   string  `json:"run"`
}

// ReadMetrics reads a metrics file, a flat map with keys such as `agents.control_bytes.slope`.
func ReadMetrics(file string) (map[string]Metric, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var all map[string]Metric
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return all, nil
}

// WriteMetrics writes a metrics file with sorted keys.
func WriteMetrics(file string, all map[string]Metric) error {
	text, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}

// Metrics returns the sweep's metrics by their stable keys:
// DIMENSION.METRIC.{slope,intercept,residual,quadratic,exponent,target,twice,at_SIZE} and
// joint.METRIC.{base,target,twice}.
func (w *Sweep) Metrics() map[string]Metric {
	all := map[string]Metric{}
	for _, g := range w.Growth {
		prefix := g.Dimension + "." + g.Metric + "."
		put := func(name string, v float64, unit string) { all[prefix+name] = Metric{v, unit, g.source} }
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
	maps.Copy(all, w.Joint)
	return all
}

// AddRun adds the metrics and budgets of a single run to all, under keys run.NAME.METRIC and run.NAME.budget.BUDGET.
func AddRun(all map[string]Metric, name string, r *result.Run) {
	source := describeRun(r)
	prefix := "run." + name + "."
	for key, m := range extractMetrics(r) {
		all[prefix+key] = Metric{m.value, m.unit, source}
	}
	for _, b := range r.Budgets {
		all[prefix+"budget."+b.Name] = Metric{b.Measured, b.Unit, source}
	}
}

// describeRun returns the text that identifies a run in Metric.Run.
func describeRun(r *result.Run) string {
	s := r.Sizes
	return fmt.Sprintf("run %s: servers %d, services %d, agents %d (real %d), depth %d, changes/min %.4g, %.0f s, seed %d",
		r.Scenario, s.Servers, s.Services, s.Agents, s.Real, s.Depth, s.ChangesPerMinute, s.Seconds, s.Seed)
}

// measurement is one value of a run with its unit.
type measurement struct {
	value float64
	unit  string
}

// extractMetrics returns every metric of a run that can be fitted and that the run measured.
func extractMetrics(r *result.Run) map[string]measurement {
	all := map[string]measurement{}
	addAgentMetrics(all, "agent", r.Simulated)
	addAgentMetrics(all, "real", r.Real)
	addControlMetrics(all, r)
	if r.Added.Through.N > 0 {
		all["added_p50"] = measurement{r.Added.MedianMS, "ms"}
		all["added_p99"] = measurement{r.Added.P99MS, "ms"}
	}
	if n := len(r.Depths); n > 0 && r.Depths[n-1].Amplification > 0 {
		all["amplification"] = measurement{r.Depths[n-1].Amplification, "times"}
	}
	for i, e := range r.Events {
		prefix := fmt.Sprintf("event%d_%s_", i+1, e.Kind)
		all[prefix+"bytes"] = measurement{float64(e.Bytes), "B"}
		if e.InForceMS.N > 0 {
			all[prefix+"in_force_max"] = measurement{e.InForceMS.Max, "ms"}
		}
		all[prefix+"served"] = measurement{e.ServedPercent, "%"}
		all[prefix+"whole_lists"] = measurement{float64(e.FullLists), "lists"}
	}
	return all
}

// addAgentMetrics adds the cost of control traffic for the simulated or the real agents, with the given key prefix.
func addAgentMetrics(all map[string]measurement, prefix string, a result.AgentControl) {
	if a.Agents == 0 {
		return
	}
	all[prefix+"_bytes_in"] = measurement{a.BytesIn.Mean, "B/s"}
	all[prefix+"_bytes_out"] = measurement{a.BytesOut.Mean, "B/s"}
	all[prefix+"_worst6s"] = measurement{a.Worst6s.Max, "B/s"}
	all[prefix+"_cpu"] = measurement{a.CPUPercent, "% of a core"}
	if a.HeapBytes > 0 {
		all[prefix+"_heap"] = measurement{a.HeapBytes, "B"}
	}
	if a.RSSBytes.N > 0 {
		all[prefix+"_rss"] = measurement{a.RSSBytes.Max, "B"}
	}
	for key, d := range map[string]result.Distribution{"_list_in_force": a.ListInForce, "_config_in_force": a.ConfigInForce} {
		if d.N == 0 {
			continue
		}
		all[prefix+key+"_p50"] = measurement{d.P50, "ms"}
		all[prefix+key+"_p99"] = measurement{d.P99, "ms"}
		all[prefix+key+"_max"] = measurement{d.Max, "ms"}
	}
}

// addControlMetrics adds the metrics of the control plane, summed per role: control, relay, source. For the
// queueing time it takes the maximum.
func addControlMetrics(all map[string]measurement, r *result.Run) {
	seconds := r.Sizes.Seconds
	if seconds <= 0 {
		return
	}
	add := func(key string, v float64, unit string) { all[key] = measurement{all[key].value + v, unit} }
	for _, m := range r.Control {
		add(m.Role+"_calls", float64(m.Calls)/seconds, "calls/s")
		add(m.Role+"_bytes", float64(m.BytesIn+m.BytesOut)/seconds, "B/s")
		add(m.Role+"_whole_lists", float64(m.FullLists), "lists")
		add(m.Role+"_cpu", m.CPUPercent, "% of a core")
		add(m.Role+"_busy", m.Busy, "machines")
		add(m.Role+"_worst6s", m.Worst6s, "machines")
		add(m.Role+"_rss", m.RSSBytes, "B")
		queueKey := m.Role + "_queue_p99"
		all[queueKey] = measurement{max(all[queueKey].value, m.QueueMS.P99), "ms"}
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
