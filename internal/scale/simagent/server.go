package simagent

import (
	"slices"
	"time"

	"example.org/ryeloft/internal/balancer"
)

// serverState is the state of a server's process and machine.
type serverState uint8

const (
	serverUp          serverState = iota
	serverCrashed                 // connections are refused
	serverUnreachable             // the machine is lost: it sends no responses
)

// attemptState is the state of an attempt at its server.
type attemptState uint8

const (
	attemptInTransit attemptState = iota
	attemptQueued
	attemptWorking // the server's own work
	attemptCalling // calling other services one after the other; occupies no slot
	attemptDone
	attemptAbandoned // the caller closed the connection; occupies its slot until the server's own work is done
)

// serviceTimeSmoothing is the EWMA weight of the latest request in the service time that a server reports. At 0.5 the
// average covers about the last one or two requests.
const serviceTimeSmoothing = 0.5

// server is a modelled counter server with its application. A request occupies a slot during the server's own work but
// not while it waits for the calls it makes, because scenarios size slots for work alone. Only its shard's goroutine
// accesses it.
type server struct {
	shard    *shard
	position int // index into the world's servers
	service  int
	region   int
	zone     int
	agent    *agent // makes the calls of the server's requests; nil: they make none

	state        serverState
	incarnation  uint32        // incremented when a process starts or ends
	startedAt    time.Duration // start of the current process, Unix time; 0: long ago
	slots        int
	busySlots    int
	queue        []*attempt
	inProgress   map[*attempt]struct{} // started and not yet completed
	recentMillis float64               // EWMA of the service time
}

// receive starts, queues or rejects an attempt that has arrived.
func (s *server) receive(att *attempt) {
	f := s.shard.fleet
	switch {
	case s.state == serverUnreachable:
	case s.state == serverCrashed:
		s.respond(att, balancer.OutcomeConnectFailed)
	case f.deepestFailing.Load() && s.service == f.world.Deepest:
		s.respond(att, balancer.OutcomeError)
	case s.shard.now >= att.deadline:
		s.respond(att, balancer.OutcomeRejected)
	case s.busySlots < s.slots:
		s.start(att)
	case len(s.queue) < f.world.Scenario.Fleet.QueueSlots:
		att.state = attemptQueued
		s.queue = append(s.queue, att)
	default:
		s.respond(att, balancer.OutcomeRejected)
	}
}

// start begins the server's own work on an attempt, which takes an exponentially distributed time.
func (s *server) start(att *attempt) {
	s.busySlots++
	s.inProgress[att] = struct{}{}
	att.state = attemptWorking
	att.serverIncarnation = s.incarnation
	world := s.shard.fleet.world
	mean := world.Services[s.service].Work.Seconds() / (world.Servers[s.position].Speed * s.slowStartFactor())
	serviceTime := s.shard.exponential(mean)
	s.recentMillis += serviceTimeSmoothing * (float64(serviceTime)/float64(time.Millisecond) - s.recentMillis)
	s.shard.queue.push(event{kind: eventWorkDone, due: s.shard.now + serviceTime, attempt: att, incarnation: s.incarnation})
}

// slowStartFactor returns the fraction of its full speed that the server has reached since its process started.
func (s *server) slowStartFactor() float64 {
	fleet := &s.shard.fleet.world.Scenario.Fleet
	age := (s.shard.now - s.startedAt).Seconds()
	if s.startedAt == 0 || age >= fleet.SlowStartS || fleet.SlowStartS <= 0 {
		return 1
	}
	return fleet.SlowStartMinWeight + (1-fleet.SlowStartMinWeight)*max(0, age)/fleet.SlowStartS
}

// onWorkDone ends the server's own work on an attempt and begins the attempt's calls.
func (s *server) onWorkDone(att *attempt, incarnation uint32) {
	if incarnation != s.incarnation {
		return
	}
	if att.state == attemptAbandoned {
		s.release(att)
		return
	}
	att.state = attemptCalling
	s.busySlots--
	s.startQueued()
	s.callNext(att)
}

// callNext makes the next of the service's calls through the server's agent, or responds if there are no more.
func (s *server) callNext(att *attempt) {
	calls := s.shard.fleet.world.Services[s.service].Calls
	for s.agent != nil && att.nextCall < len(calls) {
		next := calls[att.nextCall]
		att.nextCall++
		if !bernoulli(s.shard.rng, next.Chance) {
			continue
		}
		if s.shard.now >= att.deadline {
			s.complete(att, balancer.OutcomeError)
			return
		}
		att.child = s.agent.startCall(request{
			service: next.Service, remaining: att.deadline - s.shard.now, phase: att.call.phase, parent: att,
		})
		return
	}
	s.complete(att, balancer.OutcomeOK)
}

// onCallDone handles the end of a call that an attempt made.
func (s *server) onCallDone(att *attempt, ok bool) {
	if att.state != attemptCalling || att.serverIncarnation != s.incarnation {
		return
	}
	att.child = nil
	if !ok {
		s.complete(att, balancer.OutcomeError)
		return
	}
	s.callNext(att)
}

// complete ends an attempt that is in progress and sends its outcome.
func (s *server) complete(att *attempt, outcome balancer.Outcome) {
	s.release(att)
	s.respond(att, outcome)
}

// release ends an attempt that is in progress. If the attempt occupies a slot, release frees it for queued attempts.
func (s *server) release(att *attempt) {
	hasSlot := att.state == attemptWorking || att.state == attemptAbandoned
	att.state = attemptDone
	delete(s.inProgress, att)
	if hasSlot {
		s.busySlots--
		s.startQueued()
	}
}

// startQueued starts queued attempts while slots are free. It rejects those whose deadline has passed.
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

// cancel ends an attempt whose caller closed the connection. If the server's own work is under way, the attempt
// occupies its slot until the work is done.
func (s *server) cancel(att *attempt) {
	if s.state != serverUp {
		return
	}
	switch att.state {
	case attemptInTransit: // the attempt was lost, or its cancellation overtook it
		att.state = attemptDone
	case attemptQueued:
		att.state = attemptDone
		if i := slices.Index(s.queue, att); i >= 0 {
			s.queue = slices.Delete(s.queue, i, i+1)
		}
	case attemptWorking:
		att.state = attemptAbandoned
	case attemptCalling:
		if att.serverIncarnation != s.incarnation {
			return
		}
		child := att.child
		s.release(att)
		if child != nil {
			s.agent.cancelCall(child)
		}
	}
}

// respond sends an attempt's outcome to its caller. An outcome that is a response of the server includes a load report.
func (s *server) respond(att *attempt, outcome balancer.Outcome) {
	att.state = attemptDone
	ev := event{kind: eventOutcome, due: s.shard.now, attempt: att, outcome: outcome}
	if outcome == balancer.OutcomeOK || outcome == balancer.OutcomeError || outcome == balancer.OutcomeRejected {
		ev.report = s.report()
	}
	s.shard.transmit(s, att.call.agent.server, ev)
}

// takeDown stops the server's process or machine and ends all its attempts.
func (s *server) takeDown(to serverState) {
	if s.state == serverUp {
		for _, att := range s.queue {
			s.dropAttempt(att, to)
		}
		for att := range s.inProgress {
			s.dropAttempt(att, to)
		}
	}
	s.state = to
	s.queue = nil
	s.busySlots = 0
	s.incarnation++
	clear(s.inProgress)
}

// dropAttempt ends an attempt of a process that has stopped. A crash resets the connection; a lost machine does not.
func (s *server) dropAttempt(att *attempt, to serverState) {
	child := att.child
	att.state = attemptDone
	att.child = nil
	if to == serverCrashed {
		s.respond(att, balancer.OutcomeReset)
	}
	if child != nil {
		s.agent.cancelCall(child)
	}
}

// restart starts a new process, with slow start if it is cold.
func (s *server) restart(cold bool) {
	if s.state == serverUp {
		return
	}
	s.state = serverUp
	s.recentMillis = 0
	s.incarnation++
	if cold {
		s.startedAt = s.shard.now
	}
}
