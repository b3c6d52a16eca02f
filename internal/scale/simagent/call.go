package simagent

import (
	"math/rand/v2"
	"slices"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/scale/world"
	"example.org/ryeloft/internal/settings"
)

// This is the modelled part: what a real agent does with sockets, and what the applications beside the agents do.

// callResult is how a call ended.
type callResult uint8

const (
	callServed callResult = iota
	callFailed
	callRejected
)

// request is what an application asks its agent for.
type request struct {
	service   int // that it is to reach
	remaining time.Duration
	phase     phase // of the run, when its call at the root began
	second    int   // of the measured part, of a call at the root
	root      bool
	parent    *attempt // that waits for it; nil at the root, or when that has gone
}

// call is a request while its agent knows it: until it has its answer and its attempts are back. Others than the agent's
// shard read only what never changes.
type call struct {
	request
	agent       *agent
	incarnation uint32 // the agent's
	id          balancer.RequestID
	idempotency balancer.Idempotency
	deadline    time.Duration

	attempts []*attempt
	inFlight int
	answered bool
}

// attempt is one attempt. Its caller's shard has made it and says when it is over; its server's shard has the rest.
type attempt struct {
	call     *call
	number   int // of the call's attempts
	server   *server
	serverID balancer.ServerID // the server's, to the caller
	deadline time.Duration     // after which nobody waits for it
	finished bool              // its caller has heard its outcome,
	outcome  balancer.Outcome  // this one

	serverIncarnation uint32 // the server's process
	state             attemptState
	nextCall          int   // of its service's calls
	child             *call // that it waits for
}

// startCall takes a request of the application beside the agent.
func (a *agent) startCall(r request) *call {
	f, s := a.shard.fleet, a.shard
	depth := f.world.Services[r.service].Layer
	s.counts.of(r.phase, depth).Calls++
	c := &call{request: r, agent: a, incarnation: a.incarnation}
	class, known := 0, false
	if a.isUp && a.hasList {
		class, known = a.classIndex[f.world.Services[r.service].Name]
	}
	switch {
	case !known:
		a.finish(c, callFailed)
		return c
	case len(a.requests) >= maxOpenRequests:
		a.finish(c, callRejected)
		return c
	}
	of := &a.settings.Load().Balancer.Classes[class]
	c.idempotency, c.id = of.Idempotency, a.nextRequestID()
	left := min(r.remaining, of.Deadline)
	c.deadline = s.now + left
	a.requests[c.id] = c
	a.handle(balancer.Event{Kind: balancer.EventRequest, Request: c.id, Class: class, Remaining: left})
	return c
}

func (a *agent) nextRequestID() balancer.RequestID {
	for {
		a.lastID++
		if a.requests[a.lastID] == nil {
			return a.lastID
		}
	}
}

// finish gives a call its answer, unless it has one.
func (a *agent) finish(c *call, how callResult) {
	if !c.answered {
		c.answered = true
		a.shard.counts.countEnd(c, a.shard.fleet.world.Services[c.service].Layer, how)
		if j := c.parent; j != nil { // the application hears next, not in the midst of what is handled
			a.shard.queue.push(event{kind: eventCallDone, due: a.shard.now, attempt: j, ok: how == callServed})
		}
	}
	a.forget(c)
}

// forget drops a call of which nothing more is to be heard.
func (a *agent) forget(c *call) {
	if c.answered && c.inFlight == 0 && a.requests[c.id] == c {
		delete(a.requests, c.id)
	}
}

// cancelCall ends a call whose application has gone.
func (a *agent) cancelCall(c *call) {
	if c.answered || c.incarnation != a.incarnation {
		return
	}
	c.parent = nil
	a.finish(c, callFailed)
	if a.isUp {
		a.handle(balancer.Event{Kind: balancer.EventClientClosed, Request: c.id})
	}
	a.forget(c)
}

// send sends a call to a server. What cannot be sent any more ends as moot.
func (a *agent) send(c *call, act *balancer.Action) {
	s, to := a.shard, a.serversByID[act.Server]
	n, left := len(c.attempts), c.deadline-a.now
	if act.Timeout != 0 {
		left = min(left, act.Timeout)
	}
	if c.answered || left <= 0 || to == nil {
		c.attempts = append(c.attempts, &attempt{call: c, number: n, finished: true, outcome: balancer.OutcomeExpired})
		a.events = append(a.events, balancer.Event{
			Kind: balancer.EventOutcome, Request: c.id, Attempt: n, Server: act.Server,
			Outcome: balancer.OutcomeExpired, Answered: c.answered, Load: settings.UnknownLoad(),
		})
		return
	}
	if c.mayHaveExecuted() && c.phase != phaseBefore {
		s.counts.repeats[c.idempotency]++
	}
	j := &attempt{call: c, number: n, server: to, serverID: act.Server, deadline: a.now + left}
	c.attempts = append(c.attempts, j)
	c.inFlight++
	s.counts.of(c.phase, s.fleet.world.Services[c.service].Layer).Attempts++
	s.transmit(a.server, to, event{kind: eventAttemptArrived, due: a.now, attempt: j})
	s.queue.push(event{kind: eventTimeout, due: j.deadline, attempt: j})
}

