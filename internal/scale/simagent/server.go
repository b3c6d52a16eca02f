package simagent

import (
	"slices"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
)

// state is what a server's process and machine are.
type state uint8

const (
	serving state = iota
	dead          // the process has died: connections are refused
	silent        // the machine has vanished: nothing comes back
)

// jobState is where a server has an attempt.
type jobState uint8

const (
	coming jobState = iota
	waiting
	working // on its own part
	calling // others, in turn: it has no slot any more
	done
	left // its caller has gone; it keeps its slot until its own part is done
)

// recentGain is the weight of one request in the service time that a server reports, which covers the last one or two.
const recentGain = 0.5

// server is one modelled counter server and the application in it. A request has one of its slots for the server's own part
// of the work and none while it waits for the calls that it makes, or depth would take slots that the scenarios reckon as
// free; what the server reports as outstanding is all that it holds. It is its shard's.
type server struct {
	shard   *shard
	place   int // among the world's
	service int
	region  int
	zone    int
	agent   *agent // beside it; nil if that is a real one or none: then it works without calls of its own

	state  state
	life   uint32        // counts its processes
	start  time.Duration // of this one, Unix time; 0: long ago
	slots  int
	busy   int // slots in use
	queue  []*job
	open   map[*job]struct{} // that it has begun and not answered
	recent float64           // service time, ms
}

// report is a server's own figures, as it puts them into answers.
type report struct {
	known           bool
	inFlight, queue int32
	recent          float32 // ms
}

func (s *server) report() report {
	return report{true, int32(len(s.open) + len(s.queue)), int32(len(s.queue)), float32(s.recent)}
}

// load is what an agent takes from a report, by the names of its settings' fields.
func (r report) load(set *settings.Settings) balancer.LoadReport {
	l := settings.UnknownLoad()
	if !r.known || set.Balancer.Reports == balancer.ReportsOff {
		return l
	}
	for _, name := range set.ReportFields {
		switch name {
		case "outstanding":
			settings.SetLoadField(&l, name, float64(r.inFlight))
		case "backlog":
			settings.SetLoadField(&l, name, float64(r.queue))
		case "recent_ms":
			settings.SetLoadField(&l, name, float64(r.recent))
		}
	}
	return l
}

// arrive takes in an attempt, or turns it away.
func (s *server) arrive(j *job) {
	f := s.shard.fleet
	switch {
	case s.state == silent:
	case s.state == dead:
		s.answer(j, balancer.OutcomeConnectFailed)
	case f.failing.Load() && s.service == f.world.Deepest:
		s.answer(j, balancer.OutcomeError)
	case s.shard.now >= j.deadline: // it is over already
		s.answer(j, balancer.OutcomeRejected)
	case s.busy < s.slots:
		s.begin(j)
	case len(s.queue) < f.world.Scenario.Fleet.QueueSlots:
		j.state = waiting
		s.queue = append(s.queue, j)
	default:
		s.answer(j, balancer.OutcomeRejected)
	}
}

// begin works on an attempt.
func (s *server) begin(j *job) {
	s.busy++
	s.open[j] = struct{}{}
	j.state, j.life = working, s.life
	f := s.shard.fleet
	mean := f.world.Services[s.service].Work.Seconds() / (f.world.Servers[s.place].Speed * s.warmth())
	took := s.shard.exponential(mean)
	s.recent += recentGain * (float64(took)/float64(time.Millisecond) - s.recent)
	s.shard.queue.push(event{kind: worked, due: s.shard.now + took, job: j, life: s.life})
}

// warmth is the share of its speed that the server has by now.
func (s *server) warmth() float64 {
	fleet := &s.shard.fleet.world.Scenario.Fleet
	age := (s.shard.now - s.start).Seconds()
	if s.start == 0 || age >= fleet.WarmS || fleet.WarmS <= 0 {
		return 1
	}
	return fleet.ColdFrom + (1-fleet.ColdFrom)*max(0, age)/fleet.WarmS
}

// worked ends the server's own part of an attempt, and begins its calls.
func (s *server) worked(j *job, life uint32) {
	if life != s.life {
		return
	}
	if j.state == left {
		s.release(j)
		return
	}
	j.state = calling
	s.busy--
	s.next()
	s.callNext(j)
}

