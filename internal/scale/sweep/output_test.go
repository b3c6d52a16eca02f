package sweep

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"testing"

	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/scenario"
)

// TestOutputIsStable guards against changed words and keys in the text, metrics and runs of a sweep: people and
// programs compare them with the output of other versions.
func TestOutputIsStable(t *testing.T) {
	w, err := Run(t.Context(), base(), Options{Only: []string{"agents", "depth"}, Target: target(), RunScenario: overloadedRun})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		file  string
		write func(*bytes.Buffer) error
	}{
		{"sweep.txt", func(b *bytes.Buffer) error { return w.WriteText(b) }},
		{"figures.json", func(b *bytes.Buffer) error {
			all := w.Metrics()
			AddRun(all, "alone", w.Runs[0].Run)
			return json.NewEncoder(b).Encode(all)
		}},
		{"played.json", func(b *bytes.Buffer) error { return json.NewEncoder(b).Encode(w.Runs[:1]) }},
	} {
		t.Run(c.file, func(t *testing.T) {
			var got bytes.Buffer
			if err := c.write(&got); err != nil {
				t.Fatal(err)
			}
			want, err := os.ReadFile("testdata/" + c.file)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got.Bytes(), want) {
				t.Errorf("got:\n%s\nwant:\n%s", &got, want)
			}
		})
	}
}

// overloadedRun returns results with linear and kinked growth and the signs of an overloaded control plane.
func overloadedRun(ctx context.Context, s *scenario.Scenario) (*result.Run, error) {
	r, err := fakeRun(ctx, s)
	if err != nil {
		return nil, err
	}
	agents := float64(s.Agents())
	r.Sizes = result.Sizes{Servers: s.Fleet.Servers, Services: s.Fleet.Services, Agents: s.Agents(), Real: s.Fleet.Real, Depth: s.Fleet.Depth, Seconds: s.Seconds, Seed: s.Seed}
	r.Real = result.AgentControl{Agents: s.Fleet.Real, CPUPercent: agents * agents / 100, RSSBytes: result.Distribution{N: 1, Max: 1e6 + 1e3*agents}}
	r.Control = append(r.Control, result.ControlMachine{Role: "relay", Name: "relay1", Calls: int64(agents), Busy: 0.97, Rejected: 3})
	r.Simulated.Undelivered = 2
	r.Events = []result.EventResult{{Kind: "fail", Bytes: 10 * int64(agents), InForceMS: result.Distribution{N: 1, Max: agents}, ServedPercent: 90, FullLists: 4}}
	r.Added = result.Added{Through: result.Distribution{N: 4}, MedianMS: 0.2, P99MS: 0.4}
	r.Budgets = []result.Budget{{Name: "agent_cpu", Measured: 0.5, Limit: 1.6, Unit: "% of a core", OK: true}}
	return r, nil
}
