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

// Step is what the run does at one time: to the world, to control, to agents. What a field leaves at its zero stays as it is.
//
// A change of the world (Down, Up) and the list's line about it (Changes) are steps of their own, control's notice apart.
// A planned leave is known beforehand: its line, Terminating, comes first.
type Step struct {
	At      time.Duration      // from the begin of the measured part
	Event   int                // position among the scenario's; -1: the run's own
	Changes []discovery.Member // control makes these one revision
	Down    []int              // servers whose processes end
	Silent  bool               // those of Down vanish without a word, and the agents beside them; else connections are reset
	Up      []int              // servers whose processes start; after a replacement under another id, at the same position
	Cold    bool               // those of Up start cold
	Restart []int              // agents that start again from nothing but their configuration
	Forget  bool               // those of Restart have no known list in it
	// The regions are cut apart or joined; the deepest service fails or serves; control is down or up.
	CutRegions, Fail, ControlDown *bool
	Config                        int // the revision of the configuration that is handed out from now on; 0: no new one
	KillRelay, StartRelay         bool
	Begins, Ends                  bool // the first or last step of the event
}

// stepper expands events. A server with which one event is not done yet is left alone by those that begin later, or the
// list would tell two stories of it: an event that finds too few takes those there are. Agents that are away when a
// restart begins are not in it.
type stepper struct {
	*World
	now        time.Time
	rng        *rand.Rand
	steps      []Step
	generation []int           // by server: how often it was replaced
	startedAt  []time.Duration // by server: Unix time of its process
	freeAt     []time.Duration // by server: when the last event with it is over
	awayUntil  []time.Duration // by server: when it is back, if it vanished
}

