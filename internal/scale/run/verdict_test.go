package run

import (
	"bytes"
	"regexp"
	"slices"
	"strings"
	"testing"

	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/scenario"
)

// limits are budgets that passingRun meets.
var limits = scenario.Budgets{AddedP99MS: 0.58, AgentCPU: 1.6, AgentMemMB: 32, AgentKBps: 23, InForceS: 6, ControlBusy: 5, Attempts: 2}

// passingRun returns a run that meets all budgets and whose simulated agents measure the same as the real ones.
func passingRun() *result.Run {
	d := func(v float64) result.Distribution {
		return result.Distribution{N: 10, Mean: v, P50: v, P99: v, Max: v}
	}
	a := result.AgentControl{
		Agents: 10, BytesIn: d(900), BytesOut: d(300), Worst6s: d(2000), CPUPercent: 0.5, HeapBytes: 2 * bytesPerMB,
		ListInForce: d(300), ListAcknowledged: d(320), ConfigInForce: d(900),
	}
	b := a
	b.HeapBytes, b.RSSBytes, b.ListInForce = 0, d(20*bytesPerMB), b.ListAcknowledged
	return &result.Run{
		Scenario: "fine", Sizes: result.Sizes{Servers: 20, Agents: 20, Real: 10, Depth: 2, Seconds: 8, ListChanges: 3, Configs: 2, Failures: 1},
		Simulated: a, Real: b,
		Control: []result.ControlMachine{{Role: "control", Name: "control", Busy: 0.1, Worst6s: 0.4}, {Role: "source", Name: "source", Worst6s: 0.2}},
		Depths:  []result.Depth{{Depth: 1, Amplification: 1.2}, {Depth: 2, Amplification: 1.5}},
		Added:   result.Added{Through: d(0.8), Direct: d(0.4), P99MS: 0.4, CallsEach: 150},
	}
}

// evaluate fills in budgets and ratios, as Run does at the end of a run.
func evaluate(r *result.Run, b scenario.Budgets) *result.Run {
	r.Budgets, r.Ratios = checkBudgets(b, r), compareRatios(r)
	return r
}

