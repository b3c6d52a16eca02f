package world

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/scale/scenario"
)

// Step is a set of actions that the run applies at one time to servers, agents, relays and the discovery service. A
// field with its zero value changes nothing. Steps are sent to child processes as JSON, by the names or tags of the
// fields.
//
// A change of servers (Down, Up) and the resulting change of the list (Changes) are separate steps, because the
// discovery service notices changes after a delay. A planned shutdown changes the list first.
type Step struct {
	At      time.Duration      // since the start of the measurement period
	Event   int                // position in Scenario.Events; -1: none, a regular step of the run
	Changes []discovery.Member // entries that change in one revision of the list
	Down    []int              // servers whose processes end
	Silent  bool               // whether the Down servers and their agents stop responding instead of resetting connections
	Up      []int              // servers whose processes start; a replacement keeps its position but has another ID
	Cold    bool               // whether the Up servers start cold
	Restart []int              // agents that restart and keep only their configuration
	Forget  bool               // whether that configuration has no cached list

	PartitionRegions *bool // whether the regions are partitioned from each other
	Fail             *bool // whether the deepest service responds with errors
	ControlDown      *bool

	Config                int // revision of the configuration to distribute; 0: none
	KillRelay, StartRelay bool
	Begins, Ends          bool // whether this is the first or last step of the event
}

// stepBuilder expands events into steps. An event picks only servers that no earlier event still affects, because
// overlapping events would make the list inconsistent; if there are too few, it picks all of these. A restart excludes
// agents that are down.
type stepBuilder struct {
	*World
	now        time.Time
	rng        *rand.Rand
	steps      []Step
	generation []int           // by server: number of its replacements
	startedAt  []time.Duration // by server: Unix time at which its process started
	freeAt     []time.Duration // by server: when the last event that affects it ends
	downUntil  []time.Duration // by server: when it is back after a machine failure
}

// Steps expands the scenario's events, its regular configuration changes and the relay failure into steps in order of
// time. now is the start of the measurement period. The result depends only on the scenario and now.
func (w *World) Steps(now time.Time) []Step {
	n := w.Scenario.Fleet.Servers // echo servers are real sockets, which events do not affect
	s := &stepBuilder{
		World: w, now: now, rng: w.rng(streamEvents),
		generation: make([]int, n), startedAt: make([]time.Duration, n), freeAt: make([]time.Duration, n), downUntil: make([]time.Duration, n),
	}
	for i := range s.startedAt {
		s.startedAt[i] = w.Servers[i].Start
	}
	order := make([]int, len(w.Scenario.Events))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(w.Scenario.Events[a].AtS, w.Scenario.Events[b].AtS) })
	for _, i := range order {
		s.expandEvent(i, &w.Scenario.Events[i])
	}
	s.addConfigChanges()
	s.addRelayEvents()
	slices.SortStableFunc(s.steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	revision := 0
	for i := range s.steps {
		if s.steps[i].Config > 0 {
			revision++
			s.steps[i].Config = revision
		}
	}
	return s.steps
}

