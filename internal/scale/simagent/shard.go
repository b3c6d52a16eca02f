package simagent

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/clock"
	"example.org/ryeloft/internal/scale/result"
)

const (
	// minRest is how long a shard that has nothing due rests at least. What falls due meanwhile is handled late, as of its own
	// time: no modelled time is longer for it.
	minRest = time.Millisecond
	// eventsPerPoll is after how many events a shard reads the clock and its inbox again.
	eventsPerPoll = 32
	// maxRest bounds a rest where nothing at all is due.
	maxRest      = time.Second
	maxLagMillis = 60e3 // ms; beyond, lags count as this
)

// Clock is the time that the model runs by. The wall's is the only one so far; one that jumps from event to event needs
// nothing else of the engine.
type Clock interface {
	Now() time.Duration                             // since 1970; never runs backwards
	Wait(until time.Duration, wake <-chan struct{}) // until then, or until woken
}

// wallClock is real time: the wall's at the start, and what has passed.
type wallClock struct{ clock.Anchored }

func (w wallClock) Wait(until time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(until - w.Now())
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	}
}

// eventKind tells what an event is and which of its fields count.
type eventKind uint8

const (
	eventFunc             eventKind = iota // [do]
	eventRootCall                          // an agent's next call at the root [agent, life]
	eventAttemptArrived                    // an attempt, at its server [job]
	eventAttemptCancelled                  // its caller waits for it no more, at its server [job]
	eventWorkDone                          // its own work is done, at its server [job, life: the server's]
	eventCallDone                          // a call that it made has ended [job, ok]
	eventOutcome                           // of an attempt, at its caller [job, outcome, load]
	eventTimeout                           // of an attempt, at its caller [job]
	eventTimer                             // an ActionSetTimer [agent, life, token, control]
	eventHealthCheck                       // a probe, at its server [agent, life, server]
	eventHealthCheckDone                   // its answer, at its caller [agent, life, server, load, ok]
)

// event is something that falls due in a shard.
type event struct {
	due         time.Duration
	seq         uint64 // the shard's: what is due at once happens in the order in which it was heard of
	kind        eventKind
	ok          bool
	forControl  bool // a timer of the control's part
	outcome     balancer.Outcome
	incarnation uint32
	report      loadReport
	agent       *agent
	server      *server
	attempt     *attempt
	token       uint64
	run         func()
}

// eventQueue is a heap of events, four to each, the next one first.
type eventQueue struct {
	events []event
	seq    uint64
}

func (e *event) before(o *event) bool {
	return e.due < o.due || e.due == o.due && e.seq < o.seq
}

func (q *eventQueue) push(ev event) {
	q.seq++
	ev.seq = q.seq
	q.events = append(q.events, ev)
	i := len(q.events) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !ev.before(&q.events[up]) {
			break
		}
		q.events[i] = q.events[up]
		i = up
	}
	q.events[i] = ev
}

func (q *eventQueue) pop() event {
	first, n := q.events[0], len(q.events)-1
	last := q.events[n]
	q.events[n] = event{}
	q.events = q.events[:n]
	if n > 0 {
		q.siftDown(last)
	}
	return first
}

// siftDown puts an event in the place of the first.
func (q *eventQueue) siftDown(ev event) {
	i, n := 0, len(q.events)
	for {
		least := 4*i + 1
		if least >= n {
			break
		}
		for j := least + 1; j <= min(4*i+4, n-1); j++ {
			if q.events[j].before(&q.events[least]) {
				least = j
			}
		}
		if !q.events[least].before(&ev) {
			break
		}
		q.events[i] = q.events[least]
		i = least
	}
	q.events[i] = ev
}

// shard runs the events of a part of the servers and of the agents beside them, on a thread of its own. What other
// goroutines want of these they send to it.
type shard struct {
	fleet   *Fleet
	index   int // among the fleet's
	clock   Clock
	rng     *rand.Rand
	now     time.Duration // as of the event that is handled
	queue   eventQueue
	outbox  [][]event // to other shards, by their number, until the batch ends
	stopped bool      // set by an event

	mu         sync.Mutex
	inbox      []event
	spareInbox []event
	closed     bool
	wake       chan struct{}
	restsUntil atomic.Int64 // until when it rests

	lag    *result.Histogram // ms: when events were handled, after when they were due
	counts shardCounts
	cpu    cpuMeter
	done   chan struct{}
}

func newShard(f *Fleet, number, shards int) *shard {
	return &shard{
		fleet: f, index: number, clock: f.clock, rng: rand.New(rand.NewPCG(f.world.Scenario.Seed, uint64(number))), outbox: make([][]event, shards), wake: make(chan struct{}, 1),
		lag: result.NewHistogram(maxLagMillis), done: make(chan struct{}),
	}
}

