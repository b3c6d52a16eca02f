package run

import (
	"maps"
	"testing"
	"time"

	"example.org/ryeloft/internal/scale/scenario"
	"example.org/ryeloft/internal/scale/world"
)

// newDrawnRunner is a play of a small fleet in which nothing was started.
func newDrawnRunner(t *testing.T, events ...scenario.Event) *runner {
	t.Helper()
	s, err := scenario.Load("../../../deploy/scale/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Events, s.Control.PerMinute, s.Control.ChangesDay = events, 0, 0
	p := &runner{scenario: s, result: nil}
	if err := p.drawWorld(); err != nil {
		t.Fatal(err)
	}
	p.startedAt = time.Now()
	return p
}

func TestAffects(t *testing.T) {
	p := newDrawnRunner(t,
		scenario.Event{Kind: "config", AtS: 1}, scenario.Event{Kind: "replace", AtS: 1, Count: 2}, scenario.Event{Kind: "restart", AtS: 1, Count: 7},
		scenario.Event{Kind: "regions", AtS: 1, ForS: 1}, scenario.Event{Kind: "control-loss", AtS: 1, ForS: 1}, scenario.Event{Kind: "agents-back", AtS: 2},
		scenario.Event{Kind: "machine", AtS: 1, ForS: 1, Count: 1}, scenario.Event{Kind: "fail", AtS: 1, ForS: 1},
	)
	want := map[int]int{0: 60, 1: 2, 2: 7, 3: len(p.agentsOutsideControlRegion()), 4: 60, 5: 60, 6: 1, 7: len(p.world.Services[p.world.Deepest].Servers)}
	if got := p.countAffected(p.world.Steps(p.startedAt)); !maps.Equal(got, want) || len(p.agentsOutsideControlRegion()) == 0 || len(p.agentsOutsideControlRegion()) == 60 {
		t.Errorf("affected by event: %v, want %v", got, want)
	}
}

// TestMoments holds what is counted behind an event to its time, and to the run's.
func TestMoments(t *testing.T) {
	p := newDrawnRunner(t, scenario.Event{Kind: "control-loss", AtS: 1, ForS: 2}, scenario.Event{Kind: "control-loss", AtS: 12, ForS: 1})
	all := p.schedule(&partQueues{}, p.world.Steps(p.startedAt))
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

// TestNote holds from when agents can be told of what was made while their machines were away, through a loss of control
// that is over before they are back.
func TestNote(t *testing.T) {
	p := newDrawnRunner(t)
	down, up, away := true, false, p.simulatedPositions[0]
	server := p.world.Agents[away].Server
	other := p.simulatedPositions[1]
	now := func() int64 { return time.Now().UnixNano() }

	p.recordReachability(world.Step{Event: -1, Down: []int{server}, Silent: true})
	made := now()
	p.recordReachability(world.Step{Event: -1, ControlDown: &down})
	lost := now()
	p.recordReachability(world.Step{Event: -1, ControlDown: &up})
	back := now()
	if got := p.reachability.reachableFrom(away, made); got != never {
		t.Errorf("an agent whose machine is away can be told from %d", got)
	}
	if got := p.reachability.reachableFrom(other, made); got != made {
		t.Error("another agent cannot be told at once")
	}
	if got := p.reachability.reachableFrom(other, lost); got <= lost || got > back {
		t.Error("another agent cannot be told when control is back")
	}
	p.recordReachability(world.Step{Event: -1, Up: []int{server}})
	if got := p.reachability.reachableFrom(away, made); got < back || got > now() {
		t.Errorf("an agent whose machine is back can be told from %d, made at %d", got, made)
	}
	p.recordReachability(world.Step{Event: -1, ControlDown: &down})
	p.recordReachability(world.Step{Event: -1, Up: []int{server}}) // a planned start, of a machine that was not away
	if got := p.reachability.reachableFrom(away, now()); got != never {
		t.Error("a planned start brings control back")
	}
}