// expandEvent adds the steps of one event. The first step has Begins set, the last one Ends.
func (s *stepBuilder) expandEvent(i int, e *scenario.Event) {
	from := len(s.steps)
	at, length := seconds(e.AtS), seconds(e.ForS)
	s.steps = append(s.steps, Step{At: at, Begins: true})
	switch e.Kind {
	case scenario.EventConfig:
		s.add(Step{At: at, Config: 1})
	case scenario.EventRestart:
		for _, w := range waves(s.pickAgents(at, e.Count), length) {
			s.add(Step{At: at + w.after, Restart: w.positions})
		}
	case scenario.EventAgentsBack:
		s.add(Step{At: at, Restart: s.pickAgents(at, len(s.Agents)), Forget: true})
	case scenario.EventReplace:
		s.drain(at, length, s.pickServers(at, e.Count), true)
	case scenario.EventRelease:
		s.drain(at, length, s.pickServers(at, int(math.Round(e.Share*float64(len(s.freeAt))))), false)
	case scenario.EventMachine:
		s.failMachines(at, length, s.pickServers(at, e.Count))
	case scenario.EventRack, scenario.EventZone:
		s.failMachines(at, length, s.freeServers(at, func(server *Server) bool {
			return server.Zone == e.Zone && (e.Kind == scenario.EventZone || server.Rack == e.Count)
		}))
	case scenario.EventRegions:
		s.toggle(at, length, func(step *Step, on *bool) { step.PartitionRegions = on })
	case scenario.EventControlLoss:
		s.toggle(at, length, func(step *Step, on *bool) { step.ControlDown = on })
	case scenario.EventFail:
		s.toggle(at, length, func(step *Step, on *bool) { step.Fail = on })
	}
	eventSteps := s.steps[from:]
	slices.SortStableFunc(eventSteps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	for k := range eventSteps {
		eventSteps[k].Event = i
	}
	s.steps = append(s.steps[:from], mergeFirst(eventSteps)...)
	s.steps[len(s.steps)-1].Ends = true
}

func (s *stepBuilder) add(step Step) { s.steps = append(s.steps, step) }

// mergeFirst merges the step that marks the beginning of an event with the next step, if both are at the same time.
func mergeFirst(steps []Step) []Step {
	if len(steps) > 1 && steps[0].At == steps[1].At {
		steps = steps[1:]
		steps[0].Begins = true
	}
	return steps
}

// toggle adds a step that turns something on and, after length, one that turns it off.
func (s *stepBuilder) toggle(at, length time.Duration, set func(*Step, *bool)) {
	for _, on := range []bool{true, false} {
		step := Step{At: at}
		set(&step, &on)
		s.add(step)
		at += length
	}
}

// drain drains servers in waves. The list shows the drain immediately. At its end the process ends, and another one
// starts in its place: the same server or, for a replacement, a server with another ID and address.
func (s *stepBuilder) drain(at, length time.Duration, servers []int, replace bool) {
	drain, boot, notice := seconds(s.Scenario.Fleet.DrainS), seconds(s.Scenario.Fleet.BootS), s.noticeDelay()
	for _, w := range waves(servers, length) {
		ends := at + w.after + drain
		starts := ends + boot
		s.add(Step{At: at + w.after, Changes: s.memberEntries(w.positions, stateTerminating)})
		s.add(Step{At: ends, Down: w.positions})
		s.add(Step{At: ends + notice, Changes: s.memberEntries(w.positions, stateGone)})
		s.restoreServers(starts, w.positions, replace, nil)
	}
}

// failMachines makes servers and the agents colocated with them stop responding. They restart together.
func (s *stepBuilder) failMachines(at, length time.Duration, servers []int) {
	if len(servers) == 0 {
		return
	}
	s.add(Step{At: at, Down: servers, Silent: true})
	s.add(Step{At: at + s.noticeDelay(), Changes: s.memberEntries(servers, stateGone)})
	for _, i := range servers {
		s.downUntil[i] = at + length
	}
	s.restoreServers(at+length, servers, false, s.colocatedAgents(servers))
}

// restoreServers starts servers cold, restarts the given agents with them, and adds the servers to the list.
func (s *stepBuilder) restoreServers(at time.Duration, servers []int, replace bool, agents []int) {
	for _, i := range servers {
		s.startedAt[i] = time.Duration(s.now.Add(at).UnixNano())
		s.freeAt[i] = at + s.noticeDelay()
		if replace {
			s.generation[i]++
		}
	}
	s.add(Step{At: at, Up: servers, Cold: true, Restart: agents})
	s.add(Step{At: at + s.noticeDelay(), Changes: s.memberEntries(servers, stateReady)})
}

// memberEntries returns the list entries of the current generations of servers.
func (s *stepBuilder) memberEntries(servers []int, state string) []discovery.Member {
	out := make([]discovery.Member, 0, len(servers))
	for _, i := range servers {
		m := s.member(i, state)
		m.ID = s.serverID(i, s.generation[i])
		m.Address = serverAddr(i, s.generation[i])
		m.StartedAtMillis = float64(s.startedAt[i].Milliseconds())
		out = append(out, m)
	}
	return out
}

// freeServers returns the matching servers that no event affects at the given time.
func (s *stepBuilder) freeServers(at time.Duration, match func(*Server) bool) (out []int) {
	for i, free := range s.freeAt {
		if free <= at && match(&s.Servers[i]) {
			out = append(out, i)
		}
	}
	return out
}

// pickServers returns n random free servers, or all if there are fewer.
func (s *stepBuilder) pickServers(at time.Duration, n int) []int {
	all := s.freeServers(at, func(*Server) bool { return true })
	s.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// pickAgents returns n random agents that are not down at the given time, or all if there are fewer.
func (s *stepBuilder) pickAgents(at time.Duration, n int) []int {
	all := s.rng.Perm(len(s.Agents))
	all = slices.DeleteFunc(all, func(i int) bool { return s.downUntil[s.Agents[i].Server] > at })
	return all[:min(n, len(all))]
}

// colocatedAgents returns the agents colocated with the given servers, in ascending order.
func (s *stepBuilder) colocatedAgents(servers []int) (out []int) {
	selected := make(map[int]bool, len(servers))
	for _, i := range servers {
		selected[i] = true
	}
	for i, a := range s.Agents {
		if selected[a.Server] {
			out = append(out, i)
		}
	}
	return out
}

// addConfigChanges adds the regular configuration changes, each in the middle of one of equally long intervals.
func (s *stepBuilder) addConfigChanges() {
	perMinute := s.Scenario.ChangesPerMinute()
	for k := range int(math.Round(perMinute * s.Scenario.Seconds / 60)) {
		s.add(Step{At: seconds((float64(k) + 0.5) * 60 / perMinute), Event: -1, Config: 1})
	}
}

// addRelayEvents adds the crash and the restart of a relay.
func (s *stepBuilder) addRelayEvents() {
	r := &s.Scenario.Relays
	if r.Count == 0 || r.KillAt == 0 {
		return
	}
	s.add(Step{At: seconds(r.KillAt), Event: -1, KillRelay: true})
	if back := r.KillAt + r.RestartAfter; r.RestartAfter > 0 && back <= s.Scenario.Seconds {
		s.add(Step{At: seconds(back), Event: -1, StartRelay: true})
	}
}

func (s *stepBuilder) noticeDelay() time.Duration { return seconds(s.Scenario.Control.NoticeMS / 1000) }

// wave is a group of the servers or agents of an event that change together.
type wave struct {
	after     time.Duration // since the beginning of the event
	positions []int
}

// waves divides servers or agents into at most 1+over/time.Second waves, evenly spread over the duration over.
func waves(all []int, over time.Duration) (out []wave) {
	n := min(len(all), 1+int(over/time.Second))
	for k := range n {
		out = append(out, wave{time.Duration(k) * over / time.Duration(n), all[k*len(all)/n : (k+1)*len(all)/n]})
	}
	return out
}

func seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }
