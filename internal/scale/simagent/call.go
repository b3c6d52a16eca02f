package simagent

import (
	"slices"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
)

// callResult is the result of a call for the application that made it.
type callResult uint8

const (
	callServed callResult = iota
	callFailed
	callRejected
)

// request is a request of an application to its agent.
type request struct {
	service   int // called service
	remaining time.Duration
	phase     phase // phase of the run in which the root call began
	second    int   // second of the measurement period in which the root call began
	root      bool
	parent    *attempt // the attempt that waits for the call; nil for a root call or once the attempt has ended
}

// call is an agent's state for one request. The agent keeps it until the call is finished and no attempt is in flight.
// Only the agent's shard modifies it; other shards read only fields that never change after creation.
type call struct {
	request
	agent       *agent
	incarnation uint32 // of the agent when the call began
	id          balancer.RequestID
	idempotency balancer.Idempotency
	deadline    time.Duration

	attempts []*attempt
	inFlight int
	finished bool // the call has a result
}

// attempt is one attempt of a call at one server. The caller's shard owns the fields up to outcome, the server's shard
// the rest.
type attempt struct {
	call     *call
	number   int // index into the call's attempts
	server   *server
	serverID balancer.ServerID // the server's id in the caller's balancer
	deadline time.Duration     // the caller no longer waits after this
	finished bool              // the caller has the outcome
	outcome  balancer.Outcome

	serverIncarnation uint32
	state             attemptState
	nextCall          int   // index into the calls of the server's service
	child             *call // the call that the attempt waits for
}

