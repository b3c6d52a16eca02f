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

// Step is what the run does at one time to the world, to control and to agents. A field at its zero value changes nothing.
// Steps are sent to the parts as JSON, by the fields' names or tags.
//
// A change of the world (Down, Up) and of the list (Changes) are steps of their own, with control's delay between them. A
// planned leave changes the list first.
type Step struct {
	At      time.Duration      // from the beginning of the measured part
	Event   int                // position among the scenario's; -1: the run's own
	Changes []discovery.Member // control makes these one revision
	Down    []int              // servers whose processes end
	Silent  bool               // those of Down vanish, with the agents beside them; else their connections are reset
	Up      []int              // servers whose processes start; after a replacement under another id, at the same position
	Cold    bool               // those of Up start cold
	Restart []int              // agents that restart with nothing but their configuration
	Forget  bool               // those of Restart have no cached list in it

	PartitionRegions *bool // whether the regions are partitioned from each other
	Fail             *bool // whether the deepest service answers errors
	ControlDown      *bool

	Config                int // revision of the configuration that is handed out from now on; 0: no new one
	KillRelay, StartRelay bool
	Begins, Ends          bool // the first or last step of the event
}

// stepBuilder expands events. An event picks only servers that no earlier event is still busy with, or the list would
// contradict itself; where there are too few it takes those. A restart leaves out agents that are away.
type stepBuilder struct {
	*World
	now        time.Time
	rng        *rand.Rand
	steps      []Step
	generation []int           // by server: how often it was replaced
	startedAt  []time.Duration // by server: Unix time of its process
	freeAt     []time.Duration // by server: when the last event with it is over
	awayUntil  []time.Duration // by server: when it is back after it vanished
}

// Steps expands the scenario's events, its regular changes of configuration and the failure of a relay, in the order of
// time, for a measured part that begins at a time. The result depends on the scenario and the time only.
func (w *World) Steps(now time.Time) []Step {
	n := w.Scenario.Fleet.Servers // echo servers are real sockets, to which nothing happens
	s := &stepBuilder{
		World: w, now: now, rng: w.rng(streamEvents),
		generation: make([]int, n), startedAt: make([]time.Duration, n), freeAt: make([]time.Duration, n), awayUntil: make([]time.Duration, n),
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

// expandEvent adds the steps of one event, the first of which begins it and the last of which ends it.
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
	own := s.steps[from:]
	slices.SortStableFunc(own, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	for k := range own {
		own[k].Event = i
	}
	s.steps = append(s.steps[:from], mergeFirst(own)...)
	s.steps[len(s.steps)-1].Ends = true
}

func (s *stepBuilder) add(step Step) { s.steps = append(s.steps, step) }

// mergeFirst merges the step that marks an event's beginning with the next, if that is at the same time.
func mergeFirst(own []Step) []Step {
	if len(own) > 1 && own[0].At == own[1].At {
		own = own[1:]
		own[0].Begins = true
	}
	return own
}

// toggle sets something on and, after a while, off.
func (s *stepBuilder) toggle(at, length time.Duration, set func(*Step, *bool)) {
	for _, on := range []bool{true, false} {
		step := Step{At: at}
		set(&step, &on)
		s.add(step)
		at += length
	}
}

// drain drains servers in waves. The list says so at once; the process ends when the drain does, and another starts in its
// place: the same server or, as a replacement, another id at another address.
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

// failMachines makes servers and the agents beside them vanish. They come back together.
func (s *stepBuilder) failMachines(at, length time.Duration, servers []int) {
	if len(servers) == 0 {
		return
	}
	s.add(Step{At: at, Down: servers, Silent: true})
	s.add(Step{At: at + s.noticeDelay(), Changes: s.memberEntries(servers, stateGone)})
	for _, i := range servers {
		s.awayUntil[i] = at + length
	}
	s.restoreServers(at+length, servers, false, s.agentsBeside(servers))
}

// restoreServers starts servers, cold, with the agents that come back with them, and adds them to the list.
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

// memberEntries are the servers' entries in the list as they are now.
func (s *stepBuilder) memberEntries(servers []int, phase string) []discovery.Member {
	out := make([]discovery.Member, 0, len(servers))
	for _, i := range servers {
		m := s.member(i, phase)
		m.ID = s.serverID(i, s.generation[i])
		m.Address = serverAddr(i, s.generation[i])
		m.StartedAtMillis = float64(s.startedAt[i].Milliseconds())
		out = append(out, m)
	}
	return out
}

// freeServers returns the servers that no event is busy with at a time and that match.
func (s *stepBuilder) freeServers(at time.Duration, match func(*Server) bool) (out []int) {
	for i, free := range s.freeAt {
		if free <= at && match(&s.Servers[i]) {
			out = append(out, i)
		}
	}
	return out
}

// pickServers draws n of the free servers, or all where there are fewer.
func (s *stepBuilder) pickServers(at time.Duration, n int) []int {
	all := s.freeServers(at, func(*Server) bool { return true })
	s.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// pickAgents draws n of the agents that are not away at a time, or all where there are fewer.
func (s *stepBuilder) pickAgents(at time.Duration, n int) []int {
	all := s.rng.Perm(len(s.Agents))
	all = slices.DeleteFunc(all, func(i int) bool { return s.awayUntil[s.Agents[i].Server] > at })
	return all[:min(n, len(all))]
}

// agentsBeside returns the agents beside servers, in their order.
func (s *stepBuilder) agentsBeside(servers []int) (out []int) {
	down := make(map[int]bool, len(servers))
	for _, i := range servers {
		down[i] = true
	}
	for i, a := range s.Agents {
		if down[a.Server] {
			out = append(out, i)
		}
	}
	return out
}

// addConfigChanges adds the regular changes of configuration, in the middle of equal spans.
func (s *stepBuilder) addConfigChanges() {
	perMinute := s.Scenario.ChangesPerMinute()
	for k := range int(math.Round(perMinute * s.Scenario.Seconds / 60)) {
		s.add(Step{At: seconds((float64(k) + 0.5) * 60 / perMinute), Event: -1, Config: 1})
	}
}

// addRelayEvents adds the failure and the restart of a relay.
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

// wave is a part of the servers or agents of an event, and when after its beginning it comes.
type wave struct {
	after     time.Duration
	positions []int
}

// waves spreads servers or agents evenly over a time, in at most one wave a second.
func waves(all []int, over time.Duration) (out []wave) {
	n := min(len(all), 1+int(over/time.Second))
	for k := range n {
		out = append(out, wave{time.Duration(k) * over / time.Duration(n), all[k*len(all)/n : (k+1)*len(all)/n]})
	}
	return out
}

func seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }
