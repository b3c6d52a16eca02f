package world_test

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/scale/scenario"
	"example.org/ryeloft/internal/scale/world"
)

// stepScenarios returns the scenarios whose steps TestSteps checks.
func stepScenarios(t *testing.T) map[string]*scenario.Scenario {
	t.Helper()
	all := map[string]*scenario.Scenario{}
	for _, name := range []string{"target", "small", "tiny"} {
		s, err := scenario.Load("../../../deploy/scale/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		all[name] = s
	}
	all["none"] = fleet(t, nil)
	all["overlapping events"] = fleet(t, func(s *scenario.Scenario) {
		s.Fleet.BootS = 0
		s.Relays = scenario.Relays{Count: 2, FullListsPerS: 10, KillAt: 20, RestartAfter: 5}
		s.Events = []scenario.Event{
			{Kind: "config", AtS: 11},
			{Kind: "replace", AtS: 10, ForS: 30, Count: 830},
			{Kind: "zone", AtS: 12, ForS: 5, Zone: 1},
			{Kind: "agents-back", AtS: 13},
			{Kind: "rack", AtS: 60, ForS: 0.2, Zone: 1, Count: 0},
			{Kind: "zone", AtS: 60, ForS: 20, Zone: 1},
			{Kind: "release", AtS: 61, ForS: 30, Share: 1},
			{Kind: "replace", AtS: 120, Count: 830},
			{Kind: "restart", AtS: 65, Count: 830},
		}
	})
	return all
}

func TestSteps(t *testing.T) {
	for name, s := range stepScenarios(t) {
		t.Run(name, func(t *testing.T) {
			w := generate(t, s)
			w.AddEcho([]string{"127.0.0.1:1"})
			steps := w.Steps(measurementStart)
			if again := w.Steps(measurementStart); !reflect.DeepEqual(steps, again) {
				t.Error("a second call of Steps returned different steps")
			}
			checkOrder(t, s, steps)
			checkLists(t, w, steps)
			checkProcesses(t, w, steps)
			checkSwitches(t, steps)
		})
	}
}

// checkOrder checks that steps are in order of time and within the run, that each event begins and ends once, and that
// configuration revisions are consecutive.
func checkOrder(t *testing.T, s *scenario.Scenario, steps []world.Step) {
	t.Helper()
	begun, ended := make([]int, len(s.Events)), make([]int, len(s.Events))
	configs, at := 0, time.Duration(0)
	for _, step := range steps {
		if step.At < at || step.At.Seconds() > s.Seconds {
			t.Errorf("step %+v: got time %v, want it between %v and %v s", step, step.At, at, s.Seconds)
		}
		at = step.At
		if step.Config > 0 {
			if configs++; step.Config != configs {
				t.Errorf("got configuration revision %d, want %d", step.Config, configs)
			}
		}
		if step.Event < 0 {
			if step.Begins || step.Ends {
				t.Errorf("step %+v has no event but begins or ends one", step)
			}
			continue
		}
		e := step.Event
		if step.Begins {
			begun[e]++
		}
		if begun[e] != 1 || ended[e] != 0 {
			t.Errorf("event %d has a step at %v, before its beginning or after its end", e, step.At)
		}
		if step.Ends {
			ended[e]++
		}
	}
	wantConfigs := int(s.ChangesPerMinute()*s.Seconds/60 + 0.5)
	for i, e := range s.Events {
		if begun[i] != 1 || ended[i] != 1 {
			t.Errorf("event %d: got %d beginnings and %d ends, want 1 of each", i, begun[i], ended[i])
		}
		if e.Kind == "config" {
			wantConfigs++
		}
	}
	if configs != wantConfigs {
		t.Errorf("got %d configurations, want %d", configs, wantConfigs)
	}
}

// checkLists applies the changes to the list and checks their states: a server drains or fails before it is gone, IDs
// and addresses are never reused by another server, and a server that comes back has a new start time.
func checkLists(t *testing.T, w *world.World, steps []world.Step) {
	t.Helper()
	list := map[string]discovery.Member{}
	for _, m := range w.Members(measurementStart) {
		list[m.ID] = m
	}
	if len(list) != len(w.Servers) {
		t.Fatalf("got %d list entries for %d servers", len(list), len(w.Servers))
	}
	addrs := map[string]string{}
	for _, step := range steps {
		for _, m := range step.Changes {
			old, known := list[m.ID]
			position, ok := w.ServerPosition(m.ID)
			switch {
			case !ok || m.Kind != w.Services[w.Servers[position].Service].Name:
				t.Fatalf("%+v: got server position %d, %v", m, position, ok)
			case addrs[m.Address] != "" && addrs[m.Address] != m.ID:
				t.Fatalf("%+v reuses the address of %s", m, addrs[m.Address])
			case m.State == "Terminating" && old.State != "Ready", m.State == "Gone" && old.State != "Ready" && old.State != "Terminating",
				m.State == "Ready" && known && (old.State != "Gone" || m.StartedAtMillis <= old.StartedAtMillis):
				t.Fatalf("invalid transition to %+v from %+v", m, old)
			case m.State == "Ready" && known == (w.Scenario.Events[step.Event].Kind == "replace"):
				t.Fatalf("%+v becomes ready by event %+v: got ID known %v", m, w.Scenario.Events[step.Event], known)
			case m.State == "Ready" && !(m.StartedAtMillis >= float64(measurementStart.UnixMilli()) && m.StartedAtMillis <= float64(measurementStart.Add(step.At).UnixMilli())):
				t.Fatalf("%+v: start time is not between the beginning of the run and the step at %v", m, step.At)
			}
			addrs[m.Address], list[m.ID] = m.ID, m
		}
	}
	ready := 0
	for _, m := range list {
		if m.State == "Ready" {
			ready++
		}
	}
	if ready != len(w.Servers) {
		t.Errorf("got %d ready servers at the end, want %d", ready, len(w.Servers))
	}
}

// checkProcesses checks that each server goes down and up alternately, is up at the end of the run, and is never listed
// as ready while it is down.
func checkProcesses(t *testing.T, w *world.World, steps []world.Step) {
	t.Helper()
	down := make([]bool, len(w.Servers))
	for _, step := range steps {
		for _, i := range step.Down {
			if down[i] {
				t.Errorf("server %d goes down at %v while it is down", i, step.At)
			}
			down[i] = true
		}
		for _, i := range step.Up {
			if !down[i] || !step.Cold {
				t.Errorf("server %d starts at %v: got down %v, cold %v, want both", i, step.At, down[i], step.Cold)
			}
			down[i] = false
		}
		for _, m := range step.Changes {
			if i, _ := w.ServerPosition(m.ID); m.State == "Ready" && down[i] {
				t.Errorf("server %d becomes ready at %v while it is down", i, step.At)
			}
		}
		for _, a := range step.Restart {
			if len(step.Up) > 0 && !slices.Contains(step.Up, w.Agents[a].Server) {
				t.Errorf("agent %d restarts without its server", a)
			}
		}
	}
	if slices.Contains(down, true) {
		t.Errorf("servers down at the end: %v", down)
	}
}

// checkSwitches checks that partitions, failures and outages are turned on and off alternately, and are off at the end.
func checkSwitches(t *testing.T, steps []world.Step) {
	t.Helper()
	var partitioned, failing, controlDown bool
	for _, step := range steps {
		for current, next := range map[*bool]*bool{&partitioned: step.PartitionRegions, &failing: step.Fail, &controlDown: step.ControlDown} {
			if next != nil {
				if *current == *next {
					t.Errorf("step at %v sets a switch to %v twice", step.At, *next)
				}
				*current = *next
			}
		}
	}
	if partitioned || failing || controlDown {
		t.Errorf("at the end: got regions partitioned %v, service failing %v, control down %v, want all false", partitioned, failing, controlDown)
	}
}

// TestEventKinds checks the steps of each kind of event in a small fleet.
func TestEventKinds(t *testing.T) {
	for name, c := range map[string]struct {
		event scenario.Event
		want  []world.Step // only what summary compares
	}{
		"config": {scenario.Event{Kind: "config", AtS: 1}, []world.Step{{At: time.Second, Config: 1}}},
		"restart": {scenario.Event{Kind: "restart", AtS: 1, ForS: 4, Count: 2}, []world.Step{
			{At: time.Second, Restart: make([]int, 1)}, {At: 3 * time.Second, Restart: make([]int, 1)}}},
		"agents-back": {scenario.Event{Kind: "agents-back", AtS: 1}, []world.Step{{At: time.Second, Restart: make([]int, 16), Forget: true}}},
		"replace": {scenario.Event{Kind: "replace", AtS: 1, Count: 3}, []world.Step{
			{At: time.Second, Changes: make([]discovery.Member, 3)},
			{At: 7 * time.Second, Down: make([]int, 3)},
			{At: 7500 * time.Millisecond, Changes: make([]discovery.Member, 3)},
			{At: 8 * time.Second, Up: make([]int, 3), Cold: true},
			{At: 8500 * time.Millisecond, Changes: make([]discovery.Member, 3)}}},
		"machine": {scenario.Event{Kind: "machine", AtS: 1, ForS: 2, Count: 2}, []world.Step{
			{At: time.Second, Down: make([]int, 2), Silent: true},
			{At: 1500 * time.Millisecond, Changes: make([]discovery.Member, 2)},
			{At: 3 * time.Second, Up: make([]int, 2), Cold: true, Restart: make([]int, 2)},
			{At: 3500 * time.Millisecond, Changes: make([]discovery.Member, 2)}}},
		"control-loss": {scenario.Event{Kind: "control-loss", AtS: 1, ForS: 2}, []world.Step{
			{At: time.Second, ControlDown: new(bool)}, {At: 3 * time.Second, ControlDown: new(bool)}}},
		"regions": {scenario.Event{Kind: "regions", AtS: 1, ForS: 2}, []world.Step{
			{At: time.Second, PartitionRegions: new(bool)}, {At: 3 * time.Second, PartitionRegions: new(bool)}}},
		"fail": {scenario.Event{Kind: "fail", AtS: 1, ForS: 2}, []world.Step{
			{At: time.Second, Fail: new(bool)}, {At: 3 * time.Second, Fail: new(bool)}}},
	} {
		t.Run(name, func(t *testing.T) {
			s := fleet(t, func(s *scenario.Scenario) {
				s.Fleet = small(s.Fleet, 16, 4, 3)
				s.Events = []scenario.Event{c.event}
			})
			got := generate(t, s).Steps(measurementStart)
			if len(got) != len(c.want) {
				t.Fatalf("got %d steps, want %d: %+v", len(got), len(c.want), got)
			}
			for i, step := range got {
				if want := c.want[i]; !reflect.DeepEqual(summary(step), summary(want)) {
					t.Errorf("step %d: got %+v, want %+v", i, step, want)
				}
			}
		})
	}
}

// summary returns the parts of a step that TestEventKinds compares: times, counts and which switches are set.
func summary(s world.Step) []any {
	return []any{s.At, s.Config, len(s.Changes), len(s.Down), s.Silent, len(s.Up), s.Cold, len(s.Restart), s.Forget,
		s.PartitionRegions != nil, s.Fail != nil, s.ControlDown != nil}
}

// TestMachineFailureTakesServersAndAgents checks that a rack or zone failure affects exactly the servers in it, and
// that the agents colocated with them restart with them.
func TestMachineFailureTakesServersAndAgents(t *testing.T) {
	for name, e := range map[string]scenario.Event{
		"rack": {Kind: "rack", AtS: 1, ForS: 2, Zone: 3, Count: 2},
		"zone": {Kind: "zone", AtS: 1, ForS: 2, Zone: 3},
	} {
		w := generate(t, fleet(t, func(s *scenario.Scenario) { s.Events = []scenario.Event{e} }))
		var want []int
		for i, s := range w.Servers {
			if s.Zone == 3 && (name == "zone" || s.Rack == 2) {
				want = append(want, i)
			}
		}
		steps := w.Steps(measurementStart)
		if len(want) == 0 || !slices.Equal(steps[0].Down, want) || !slices.Equal(steps[2].Restart, want) {
			t.Errorf("%s: got servers %v down and agents %v restarted, want %v for both", name, steps[0].Down, steps[2].Restart, want)
		}
	}
}
