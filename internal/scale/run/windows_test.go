package run

import (
	"context"
	"errors"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ryeloft/internal/scale/result"
)

func TestWorst(t *testing.T) {
	for _, c := range []struct {
		name string
		bins []float64
		want float64
	}{
		{"nothing", nil, 0},
		{"shorter than the window", []float64{2, 4}, 3},
		{"a burst", []float64{0, 0, 0, 60, 0, 0, 0, 0, 0}, 10},
		{"the end", []float64{0, 0, 0, 6, 6, 6, 6, 6, 6}, 6},
	} {
		if got := worstWindowMean(c.bins); got != c.want {
			t.Errorf("%s: %g, want %g", c.name, got, c.want)
		}
	}
}

func TestRates(t *testing.T) {
	in := [][]int64{{10, 20, 30, 99}, {60}, {1000, 1000, 1000}}
	out := [][]int64{{0, 0, 6}, {0, 3}}
	meanIn, meanOut, worst6s := rates(in, out, []int{0, 1}, 3)
	near := func(got, want float64) bool { return math.Abs(got-want) <= want/1000 } // as exact as histograms are
	if !near(meanIn.Max, 20) || !near(meanOut.Max, 2) || !near(worst6s.Max, 22) || meanIn.N != 2 {
		t.Errorf("in %+v, out %+v, worst %+v", meanIn, meanOut, worst6s)
	}
	if got := bytesBetween(1, 3, in, out); got != 20+30+2000+6+3 {
		t.Errorf("between seconds 1 and 3: %d bytes", got)
	}
	if got := bytesBetween(8, 20, in); got != 0 {
		t.Errorf("after the end: %d bytes", got)
	}
}

func TestServedAndBack(t *testing.T) {
	w := []result.Window{{Second: 0, Roots: 10, Served: 10}, {Second: 1, Roots: 10, Served: 2}, {Second: 2, Roots: 10, Served: 5}, {Second: 3, Roots: 10, Served: 9}}
	if got := servedPercent(w, 1, 3); got != 35 {
		t.Errorf("served %g %%, want 35", got)
	}
	if got := recoveredAfter(w, 2, 100); got != 1 {
		t.Errorf("back after %g s, want 1", got)
	}
	if got := recoveredAfter(w[:3], 1, 100); got != -1 {
		t.Errorf("back after %g s, want never", got)
	}
}

func TestReach(t *testing.T) {
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	r := newReachability(2)
	r.lose([]int{0, 1}, at(10)) // control is down
	r.lose([]int{1}, at(12))    // and the region is cut
	r.regain([]int{0, 1}, at(20))
	r.regain([]int{1}, at(25))
	r.lose([]int{1}, at(40))
	for _, c := range []struct {
		agent    int
		at, want int64
	}{
		{0, 5, 5}, {0, 10, 20}, {0, 19, 20}, {0, 20, 20}, {1, 11, 25}, {1, 22, 25}, {1, 30, 30}, {1, 41, -1},
	} {
		want := c.want * int64(time.Second)
		if c.want < 0 {
			want = never
		}
		if got := r.reachableFrom(c.agent, at(c.at).UnixNano()); got != want {
			t.Errorf("agent %d, made at %d s: from %d, want %d", c.agent, c.at, got, want)
		}
	}
	s := func(n int64) int64 { return n * int64(time.Second) }
	changes := []delivery{{madeAt: s(5), receivedAt: []int64{s(6), 0}}, {madeAt: s(15), receivedAt: []int64{s(22), s(24)}}, {madeAt: s(50), receivedAt: []int64{0, 0}}}
	d, unheard := summarizeDeliveries(changes, []int{0, 1}, r, s(55), 6*time.Second)
	if d.N != 3 || d.Max < 1999 || d.Max > 2002 || unheard != 1 {
		t.Errorf("%+v, unheard %d; want 1 s, 2 s, 0 s (heard while cut off by the books) and one unheard: the last change's time was not over", d, unheard)
	}
}

func TestLane(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTaskQueue(t.Context(), "control", 4, 3*time.Second)
		var order []int
		do := func(n int, d time.Duration) func(context.Context) error {
			return func(ctx context.Context) error {
				select {
				case <-time.After(d):
					order = append(order, n)
					return nil
				case <-ctx.Done():
					return ctx.Err()
				}
			}
		}
		l.add(do(1, 2*time.Second))
		l.add(do(2, time.Second))
		l.add(do(3, time.Minute))
		l.add(do(4, 0))
		err := l.close(t.Context())
		if !errors.Is(err, context.DeadlineExceeded) || !strings.HasPrefix(err.Error(), "control: ") {
			t.Errorf("error %v, want the third task's deadline", err)
		}
		if len(order) != 3 || order[0] != 1 || order[1] != 2 || order[2] != 4 {
			t.Errorf("order %v", order)
		}
		if w := l.taskTimings(); w[1].waited != 2*time.Second || w[3].waited != 6*time.Second || w[2].took != 3*time.Second {
			t.Errorf("waits %v", w)
		}
	})
}

func TestLaneLeavesWhatHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		l := newTaskQueue(t.Context(), "hollow", 2, time.Hour)
		end := make(chan struct{})
		l.add(func(context.Context) error { <-end; return nil })
		l.add(func(context.Context) error { return nil })
		synctest.Wait()
		if err := l.close(ctx); !errors.Is(err, errUnfinished) || !strings.HasPrefix(err.Error(), "hollow: 2 things") {
			t.Errorf("error %v", err)
		}
		close(end)
		synctest.Wait()
	})
}
