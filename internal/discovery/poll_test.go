package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
)

// scriptedCall is the result of one call.
type scriptedCall struct {
	after time.Duration
	text  string // body of the response
	err   error  // instead of a response
}

var errReset = errors.New("connection reset")

const never = time.Hour

// A poll hedges an unanswered call at most once, only in poll mode and only if the previous polls did not time out. The
// first response is used, and an unusable one ends the poll immediately. After a rejection the hedge is sent later, and
// after a hedge ended a poll none is sent.
func TestPoll(t *testing.T) {
	const first, second = `{"revision":4,"complete":true,"members":[]}`, `{"revision":5,"complete":true,"members":[]}`
	for name, c := range map[string]struct {
		pushMode     bool
		timeouts     int
		rejections   rejectionState
		remaining    time.Duration // until what was missed counts as notified; 0: nothing was missed
		latency      time.Duration // of an answered poll; 0: none was answered
		calls        []scriptedCall
		took         time.Duration
		wantRevision uint64 // 0: no list
		wantCalls    int
		endedByHedge bool
	}{
		"answered":                       {calls: []scriptedCall{{after: time.Second, text: first}}, took: time.Second, wantRevision: 4, wantCalls: 1},
		"slow":                           {calls: []scriptedCall{{after: 2 * time.Second, text: first}, {after: never}}, took: 2 * time.Second, wantRevision: 4, wantCalls: 2},
		"lost":                           {calls: []scriptedCall{{after: never}, {after: time.Second, text: second}}, took: 2500 * time.Millisecond, wantRevision: 5, wantCalls: 2},
		"lost, a slow service":           {remaining: time.Second, latency: 500 * time.Millisecond, calls: []scriptedCall{{after: never}, {after: 100 * time.Millisecond, text: second}}, took: 850 * time.Millisecond, wantRevision: 5, wantCalls: 2},
		"lost, a quick service":          {remaining: time.Second, latency: 10 * time.Millisecond, calls: []scriptedCall{{after: never}, {after: 100 * time.Millisecond, text: second}}, took: 600 * time.Millisecond, wantRevision: 5, wantCalls: 2},
		"both lost":                      {calls: []scriptedCall{{after: never}, {after: never}}, took: 4500 * time.Millisecond, wantCalls: 2},
		"reset":                          {calls: []scriptedCall{{after: time.Second, err: errReset}}, took: time.Second, wantCalls: 1},
		"the first reset, late":          {calls: []scriptedCall{{after: 2 * time.Second, err: errReset}, {after: time.Second, text: second}}, took: 2500 * time.Millisecond, wantRevision: 5, wantCalls: 2},
		"the hedge reset":                {calls: []scriptedCall{{after: 2 * time.Second, text: first}, {after: 0, err: errReset}}, took: 2 * time.Second, wantRevision: 4, wantCalls: 2},
		"unusable, the hedge open":       {calls: []scriptedCall{{after: 2 * time.Second, text: "no list"}, {after: never}}, took: 2 * time.Second, wantCalls: 2},
		"after a timeout":                {timeouts: 1, calls: []scriptedCall{{after: never}}, took: 3 * time.Second, wantCalls: 1},
		"after a rejection":              {rejections: rejectionState{seen: true}, remaining: time.Millisecond, latency: time.Millisecond, calls: []scriptedCall{{after: 1400 * time.Millisecond, text: first}}, took: 1400 * time.Millisecond, wantRevision: 4, wantCalls: 1},
		"lost after a rejection":         {rejections: rejectionState{seen: true}, remaining: time.Millisecond, latency: time.Millisecond, calls: []scriptedCall{{after: never}, {after: time.Second, text: second}}, took: 2500 * time.Millisecond, wantRevision: 5, wantCalls: 2},
		"both rejected":                  {calls: []scriptedCall{{after: 1600 * time.Millisecond, err: rejectedError{}}, {after: 100 * time.Millisecond, err: rejectedError{}}}, took: 1600 * time.Millisecond, wantCalls: 2, endedByHedge: true},
		"after a hedge ended a poll":     {rejections: rejectionState{seen: true, endedPoll: true}, calls: []scriptedCall{{after: 2900 * time.Millisecond, text: first}}, took: 2900 * time.Millisecond, wantRevision: 4, wantCalls: 1},
		"push mode":                      {pushMode: true, calls: []scriptedCall{{after: never}}, took: time.Second, wantCalls: 1},
		"push mode, after a timeout":     {pushMode: true, timeouts: 1, calls: []scriptedCall{{after: 1500 * time.Millisecond, text: first}}, took: 1500 * time.Millisecond, wantRevision: 4, wantCalls: 1},
		"push mode, after many timeouts": {pushMode: true, timeouts: 9, calls: []scriptedCall{{after: never}}, took: 3 * time.Second, wantCalls: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				set := &settings.Settings{Balancer: balancer.Settings{Agents: 3, PollEndpoints: !c.pushMode}}
				d := New(Options{Addr: "x:1", Settings: func() *settings.Settings { return set }, Log: slog.New(slog.DiscardHandler)})
				d.overload.timeouts = c.timeouts
				d.rejections = c.rejections
				if c.remaining > 0 {
					d.deadline.recordMissed(time.Now().Add(c.remaining))
				}
				if c.latency > 0 {
					d.latency.recordResponse(c.latency)
				}
				var mu sync.Mutex
				made := 0
				d.httpClient.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
					mu.Lock()
					made++
					if made > len(c.calls) {
						mu.Unlock()
						return nil, fmt.Errorf("unexpected call %d", made)
					}
					call := c.calls[made-1]
					mu.Unlock()
					if call.after > 0 { // a timer that is already due may crash the race detector
						select {
						case <-time.After(call.after):
						case <-r.Context().Done():
							return nil, r.Context().Err()
						}
					}
					if call.err != nil {
						return nil, call.err
					}
					return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(call.text))}, nil
				})
				start := time.Now()
				l, err := d.poll(t.Context(), context.Background())
				if took := time.Since(start); took != c.took {
					t.Errorf("took %v, want %v", took, c.took)
				}
				if made != c.wantCalls {
					t.Errorf("%d calls, want %d", made, c.wantCalls)
				}
				if (err == nil) != (c.wantRevision > 0) || err == nil && *l.Revision != c.wantRevision {
					t.Errorf("%+v, error %v, want revision %d", l, err, c.wantRevision)
				}
				if d.lastCall.endedByHedge != c.endedByHedge {
					t.Errorf("ended by its hedge: %v, want %v", d.lastCall.endedByHedge, c.endedByHedge)
				}
				synctest.Wait() // calls that are still in flight end with the poll
			})
		})
	}
}

