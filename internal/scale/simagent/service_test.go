package simagent

import (
	"net"
	"net/rpc"
	"reflect"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/scale/world"
)

// The part does over its pipes what a fleet does: it starts once, plays steps to the letter, and tells what it measured.
func TestService(t *testing.T) {
	w := tinyWorld(t, nil)
	c := newFakeDiscovery(t, w)
	s, server := new(Service), rpc.NewServer()
	if err := server.RegisterName("Hollow", s); err != nil {
		t.Fatal(err)
	}
	here, there := net.Pipe()
	go server.ServeConn(there)
	client := rpc.NewClient(here)
	defer client.Close()
	call := func(method string, args, reply any) error { return client.Call("Hollow."+method, args, reply) }

	none := new(struct{})
	for method, args := range map[string]any{"Step": StepArgs{}, "Config": ConfigArgs{}, "Begin": *none, "Stats": StatsArgs{}} {
		reply := any(none)
		if method == "Stats" {
			reply = new(StatsReply)
		}
		if err := call(method, args, reply); err == nil || err.Error() != errNotStarted.Error() {
			t.Errorf("%s before the start: %v", method, err)
		}
	}
	var up StartReply
	start := StartArgs{Scenario: *w.Scenario, Agents: allAgents(w)[:20], Discovery: c.addrs}
	if err := call("Start", start, &up); err != nil || up.Ready != 20 {
		t.Fatalf("%d ready, error %v", up.Ready, err)
	}
	defer s.fleet.Close()
	if err := call("Start", start, &up); err == nil || !strings.Contains(err.Error(), "already") {
		t.Errorf("started again: %v", err)
	}
	if err := call("Begin", *none, none); err != nil {
		t.Error(err)
	}
	for _, on := range []bool{true, false} {
		step := StepArgs{world.Step{Event: -1, Fail: &on, PartitionRegions: &on, Down: []int{0}, Silent: on}}
		if err := call("Step", step, none); err != nil || s.fleet.deepestFailing.Load() != on || s.fleet.regionsPartitioned.Load() != on {
			t.Errorf("fails %v, cut %v, want %v; error %v", s.fleet.deepestFailing.Load(), s.fleet.regionsPartitioned.Load(), on, err)
		}
	}
	if err := call("Config", ConfigArgs{Revision: 1, PushMS: 0.1}, none); err != nil {
		t.Error(err)
	}
	var r StatsReply
	waitFor(t, "the configuration is everywhere", func() bool {
		if err := call("Stats", StatsArgs{}, &r); err != nil {
			t.Fatal(err)
		}
		return len(r.Configs) == 1 && r.Control.ConfigInForce.N == int64(r.Ready)
	})
	if r.Agents != 20 || len(r.Configs[0].At) != len(w.Agents) || r.Seconds <= 0 || r.CPU <= 0 {
		t.Errorf("%+v", r)
	}
}

// A step comes through the pipes as it was.
func TestStepRoundTrip(t *testing.T) {
	no := false
	want := StepArgs{world.Step{
		At: time.Second, Event: 2, Changes: []discovery.Member{{ID: "x", Address: "127.0.0.1:1", State: "Gone", Weight: 0.5, StartedAtMillis: 7}},
		Up: []int{3}, Cold: true, Restart: []int{1, 2}, Forget: true, Fail: &no, ControlDown: &no, Config: 4, Ends: true,
	}}
	text, err := want.GobEncode()
	if err != nil {
		t.Fatal(err)
	}
	var got StepArgs
	if err := got.GobDecode(text); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, error %v, want %+v", got, err, want)
	}
}
