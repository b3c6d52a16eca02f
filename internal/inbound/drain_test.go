package inbound

import (
	"errors"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/metrics"
)

// A shutdown takes precedence over a drain by the operators: starting or stopping a drain must not undo it.
func TestDrainStates(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*drainer)
		want error
	}{
		{"initially", func(*drainer) {}, nil},
		{"on", (*drainer).start, ErrDraining},
		{"on and off", func(d *drainer) { d.start(); d.stop() }, nil},
		{"off without on", func(d *drainer) { d.stop() }, nil},
		{"on, on, off", func(d *drainer) { d.start(); d.start(); d.stop() }, nil},
		{"shutdown", func(d *drainer) { d.shutDown(time.Second) }, ErrShuttingDown},
		{"shutdown during a drain", func(d *drainer) { d.start(); d.shutDown(time.Second) }, ErrShuttingDown},
		{"on during a shutdown", func(d *drainer) { d.shutDown(time.Second); d.start() }, ErrShuttingDown},
		{"off during a shutdown", func(d *drainer) {
			d.start()
			d.shutDown(time.Second)
			if d.stop() == nil {
				t.Error("off during a shutdown: got no error")
			}
		}, ErrShuttingDown},
	} {
		d := &drainer{listener: &Listener{metrics: &metrics.Metrics{}}, done: t.Context().Done(), log: agenttest.DiscardLogger}
		if c.do(d); !errors.Is(d.reason(), c.want) {
			t.Errorf("%s: got %v, want %v", c.name, d.reason(), c.want)
		}
	}
}

// The time limit of a request depends on how long after the start of a drain or a shutdown it begins.
func TestRequestLimit(t *testing.T) {
	ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
	for _, c := range []struct {
		name     string
		d        *drainer
		limited  bool
		maxLimit time.Duration
	}{
		{"no drain", &drainer{}, false, 0},
		{"early in a drain", &drainer{drainSince: ago(time.Second)}, false, 0},
		{"before the drain limit", &drainer{drainSince: ago(3 * time.Second)}, true, 800 * time.Millisecond},
		{"long after the drain limit", &drainer{drainSince: ago(time.Minute)}, false, 0},
		{"early in a shutdown", &drainer{shutdownSince: ago(100 * time.Millisecond), failAfter: 3 * time.Second}, false, 0},
		{"after the kill exemption", &drainer{shutdownSince: ago(time.Second), failAfter: 3 * time.Second}, true, 2 * time.Second},
	} {
		got, limited := c.d.requestLimit()
		if limited != c.limited || limited && (got > c.maxLimit || got < c.maxLimit-time.Second) {
			t.Errorf("%s: got limit %v, limited %v, want at most %v, limited %v", c.name, got, limited, c.maxLimit, c.limited)
		}
	}
}
