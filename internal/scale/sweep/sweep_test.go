package sweep

import (
	"bytes"
	"context"
	"errors"
	"math"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/scenario"
)

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-6*max(1, math.Abs(b)) }

func TestFit(t *testing.T) {
	xs := []float64{50, 100, 200, 400}
	for _, c := range []struct {
		name              string
		curve             func(x float64) float64
		slope, quad, expo float64
		kinked            bool
	}{
		{"line", func(x float64) float64 { return 7 + 3*x }, 3, 0, math.NaN(), false},
		{"through the origin", func(x float64) float64 { return 3 * x }, 3, 0, 1, false},
		{"constant", func(float64) float64 { return 5 }, 0, 0, 0, false},
		{"square", func(x float64) float64 { return x * x / 100 }, math.NaN(), 0.01, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var ys []float64
			for _, x := range xs {
				ys = append(ys, c.curve(x))
			}
			f := fitGrowth(xs, ys)
			for name, pair := range map[string][2]float64{"slope": {f.Slope, c.slope}, "quadratic": {f.Quadratic, c.quad}, "exponent": {f.Exponent, c.expo}} {
				if !math.IsNaN(pair[1]) && !near(pair[0], pair[1]) {
					t.Errorf("%s: got %g, want %g", name, pair[0], pair[1])
				}
			}
			if got := f.isKinked(ys, 0); got != c.kinked {
				t.Errorf("kinked: got %v, want %v (%+v)", got, c.kinked, f)
			}
		})
	}
}

func TestNoiseIsNotKink(t *testing.T) {
	xs, ys := []float64{1, 2, 3, 4}, []float64{10, 13, 13, 10}
	if f := fitGrowth(xs, ys); !f.isKinked(ys, 0.1) || f.isKinked(ys, 2) {
		t.Errorf("chord deviation %g: got kinked %v at noise 0.1 and %v at noise 2, want true and false", f.ChordDeviation, f.isKinked(ys, 0.1), f.isKinked(ys, 2))
	}
}

func TestNoPowerLawAtZero(t *testing.T) {
	if at, e := fitPowerLaw([]float64{1, 2, 3, 4}, []float64{0, 1, 2, 3}); at != 0 || e != 0 {
		t.Errorf("got %g x^%g, want 0 x^0", at, e)
	}
}

func TestFallingMetricStaysAboveZero(t *testing.T) {
	f := fitGrowth([]float64{30, 60, 120, 240}, []float64{4, 2, 1, 0.5})
	if got := f.predict(1200); !near(got, 0.1) {
		t.Errorf("cost shared by agents: got %g at 1200, want 0.1", got)
	}
	if got := f.predict(60); !near(got, f.Intercept+60*f.Slope) {
		t.Errorf("got %g at 60, want the line's value %g", got, f.Intercept+60*f.Slope)
	}
}

func base() *scenario.Scenario {
	s := &scenario.Scenario{Name: "base", Seed: 1, Seconds: 6}
	s.Fleet = scenario.Fleet{Servers: 40, Services: 8, Real: 4, Depth: 4}
	s.Control.PerMinute = 10
	return s
}

func target() *scenario.Scenario {
	s := &scenario.Scenario{Name: "target"}
	s.Fleet = scenario.Fleet{Servers: 830, Services: 130, Depth: 14}
	s.Control.ChangesDay = 1440
	return s
}

// fakeRun returns the result of a fleet whose control bytes grow with agents times changes and whose control rejects
// calls above 100 agents.
func fakeRun(_ context.Context, s *scenario.Scenario) (*result.Run, error) {
	n, c := agentCount(s), s.ChangesPerMinute()
	r := &result.Run{Scenario: s.Name, Sizes: result.Sizes{Agents: int(n), Seconds: s.Seconds}}
	r.Simulated = result.AgentControl{Agents: int(n), BytesIn: result.Distribution{N: 1, Mean: 100 * c}}
	m := result.ControlMachine{Role: "control", BytesOut: int64(100 * n * c * s.Seconds), Busy: 0.1}
	if n > 100 {
		m.Rejected, m.Busy = 3, 0.99
	}
	r.Control = []result.ControlMachine{m}
	return r, nil
}

func TestSweep(t *testing.T) {
	w, err := Run(t.Context(), base(), Options{Only: []string{"agents", "changes"}, Target: target(), RunScenario: fakeRun})
	if err != nil {
		t.Fatal(err)
	}
	f := w.Metrics()
	for key, want := range map[string]float64{
		"agents.control_bytes.slope":    1000, // at 10 changes per minute
		"agents.control_bytes.exponent": 1,
		"agents.control_bytes.at_20":    20_000,
		"agents.control_bytes.target":   830_000,
		"agents.control_bytes.twice":    1_660_000,
		"changes.agent_bytes_in.slope":  100,
		"changes.agent_bytes_in.target": 100, // 1440 per day are 1 per minute
		"joint.control_bytes.base":      40_000,
		"joint.control_bytes.target":    83_000, // 100 * 830 * 1
		"joint.control_bytes.twice":     332_000,
	} {
		if got, ok := f[key]; !ok || !near(got.Value, want) || got.Unit == "" && !strings.HasSuffix(key, "exponent") || got.Run == "" {
			t.Errorf("%s: got %+v, want %g with a unit and a run", key, got, want)
		}
	}
	var text bytes.Buffer
	if err := w.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"agents=160: control  refused 3 calls", "agents=160: the queue of control  does not drain", "control_bytes"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("got text:\n%s\nwant %q in it", text.String(), want)
		}
	}
	file := filepath.Join(t.TempDir(), "figures.json")
	if err := WriteMetrics(file, f); err != nil {
		t.Fatal(err)
	}
	if back, err := ReadMetrics(file); err != nil || len(back) != len(f) || back["agents.control_bytes.slope"] != f["agents.control_bytes.slope"] {
		t.Errorf("got %d metrics, error %v, after writing and reading %d", len(back), err, len(f))
	}
}

