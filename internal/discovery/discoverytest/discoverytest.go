// Package discoverytest plays agents and services for tests of those who follow or serve the endpoint list, on the clock of the
// test, which may be that of testing/synctest. Only tests import it.
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

// pendingEvents is how many watch events an agent may be behind before its client of discovery waits for it.
const pendingEvents = 256

// Agent is an agent as discovery sees it: the balancer with the endpoint table and its timers, without requests. The goroutine
// of Run owns the balancer, the table and the timers; a mutex guards what Record and RecordedAt use.
type Agent struct {
	Settings settings.Settings
	Poll     func() // of the client of discovery; set before Run

	balancer *balancer.Balancer
	table    *membership.Table
	events   chan discovery.WatchEvent
	timers   []timer

	mu       sync.Mutex
	recorded map[uint64]time.Time
}

// timer is an ActionSetTimer that is to fall due.
type timer struct {
	due time.Time
	id  balancer.TimerID
}

// NewAgent makes an agent with a text of settings, whose balancer draws its random numbers by a seed.
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

// Notify hands a watch event to the agent, unless the context ends.
func (a *Agent) Notify(ctx context.Context, event discovery.WatchEvent) {
	select {
	case a.events <- event:
	case <-ctx.Done():
	}
}

// Record notes that something, by its number, came now, unless it has come before.
func (a *Agent) Record(number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.recorded[number]; !known {
		a.recorded[number] = time.Now()
	}
}

// RecordedAt returns when something was recorded, if it was.
func (a *Agent) RecordedAt(number uint64) (at time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok = a.recorded[number]
	return at, ok
}

// Run has the balancer handle watch events and timers, and polls when it says so, until the context ends.
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

// nextTimer is the index of the timer that is due first, below 0 if there is none.
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

// After is time.After, but makes no timer that is due already. Under the race detector the runtime (Go 1.26.8) crashes in
// __tsan::SlotLock when a select in simulated time finds such a timer on a processor that has run none yet (selectgo, maybeRunChan).
func After(d time.Duration) <-chan time.Time {
	if d > 0 {
		return time.After(d)
	}
	due := make(chan time.Time)
	close(due)
	return due
}
