// Package discoverytest simulates agents and services for tests of packages that follow or serve the endpoint list. It
// works with the clock of testing/synctest. Only tests import it.
package discoverytest

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/membership"
	"example.org/ryeloft/internal/settings"
)

// pendingEvents is how many watch events are queued for an agent before its discovery client blocks.
const pendingEvents = 256

// Agent is the part of an agent that concerns discovery: the balancer, the endpoint table and timers, no requests. The
// goroutine of Run owns the balancer, the table and the timers; a mutex guards what Record and RecordedAt use.
type Agent struct {
	Settings settings.Settings
	Poll     func() // Poll of the discovery client; set before Run

	balancer *balancer.Balancer
	table    *membership.Table
	events   chan discovery.WatchEvent
	timers   []timer

	mu       sync.Mutex
	recorded map[uint64]time.Time
}

// timer is a pending ActionSetTimer.
type timer struct {
	due time.Time
	id  balancer.TimerID
}

// NewAgent returns an agent with the given settings. The seed is for the random numbers of its balancer.
func NewAgent(t testing.TB, settingsText []byte, seed uint64) *Agent {
	t.Helper()
	a := &Agent{
		table:    membership.New(nil),
		events:   make(chan discovery.WatchEvent, pendingEvents),
		recorded: map[uint64]time.Time{},
	}
	var err error
	if a.Settings, err = settings.Parse(settingsText); err != nil {
		t.Fatal(err)
	}
	if a.balancer, err = balancer.New(a.Settings.Balancer, seed); err != nil {
		t.Fatal(err)
	}
	return a
}

// Notify queues a watch event for the agent. It blocks while the queue is full, until the context ends.
func (a *Agent) Notify(ctx context.Context, event discovery.WatchEvent) {
	select {
	case a.events <- event:
	case <-ctx.Done():
	}
}

// Record records the current time under a number, unless one is recorded already.
func (a *Agent) Record(number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.recorded[number]; !known {
		a.recorded[number] = time.Now()
	}
}

// RecordedAt returns the time that was recorded under a number, if any.
func (a *Agent) RecordedAt(number uint64) (at time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok = a.recorded[number]
	return at, ok
}

// Run passes watch events and timers to the balancer and polls when the balancer requests it, until the context ends.
func (a *Agent) Run(ctx context.Context) {
	for {
		var due <-chan time.Time
		next := a.nextTimer()
		if next >= 0 {
			due = After(time.Until(a.timers[next].due))
		}
		select {
		case event := <-a.events:
			endpoints := a.table.Endpoints(&a.Settings, event.Members)
			a.handle(event.Event(endpoints))
			a.table.RemoveGone(event.Update, endpoints)
		case <-due:
			id := a.timers[next].id
			a.timers = slices.Delete(a.timers, next, next+1)
			a.handle(balancer.Event{Kind: balancer.EventTimer, TimerID: id})
		case <-ctx.Done():
			return
		}
	}
}

// nextTimer returns the index of the timer that is due first, or -1 if there is none.
func (a *Agent) nextTimer() int {
	next := -1
	for i, t := range a.timers {
		if next < 0 || t.due.Before(a.timers[next].due) {
			next = i
		}
	}
	return next
}

func (a *Agent) handle(event balancer.Event) {
	for _, action := range a.balancer.Handle(time.Duration(time.Now().UnixNano()), event, nil) {
		switch action.Kind {
		case balancer.ActionSetTimer:
			a.timers = append(a.timers, timer{due: time.Now().Add(action.Delay), id: action.TimerID})
		case balancer.ActionPollEndpoints:
			a.Poll()
		}
	}
}

// After is like time.After, but creates no timer that is already due. Under the race detector the runtime (Go 1.26.8)
// crashes in __tsan::SlotLock when a select in simulated time finds such a timer on a processor that has not run one
// yet (selectgo, maybeRunChan).
func After(d time.Duration) <-chan time.Time {
	if d > 0 {
		return time.After(d)
	}
	due := make(chan time.Time)
	close(due)
	return due
}
