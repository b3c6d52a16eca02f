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
	start      []time.Duration // by server: Unix time of its process
	free       []time.Duration // by server: when the last event with it is over
	away       []time.Duration // by server: when it is back, if it vanished
}

// Steps expands the scenario's events, the changes of configuration that come by themselves, and what happens to a
// relay, in the order of time, for a measured part that begins at a time. The same call has the same answer.
func (w *World) Steps(now time.Time) []Step {
	n := w.Scenario.Fleet.Servers // echo servers are real sockets, to which nothing happens
	s := &stepper{
		World: w, now: now, rng: w.rng(streamEvents),
		generation: make([]int, n), start: make([]time.Duration, n), free: make([]time.Duration, n), away: make([]time.Duration, n),
	}
	for i := range s.start {
		s.start[i] = w.Servers[i].Start
	}
	order := make([]int, len(w.Scenario.Events))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(w.Scenario.Events[a].AtS, w.Scenario.Events[b].AtS) })
	for _, i := range order {
		s.event(i, &w.Scenario.Events[i])
	}
	s.changes()
	s.relay()
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

// event adds the steps of one event, the first of which begins it and the last of which ends it.
func (s *stepper) event(i int, e *scenario.Event) {
	from := len(s.steps)
	at, length := seconds(e.AtS), seconds(e.ForS)
	s.steps = append(s.steps, Step{At: at, Begins: true})
	switch e.Kind {
	case "config":
		s.add(Step{At: at, Config: 1})
	case "restart":
		for _, w := range waves(s.agents(at, e.Count), length) {
			s.add(Step{At: at + w.after, Restart: w.of})
		}
	case "agents-back":
		s.add(Step{At: at, Restart: s.agents(at, len(s.Agents)), Forget: true})
	case "replace":
		s.leave(at, length, s.pick(at, e.Count), true)
	case "release":
		s.leave(at, length, s.pick(at, int(math.Round(e.Share*float64(len(s.free))))), false)
	case "machine":
		s.vanish(at, length, s.pick(at, e.Count))
	case "rack", "zone":
		s.vanish(at, length, s.among(at, func(server *Server) bool {
			return server.Zone == e.Zone && (e.Kind == "zone" || server.Rack == e.Count)
		}))
	case "regions":
		s.span(at, length, func(step *Step, on *bool) { step.CutRegions = on })
	case "control-loss":
		s.span(at, length, func(step *Step, on *bool) { step.ControlDown = on })
	case "fail":
		s.span(at, length, func(step *Step, on *bool) { step.Fail = on })
	}
	own := s.steps[from:]
	slices.SortStableFunc(own, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	for k := range own {
		own[k].Event = i
	}
	s.steps = append(s.steps[:from], joined(own)...)
	s.steps[len(s.steps)-1].Ends = true
}

func (s *stepper) add(step Step) { s.steps = append(s.steps, step) }

// joined lets the mark of an event's begin stand at its first step where both are at one time.
func joined(own []Step) []Step {
	if len(own) > 1 && own[0].At == own[1].At {
		own = own[1:]
		own[0].Begins = true
	}
	return own
}

// span turns something on and, after a while, off.
func (s *stepper) span(at, length time.Duration, set func(*Step, *bool)) {
	for _, on := range []bool{true, false} {
		step := Step{At: at}
		set(&step, &on)
		s.add(step)
		at += length
	}
}

// leave drains servers in waves. Each one's line says so at once; the process ends when the drain does, and another
// starts in its place: the same one again, or another id at another address.
func (s *stepper) leave(at, length time.Duration, servers []int, replace bool) {
	drain, boot, notice := seconds(s.Scenario.Fleet.DrainS), seconds(s.Scenario.Fleet.BootS), s.notice()
	for _, w := range waves(servers, length) {
		ends := at + w.after + drain
		starts := ends + boot
		s.add(Step{At: at + w.after, Changes: s.lines(w.of, terminating)})
		s.add(Step{At: ends, Down: w.of})
		s.add(Step{At: ends + notice, Changes: s.lines(w.of, gone)})
		s.back(starts, w.of, replace, nil)
	}
}

// vanish takes servers and the agents beside them away without a word. The agents come back with them.
func (s *stepper) vanish(at, length time.Duration, servers []int) {
	if len(servers) == 0 {
		return
	}
	s.add(Step{At: at, Down: servers, Silent: true})
	s.add(Step{At: at + s.notice(), Changes: s.lines(servers, gone)})
	for _, i := range servers {
		s.away[i] = at + length
	}
	s.back(at+length, servers, false, s.beside(servers))
}

// back starts servers, cold, with the agents that come back with them, and lists them.
func (s *stepper) back(at time.Duration, servers []int, replace bool, agents []int) {
	for _, i := range servers {
		s.start[i] = time.Duration(s.now.Add(at).UnixNano())
		s.free[i] = at + s.notice()
		if replace {
			s.generation[i]++
		}
	}
	s.add(Step{At: at, Up: servers, Cold: true, Restart: agents})
	s.add(Step{At: at + s.notice(), Changes: s.lines(servers, ready)})
}

// lines are the servers' lines as they are now.
func (s *stepper) lines(servers []int, phase string) []discovery.Member {
	out := make([]discovery.Member, 0, len(servers))
	for _, i := range servers {
		m := s.member(i, phase)
		m.ID, m.Address = s.id(i, s.generation[i]), address(i, s.generation[i])
		m.StartedAtMillis = float64(s.start[i].Milliseconds())
		out = append(out, m)
	}
	return out
}

// among returns the servers that are free at a time and of which something holds.
func (s *stepper) among(at time.Duration, holds func(*Server) bool) (out []int) {
	for i, free := range s.free {
		if free <= at && holds(&s.Servers[i]) {
			out = append(out, i)
		}
	}
	return out
}

// pick draws as many of the free servers, or all of them.
func (s *stepper) pick(at time.Duration, n int) []int {
	all := s.among(at, func(*Server) bool { return true })
	s.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// agents draws as many of the agents that are there at a time, or all of them.
func (s *stepper) agents(at time.Duration, n int) []int {
	all := s.rng.Perm(len(s.Agents))
	all = slices.DeleteFunc(all, func(i int) bool { return s.away[s.Agents[i].Server] > at })
	return all[:min(n, len(all))]
}

// beside returns the agents beside servers, in their order.
func (s *stepper) beside(servers []int) (out []int) {
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

// changes adds the configurations that come by themselves, in the middle of equal spans.
func (s *stepper) changes() {
	perMinute := s.Scenario.ChangesPerMinute()
	for k := range int(math.Round(perMinute * s.Scenario.Seconds / 60)) {
		s.add(Step{At: seconds((float64(k) + 0.5) * 60 / perMinute), Event: -1, Config: 1})
	}
}

// relay adds what happens to the relay that is killed.
func (s *stepper) relay() {
	r := &s.Scenario.Relays
	if r.Count == 0 || r.KillAt == 0 {
		return
	}
	s.add(Step{At: seconds(r.KillAt), Event: -1, KillRelay: true})
	if back := r.KillAt + r.RestartAfter; r.RestartAfter > 0 && back <= s.Scenario.Seconds {
		s.add(Step{At: seconds(back), Event: -1, StartRelay: true})
	}
}

func (s *stepper) notice() time.Duration { return seconds(s.Scenario.Control.NoticeMS / 1000) }

// wave is some of those that an event works through, and when after its begin.
type wave struct {
	after time.Duration
	of    []int
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
