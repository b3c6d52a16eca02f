package simagent

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ryeloft/internal/scale/result"
)

const (
	// minIdleWait bounds how often an idle shard wakes up. Events that become due during the wait are handled late, but
	// take effect at their due time.
	minIdleWait = time.Millisecond
	// maxIdleWait bounds the wait when no event is due.
	maxIdleWait = time.Second
	// eventsPerPoll is the number of events that a shard handles before it reads the clock and its inbox again.
	eventsPerPoll = 32
	maxLagMillis  = 60e3 // longer lags are recorded as this value
)

// shard is the event loop for a subset of the servers and their agents. It runs on its own goroutine and thread, and
// only that goroutine accesses their state. Other goroutines send events through the inbox, which mu guards.
type shard struct {
	fleet   *Fleet
	index   int // index into the fleet's shards
	clock   Clock
	rng     *rand.Rand
	now     time.Duration // due time of the event being handled
	queue   eventQueue
	outbox  [][]event // events for other shards, indexed by shard, until the batch ends
	stopped bool      // set by an event to end the loop

	mu         sync.Mutex
	inbox      []event
	spareInbox []event // owned by the event loop, swapped with the inbox
	closed     bool
	wake       chan struct{}
	idleUntil  atomic.Int64 // Unix ns; 0: not idle

	lag    *result.Histogram // ms between the due time and the handling of events
	counts shardCounts
	cpu    cpuMeter
	done   chan struct{}
}

func newShard(f *Fleet, index, shards int) *shard {
	return &shard{
		fleet: f, index: index, clock: f.clock,
		rng:    rand.New(rand.NewPCG(f.world.Scenario.Seed, uint64(index))),
		outbox: make([][]event, shards),
		wake:   make(chan struct{}, 1),
		lag:    result.NewHistogram(maxLagMillis),
		done:   make(chan struct{}),
	}
}

// run handles events until one of them sets stopped.
func (s *shard) run() {
	runtime.LockOSThread() // cpuMeter reads the thread's CPU time
	defer runtime.UnlockOSThread()
	defer close(s.done)
	defer s.close()
	s.cpu.start()
	for !s.stopped {
		s.drainInbox()
		s.runDue()
		s.flushOutbox()
		if !s.stopped {
			s.waitForEvents()
		}
	}
}

// runDue handles all events that are due.
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

// waitForEvents waits until the next event is due, for at least minIdleWait and at most maxIdleWait, or until another
// goroutine sends an event that is due earlier.
func (s *shard) waitForEvents() {
	now := s.clock.Now()
	until := now + maxIdleWait
	if len(s.queue.events) > 0 {
		until = min(until, max(s.queue.events[0].due, now+minIdleWait))
	}
	// Set idleUntil before checking the inbox, because a sender appends to the inbox before it reads idleUntil.
	s.idleUntil.Store(int64(until))
	s.mu.Lock()
	idle := len(s.inbox) == 0
	s.mu.Unlock()
	if idle {
		s.clock.Wait(until, s.wake)
	}
	s.idleUntil.Store(0)
}

// drainInbox moves the events that other goroutines sent to the queue.
func (s *shard) drainInbox() {
	s.mu.Lock()
	s.inbox, s.spareInbox = s.spareInbox[:0], s.inbox
	s.mu.Unlock()
	for i := range s.spareInbox {
		s.queue.push(s.spareInbox[i])
		s.spareInbox[i] = event{}
	}
}

// enqueue sends events to the shard from another goroutine. It returns false if the shard has ended.
func (s *shard) enqueue(events ...event) bool {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return false
	}
	s.inbox = append(s.inbox, events...)
	s.mu.Unlock()
	for i := range events {
		if int64(events[i].due) < s.idleUntil.Load() {
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
	s.closed = true
	s.inbox = nil
	s.mu.Unlock()
}

// post queues an event of this shard, or sends it to another shard at the end of the batch.
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

// doAsync has the shard run a function as an event that is due now. It returns false if the shard has ended.
func (s *shard) doAsync(run func()) bool {
	return s.enqueue(event{kind: eventFunc, due: s.clock.Now(), run: run})
}

// doSync has the shard run a function and waits for it. It returns false if the shard ended before running it.
func (s *shard) doSync(run func()) bool {
	finished := make(chan struct{})
	sent := s.doAsync(func() {
		run()
		close(finished)
	})
	if !sent {
		return false
	}
	select {
	case <-finished:
		return true
	case <-s.done:
		return false
	}
}
