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

// fullListCaller wants one full list and retries as Retry-After says.
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
		time.Sleep(rejected.RetryAfter + time.Millisecond) // the way there and back
	}
}

// All callers that come at once have their full list after as long as the stated rate needs for them, no sooner, and each
// is rejected once at most; changes wait for nobody.
func TestFullListRate(t *testing.T) {
	for _, c := range []struct {
		callers int
		rate    float64
		late    time.Duration // from one caller's coming to the next
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
					time.Sleep(time.Duration(i) * c.late)
					all[i].call(t.Context(), l, began)
				})
			}
			synctest.Wait()
			if due, err := l.Admit(t.Context(), lists.Work{}); due != 0 || err != nil {
				t.Errorf("changes take %v, error %v", due, err)
			}
			done.Wait()
			need := time.Duration(float64(c.callers) / c.rate * float64(time.Second))
			bySecond := map[time.Duration]int{}
			for i, a := range all {
				bySecond[a.at/time.Second]++
				if a.rejected > 1 || a.at > need+reservationGrace {
					t.Errorf("%d callers at %v a second: number %d is rejected %d times and admitted after %v", c.callers, c.rate, i, a.rejected, a.at)
				}
			}
			for second, n := range bySecond {
				if float64(n) > c.rate+1 {
					t.Errorf("%d slots in second %d at %v a second", n, second, c.rate)
				}
			}
			if l.queued() != 0 || len(l.reserved) > 0 {
				t.Errorf("%d wait and %d slots are reserved in the end", l.queued(), len(l.reserved))
			}
		})
	}
}

// A caller that could not be admitted within the bound gets no Retry-After, and no slot is reserved for it.
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
				t.Errorf("error %v", err)
			}
			last = max(last, r.RetryAfter)
		}
		if last > balancer.NotifyBoundAfterFailure {
			t.Errorf("a caller is to retry after %v", last)
		}
		if len(l.reserved) > 7 {
			t.Errorf("%d slots are reserved", len(l.reserved))
		}
		stop()
		waiting.Wait()
	})
}

// A slot whose caller goes away is another caller's.
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
				t.Errorf("number %d is rejected %d times and admitted after %v", i, a.rejected, a.at)
			}
		}
	})
}

// Another rate holds for the slots that are given from then on.
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
			t.Errorf("11 lists at 100 a second take %v", took)
		}
	})
}
