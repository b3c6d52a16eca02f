package run

import (
	"maps"
	"testing"
	"time"

	"example.org/ryeloft/internal/scale/scenario"
	"example.org/ryeloft/internal/scale/world"
)

// newRunnerWithWorld returns a runner for a small fleet, with a generated world and without any processes.
func newRunnerWithWorld(t *testing.T, events ...scenario.Event) *runner {
	t.Helper()
	s, err := scenario.Load("../../../deploy/scale/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Events, s.Control.PerMinute, s.Control.ChangesDay = events, 0, 0
	r := &runner{scenario: s, result: nil}
	if err := r.generateWorld(); err != nil {
		t.Fatal(err)
	}
	r.startedAt = time.Now()
	return r
}

func TestCountAffected(t *testing.T) {
	r := newRunnerWithWorld(t,
		scenario.Event{Kind: "config", AtS: 1}, scenario.Event{Kind: "replace", AtS: 1, Count: 2}, scenario.Event{Kind: "restart", AtS: 1, Count: 7},
		scenario.Event{Kind: "regions", AtS: 1, ForS: 1}, scenario.Event{Kind: "control-loss", AtS: 1, ForS: 1}, scenario.Event{Kind: "agents-back", AtS: 2},
		scenario.Event{Kind: "machine", AtS: 1, ForS: 1, Count: 1}, scenario.Event{Kind: "fail", AtS: 1, ForS: 1},
	)
	want := map[int]int{0: 60, 1: 2, 2: 7, 3: len(r.agentsOutsideControlRegion()), 4: 60, 5: 60, 6: 1, 7: len(r.world.Services[r.world.Deepest].Servers)}
	if got := r.countAffected(r.world.Steps(r.startedAt)); !maps.Equal(got, want) || len(r.agentsOutsideControlRegion()) == 0 || len(r.agentsOutsideControlRegion()) == 60 {
		t.Errorf("got affected by event %v, want %v", got, want)
	}
}

// TestSchedule checks that the counters are recorded at the right time after an event and not after the end of the run.
func TestSchedule(t *testing.T) {
	r := newRunnerWithWorld(t, scenario.Event{Kind: "control-loss", AtS: 1, ForS: 2}, scenario.Event{Kind: "control-loss", AtS: 12, ForS: 1})
	all := r.schedule(&taskQueues{}, r.world.Steps(r.startedAt))
	var at []time.Duration
	for _, action := range all {
		at = append(at, action.at/time.Second)
	}
	want := []time.Duration{1, 3, 9, 12, 13, 15}
	if len(at) != len(want) {
		t.Fatalf("got actions at %d s, want %d", at, want)
	}
	for i := range want {
		if at[i] != want[i] {
			t.Fatalf("got actions at %d s, want %d", at, want)
		}
	}
}

// TestRecordReachability checks from when agents can be notified of changes made while their machine is down, if
// control is also down for a time that ends before the machine recovers.
func TestRecordReachability(t *testing.T) {
	r := newRunnerWithWorld(t)
	down, up, affected := true, false, r.simulatedPositions[0]
	server := r.world.Agents[affected].Server
	other := r.simulatedPositions[1]
	now := func() int64 { return time.Now().UnixNano() }

	r.recordReachability(world.Step{Event: -1, Down: []int{server}, Silent: true})
	changedAt := now()
	r.recordReachability(world.Step{Event: -1, ControlDown: &down})
	duringLoss := now()
	r.recordReachability(world.Step{Event: -1, ControlDown: &up})
	restoredAt := now()
	if got := r.reachability.reachableFrom(affected, changedAt); got != never {
		t.Errorf("agent on a failed machine: got reachable from %d, want never", got)
	}
	if got := r.reachability.reachableFrom(other, changedAt); got != changedAt {
		t.Errorf("another agent: got reachable from %d, want %d", got, changedAt)
	}
	if got := r.reachability.reachableFrom(other, duringLoss); got <= duringLoss || got > restoredAt {
		t.Errorf("another agent during control loss: got reachable from %d, want after %d, at most %d", got, duringLoss, restoredAt)
	}
	r.recordReachability(world.Step{Event: -1, Up: []int{server}})
	if got := r.reachability.reachableFrom(affected, changedAt); got < restoredAt || got > now() {
		t.Errorf("agent on a recovered machine: got reachable from %d, want at least %d", got, restoredAt)
	}
	r.recordReachability(world.Step{Event: -1, ControlDown: &down})
	r.recordReachability(world.Step{Event: -1, Up: []int{server}}) // a planned start of a server whose machine did not fail
	if got := r.reachability.reachableFrom(affected, now()); got != never {
		t.Errorf("control loss after a planned start: got reachable from %d, want never", got)
	}
}
