package inbound

import (
	"errors"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/metrics"
)

// A drain by the operators and SIGTERM are one state: what the second has set the first does not take back.
func TestDrainStates(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*drainer)
		want error
	}{
		{"as it starts", func(*drainer) {}, nil},
		{"on", (*drainer).start, ErrDraining},
		{"on and off", func(d *drainer) { d.start(); d.stop() }, nil},
		{"off without on", func(d *drainer) { d.stop() }, nil},
		{"on, on, off", func(d *drainer) { d.start(); d.start(); d.stop() }, nil},
		{"leaving", func(d *drainer) { d.shutDown(time.Second) }, ErrShuttingDown},
		{"leaving during a drain", func(d *drainer) { d.start(); d.shutDown(time.Second) }, ErrShuttingDown},
		{"on while leaving", func(d *drainer) { d.shutDown(time.Second); d.start() }, ErrShuttingDown},
		{"off while leaving", func(d *drainer) {
			d.start()
			d.shutDown(time.Second)
			if d.stop() == nil {
				t.Error("off while leaving is granted")
			}
		}, ErrShuttingDown},
	} {
		d := &drainer{listener: &Listener{metrics: &metrics.Metrics{}}, done: t.Context().Done(), log: agenttest.DiscardLogger}
		if c.do(d); !errors.Is(d.reason(), c.want) {
			t.Errorf("%s: %v, want %v", c.name, d.reason(), c.want)
		}
	}
}

// How long a request may last depends on when it was taken beside a drain by the operators or SIGTERM.
func TestRequestLimit(t *testing.T) {
	ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
	for _, c := range []struct {
		name     string
		d        *drainer
		bounded  bool
		maxLimit time.Duration
	}{
		{"as ever", &drainer{}, false, 0},
		{"just sent away", &drainer{drainSince: ago(time.Second)}, false, 0},
		{"slow to send", &drainer{drainSince: ago(3 * time.Second)}, true, 800 * time.Millisecond},
		{"long sent away", &drainer{drainSince: ago(time.Minute)}, false, 0},
		{"told to stop", &drainer{shutdownSince: ago(100 * time.Millisecond), killedAfter: 3 * time.Second}, false, 0},
		{"past what is forgiven", &drainer{shutdownSince: ago(time.Second), killedAfter: 3 * time.Second}, true, 2 * time.Second},
	} {
		if left, bounded := c.d.requestLimit(); bounded != c.bounded || bounded && (left > c.maxLimit || left < c.maxLimit-time.Second) {
			t.Errorf("%s: %v, bounded %v", c.name, left, bounded)
		}
	}
}
