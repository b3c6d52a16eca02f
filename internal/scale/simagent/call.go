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

// end is how a call ended.
type end uint8

const (
	served end = iota
	failed
	refused
)

// request is what an application asks its agent for.
type request struct {
	service int // that it is to reach
	left    time.Duration
	phase   phase // of the run, when its call at the root began
	second  int   // of the measured part, of a call at the root
	root    bool
	parent  *job // that waits for it; nil at the root, or when that has gone
}

// call is a request while its agent knows it: until it has its answer and its attempts are back. Others than the agent's
// shard read only what never changes.
type call struct {
	request
	agent    *agent
	life     uint32 // the agent's
	id       balancer.RequestID
	effect   balancer.Idempotency
	deadline time.Duration

	attempts []*job
	out      int
	ended    bool
}

// job is one attempt. Its caller's shard has made it and says when it is over; its server's shard has the rest.
type job struct {
	call     *call
	n        int // of the call's attempts
	server   *server
	id       balancer.ServerID // the server's, to the caller
	deadline time.Duration     // after which nobody waits for it
	over     bool              // its caller has heard its outcome,
	how      balancer.Outcome  // this one

	life  uint32 // the server's process
	state jobState
	next  int   // of its service's calls
	child *call // that it waits for
}

// request takes a request of the application beside the agent.
func (a *agent) request(r request) *call {
	f, s := a.shard.fleet, a.shard
	depth := f.world.Services[r.service].Layer
	s.counts.depth(r.phase, depth).Calls++
	c := &call{request: r, agent: a, life: a.life}
	class, known := 0, false
	if a.up && a.ready {
		class, known = a.classOf[f.world.Services[r.service].Name]
	}
	switch {
	case !known:
		a.finish(c, failed)
		return c
	case len(a.requests) >= mostOpen:
		a.finish(c, refused)
		return c
	}
	of := &a.set.Load().Balancer.Classes[class]
	c.effect, c.id = of.Idempotency, a.newID()
	left := min(r.left, of.Deadline)
	c.deadline = s.now + left
	a.requests[c.id] = c
	a.handle(balancer.Event{Kind: balancer.EventRequest, Request: c.id, Class: class, Remaining: left})
	return c
}

func (a *agent) newID() balancer.RequestID {
	for {
		a.lastID++
		if a.requests[a.lastID] == nil {
			return a.lastID
		}
	}
}

// finish gives a call its answer, unless it has one.
func (a *agent) finish(c *call, how end) {
	if !c.ended {
		c.ended = true
		a.shard.counts.ended(c, a.shard.fleet.world.Services[c.service].Layer, how)
		if j := c.parent; j != nil { // the application hears next, not in the midst of what is handled
			a.shard.queue.push(event{kind: called, due: a.shard.now, job: j, ok: how == served})
		}
	}
	a.forget(c)
}

// forget drops a call of which nothing more is to be heard.
func (a *agent) forget(c *call) {
	if c.ended && c.out == 0 && a.requests[c.id] == c {
		delete(a.requests, c.id)
	}
}

// hangUp ends a call whose application has gone.
func (a *agent) hangUp(c *call) {
	if c.ended || c.life != a.life {
		return
	}
	c.parent = nil
	a.finish(c, failed)
	if a.up {
		a.handle(balancer.Event{Kind: balancer.EventClientClosed, Request: c.id})
	}
	a.forget(c)
}

// attempt sends a call to a server. What cannot be sent any more ends as moot.
func (a *agent) attempt(c *call, act *balancer.Action) {
	s, to := a.shard, a.targets[act.Server]
	n, left := len(c.attempts), c.deadline-a.now
	if act.Timeout != 0 {
		left = min(left, act.Timeout)
	}
	if c.ended || left <= 0 || to == nil {
		c.attempts = append(c.attempts, &job{call: c, n: n, over: true, how: balancer.OutcomeExpired})
		a.events = append(a.events, balancer.Event{
			Kind: balancer.EventOutcome, Request: c.id, Attempt: n, Server: act.Server,
			Outcome: balancer.OutcomeExpired, Answered: c.ended, Load: settings.UnknownLoad(),
		})
		return
	}
	if c.mayHaveRun() && c.phase != before {
		s.counts.Again[c.effect]++
	}
	j := &job{call: c, n: n, server: to, id: act.Server, deadline: a.now + left}
	c.attempts = append(c.attempts, j)
	c.out++
	s.counts.depth(c.phase, s.fleet.world.Services[c.service].Layer).Attempts++
	s.travel(a.server, to, event{kind: arrives, due: a.now, job: j})
	s.queue.push(event{kind: timedOut, due: j.deadline, job: j})
}

