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

// workItem is a piece of work that comes at a time and is through, or refused, at another.
type workItem struct {
	at       time.Duration
	work     lists.Work
	endsAt   time.Duration
	rejected bool
}

// newCall is a newCall that begins, with so many lines; continued is one that goes on.
func newCall(at time.Duration, lines int, end time.Duration, refused bool) workItem {
	return workItem{at, lists.Work{Entries: lines}, end, refused}
}

func continuedCall(at time.Duration, lines int, end time.Duration, refused bool) workItem {
	return workItem{at, lists.Work{Continues: true, Entries: lines}, end, refused}
}

func approxEqual(a, b float64) bool { return math.Abs(a-b) <= 0.002*math.Max(math.Abs(a), math.Abs(b)) }

// Work is done in its turn, at its stated cost; what has waited too long is refused in its turn as well.
func TestWorkQueue(t *testing.T) {
	costs := scenario.Control{CallMS: 10, EntryUS: 1000, Parallel: 1, RejectMS: 25}
	two, free, patient := costs, costs, costs
	two.Parallel = 2
	free.CallMS, free.EntryUS = 0, 0
	patient.RejectMS = 0
	for _, c := range []struct {
		name    string
		costs   scenario.Control
		entries []workItem // the later ones come later
		until   time.Duration
		busy    float64
		most    int
		waited  float64 // the longest, ms
	}{
		{"alone", costs, []workItem{newCall(0, 0, 10*ms, false)}, 100 * ms, 0.1, 0, 0},
		{"lines", costs, []workItem{newCall(0, 5, 15*ms, false)}, 100 * ms, 0.15, 0, 0},
		{"goes on", costs, []workItem{continuedCall(0, 5, 5*ms, false)}, 100 * ms, 0.05, 0, 0},
		{"in turn", costs, []workItem{newCall(0, 0, 10*ms, false), newCall(1*ms, 0, 20*ms, false), continuedCall(2*ms, 1, 21*ms, false)}, 100 * ms, 0.21, 2, 18},
		{"after a pause", costs, []workItem{newCall(0, 0, 10*ms, false), newCall(50*ms, 0, 60*ms, false)}, 100 * ms, 0.2, 0, 0},
		{"refused after its work", costs, []workItem{newCall(0, 20, 30*ms, false), newCall(1*ms, 0, 40*ms, true), newCall(2*ms, 0, 50*ms, true),
			newCall(30*ms, 0, 60*ms, false)}, 100 * ms, 0.6, 2, 38},
		{"just not refused", costs, []workItem{newCall(0, 15, 25*ms, false), newCall(1*ms, 0, 35*ms, false)}, 100 * ms, 0.35, 1, 24},
		{"patient", patient, []workItem{newCall(0, 90, 100*ms, false), newCall(1*ms, 0, 110*ms, false)}, 110 * ms, 1, 1, 99},
		{"two workers", two, []workItem{newCall(0, 0, 10*ms, false), newCall(1*ms, 0, 11*ms, false), newCall(2*ms, 0, 20*ms, false), newCall(3*ms, 0, 21*ms, false)},
			100 * ms, 0.2, 2, 8},
		{"free", free, []workItem{newCall(0, 800, 0, false), newCall(0, 800, 0, false)}, 100 * ms, 0, 0, 0},
		{"not done yet", costs, []workItem{newCall(0, 90, 100*ms, false)}, 50 * ms, 1, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				q := newWorkQueue(c.costs, began)
				for i, e := range c.entries {
					go func() {
						time.Sleep(e.at) // of the bubble's clock
						due, err := q.Admit(t.Context(), e.work)
						end := time.Since(began)
						var refused lists.RejectedError
						if end != e.endsAt || errors.As(err, &refused) != e.rejected || due != e.endsAt-e.at {
							t.Errorf("entry %d ended at %v, due after %v, with %v; want %v, refused %v", i, end, due, err, e.endsAt, e.rejected)
						}
					}()
				}
				time.Sleep(c.until)
				var m result.ControlMachine
				q.stats(time.Now(), &m)
				if !approxEqual(m.Busy, c.busy) || !approxEqual(m.Worst6s, c.busy) || m.QueueMax != c.most || !approxEqual(m.QueueMS.Max, c.waited) ||
					m.QueueMS.N != int64(len(c.entries)) {
					t.Errorf("measured %+v, want busy %v, most %d, the longest wait %v", m, c.busy, c.most, c.waited)
				}
				time.Sleep(time.Second) // until all has ended
			})
		})
	}
}

// Who leaves does so at once; its work is done all the same.
func TestWorkQueueCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		q := newWorkQueue(scenario.Control{CallMS: 10, Parallel: 1}, began)
		ctx, leave := context.WithTimeout(t.Context(), 3*ms)
		defer leave()
		if _, err := q.Admit(ctx, lists.Work{}); !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != 3*ms {
			t.Errorf("left after %v with %v", time.Since(began), err)
		}
		if _, err := q.Admit(t.Context(), lists.Work{}); err != nil || time.Since(began) != 20*ms {
			t.Errorf("the next ended after %v with %v", time.Since(began), err)
		}
	})
}

// What waits is forgotten when control goes down, and the worst span is the worst one, of whole seconds.
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
			t.Errorf("busy %v, worst %v; want 4.5 s of 20 and 3 of 6", m.Busy, m.Worst6s)
		}
		q.plan(time.Now(), 20*time.Second)
		time.Sleep(5 * time.Second)
		q.reset(time.Now()) // with 15 s to go
		time.Sleep(10 * time.Second)
		q.stats(time.Now(), &m)
		if m.Busy != 1 || m.Worst6s != 1 || m.QueueMS.N != 0 {
			t.Errorf("after Begin: %+v", m)
		}
		q.reset(time.Now())
		time.Sleep(2 * maxTrackedSeconds * time.Second)
		q.plan(time.Now(), time.Second)
		time.Sleep(time.Second)
		q.stats(time.Now(), &m)
		if len(q.busySeconds) != maxTrackedSeconds || !approxEqual(m.Busy, 6.0/(2*maxTrackedSeconds+1)) {
			t.Errorf("after two hours: %d seconds, busy %v", len(q.busySeconds), m.Busy)
		}
	})
}
