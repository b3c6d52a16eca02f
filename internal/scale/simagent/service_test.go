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

// The RPC service starts once, applies steps exactly, including those that end a failure, and reports the measurements.
func TestService(t *testing.T) {
	w := tinyWorld(t, nil)
	c := newFakeDiscovery(t, w)
	s, server := new(Service), rpc.NewServer()
	if err := server.RegisterName("Hollow", s); err != nil {
		t.Fatal(err)
	}
	clientConn, serverConn := net.Pipe()
	go server.ServeConn(serverConn)
	client := rpc.NewClient(clientConn)
	defer client.Close()
	call := func(method string, args, reply any) error { return client.Call("Hollow."+method, args, reply) }

	empty := new(struct{})
	for method, args := range map[string]any{"Step": StepArgs{}, "Config": ConfigArgs{}, "Begin": *empty, "Stats": StatsArgs{}} {
		reply := any(empty)
		if method == "Stats" {
			reply = new(StatsReply)
		}
		if err := call(method, args, reply); err == nil || err.Error() != errNotStarted.Error() {
			t.Errorf("%s before Start: got error %v, want %v", method, err, errNotStarted)
		}
	}
	var started StartReply
	start := StartArgs{Scenario: *w.Scenario, Agents: allAgents(w)[:20], Discovery: c.addrs}
	if err := call("Start", start, &started); err != nil || started.Ready != 20 {
		t.Fatalf("got %d agents ready and error %v, want 20 and none", started.Ready, err)
	}
	defer s.fleet.Close()
	if err := call("Start", start, &started); err == nil || !strings.Contains(err.Error(), "already") {
		t.Errorf("second Start: got error %v, want one with \"already\"", err)
	}
	if err := call("Begin", *empty, empty); err != nil {
		t.Error(err)
	}
	for _, on := range []bool{true, false} {
		step := StepArgs{world.Step{Event: -1, Fail: &on, PartitionRegions: &on, Down: []int{0}, Silent: on}}
		if err := call("Step", step, empty); err != nil || s.fleet.deepestFailing.Load() != on || s.fleet.regionsPartitioned.Load() != on {
			t.Errorf("got failing %v, partitioned %v and error %v, want both %v and no error",
				s.fleet.deepestFailing.Load(), s.fleet.regionsPartitioned.Load(), err, on)
		}
	}
	if err := call("Config", ConfigArgs{Revision: 1, PushMS: 0.1}, empty); err != nil {
		t.Error(err)
	}
	var r StatsReply
	waitFor(t, "the configuration in force at all agents", func() bool {
		if err := call("Stats", StatsArgs{}, &r); err != nil {
			t.Fatal(err)
		}
		return len(r.Configs) == 1 && r.Control.ConfigInForce.N == int64(r.Ready)
	})
	if r.Agents != 20 || len(r.Configs[0].At) != len(w.Agents) || r.Seconds <= 0 || r.CPU <= 0 {
		t.Errorf("got %+v, want 20 agents, times for %d agents, and a duration and CPU time above 0", r, len(w.Agents))
	}
}

// A step is the same after encoding and decoding, including pointers to false, which gob would omit.
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
		t.Errorf("got %+v and error %v, want %+v", got, err, want)
	}
}
