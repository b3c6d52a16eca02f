package run

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"example.org/ryeloft/internal/scale/control"
	"example.org/ryeloft/internal/scale/simagent"
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

func fieldNames(message reflect.Type) string {
	var names []string
	for i := range message.NumField() {
		names = append(names, message.Field(i).Name)
	}
	return strings.Join(names, " ")
}