// startCall starts a call for a request of the agent's application.
func (a *agent) startCall(r request) *call {
	s := a.shard
	service := &s.fleet.world.Services[r.service]
	s.counts.countsFor(r.phase, service.Layer).Calls++
	c := &call{request: r, agent: a, incarnation: a.incarnation}
	class, known := 0, false
	if a.isUp && a.hasList {
		class, known = a.classIndex[service.Name]
	}
	if !known {
		a.finish(c, callFailed)
		return c
	}
	if len(a.requests) >= maxOpenRequests {
		a.finish(c, callRejected)
		return c
	}
	classSettings := &a.settings.Load().Balancer.Classes[class]
	remaining := min(r.remaining, classSettings.Deadline)
	c.idempotency = classSettings.Idempotency
	c.id = a.nextRequestID()
	c.deadline = s.now + remaining
	a.requests[c.id] = c
	a.handle(balancer.Event{Kind: balancer.EventRequest, Request: c.id, Class: class, Remaining: remaining})
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

// finish sets the result of a call, unless the call is already finished.
func (a *agent) finish(c *call, result callResult) {
	if !c.finished {
		c.finished = true
		a.shard.counts.countFinished(c, a.shard.fleet.world.Services[c.service].Layer, result)
		if c.parent != nil {
			// This is a separate event because the parent's next call must not start while this agent is still handling
			// one.
			a.shard.queue.push(event{kind: eventCallDone, due: a.shard.now, attempt: c.parent, ok: result == callServed})
		}
	}
	a.removeIfDone(c)
}

// removeIfDone removes a call that is finished and has no attempt in flight.
func (a *agent) removeIfDone(c *call) {
	if c.finished && c.inFlight == 0 && a.requests[c.id] == c {
		delete(a.requests, c.id)
	}
}

// cancelCall ends a call whose application no longer waits for it.
func (a *agent) cancelCall(c *call) {
	if c.finished || c.incarnation != a.incarnation {
		return
	}
	c.parent = nil
	a.finish(c, callFailed)
	if a.isUp {
		a.handle(balancer.Event{Kind: balancer.EventClientClosed, Request: c.id})
	}
	a.removeIfDone(c)
}

// send sends an attempt to a server. If the call is finished, its deadline has passed or the server is unknown, the
// attempt ends with OutcomeExpired instead.
func (a *agent) send(c *call, action *balancer.Action) {
	s := a.shard
	target := a.serversByID[action.Server]
	number := len(c.attempts)
	remaining := c.deadline - a.now
	if action.Timeout != 0 {
		remaining = min(remaining, action.Timeout)
	}
	if c.finished || remaining <= 0 || target == nil {
		c.attempts = append(c.attempts, &attempt{call: c, number: number, finished: true, outcome: balancer.OutcomeExpired})
		a.events = append(a.events, balancer.Event{
			Kind: balancer.EventOutcome, Request: c.id, Attempt: number, Server: action.Server,
			Outcome: balancer.OutcomeExpired, Answered: c.finished, Load: settings.UnknownLoad(),
		})
		return
	}
	if c.mayHaveExecuted() && c.phase != phaseBefore {
		s.counts.retries[c.idempotency]++
	}
	att := &attempt{call: c, number: number, server: target, serverID: action.Server, deadline: a.now + remaining}
	c.attempts = append(c.attempts, att)
	c.inFlight++
	s.counts.countsFor(c.phase, s.fleet.world.Services[c.service].Layer).Attempts++
	s.transmit(a.server, target, event{kind: eventAttemptArrived, due: a.now, attempt: att})
	s.queue.push(event{kind: eventTimeout, due: att.deadline, attempt: att})
}

// notExecuted lists the outcomes that prove that no server began to execute the attempt.
var notExecuted = []balancer.Outcome{
	balancer.OutcomeRejected, balancer.OutcomeConnectFailed, balancer.OutcomeExpired, balancer.OutcomeServerDraining,
}

// mayHaveExecuted reports whether a server may have executed an attempt of the call, as far as the agent can tell.
func (c *call) mayHaveExecuted() bool {
	return slices.ContainsFunc(c.attempts, func(att *attempt) bool {
		return !att.finished || !slices.Contains(notExecuted, att.outcome)
	})
}

// onAttemptDone handles the outcome of an attempt.
func (a *agent) onAttemptDone(att *attempt, outcome balancer.Outcome, report loadReport) {
	c := att.call
	if att.finished || c.incarnation != a.incarnation {
		return
	}
	att.finished = true
	att.outcome = outcome
	c.inFlight--
	if outcome == balancer.OutcomeOK {
		a.finish(c, callServed)
	}
	a.handle(balancer.Event{
		Kind: balancer.EventOutcome, Request: c.id, Attempt: att.number, Server: att.serverID, Outcome: outcome,
		Answered: c.finished, Load: report.toBalancer(a.settings.Load()),
	})
	a.removeIfDone(c)
}

// onAttemptTimeout ends an attempt that is still in flight at its timeout.
func (a *agent) onAttemptTimeout(att *attempt) {
	if att.finished || att.call.incarnation != a.incarnation {
		return
	}
	a.closeConnection(att)
	a.onAttemptDone(att, balancer.OutcomeTimeout, loadReport{})
}

// cancelAttempt cancels an attempt on ActionCancel. The outcome follows as a separate event.
func (a *agent) cancelAttempt(c *call, number int) {
	if att := c.attempts[number]; !att.finished {
		a.closeConnection(att)
		a.shard.queue.push(event{kind: eventOutcome, due: a.shard.now, attempt: att, outcome: balancer.OutcomeCancelled})
	}
}

// dropAttempt ends an attempt of a process that has ended. The balancer does not get the outcome.
func (a *agent) dropAttempt(c *call, number int) {
	if att := c.attempts[number]; !att.finished {
		att.finished = true
		c.inFlight--
		a.closeConnection(att)
	}
}

// closeConnection notifies an attempt's server that the caller has closed the connection.
func (a *agent) closeConnection(att *attempt) {
	a.shard.transmit(a.server, att.server, event{kind: eventAttemptCancelled, due: max(a.now, a.shard.now), attempt: att})
}
