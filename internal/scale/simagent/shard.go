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
	// tick is how long a shard that has nothing due rests at least. What falls due meanwhile is handled late, as of its own
	// time: no modelled time is longer for it.
	tick = time.Millisecond
	// lookEvery is after how many events a shard reads the clock and its inbox again.
	lookEvery = 32
	// longestRest bounds a rest where nothing at all is due.
	longestRest = time.Second
	longestLag  = 60e3 // ms; beyond, lags count as this
)

// Clock is the time that the model runs by. The wall's is the only one so far; one that jumps from event to event needs
// nothing else of the engine.
type Clock interface {
	Now() time.Duration                             // since 1970; never runs backwards
	Wait(until time.Duration, wake <-chan struct{}) // until then, or until woken
}

// wall is real time: the wall's at the start, and what has passed.
type wall struct{ clock.Anchored }

func (w wall) Wait(until time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(until - w.Now())
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	}
}

// kind tells what an event is and which of its fields count.
type kind uint8

const (
	doFunc    kind = iota // [do]
	rootCall              // an agent's next call at the root [agent, life]
	arrives               // an attempt, at its server [job]
	cancelled             // its caller waits for it no more, at its server [job]
	worked                // its own work is done, at its server [job, life: the server's]
	called                // a call that it made has ended [job, ok]
	outcome               // of an attempt, at its caller [job, outcome, load]
	timedOut              // of an attempt, at its caller [job]
	timer                 // an ActionSetTimer [agent, life, token, control]
	probes                // a probe, at its server [agent, life, server]
	probed                // its answer, at its caller [agent, life, server, load, ok]
)

// event is something that falls due in a shard.
type event struct {
	due     time.Duration
	seq     uint64 // the shard's: what is due at once happens in the order in which it was heard of
	kind    kind
	ok      bool
	control bool // a timer of the control's part
	outcome balancer.Outcome
	life    uint32
	load    report
	agent   *agent
	server  *server
	job     *job
	token   uint64
	do      func()
}

// queue is a heap of events, four to each, the next one first.
type queue struct {
	events []event
	seq    uint64
}

func (e *event) before(o *event) bool {
	return e.due < o.due || e.due == o.due && e.seq < o.seq
}

func (q *queue) push(ev event) {
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

func (q *queue) pop() event {
	first, n := q.events[0], len(q.events)-1
	last := q.events[n]
	q.events[n] = event{}
	q.events = q.events[:n]
	if n > 0 {
		q.sink(last)
	}
	return first
}

// sink puts an event in the place of the first.
func (q *queue) sink(ev event) {
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
	fleet  *Fleet
	number int // among the fleet's
	clock  Clock
	rng    *rand.Rand
	now    time.Duration // as of the event that is handled
	queue  queue
	out    [][]event // to other shards, by their number, until the batch ends
	stop   bool      // set by an event

	mu     sync.Mutex
	inbox  []event
	spare  []event
	closed bool
	wake   chan struct{}
	wakeAt atomic.Int64 // until when it rests

	lag    *result.Hist // ms: when events were handled, after when they were due
	counts counts
	cpu    cpuMeter
	ended  chan struct{}
}

func newShard(f *Fleet, number, shards int) *shard {
	return &shard{
		fleet: f, number: number, clock: f.clock, rng: rand.New(rand.NewPCG(f.world.Scenario.Seed, uint64(number))), out: make([][]event, shards), wake: make(chan struct{}, 1),
		lag: result.NewHist(longestLag), ended: make(chan struct{}),
	}
}

// run handles events until one of them says stop.
func (s *shard) run() {
	runtime.LockOSThread() // its processor time is read by thread
	defer runtime.UnlockOSThread()
	defer close(s.ended)
	defer s.close()
	s.cpu.start()
	for !s.stop {
		s.take()
		s.batch()
		s.flush()
		if !s.stop {
			s.rest()
		}
	}
}

// batch handles all that is due.
func (s *shard) batch() {
	now := s.clock.Now()
	for n := 1; len(s.queue.events) > 0 && s.queue.events[0].due <= now && !s.stop; n++ {
		ev := s.queue.pop()
		s.lag.AddDuration(now - ev.due)
		s.now = ev.due
		s.handle(&ev)
		if n%lookEvery == 0 {
			s.flush()
			s.take()
			now = s.clock.Now()
		}
	}
}

// rest waits until something is due, and for a tick at least, so that a shard wakes a thousand times a second at most.
func (s *shard) rest() {
	now := s.clock.Now()
	until := now + longestRest
	if len(s.queue.events) > 0 {
		until = min(until, max(s.queue.events[0].due, now+tick))
	}
	s.wakeAt.Store(int64(until)) // before the inbox is looked at: whoever sends now looks at it after
	s.mu.Lock()
	idle := len(s.inbox) == 0
	s.mu.Unlock()
	if idle {
		s.clock.Wait(until, s.wake)
	}
	s.wakeAt.Store(0)
}

// take moves what was sent into the queue.
func (s *shard) take() {
	s.mu.Lock()
	s.inbox, s.spare = s.spare[:0], s.inbox
	s.mu.Unlock()
	for i := range s.spare {
		s.queue.push(s.spare[i])
		s.spare[i] = event{}
	}
}

// send hands events to the shard from outside. It is false if the shard has ended.
func (s *shard) send(events ...event) bool {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return false
	}
	s.inbox = append(s.inbox, events...)
	s.mu.Unlock()
	for i := range events {
		if int64(events[i].due) < s.wakeAt.Load() {
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
	s.out[to.number] = append(s.out[to.number], ev)
}

func (s *shard) flush() {
	for i, events := range s.out {
		if len(events) > 0 {
			s.fleet.shards[i].send(events...)
			clear(events)
			s.out[i] = events[:0]
		}
	}
}

// soon has the shard run a function, as of now.
func (s *shard) soon(do func()) bool {
	return s.send(event{kind: doFunc, due: s.clock.Now(), do: do})
}

// do has the shard run a function and waits for it. It is false if the shard has ended before.
func (s *shard) do(do func()) bool {
	done := make(chan struct{})
	if !s.soon(func() { do(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-s.ended:
		return false
	}
}

// handle does what an event says.
func (s *shard) handle(ev *event) {
	switch ev.kind {
	case doFunc:
		ev.do()
	case rootCall:
		ev.agent.root(ev.life)
	case arrives:
		ev.job.server.arrive(ev.job)
	case cancelled:
		ev.job.server.cancel(ev.job)
	case worked:
		ev.job.server.worked(ev.job, ev.life)
	case called:
		ev.job.server.called(ev.job, ev.ok)
	case outcome:
		ev.job.call.agent.answered(ev.job, ev.outcome, ev.load)
	case timedOut:
		ev.job.call.agent.timedOut(ev.job)
	case timer:
		ev.agent.timer(ev)
	case probes:
		ev.server.probe(ev)
	case probed:
		ev.agent.probed(ev)
	}
}
