package simagent

import (
	"slices"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
)

// serverState is what a server's process and machine are.
type serverState uint8

const (
	serverUp          serverState = iota
	serverCrashed                 // the process has died: connections are refused
	serverUnreachable             // the machine has vanished: nothing comes back
)

// attemptState is where a server has an attempt.
type attemptState uint8

const (
	attemptInTransit attemptState = iota
	attemptQueued
	attemptWorking // on its own part
	attemptCalling // others, in turn: it has no slot any more
	attemptDone
	attemptAbandoned // its caller has gone; it keeps its slot until its own part is done
)

// recentGain is the weight of one request in the service time that a server reports, which covers the last one or two.
const recentGain = 0.5

// server is one modelled counter server and the application in it. A request has one of its slots for the server's own part
// of the work and none while it waits for the calls that it makes, or depth would take slots that the scenarios reckon as
// free; what the server reports as outstanding is all that it holds. It is its shard's.
type server struct {
	shard    *shard
	position int // among the world's
	service  int
	region   int
	zone     int
	agent    *agent // beside it; nil if that is a real one or none: then it works without calls of its own

	state        serverState
	incarnation  uint32        // counts its processes
	startedAt    time.Duration // of this one, Unix time; 0: long ago
	slots        int
	busySlots    int // slots in use
	queue        []*attempt
	inProgress   map[*attempt]struct{} // that it has begun and not answered
	recentMillis float64               // service time, ms
}

// loadReport is a server's own figures, as it puts them into answers.
type loadReport struct {
	known            bool
	inFlight, queued int32
	recentMillis     float32 // ms
}

func (s *server) report() loadReport {
	return loadReport{true, int32(len(s.inProgress) + len(s.queue)), int32(len(s.queue)), float32(s.recentMillis)}
}

// toBalancer is what an agent takes from a report, by the names of its settings' fields.
func (r loadReport) toBalancer(set *settings.Settings) balancer.LoadReport {
	l := settings.UnknownLoad()
	if !r.known || set.Balancer.Reports == balancer.ReportsOff {
		return l
	}
	for _, name := range set.ReportFields {
		switch name {
		case "outstanding":
			settings.SetLoadField(&l, name, float64(r.inFlight))
		case "backlog":
			settings.SetLoadField(&l, name, float64(r.queued))
		case "recent_ms":
			settings.SetLoadField(&l, name, float64(r.recentMillis))
		}
	}
	return l
}

// receive takes in an attempt, or turns it away.
func (s *server) receive(j *attempt) {
	f := s.shard.fleet
	switch {
	case s.state == serverUnreachable:
	case s.state == serverCrashed:
		s.respond(j, balancer.OutcomeConnectFailed)
	case f.deepestFailing.Load() && s.service == f.world.Deepest:
		s.respond(j, balancer.OutcomeError)
	case s.shard.now >= j.deadline: // it is over already
		s.respond(j, balancer.OutcomeRejected)
	case s.busySlots < s.slots:
		s.start(j)
	case len(s.queue) < f.world.Scenario.Fleet.QueueSlots:
		j.state = attemptQueued
		s.queue = append(s.queue, j)
	default:
		s.respond(j, balancer.OutcomeRejected)
	}
}

// start works on an attempt.
func (s *server) start(j *attempt) {
	s.busySlots++
	s.inProgress[j] = struct{}{}
	j.state, j.serverIncarnation = attemptWorking, s.incarnation
	f := s.shard.fleet
	mean := f.world.Services[s.service].Work.Seconds() / (f.world.Servers[s.position].Speed * s.warmUpFactor())
	took := s.shard.exponential(mean)
	s.recentMillis += recentGain * (float64(took)/float64(time.Millisecond) - s.recentMillis)
	s.shard.queue.push(event{kind: eventWorkDone, due: s.shard.now + took, attempt: j, incarnation: s.incarnation})
}

// warmUpFactor is the share of its speed that the server has by now.
func (s *server) warmUpFactor() float64 {
	fleet := &s.shard.fleet.world.Scenario.Fleet
	age := (s.shard.now - s.startedAt).Seconds()
	if s.startedAt == 0 || age >= fleet.WarmS || fleet.WarmS <= 0 {
		return 1
	}
	return fleet.ColdFrom + (1-fleet.ColdFrom)*max(0, age)/fleet.WarmS
}

// onWorkDone ends the server's own part of an attempt, and begins its calls.
func (s *server) onWorkDone(j *attempt, life uint32) {
	if life != s.incarnation {
		return
	}
	if j.state == attemptAbandoned {
		s.release(j)
		return
	}
	j.state = attemptCalling
	s.busySlots--
	s.startQueued()
	s.callNext(j)
}

// callNext makes the next of the service's calls through the agent beside the server, or answers if there are no more.
func (s *server) callNext(j *attempt) {
	calls := s.shard.fleet.world.Services[s.service].Calls
	for s.agent != nil && j.nextCall < len(calls) {
		c := calls[j.nextCall]
		j.nextCall++
		if !drawChance(s.shard.rng, c.Chance) {
			continue
		}
		if s.shard.now >= j.deadline {
			s.complete(j, balancer.OutcomeError)
			return
		}
		j.child = s.agent.startCall(request{
			service: c.Service, remaining: j.deadline - s.shard.now, phase: j.call.phase, parent: j,
		})
		return
	}
	s.complete(j, balancer.OutcomeOK)
}

// onCallDone takes in the end of a call that an attempt made.
func (s *server) onCallDone(j *attempt, ok bool) {
	if j.state != attemptCalling || j.serverIncarnation != s.incarnation {
		return
	}
	j.child = nil
	if !ok {
		s.complete(j, balancer.OutcomeError)
		return
	}
	s.callNext(j)
}

// complete answers an attempt and goes on with another.
func (s *server) complete(j *attempt, how balancer.Outcome) {
	s.release(j)
	s.respond(j, how)
}

// release drops an attempt from what the server has begun, and goes on with those that wait for its slot, if it has one.
func (s *server) release(j *attempt) {
	held := j.state == attemptWorking || j.state == attemptAbandoned
	j.state = attemptDone
	delete(s.inProgress, j)
	if held {
		s.busySlots--
		s.startQueued()
	}
}

// startQueued begins what waits while there are slots.
func (s *server) startQueued() {
	for len(s.queue) > 0 && s.busySlots < s.slots {
		next := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		if s.shard.now >= next.deadline {
			s.respond(next, balancer.OutcomeRejected)
			continue
		}
		s.start(next)
	}
}

// cancel drops an attempt whose caller has gone: one that waits at once, one that calls with its call. One that works
// keeps its slot until that is done.
func (s *server) cancel(j *attempt) {
	if s.state != serverUp {
		return
	}
	switch j.state {
	case attemptInTransit: // it was turned away, or the two have crossed; then it is over when it comes
		j.state = attemptDone
	case attemptQueued:
		j.state = attemptDone
		if i := slices.Index(s.queue, j); i >= 0 {
			s.queue = slices.Delete(s.queue, i, i+1)
		}
	case attemptWorking:
		j.state = attemptAbandoned
	case attemptCalling:
		if j.serverIncarnation != s.incarnation {
			return
		}
		child := j.child
		s.release(j)
		if child != nil {
			s.agent.cancelCall(child)
		}
	}
}

// respond sends an attempt's outcome to its caller, with the server's report if it is an answer.
func (s *server) respond(j *attempt, how balancer.Outcome) {
	j.state = attemptDone
	ev := event{kind: eventOutcome, due: s.shard.now, attempt: j, outcome: how}
	if how == balancer.OutcomeOK || how == balancer.OutcomeError || how == balancer.OutcomeRejected {
		ev.report = s.report()
	}
	s.shard.transmit(s, j.call.agent.server, ev)
}

// onHealthCheck answers a probe, unless nothing comes back.
func (s *server) onHealthCheck(ev *event) {
	if s.state == serverUnreachable {
		return
	}
	ok := s.state == serverUp
	back := event{kind: eventHealthCheckDone, due: s.shard.now, agent: ev.agent, incarnation: ev.incarnation, token: ev.token, ok: ok}
	if ok {
		back.report = s.report()
	}
	s.shard.transmit(s, ev.agent.server, back)
}

// takeDown ends the server's process, or its machine, with all that it had. A process that dies resets its connections.
func (s *server) takeDown(to serverState) {
	if s.state == serverUp {
		for _, j := range s.queue {
			s.loseAttempt(j, to)
		}
		for j := range s.inProgress {
			s.loseAttempt(j, to)
		}
	}
	s.state, s.queue, s.busySlots = to, nil, 0
	s.incarnation++
	clear(s.inProgress)
}

// loseAttempt drops one attempt in hand.
func (s *server) loseAttempt(j *attempt, to serverState) {
	child := j.child
	j.state, j.child = attemptDone, nil
	if to == serverCrashed {
		s.respond(j, balancer.OutcomeReset)
	}
	if child != nil {
		s.agent.cancelCall(child)
	}
}

// restart begins a new process, a cold one if it says so.
func (s *server) restart(cold bool) {
	if s.state == serverUp {
		return
	}
	s.state, s.recentMillis = serverUp, 0
	s.incarnation++
	if cold {
		s.startedAt = s.shard.now
	}
}
