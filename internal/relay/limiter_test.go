package relay

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/lists"
)

// fullListCaller requests a full list and retries after the Retry-After of each rejection.
type fullListCaller struct {
	at       time.Duration // when it was admitted
	rejected int
}

func (c *fullListCaller) call(ctx context.Context, l *fullListLimiter, began time.Time) {
	for {
		_, err := l.Admit(ctx, lists.Work{Complete: true})
		if err == nil {
			c.at = time.Since(began)
			return
		}
		c.rejected++
		var rejected lists.RejectedError
		if !errors.As(err, &rejected) || rejected.RetryAfter == 0 {
			return
		}
		time.Sleep(rejected.RetryAfter + time.Millisecond) // round trip
	}
}

// Callers that arrive at the same time must all get their full lists within the time that the configured rate allows,
// at no more than that rate, and each with at most one rejection. Changes must not be delayed.
func TestFullListRate(t *testing.T) {
	for _, c := range []struct {
		callers int
		rate    float64
		gap     time.Duration // between the arrivals of two callers
	}{
		{1, 1, 0}, {60, 60, 0}, {166, 60, 0}, {300, 60, 0}, {300, 60, 5 * time.Millisecond}, {50, 10, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			l := newFullListLimiter(c.rate, c.callers)
			began := time.Now()
			all := make([]fullListCaller, c.callers)
			var done sync.WaitGroup
			for i := range all {
				done.Go(func() {
					time.Sleep(time.Duration(i) * c.gap)
					all[i].call(t.Context(), l, began)
				})
			}
			synctest.Wait()
			if due, err := l.Admit(t.Context(), lists.Work{}); due != 0 || err != nil {
				t.Errorf("changes: got delay %v, error %v, want none", due, err)
			}
			done.Wait()
			limit := time.Duration(float64(c.callers) / c.rate * float64(time.Second))
			bySecond := map[time.Duration]int{}
			for i, a := range all {
				bySecond[a.at/time.Second]++
				if a.rejected > 1 || a.at > limit+reservationGrace {
					t.Errorf("%d callers at %v per second, caller %d: got %d rejections and admission after %v, want at most 1 and %v",
						c.callers, c.rate, i, a.rejected, a.at, limit+reservationGrace)
				}
			}
			for second, n := range bySecond {
				if float64(n) > c.rate+1 {
					t.Errorf("got %d slots in second %d, want at most %v", n, second, c.rate+1)
				}
			}
			if l.queued() != 0 || len(l.reserved) > 0 {
				t.Errorf("at the end: got %d waiting callers and %d reserved slots, want none", l.queued(), len(l.reserved))
			}
		})
	}
}

// A caller that cannot be admitted within the notification bound must get no Retry-After, and no slot must be reserved
// for it.
func TestNoSlotBeyondNotifyBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFullListLimiter(1, 1000)
		ctx, stop := context.WithCancel(t.Context())
		var waiting sync.WaitGroup
		last := time.Duration(0)
		for range 20 {
			waiting.Go(func() { l.Admit(ctx, lists.Work{Complete: true}) })
			synctest.Wait()
		}
		for range 5 {
			var r lists.RejectedError
			if _, err := l.Admit(ctx, lists.Work{Complete: true}); !errors.As(err, &r) {
				t.Errorf("got error %v, want a RejectedError", err)
			}
			last = max(last, r.RetryAfter)
		}
		if last > balancer.NotifyBoundAfterFailure {
			t.Errorf("Retry-After: got %v, want at most %v", last, balancer.NotifyBoundAfterFailure)
		}
		if len(l.reserved) > 7 {
			t.Errorf("reserved slots: got %d, want at most 7", len(l.reserved))
		}
		stop()
		waiting.Wait()
	})
}

// The slot of a caller that disconnects must be given to another caller.
func TestAbandonedSlotsAreReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFullListLimiter(10, 1000)
		began := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		var gone sync.WaitGroup
		for range 10 {
			gone.Go(func() { l.Admit(ctx, lists.Work{Complete: true}) })
		}
		synctest.Wait()
		cancel()
		gone.Wait()
		all := make([]fullListCaller, 9)
		var done sync.WaitGroup
		for i := range all {
			done.Go(func() { all[i].call(t.Context(), l, began) })
		}
		done.Wait()
		for i, a := range all {
			if a.rejected > 0 || a.at > time.Second {
				t.Errorf("caller %d: got %d rejections and admission after %v, want none and at most 1s", i, a.rejected, a.at)
			}
		}
	})
}

// A new rate must apply to all slots that are assigned after the change.
func TestSetRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFullListLimiter(1, 1000)
		l.setRate(100)
		began := time.Now()
		for range 11 {
			if _, err := l.Admit(t.Context(), lists.Work{Complete: true}); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took != 100*time.Millisecond {
			t.Errorf("11 lists at 100 per second: got %v, want 100ms", took)
		}
	})
}