// mayHaveExecuted says whether an attempt of the call has run, as far as the agent can know.
func (c *call) mayHaveExecuted() bool {
	never := []balancer.Outcome{balancer.OutcomeRejected, balancer.OutcomeConnectFailed, balancer.OutcomeExpired, balancer.OutcomeServerDraining}
	return slices.ContainsFunc(c.attempts, func(j *attempt) bool { return !j.finished || !slices.Contains(never, j.outcome) })
}

// onAttemptDone takes in the outcome of an attempt that came back.
func (a *agent) onAttemptDone(j *attempt, how balancer.Outcome, l loadReport) {
	c := j.call
	if j.finished || c.incarnation != a.incarnation {
		return
	}
	j.finished, j.outcome = true, how
	c.inFlight--
	if how == balancer.OutcomeOK {
		a.finish(c, callServed)
	}
	a.handle(balancer.Event{
		Kind: balancer.EventOutcome, Request: c.id, Attempt: j.number, Server: j.serverID, Outcome: how, Answered: c.answered,
		Load: l.toBalancer(a.settings.Load()),
	})
	a.forget(c)
}

// onAttemptTimeout gives up an attempt that is out at its time-out.
func (a *agent) onAttemptTimeout(j *attempt) {
	if j.finished || j.call.incarnation != a.incarnation {
		return
	}
	a.closeConnection(j)
	a.onAttemptDone(j, balancer.OutcomeTimeout, loadReport{})
}

// cancelAttempt gives up an attempt, as ActionCancel says; its outcome is an event of its own.
func (a *agent) cancelAttempt(c *call, n int) {
	if j := c.attempts[n]; !j.finished {
		a.closeConnection(j)
		a.shard.queue.push(event{kind: eventOutcome, due: a.shard.now, attempt: j, outcome: balancer.OutcomeCancelled})
	}
}

// dropAttempt gives up an attempt of a process that is no more.
func (a *agent) dropAttempt(c *call, n int) {
	if j := c.attempts[n]; !j.finished {
		j.finished = true
		c.inFlight--
		a.closeConnection(j)
	}
}

// closeConnection closes the connection of an attempt.
func (a *agent) closeConnection(j *attempt) {
	a.shard.transmit(a.server, j.server, event{kind: eventAttemptCancelled, due: max(a.now, a.shard.now), attempt: j})
}

// healthCheck asks a server for its load.
func (a *agent) healthCheck(id balancer.ServerID) {
	to := a.serversByID[id]
	if to == nil {
		a.events = append(a.events, balancer.Event{
			Kind: balancer.EventHealthCheck, Server: id, Outcome: balancer.OutcomeExpired, Load: settings.UnknownLoad(),
		})
		return
	}
	a.shard.transmit(a.server, to, event{kind: eventHealthCheck, due: a.now, agent: a, incarnation: a.incarnation, server: to, token: uint64(id)})
}

func (a *agent) onHealthCheckDone(ev *event) {
	if ev.incarnation != a.incarnation || !a.isUp {
		return
	}
	how := balancer.OutcomeConnectFailed
	if ev.ok {
		how = balancer.OutcomeOK
	}
	a.handle(balancer.Event{
		Kind: balancer.EventHealthCheck, Server: balancer.ServerID(ev.token), Outcome: how, Load: ev.report.toBalancer(a.settings.Load()),
	})
}

// transmit sends an event from beside one server to another. It is lost where their regions cannot reach each other.
func (s *shard) transmit(from, to *server, ev event) {
	f := s.fleet
	if from.region != to.region && f.regionsPartitioned.Load() {
		return
	}
	ev.due += f.networkDelay(from, to)
	s.post(to.shard, ev)
}

// exponential draws a time with a mean in seconds.
func (s *shard) exponential(mean float64) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * mean * float64(time.Second))
}

// pickService draws the service of a call at the root, by the calls' chances, u being uniform in [0, 1).
func pickService(u float64, calls []world.Call) int {
	sum := 0.0
	for _, c := range calls {
		sum += c.Chance
	}
	u *= sum
	for _, c := range calls {
		if u -= c.Chance; u < 0 {
			return c.Service
		}
	}
	return calls[len(calls)-1].Service
}

// drawChance draws whether something with a chance happens.
func drawChance(rng *rand.Rand, p float64) bool { return p >= 1 || rng.Float64() < p }