func TestViolations(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*result.Run)
		want   []string
	}{
		{"nothing", func(*result.Run) {}, nil},
		{"added", func(r *result.Run) { r.Added.P99MS = 0.59 }, []string{"added_p99"}},
		{"added, a call failed", func(r *result.Run) { r.Added.Failed = 1 }, nil},
		{"added, more than one in a hundred failed", func(r *result.Run) { r.Added.Failed = 2 }, []string{"added_p99"}},
		{"added, not measured", func(r *result.Run) { r.Added = result.Added{} }, []string{"added_p99"}},
		{"simulated cpu", func(r *result.Run) { r.Simulated.CPUPercent = 1.7 }, []string{"agent_cpu"}},
		{"cpu, not measured", func(r *result.Run) { r.Simulated.CPUPercent, r.Real.CPUPercent = 0, 0 }, []string{"agent_cpu", "ratio:cpu"}},
		{"real memory", func(r *result.Run) { r.Real.RSSBytes.Max = 33 * bytesPerMB }, []string{"agent_memory"}},
		{"simulated memory", func(r *result.Run) { r.Simulated.HeapBytes = 33 * bytesPerMB }, []string{"agent_memory"}},
		{"bytes in one agent's worst 6 s", func(r *result.Run) { r.Real.Worst6s.Max = 23_001 }, []string{"agent_bytes"}},
		{"last agent's list", func(r *result.Run) { r.Simulated.ListInForce.Max = 6001 }, []string{"in_force_list"}},
		{"last agent's configuration", func(r *result.Run) { r.Real.ConfigInForce.Max = 6001 }, []string{"in_force_config"}},
		{"undelivered change", func(r *result.Run) { r.Simulated.Undelivered = 1 }, []string{"in_force_list", "in_force_config"}},
		{"lists of one agent type not measured", func(r *result.Run) { r.Real.ListInForce = result.Distribution{} }, []string{"in_force_list"}},
		{"modelled load of two machines", func(r *result.Run) { r.Control[0].Worst6s, r.Control[1].Worst6s = 3, 2.5 }, []string{"control_machines"}},
		{"CPU of one machine", func(r *result.Run) { r.Control[0].CPUPercent = 510 }, []string{"control_machines"}},
		{"attempts at the deepest service", func(r *result.Run) { r.Depths[1].Amplification = 2.1 }, []string{"attempts_per_call"}},
		{"attempts above the deepest service", func(r *result.Run) { r.Depths[0].Amplification = 2.1 }, nil},
		{"simulated bytes too many", func(r *result.Run) { r.Simulated.BytesIn.Mean = 2000 }, []string{"ratio:bytes"}},
		{"simulated bytes too few", func(r *result.Run) { r.Simulated.BytesIn.Mean = 400 }, []string{"ratio:bytes"}},
		{"simulated lists late", func(r *result.Run) { r.Simulated.ListAcknowledged.Mean = 1300 }, []string{"ratio:list_in_force"}},
		{"both below the floor", func(r *result.Run) { r.Simulated.ListAcknowledged.Mean, r.Real.ListAcknowledged.Mean = 49, 0.4 }, nil},
		{"simulated configurations late", func(r *result.Run) { r.Simulated.ConfigInForce.P50 = 3700 }, []string{"ratio:config_in_force"}},
		{"simulated cpu off", func(r *result.Run) { r.Real.CPUPercent, r.Simulated.CPUPercent = 1.1, 0.2 }, []string{"ratio:cpu"}},
		{"notified late", func(r *result.Run) { r.LateNotifications = 1 }, []string{"late_told"}},
		{"nothing was started", func(r *result.Run) { r.Simulated, r.Real = result.AgentControl{}, result.AgentControl{} },
			[]string{"agent_cpu", "agent_memory", "agent_bytes", "in_force_list", "in_force_config"}},
		{"not up", func(r *result.Run) { r.RestartsNotUp = 1 }, []string{"not_up"}},
		{"incomplete", func(r *result.Run) { r.Incomplete = "control died" }, []string{"incomplete"}},
		{"no real agents", func(r *result.Run) { r.Sizes.Real, r.Real, r.Added = 0, result.AgentControl{}, result.Added{} }, nil},
		{"nothing changed or failed", func(r *result.Run) {
			r.Sizes.ListChanges, r.Sizes.Configs, r.Sizes.Failures = 0, 0, 0
			for _, a := range []*result.AgentControl{&r.Simulated, &r.Real} {
				a.ListInForce, a.ListAcknowledged, a.ConfigInForce = result.Distribution{}, result.Distribution{}, result.Distribution{}
			}
			r.Depths[1].Amplification = 0
		}, nil},
		{"no simulated agents", func(r *result.Run) { r.Sizes.Real, r.Simulated, r.Depths = 20, result.AgentControl{}, nil }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := passingRun()
			c.change(r)
			if got := Violations(evaluate(r, limits)); !slices.Equal(got, c.want) {
				t.Errorf("got violations %q, want %q", got, c.want)
			}
		})
	}
}

func TestBudgetsWithoutLimitOmitted(t *testing.T) {
	if got := checkBudgets(scenario.Budgets{AgentCPU: 1.6}, passingRun()); len(got) != 1 || got[0].Name != "agent_cpu" {
		t.Errorf("with one limit: got %+v, want agent_cpu only", got)
	}
}

func TestWriteText(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*result.Run)
		last   string
	}{
		{"ok", func(*result.Run) {}, "scale: ok"},
		{"two over", func(r *result.Run) { r.Simulated.CPUPercent, r.LateNotifications = 2.5, 3 }, "scale: OVER agent_cpu,ratio:cpu,late_told"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := passingRun()
			c.change(r)
			var out bytes.Buffer
			if err := WriteText(&out, evaluate(r, limits)); err != nil {
				t.Fatal(err)
			}
			text := strings.TrimSuffix(out.String(), "\n")
			if last := text[strings.LastIndexByte(text, '\n')+1:]; last != c.last {
				t.Errorf("got last line %q, want %q", last, c.last)
			}
			for _, l := range budgetLines {
				if !regexp.MustCompile(`(?m)^` + l.name + ` +[0-9.e+-]+ +[0-9.e+-]+ +(ok|OVER)$`).MatchString(text) {
					t.Errorf("no line for budget %s in:\n%s", l.name, text)
				}
			}
			for _, h := range ratioRules {
				if !strings.Contains(text, h.reason) {
					t.Errorf("the factor of %s is not explained", h.name)
				}
			}
		})
	}
}
