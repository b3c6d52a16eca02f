package run

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/scale/control"
	"example.org/ryeloft/internal/scale/simagent"
	"example.org/ryeloft/internal/scale/world"
)

// TestMessageFormatsUnchanged guards the RPC methods and the field names of their messages, which gob encodes by name.
func TestMessageFormatsUnchanged(t *testing.T) {
	for _, c := range []struct {
		name    string
		service any
		want    []string
	}{
		{"Control", new(control.Service), []string{
			"Begin() ()",
			"Change(Members) (Revision At)",
			"Down(Down) ()",
			"Partition(Agents Partitioned) ()",
			"Start(Costs Agents Addrs Members Revision) (Ready)",
			"Stats() (Machine In Out Changes LateNotifications)",
		}},
		{"Relay", new(control.RelayService), []string{
			"Begin() ()",
			"Partition(Agents Partitioned) ()",
			"Start(Name Discovery State Addrs FullListsPerSecond) (Ready)",
			"Stats() (Machine In Out Acknowledgements)",
		}},
		{"Hollow", new(simagent.Service), []string{
			"Begin() ()",
			"Config(Revision PushMS) ()",
			"Start(Scenario Echo Agents Discovery Relays Begin CachedEndpoints) (Ready)",
			"Stats() (Agents Ready Seconds Roots FailRoots Depths Windows Duplicates Retries Lists Configs Control Polls PollFailures FullLists Logged " +
				"CPU ModelCPU SourceCPU CollectorCPU ControlCPU Heap Stacks Goroutines LagMS KeptTime)",
			"Step(Step) ()",
		}},
	} {
		var got []string
		methods := reflect.TypeOf(c.service)
		for i := range methods.NumMethod() {
			m := methods.Method(i)
			got = append(got, m.Name+"("+fieldNames(m.Type.In(1))+") ("+fieldNames(m.Type.In(2).Elem())+")")
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got\n%s\nwant\n%s", c.name, strings.Join(got, "\n"), strings.Join(c.want, "\n"))
		}
	}
}

// TestStepMessageFormatUnchanged guards the JSON keys by which steps are sent.
func TestStepMessageFormatUnchanged(t *testing.T) {
	yes, no := true, false
	step := world.Step{
		At: time.Second, Event: 2, Changes: []discovery.Member{{ID: "x", State: "Gone"}}, Down: []int{1}, Silent: true, Up: []int{2}, Cold: true,
		Restart: []int{3}, Forget: true, PartitionRegions: &yes, Fail: &no, Config: 4, KillRelay: true, Begins: true,
	}
	text, err := simagent.StepArgs{Step: step}.GobEncode()
	if err != nil {
		t.Fatal(err)
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(text, &keys); err != nil {
		t.Fatal(err)
	}
	want := []string{
		"At", "Begins", "Changes", "Cold", "Config", "ControlDown", "Down", "Ends", "Event", "Fail", "Forget", "KillRelay", "PartitionRegions", "Restart",
		"Silent", "StartRelay", "Up",
	}
	if got := slices.Sorted(maps.Keys(keys)); !slices.Equal(got, want) {
		t.Errorf("got keys %q, want %q", got, want)
	}
	if string(keys["PartitionRegions"]) != "true" || string(keys["Fail"]) != "false" || string(keys["ControlDown"]) != "null" {
		t.Errorf("got %s, want PartitionRegions true, Fail false and ControlDown null", text)
	}
}

func fieldNames(message reflect.Type) string {
	var names []string
	for i := range message.NumField() {
		names = append(names, message.Field(i).Name)
	}
	return strings.Join(names, " ")
}
