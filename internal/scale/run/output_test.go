package run

import (
	"bytes"
	"encoding/json"
	"os"
	"slices"
	"testing"

	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/scenario"
)

// fullRun returns a run whose text has every table and whose JSON has every key.
func fullRun() *result.Run {
	r := passingRun()
	r.Simulated.CPUPercent = 2.5
	r.LateNotifications, r.RestartsNotUp, r.ModelKeptTime, r.WallSeconds = 3, 1, false, 20.5
	r.ModelLagMS = result.Distribution{N: 5, Mean: 60, P50: 55, P99: 70, Max: 80}
	r.Incomplete = "the part hollow died"
	r.Windows = []result.Window{{Second: 0, Roots: 20, Served: 19, Percent: 95}}
	r.Events = []result.EventResult{{
		Kind: "fail", AtSeconds: 3, LengthSeconds: 1.5, Affects: 4, Bytes: 12345, InForceMS: result.Distribution{N: 2, Mean: 8, P50: 7, P99: 9, Max: 10},
		Undelivered: 1, ServedPercent: 61.5, ServedBeforePercent: 99.25, RecoveredAfterSeconds: 2, FullLists: 6, Rejected: 7,
	}}
	return evaluate(r, limits)
}

// TestOutputUnchanged guards the text and the JSON keys of results, which later versions and other programs read.
func TestOutputUnchanged(t *testing.T) {
	over, passing := fullRun(), evaluate(passingRun(), limits)
	for _, c := range []struct {
		file  string
		write func(*bytes.Buffer) error
	}{
		{"over.txt", func(b *bytes.Buffer) error { return WriteText(b, over) }},
		{"ok.txt", func(b *bytes.Buffer) error { return WriteText(b, passing) }},
		{"over.json", func(b *bytes.Buffer) error {
			text, err := json.MarshalIndent(over, "", "  ")
			b.Write(append(text, '\n'))
			return err
		}},
	} {
		t.Run(c.file, func(t *testing.T) {
			var got bytes.Buffer
			if err := c.write(&got); err != nil {
				t.Fatal(err)
			}
			path := "testdata/" + c.file
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got.Bytes(), want) {
				t.Errorf("got:\n%s\nwant:\n%s", &got, want)
			}
		})
	}
}

// TestBudgetAndRatioNamesUnchanged guards the names that appear in the last lines of runs, in JSON and in the figures
// file.
func TestBudgetAndRatioNamesUnchanged(t *testing.T) {
	var names []string
	for _, b := range checkBudgets(limits, passingRun()) {
		names = append(names, b.Name)
	}
	want := []string{"added_p99", "agent_cpu", "agent_memory", "agent_bytes", "in_force_list", "in_force_config", "control_machines", "attempts_per_call"}
	if !slices.Equal(names, want) {
		t.Errorf("got budgets %q, want %q", names, want)
	}
	if got := checkBudgets(scenario.Budgets{}, passingRun()); got != nil {
		t.Errorf("without limits: got budgets %+v, want none", got)
	}
	names = nil
	for _, x := range compareRatios(passingRun()) {
		names = append(names, x.Name)
	}
	if want := []string{"bytes", "list_in_force", "config_in_force", "cpu"}; !slices.Equal(names, want) {
		t.Errorf("got ratios %q, want %q", names, want)
	}
}