// run handles events until one of them says stop.
func (s *shard) run() {
	runtime.LockOSThread() // its processor time is read by thread
	defer runtime.UnlockOSThread()
	defer close(s.done)
	defer s.close()
	s.cpu.start()
	for !s.stopped {
		s.drainInbox()
		s.runDue()
		s.flushOutbox()
		if !s.stopped {
			s.rest()
		}
	}
}

// runDue handles all that is due.
func (s *shard) runDue() {
	now := s.clock.Now()
	for n := 1; len(s.queue.events) > 0 && s.queue.events[0].due <= now && !s.stopped; n++ {
		ev := s.queue.pop()
		s.lag.AddDuration(now - ev.due)
		s.now = ev.due
		s.dispatch(&ev)
		if n%eventsPerPoll == 0 {
			s.flushOutbox()
			s.drainInbox()
			now = s.clock.Now()
		}
	}
}

// rest waits until something is due, and for a tick at least, so that a shard wakes a thousand times a second at most.
func (s *shard) rest() {
	now := s.clock.Now()
	until := now + maxRest
	if len(s.queue.events) > 0 {
		until = min(until, max(s.queue.events[0].due, now+minRest))
	}
	s.restsUntil.Store(int64(until)) // before the inbox is looked at: whoever sends now looks at it after
	s.mu.Lock()
	idle := len(s.inbox) == 0
	s.mu.Unlock()
	if idle {
		s.clock.Wait(until, s.wake)
	}
	s.restsUntil.Store(0)
}

// drainInbox moves what was sent into the queue.
func (s *shard) drainInbox() {
	s.mu.Lock()
	s.inbox, s.spareInbox = s.spareInbox[:0], s.inbox
	s.mu.Unlock()
	for i := range s.spareInbox {
		s.queue.push(s.spareInbox[i])
		s.spareInbox[i] = event{}
	}
}

// enqueue hands events to the shard from outside. It is false if the shard has ended.
func (s *shard) enqueue(events ...event) bool {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return false
	}
	s.inbox = append(s.inbox, events...)
	s.mu.Unlock()
	for i := range events {
		if int64(events[i].due) < s.restsUntil.Load() {
			select {
			case s.wake <- struct{}{}:
			default:
			}
			break
		}
	}
	return true
}

func (s *shard) close() {
	s.mu.Lock()
	s.closed, s.inbox = true, nil
	s.mu.Unlock()
}

// post hands an event to another shard at the end of the batch, or to this one.
func (s *shard) post(to *shard, ev event) {
	if to == s {
		s.queue.push(ev)
		return
	}
	s.outbox[to.index] = append(s.outbox[to.index], ev)
}

func (s *shard) flushOutbox() {
	for i, events := range s.outbox {
		if len(events) > 0 {
			s.fleet.shards[i].enqueue(events...)
			clear(events)
			s.outbox[i] = events[:0]
		}
	}
}

// doAsync has the shard run a function, as of now.
func (s *shard) doAsync(do func()) bool {
	return s.enqueue(event{kind: eventFunc, due: s.clock.Now(), run: do})
}

// doSync has the shard run a function and waits for it. It is false if the shard has ended before.
func (s *shard) doSync(do func()) bool {
	done := make(chan struct{})
	if !s.doAsync(func() { do(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-s.done:
		return false
	}
}

// dispatch does what an event says.
func (s *shard) dispatch(ev *event) {
	switch ev.kind {
	case eventFunc:
		ev.run()
	case eventRootCall:
		ev.agent.startRootCall(ev.incarnation)
	case eventAttemptArrived:
		ev.attempt.server.receive(ev.attempt)
	case eventAttemptCancelled:
		ev.attempt.server.cancel(ev.attempt)
	case eventWorkDone:
		ev.attempt.server.onWorkDone(ev.attempt, ev.incarnation)
	case eventCallDone:
		ev.attempt.server.onCallDone(ev.attempt, ev.ok)
	case eventOutcome:
		ev.attempt.call.agent.onAttemptDone(ev.attempt, ev.outcome, ev.report)
	case eventTimeout:
		ev.attempt.call.agent.onAttemptTimeout(ev.attempt)
	case eventTimer:
		ev.agent.onTimer(ev)
	case eventHealthCheck:
		ev.server.onHealthCheck(ev)
	case eventHealthCheckDone:
		ev.agent.onHealthCheckDone(ev)
	}
}