// Steps expands the scenario's events, the changes of configuration that come by themselves, and what happens to a
// relay, in the order of time, for a measured part that begins at a time. The same call has the same answer.
func (w *World) Steps(now time.Time) []Step {
	n := w.Scenario.Fleet.Servers // echo servers are real sockets, to which nothing happens
	s := &stepper{
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
func (s *stepper) expandEvent(i int, e *scenario.Event) {
	from := len(s.steps)
	at, length := seconds(e.AtS), seconds(e.ForS)
	s.steps = append(s.steps, Step{At: at, Begins: true})
	switch e.Kind {
	case "config":
		s.add(Step{At: at, Config: 1})
	case "restart":
		for _, w := range waves(s.pickAgents(at, e.Count), length) {
			s.add(Step{At: at + w.after, Restart: w.positions})
		}
	case "agents-back":
		s.add(Step{At: at, Restart: s.pickAgents(at, len(s.Agents)), Forget: true})
	case "replace":
		s.drain(at, length, s.pickServers(at, e.Count), true)
	case "release":
		s.drain(at, length, s.pickServers(at, int(math.Round(e.Share*float64(len(s.freeAt))))), false)
	case "machine":
		s.failMachines(at, length, s.pickServers(at, e.Count))
	case "rack", "zone":
		s.failMachines(at, length, s.freeServers(at, func(server *Server) bool {
			return server.Zone == e.Zone && (e.Kind == "zone" || server.Rack == e.Count)
		}))
	case "regions":
		s.toggle(at, length, func(step *Step, on *bool) { step.CutRegions = on })
	case "control-loss":
		s.toggle(at, length, func(step *Step, on *bool) { step.ControlDown = on })
	case "fail":
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

func (s *stepper) add(step Step) { s.steps = append(s.steps, step) }

// mergeFirst lets the mark of an event's begin stand at its first step where both are at one time.
func mergeFirst(own []Step) []Step {
	if len(own) > 1 && own[0].At == own[1].At {
		own = own[1:]
		own[0].Begins = true
	}
	return own
}

// toggle turns something on and, after a while, off.
func (s *stepper) toggle(at, length time.Duration, set func(*Step, *bool)) {
	for _, on := range []bool{true, false} {
		step := Step{At: at}
		set(&step, &on)
		s.add(step)
		at += length
	}
}

// drain drains servers in waves. Each one's line says so at once; the process ends when the drain does, and another
// starts in its place: the same one again, or another id at another address.
func (s *stepper) drain(at, length time.Duration, servers []int, replace bool) {
	drain, boot, notice := seconds(s.Scenario.Fleet.DrainS), seconds(s.Scenario.Fleet.BootS), s.noticeDelay()
	for _, w := range waves(servers, length) {
		ends := at + w.after + drain
		starts := ends + boot
		s.add(Step{At: at + w.after, Changes: s.memberLines(w.positions, stateTerminating)})
		s.add(Step{At: ends, Down: w.positions})
		s.add(Step{At: ends + notice, Changes: s.memberLines(w.positions, stateGone)})
		s.bringBack(starts, w.positions, replace, nil)
	}
}

// failMachines takes servers and the agents beside them away without a word. The agents come back with them.
func (s *stepper) failMachines(at, length time.Duration, servers []int) {
	if len(servers) == 0 {
		return
	}
	s.add(Step{At: at, Down: servers, Silent: true})
	s.add(Step{At: at + s.noticeDelay(), Changes: s.memberLines(servers, stateGone)})
	for _, i := range servers {
		s.awayUntil[i] = at + length
	}
	s.bringBack(at+length, servers, false, s.agentsBeside(servers))
}

// bringBack starts servers, cold, with the agents that come back with them, and lists them.
func (s *stepper) bringBack(at time.Duration, servers []int, replace bool, agents []int) {
	for _, i := range servers {
		s.startedAt[i] = time.Duration(s.now.Add(at).UnixNano())
		s.freeAt[i] = at + s.noticeDelay()
		if replace {
			s.generation[i]++
		}
	}
	s.add(Step{At: at, Up: servers, Cold: true, Restart: agents})
	s.add(Step{At: at + s.noticeDelay(), Changes: s.memberLines(servers, stateReady)})
}

// memberLines are the servers' lines as they are now.
func (s *stepper) memberLines(servers []int, phase string) []discovery.Member {
	out := make([]discovery.Member, 0, len(servers))
	for _, i := range servers {
		m := s.member(i, phase)
		m.ID, m.Address = s.serverID(i, s.generation[i]), serverAddr(i, s.generation[i])
		m.StartedAtMillis = float64(s.startedAt[i].Milliseconds())
		out = append(out, m)
	}
	return out
}

// freeServers returns the servers that are free at a time and of which something holds.
func (s *stepper) freeServers(at time.Duration, holds func(*Server) bool) (out []int) {
	for i, free := range s.freeAt {
		if free <= at && holds(&s.Servers[i]) {
			out = append(out, i)
		}
	}
	return out
}

// pickServers draws as many of the free servers, or all of them.
func (s *stepper) pickServers(at time.Duration, n int) []int {
	all := s.freeServers(at, func(*Server) bool { return true })
	s.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// pickAgents draws as many of the agents that are there at a time, or all of them.
func (s *stepper) pickAgents(at time.Duration, n int) []int {
	all := s.rng.Perm(len(s.Agents))
	all = slices.DeleteFunc(all, func(i int) bool { return s.awayUntil[s.Agents[i].Server] > at })
	return all[:min(n, len(all))]
}

// agentsBeside returns the agents beside servers, in their order.
func (s *stepper) agentsBeside(servers []int) (out []int) {
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

// addConfigChanges adds the configurations that come by themselves, in the middle of equal spans.
func (s *stepper) addConfigChanges() {
	perMinute := s.Scenario.ChangesPerMinute()
	for k := range int(math.Round(perMinute * s.Scenario.Seconds / 60)) {
		s.add(Step{At: seconds((float64(k) + 0.5) * 60 / perMinute), Event: -1, Config: 1})
	}
}

// addRelayEvents adds what happens to the relay that is killed.
func (s *stepper) addRelayEvents() {
	r := &s.Scenario.Relays
	if r.Count == 0 || r.KillAt == 0 {
		return
	}
	s.add(Step{At: seconds(r.KillAt), Event: -1, KillRelay: true})
	if back := r.KillAt + r.RestartAfter; r.RestartAfter > 0 && back <= s.Scenario.Seconds {
		s.add(Step{At: seconds(back), Event: -1, StartRelay: true})
	}
}

func (s *stepper) noticeDelay() time.Duration { return seconds(s.Scenario.Control.NoticeMS / 1000) }

// wave is some of those that an event works through, and when after its begin.
type wave struct {
	after     time.Duration
	positions []int
}

// waves spreads what an event works through evenly over a time: one by one, but no more than one wave a second, as those
// who roll something out do; all at once where there is no time.
func waves(all []int, over time.Duration) (out []wave) {
	n := min(len(all), 1+int(over/time.Second))
	for k := range n {
		out = append(out, wave{time.Duration(k) * over / time.Duration(n), all[k*len(all)/n : (k+1)*len(all)/n]})
	}
	return out
}

func seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }
