package control

import (
	"context"
	"errors"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ryeloft/internal/lists"
	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/scenario"
)

const ms = time.Millisecond

// workItem is a piece of work with its arrival and the expected time at which it is done or rejected.
type workItem struct {
	at       time.Duration
	work     lists.Work
	endsAt   time.Duration
	rejected bool
}

// newCall returns the work of a new call with the given number of entries.
func newCall(at time.Duration, entries int, endsAt time.Duration, rejected bool) workItem {
	return workItem{at, lists.Work{Entries: entries}, endsAt, rejected}
}

// continuedCall returns the work of a call that began earlier.
func continuedCall(at time.Duration, entries int, endsAt time.Duration, rejected bool) workItem {
	return workItem{at, lists.Work{Continues: true, Entries: entries}, endsAt, rejected}
}

func approxEqual(a, b float64) bool { return math.Abs(a-b) <= 0.002*math.Max(math.Abs(a), math.Abs(b)) }

// TestWorkQueue checks that work is done in order of arrival at its configured cost, and that work which has waited too
// long is rejected only after its own cost.
func TestWorkQueue(t *testing.T) {
	costs := scenario.Control{CallMS: 10, EntryUS: 1000, Parallel: 1, RejectMS: 25}
	twoWorkers, free, noRejections := costs, costs, costs
	twoWorkers.Parallel = 2
	free.CallMS, free.EntryUS = 0, 0
	noRejections.RejectMS = 0
	for _, c := range []struct {
		name      string
		costs     scenario.Control
		items     []workItem // in order of arrival
		until     time.Duration
		busy      float64
		maxQueued int
		maxWaitMS float64
	}{
		{"one call", costs, []workItem{newCall(0, 0, 10*ms, false)}, 100 * ms, 0.1, 0, 0},
		{"entries", costs, []workItem{newCall(0, 5, 15*ms, false)}, 100 * ms, 0.15, 0, 0},
		{"continued call", costs, []workItem{continuedCall(0, 5, 5*ms, false)}, 100 * ms, 0.05, 0, 0},
		{"in order", costs, []workItem{newCall(0, 0, 10*ms, false), newCall(1*ms, 0, 20*ms, false), continuedCall(2*ms, 1, 21*ms, false)}, 100 * ms, 0.21, 2, 18},
		{"after an idle time", costs, []workItem{newCall(0, 0, 10*ms, false), newCall(50*ms, 0, 60*ms, false)}, 100 * ms, 0.2, 0, 0},
		{"rejected after its work", costs, []workItem{newCall(0, 20, 30*ms, false), newCall(1*ms, 0, 40*ms, true), newCall(2*ms, 0, 50*ms, true),
			newCall(30*ms, 0, 60*ms, false)}, 100 * ms, 0.6, 2, 38},
		{"just below the limit", costs, []workItem{newCall(0, 15, 25*ms, false), newCall(1*ms, 0, 35*ms, false)}, 100 * ms, 0.35, 1, 24},
		{"no rejections", noRejections, []workItem{newCall(0, 90, 100*ms, false), newCall(1*ms, 0, 110*ms, false)}, 110 * ms, 1, 1, 99},
		{"two workers", twoWorkers, []workItem{newCall(0, 0, 10*ms, false), newCall(1*ms, 0, 11*ms, false), newCall(2*ms, 0, 20*ms, false), newCall(3*ms, 0, 21*ms, false)},
			100 * ms, 0.2, 2, 8},
		{"no costs", free, []workItem{newCall(0, 800, 0, false), newCall(0, 800, 0, false)}, 100 * ms, 0, 0, 0},
		{"not done yet", costs, []workItem{newCall(0, 90, 100*ms, false)}, 50 * ms, 1, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				q := newWorkQueue(c.costs, began)
				for i, item := range c.items {
					go func() {
						time.Sleep(item.at)
						planned, err := q.Admit(t.Context(), item.work)
						end := time.Since(began)
						var rejected lists.RejectedError
						if end != item.endsAt || errors.As(err, &rejected) != item.rejected || planned != item.endsAt-item.at {
							t.Errorf("item %d: got end at %v, planned delay %v, error %v; want end at %v, planned delay %v, rejected %v",
								i, end, planned, err, item.endsAt, item.endsAt-item.at, item.rejected)
						}
					}()
				}
				time.Sleep(c.until)
				var m result.ControlMachine
				q.stats(time.Now(), &m)
				if !approxEqual(m.Busy, c.busy) || !approxEqual(m.Worst6s, c.busy) || m.QueueMax != c.maxQueued || !approxEqual(m.QueueMS.Max, c.maxWaitMS) ||
					m.QueueMS.N != int64(len(c.items)) {
					t.Errorf("got %+v, want busy %v, at most %d queued, longest wait %v ms", m, c.busy, c.maxQueued, c.maxWaitMS)
				}
				time.Sleep(time.Second) // until all items have ended
			})
		})
	}
}

// TestWorkQueueCallerLeaves checks that Admit returns when its context ends, and that the queue still does the work.
func TestWorkQueueCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		q := newWorkQueue(scenario.Control{CallMS: 10, Parallel: 1}, began)
		ctx, cancel := context.WithTimeout(t.Context(), 3*ms)
		defer cancel()
		if _, err := q.Admit(ctx, lists.Work{}); !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != 3*ms {
			t.Errorf("got %v after %v, want %v after 3 ms", err, time.Since(began), context.DeadlineExceeded)
		}
		if _, err := q.Admit(t.Context(), lists.Work{}); err != nil || time.Since(began) != 20*ms {
			t.Errorf("next call: got %v after %v, want success after 20 ms", err, time.Since(began))
		}
	})
}

// TestWorkQueueDropAndWorstWindow checks that planned work is dropped when the service goes down, and that the worst
// window is the busiest one of whole seconds. It also covers reset and seconds beyond maxTrackedSeconds.
func TestWorkQueueDropAndWorstWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newWorkQueue(scenario.Control{CallMS: 1000, Parallel: 1}, time.Now())
		q.plan(time.Now(), 100*time.Second)
		time.Sleep(3 * time.Second)
		q.dropPlanned()
		time.Sleep(7 * time.Second)
		q.plan(time.Now(), 1500*ms) // 10 to 11.5 s
		time.Sleep(10 * time.Second)
		var m result.ControlMachine
		q.stats(time.Now(), &m)
		if !approxEqual(m.Busy, 4.5/20) || !approxEqual(m.Worst6s, 3.0/6) {
			t.Errorf("got busy %v, worst %v, want %v and %v", m.Busy, m.Worst6s, 4.5/20, 3.0/6)
		}
		q.plan(time.Now(), 20*time.Second)
		time.Sleep(5 * time.Second)
		q.reset(time.Now()) // 15 s of planned work remain
		time.Sleep(10 * time.Second)
		q.stats(time.Now(), &m)
		if m.Busy != 1 || m.Worst6s != 1 || m.QueueMS.N != 0 {
			t.Errorf("after reset: got %+v, want fully busy and no waits", m)
		}
		q.reset(time.Now())
		time.Sleep(2 * maxTrackedSeconds * time.Second)
		q.plan(time.Now(), time.Second)
		time.Sleep(time.Second)
		q.stats(time.Now(), &m)
		if len(q.busySeconds) != maxTrackedSeconds || !approxEqual(m.Busy, 6.0/(2*maxTrackedSeconds+1)) {
			t.Errorf("after two hours: got %d tracked seconds, busy %v, want %d and %v", len(q.busySeconds), m.Busy, maxTrackedSeconds, 6.0/(2*maxTrackedSeconds+1))
		}
	})
}
