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

// Parts are called by these methods, and gob sends messages by the names of their fields.
func TestMessagesStay(t *testing.T) {
	for _, c := range []struct {
		name    string
		service any
		want    []string
	}{
		{"Control", new(control.Service), []string{
			"Begin() ()",
			"Change(Members) (Revision At)",
			"Cut(Agents Cut) ()",
			"Down(Down) ()",
			"Start(Costs Agents Addrs Members Revision) (Ready)",
			"Stats() (Machine In Out Changes LateTold)",
		}},
		{"Relay", new(control.RelayService), []string{
			"Begin() ()",
			"Cut(Agents Cut) ()",
			"Start(Name Discovery State Addrs Lists) (Ready)",
			"Stats() (Machine In Out Heard)",
		}},
		{"Hollow", new(simagent.Service), []string{
			"Begin() ()",
			"Config(Revision PushMS) ()",
			"Start(Scenario Echo Agents Discovery Relays Begin Known) (Ready)",
			"Stats() (Agents Ready Seconds Roots FailRoots Depths Windows Doubled Again Lists Configs Control ListCalls ListFails WholeLists Logged " +
				"CPU ModelCPU SourceCPU CollectorCPU ControlCPU Heap Stacks Goroutines LagMS KeptUp)",
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
			t.Errorf("%s:\n%s\nwant\n%s", c.name, strings.Join(got, "\n"), strings.Join(c.want, "\n"))
		}
	}
}

// Steps are sent as JSON, by the same keys as ever.
func TestStepMessageStays(t *testing.T) {
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
		"At", "Begins", "Changes", "Cold", "Config", "ControlDown", "CutRegions", "Down", "Ends", "Event", "Fail", "Forget", "KillRelay", "Restart",
		"Silent", "StartRelay", "Up",
	}
	if got := slices.Sorted(maps.Keys(keys)); !slices.Equal(got, want) {
		t.Errorf("keys %q, want %q", got, want)
	}
	if string(keys["CutRegions"]) != "true" || string(keys["Fail"]) != "false" || string(keys["ControlDown"]) != "null" {
		t.Errorf("%s", text)
	}
}

func fieldNames(message reflect.Type) string {
	var names []string
	for i := range message.NumField() {
		names = append(names, message.Field(i).Name)
	}
	return strings.Join(names, " ")
}
