package run

import (
	"maps"
	"testing"
	"time"

	"example.org/ryeloft/internal/scale/scenario"
	"example.org/ryeloft/internal/scale/world"
)

// newRunnerWithWorld is a play of a small fleet in which nothing was started.
func newRunnerWithWorld(t *testing.T, events ...scenario.Event) *runner {
	t.Helper()
	s, err := scenario.Load("../../../deploy/scale/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Events, s.Control.PerMinute, s.Control.ChangesDay = events, 0, 0
	r := &runner{scenario: s, result: nil}
	if err := r.drawWorld(); err != nil {
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
		t.Errorf("affected by event: %v, want %v", got, want)
	}
}

// TestSchedule holds what is counted behind an event to its time, and to the run's.
func TestSchedule(t *testing.T) {
	r := newRunnerWithWorld(t, scenario.Event{Kind: "control-loss", AtS: 1, ForS: 2}, scenario.Event{Kind: "control-loss", AtS: 12, ForS: 1})
	all := r.schedule(&taskQueues{}, r.world.Steps(r.startedAt))
	var at []time.Duration
	for _, m := range all {
		at = append(at, m.at/time.Second)
	}
	want := []time.Duration{1, 3, 9, 12, 13, 15}
	if len(at) != len(want) {
		t.Fatalf("at %d s, want %d", at, want)
	}
	for i := range want {
		if at[i] != want[i] {
			t.Fatalf("at %d s, want %d", at, want)
		}
	}
}

// TestRecordReachability checks from when agents can be notified of what was made while their machines were away, through a loss of control
// that is over before they are back.
func TestRecordReachability(t *testing.T) {
	r := newRunnerWithWorld(t)
	down, up, away := true, false, r.simulatedPositions[0]
	server := r.world.Agents[away].Server
	other := r.simulatedPositions[1]
	now := func() int64 { return time.Now().UnixNano() }

	r.recordReachability(world.Step{Event: -1, Down: []int{server}, Silent: true})
	made := now()
	r.recordReachability(world.Step{Event: -1, ControlDown: &down})
	lost := now()
	r.recordReachability(world.Step{Event: -1, ControlDown: &up})
	back := now()
	if got := r.reachability.reachableFrom(away, made); got != never {
		t.Errorf("an agent whose machine is away can be notified from %d", got)
	}
	if got := r.reachability.reachableFrom(other, made); got != made {
		t.Error("another agent cannot be notified at once")
	}
	if got := r.reachability.reachableFrom(other, lost); got <= lost || got > back {
		t.Error("another agent cannot be notified when control is back")
	}
	r.recordReachability(world.Step{Event: -1, Up: []int{server}})
	if got := r.reachability.reachableFrom(away, made); got < back || got > now() {
		t.Errorf("an agent whose machine is back can be notified from %d, made at %d", got, made)
	}
	r.recordReachability(world.Step{Event: -1, ControlDown: &down})
	r.recordReachability(world.Step{Event: -1, Up: []int{server}}) // a planned start, of a machine that was not away
	if got := r.reachability.reachableFrom(away, now()); got != never {
		t.Error("a planned start brings control back")
	}
}