// mayHaveRun says whether an attempt of the call has run, as far as the agent can know.
func (c *call) mayHaveRun() bool {
	never := []balancer.Outcome{balancer.OutcomeRejected, balancer.OutcomeConnectFailed, balancer.OutcomeExpired, balancer.OutcomeServerDraining}
	return slices.ContainsFunc(c.attempts, func(j *job) bool { return !j.over || !slices.Contains(never, j.how) })
}

// answered takes in the outcome of an attempt that came back.
func (a *agent) answered(j *job, how balancer.Outcome, l report) {
	c := j.call
	if j.over || c.life != a.life {
		return
	}
	j.over, j.how = true, how
	c.out--
	if how == balancer.OutcomeOK {
		a.finish(c, served)
	}
	a.handle(balancer.Event{
		Kind: balancer.EventOutcome, Request: c.id, Attempt: j.n, Server: j.id, Outcome: how, Answered: c.ended,
		Load: l.load(a.set.Load()),
	})
	a.forget(c)
}

// timedOut gives up an attempt that is out at its time-out.
func (a *agent) timedOut(j *job) {
	if j.over || j.call.life != a.life {
		return
	}
	a.hangsUp(j)
	a.answered(j, balancer.OutcomeTimeout, report{})
}

// giveUpSoon gives up an attempt, as ActionCancel says; its outcome is an event of its own.
func (a *agent) giveUpSoon(c *call, n int) {
	if j := c.attempts[n]; !j.over {
		a.hangsUp(j)
		a.shard.queue.push(event{kind: outcome, due: a.shard.now, job: j, outcome: balancer.OutcomeCancelled})
	}
}

// giveUp gives up an attempt of a process that is no more.
func (a *agent) giveUp(c *call, n int) {
	if j := c.attempts[n]; !j.over {
		j.over = true
		c.out--
		a.hangsUp(j)
	}
}

// hangsUp closes the connection of an attempt.
func (a *agent) hangsUp(j *job) {
	a.shard.travel(a.server, j.server, event{kind: cancelled, due: max(a.now, a.shard.now), job: j})
}

// probe asks a server for its load.
func (a *agent) probe(id balancer.ServerID) {
	to := a.targets[id]
	if to == nil {
		a.events = append(a.events, balancer.Event{
			Kind: balancer.EventHealthCheck, Server: id, Outcome: balancer.OutcomeExpired, Load: settings.UnknownLoad(),
		})
		return
	}
	a.shard.travel(a.server, to, event{kind: probes, due: a.now, agent: a, life: a.life, server: to, token: uint64(id)})
}

func (a *agent) probed(ev *event) {
	if ev.life != a.life || !a.up {
		return
	}
	how := balancer.OutcomeConnectFailed
	if ev.ok {
		how = balancer.OutcomeOK
	}
	a.handle(balancer.Event{
		Kind: balancer.EventHealthCheck, Server: balancer.ServerID(ev.token), Outcome: how, Load: ev.load.load(a.set.Load()),
	})
}

// travel sends an event from beside one server to another. It is lost where their regions cannot reach each other.
func (s *shard) travel(from, to *server, ev event) {
	f := s.fleet
	if from.region != to.region && f.regionsCut.Load() {
		return
	}
	ev.due += f.delay(from, to)
	s.post(to.shard, ev)
}

// exponential draws a time with a mean in seconds.
func (s *shard) exponential(mean float64) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * mean * float64(time.Second))
}

// pick draws the service of a call at the root, by the calls' chances, u being uniform in [0, 1).
func pick(u float64, calls []world.Call) int {
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

// chance draws whether something with a chance happens.
func chance(rng *rand.Rand, p float64) bool { return p >= 1 || rng.Float64() < p }