// callNext makes the next of the service's calls through the agent beside the server, or answers if there are no more.
func (s *server) callNext(j *job) {
	calls := s.shard.fleet.world.Services[s.service].Calls
	for s.agent != nil && j.next < len(calls) {
		c := calls[j.next]
		j.next++
		if !chance(s.shard.rng, c.Chance) {
			continue
		}
		if s.shard.now >= j.deadline {
			s.conclude(j, balancer.OutcomeError)
			return
		}
		j.child = s.agent.request(request{
			service: c.Service, left: j.deadline - s.shard.now, phase: j.call.phase, parent: j,
		})
		return
	}
	s.conclude(j, balancer.OutcomeOK)
}

// called takes in the end of a call that an attempt made.
func (s *server) called(j *job, ok bool) {
	if j.state != calling || j.life != s.life {
		return
	}
	j.child = nil
	if !ok {
		s.conclude(j, balancer.OutcomeError)
		return
	}
	s.callNext(j)
}

// conclude answers an attempt and goes on with another.
func (s *server) conclude(j *job, how balancer.Outcome) {
	s.release(j)
	s.answer(j, how)
}

// release drops an attempt from what the server has begun, and goes on with those that wait for its slot, if it has one.
func (s *server) release(j *job) {
	held := j.state == working || j.state == left
	j.state = done
	delete(s.open, j)
	if held {
		s.busy--
		s.next()
	}
}

// next begins what waits while there are slots.
func (s *server) next() {
	for len(s.queue) > 0 && s.busy < s.slots {
		next := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		if s.shard.now >= next.deadline {
			s.answer(next, balancer.OutcomeRejected)
			continue
		}
		s.begin(next)
	}
}

// cancel drops an attempt whose caller has gone: one that waits at once, one that calls with its call. One that works
// keeps its slot until that is done.
func (s *server) cancel(j *job) {
	if s.state != serving {
		return
	}
	switch j.state {
	case coming: // it was turned away, or the two have crossed; then it is over when it comes
		j.state = done
	case waiting:
		j.state = done
		if i := slices.Index(s.queue, j); i >= 0 {
			s.queue = slices.Delete(s.queue, i, i+1)
		}
	case working:
		j.state = left
	case calling:
		if j.life != s.life {
			return
		}
		child := j.child
		s.release(j)
		if child != nil {
			s.agent.hangUp(child)
		}
	}
}

// answer sends an attempt's outcome to its caller, with the server's report if it is an answer.
func (s *server) answer(j *job, how balancer.Outcome) {
	j.state = done
	ev := event{kind: outcome, due: s.shard.now, job: j, outcome: how}
	if how == balancer.OutcomeOK || how == balancer.OutcomeError || how == balancer.OutcomeRejected {
		ev.load = s.report()
	}
	s.shard.travel(s, j.call.agent.server, ev)
}

// probe answers a probe, unless nothing comes back.
func (s *server) probe(ev *event) {
	if s.state == silent {
		return
	}
	ok := s.state == serving
	back := event{kind: probed, due: s.shard.now, agent: ev.agent, life: ev.life, token: ev.token, ok: ok}
	if ok {
		back.load = s.report()
	}
	s.shard.travel(s, ev.agent.server, back)
}

// goDown ends the server's process, or its machine, with all that it had. A process that dies resets its connections.
func (s *server) goDown(to state) {
	if s.state == serving {
		for _, j := range s.queue {
			s.lose(j, to)
		}
		for j := range s.open {
			s.lose(j, to)
		}
	}
	s.state, s.queue, s.busy = to, nil, 0
	s.life++
	clear(s.open)
}

// lose drops one attempt in hand.
func (s *server) lose(j *job, to state) {
	child := j.child
	j.state, j.child = done, nil
	if to == dead {
		s.answer(j, balancer.OutcomeReset)
	}
	if child != nil {
		s.agent.hangUp(child)
	}
}

// comeUp begins a new process, a cold one if it says so.
func (s *server) comeUp(cold bool) {
	if s.state == serving {
		return
	}
	s.state, s.recent = serving, 0
	s.life++
	if cold {
		s.start = s.shard.now
	}
}