func TestSweepReportsSkippedRuns(t *testing.T) {
	failing := func(ctx context.Context, s *scenario.Scenario) (*result.Run, error) {
		if s.Fleet.Agents == 80 { // of four
			return nil, errors.New("run failed")
		}
		return fakeRun(ctx, s)
	}
	w, err := Run(t.Context(), base(), Options{Only: []string{"agents"}, Target: target(), RunScenario: failing})
	if err != nil {
		t.Fatal(err)
	}
	if all := strings.Join(w.Skipped, "; "); !strings.Contains(all, "agents=80: run failed") || !strings.Contains(all, "agents: 3 sizes were run, no fit") || len(w.Growth) != 0 {
		t.Errorf("got skipped %q and %d fits, want the failed run and no fit", all, len(w.Growth))
	}
}

func TestSweepRejectsOptions(t *testing.T) {
	never := func(context.Context, *scenario.Scenario) (*result.Run, error) {
		t.Error("a size was run")
		return nil, errors.New("run")
	}
	for _, c := range []struct {
		name, want string
		o          Options
	}{
		{"unknown dimension", `only: "colour"`, Options{Only: []string{"colour"}}},
		{"sizes of an unknown dimension", `sizes: "colour"`, Options{Sizes: map[string][]float64{"colour": {1, 2, 3, 4}}}},
		{"too few sizes", "sizes: agents has 3 different sizes", Options{Sizes: map[string][]float64{"agents": {1, 2, 3, 3}}}},
		{"rates with the same number of changes", "sizes: changes: 10 and 12 per minute both give 1 changes in 6 s", Options{Sizes: map[string][]float64{"changes": {10, 12, 20, 40}}}},
		{"rejected size", "sizes: servers=20: fleet.servers", Options{Check: func(*scenario.Scenario) error { return errors.New("fleet.servers") }}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.o.RunScenario = never
			if _, err := Run(t.Context(), base(), c.o); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want %q", err, c.want)
			}
		})
	}
}

// TestNoise guards against taking noise for growth: a metric that varies between runs by more than it grows must be
// flat and have no kink.
func TestNoise(t *testing.T) {
	n := 0.0
	noisy := func(_ context.Context, s *scenario.Scenario) (*result.Run, error) {
		n = 1 - n
		r := &result.Run{Sizes: result.Sizes{Seconds: 6}}
		r.Simulated = result.AgentControl{Agents: 1, CPUPercent: 1 + n/2, BytesIn: result.Distribution{N: 1, Mean: 100*agentCount(s) + n}}
		return r, nil
	}
	w, err := Run(t.Context(), base(), Options{Only: []string{"agents"}, Target: target(), RunScenario: noisy})
	if err != nil {
		t.Fatal(err)
	}
	for _, g := range w.Growth {
		switch g.Metric {
		case "agent_cpu":
			if !g.Flat || g.Kink != "" || g.Target < 1 || g.Target > 1.5 || g.Noise == 0 {
				t.Errorf("got %+v, want it flat, without a kink, at 1 to 1.5", g)
			}
		case "agent_bytes_in":
			if g.Flat || math.Abs(g.Target-83_000) > 100 {
				t.Errorf("got %+v, want growth to 83000", g)
			}
		}
	}
}

func TestDefaultSizes(t *testing.T) {
	for name, want := range map[string][]float64{
		"servers": {20, 40, 80, 160}, "agents": {20, 40, 80, 160}, "changes": {0, 10, 20, 40}, "services": {5, 8, 16, 28, 40}, "depth": {1, 3, 4, 5, 7},
	} {
		if got := Dimensions[dimensionIndex(name)].defaultSizes(base()); !slices.Equal(got, want) {
			t.Errorf("%s: got %v, want %v", name, got, want)
		}
	}
}

func TestWithSizeChangesOneSize(t *testing.T) {
	for _, d := range Dimensions {
		s := withSize(base(), d, 7)
		if d.Name == "changes" && withSize(base(), d, 0).ChangesPerMinute() != 0 {
			t.Error("got changes at rate 0, want none")
		}
		for _, e := range Dimensions {
			want := e.get(base())
			if e.Name == d.Name {
				want = 7
			}
			if got := e.get(s); got != want {
				t.Errorf("with %s at 7: got %s %g, want %g", d.Name, e.Name, got, want)
			}
		}
	}
}

func TestAddRun(t *testing.T) {
	r, _ := fakeRun(t.Context(), base())
	r.Budgets = []result.Budget{{Name: "agent_cpu", Measured: 0.4, Unit: "% of a core"}}
	all := map[string]Metric{}
	AddRun(all, "target", r)
	if all["run.target.agent_bytes_in"].Value != 1000 || all["run.target.budget.agent_cpu"].Value != 0.4 {
		t.Errorf("got %+v, want 1000 bytes per second and a CPU budget of 0.4", all)
	}
}