// The estimated poll time of the fleet follows the service: responses measure it, timeouts double it up to half of the
// bound, and a migration keeps the last measurement.
func TestEstimatedFleetPollTime(t *testing.T) {
	set := &settings.Settings{Balancer: balancer.Settings{Agents: 6, PollEndpoints: true}}
	d := New(Options{Addr: "x:1", Settings: func() *settings.Settings { return set }, Log: slog.New(slog.DiscardHandler)})
	expect := func(when string, want time.Duration) {
		t.Helper()
		if got := d.latency.fleetPollTime(d.agents()); got != want {
			t.Errorf("%s: %v, want %v", when, got, want)
		}
	}
	expect("before any response", 6*assumedLatency)
	d.latency.recordResponse(400 * time.Millisecond)
	expect("after the first response", 2400*time.Millisecond)
	d.latency.recordResponse(200 * time.Millisecond)
	expect("after a quicker one", 1200*time.Millisecond)
	d.latency.recordResponse(1000 * time.Millisecond)
	expect("after a slower one", 1800*time.Millisecond)
	d.latency.recordTimeout(time.Second)
	expect("after a timeout", 1800*time.Millisecond)
	d.latency.recordTimeout(time.Second)
	expect("after another", 2*time.Second)
	d.latency.recordTimeout(time.Second)
	expect("after a third", 3*time.Second)
	d.latency.recordMigration()
	expect("after a migration", 1800*time.Millisecond)
}

// An outage must log few lines however long it lasts: the first failures each, then only when their number doubles.
func TestFailureLogIsLimited(t *testing.T) {
	for name, c := range map[string]struct {
		pollMode bool
		lines    int // for 1,000 failures
	}{"poll mode": {true, 8 + 6}, "push mode": {false, 10}} {
		t.Run(name, func(t *testing.T) {
			var text strings.Builder
			set := &settings.Settings{Balancer: balancer.Settings{Agents: 1, PollEndpoints: c.pollMode}}
			d := New(Options{Addr: "x:1", Settings: func() *settings.Settings { return set }, Log: slog.New(slog.NewTextHandler(&text, nil))})
			for range 1000 {
				d.failures++
				d.logFailure(errReset, time.Second)
			}
			if lines := strings.Count(text.String(), "discovery poll failed"); lines != c.lines {
				t.Errorf("%d lines, want %d:\n%s", lines, c.lines, &text)
			}
		})
	}
}
