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

// asker wants one full list and comes again when it is told to.
type asker struct {
	at      time.Duration // when it had its turn
	refused int
}

func (a *asker) ask(ctx context.Context, g *fullListLimiter, begun time.Time) {
	for {
		_, err := g.Admit(ctx, lists.Work{Complete: true})
		if err == nil {
			a.at = time.Since(begun)
			return
		}
		a.refused++
		var r lists.RejectedError
		if !errors.As(err, &r) || r.RetryAfter == 0 {
			return
		}
		time.Sleep(r.RetryAfter + time.Millisecond) // the way there and back
	}
}

// All callers that come at once have their full list after as long as the stated rate needs for them, no sooner, and each
// is sent away once at most; changes wait for nobody.
func TestWholeListsAreHandedOutAtTheStatedRate(t *testing.T) {
	for _, c := range []struct {
		callers int
		rate    float64
		late    time.Duration // from one caller's coming to the next
	}{
		{1, 1, 0}, {60, 60, 0}, {166, 60, 0}, {300, 60, 0}, {300, 60, 5 * time.Millisecond}, {50, 10, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := newFullListLimiter(c.rate, c.callers)
			begun := time.Now()
			all := make([]asker, c.callers)
			var done sync.WaitGroup
			for i := range all {
				done.Go(func() {
					time.Sleep(time.Duration(i) * c.late)
					all[i].ask(t.Context(), g, begun)
				})
			}
			synctest.Wait()
			if due, err := g.Admit(t.Context(), lists.Work{}); due != 0 || err != nil {
				t.Errorf("changes take %v, error %v", due, err)
			}
			done.Wait()
			need := time.Duration(float64(c.callers) / c.rate * float64(time.Second))
			bySecond := map[time.Duration]int{}
			for i, a := range all {
				bySecond[a.at/time.Second]++
				if a.refused > 1 || a.at > need+reservationGrace {
					t.Errorf("%d callers at %v a second: number %d is refused %d times and has its turn after %v", c.callers, c.rate, i, a.refused, a.at)
				}
			}
			for second, n := range bySecond {
				if float64(n) > c.rate+1 {
					t.Errorf("%d turns in second %d at %v a second", n, second, c.rate)
				}
			}
			if g.queued() != 0 || len(g.reserved) > 0 {
				t.Errorf("%d wait and %d turns are promised in the end", g.queued(), len(g.reserved))
			}
		})
	}
}

// Who could not be served within the bound is not told to wait, and no turn is kept for it.
func TestNobodyWaitsBeyondTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFullListLimiter(1, 1000)
		ctx, stop := context.WithCancel(t.Context())
		var waiting sync.WaitGroup
		last := time.Duration(0)
		for range 20 {
			waiting.Go(func() { g.Admit(ctx, lists.Work{Complete: true}) })
			synctest.Wait()
		}
		for range 5 {
			var r lists.RejectedError
			if _, err := g.Admit(ctx, lists.Work{Complete: true}); !errors.As(err, &r) {
				t.Errorf("error %v", err)
			}
			last = max(last, r.RetryAfter)
		}
		if last > balancer.NotifyBoundAfterFailure {
			t.Errorf("a caller is told to come again in %v", last)
		}
		if len(g.reserved) > 7 {
			t.Errorf("%d turns are kept", len(g.reserved))
		}
		stop()
		waiting.Wait()
	})
}

// A turn whose owner goes away is another caller's.
func TestTurnsAreNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFullListLimiter(10, 1000)
		begun := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		var gone sync.WaitGroup
		for range 10 {
			gone.Go(func() { g.Admit(ctx, lists.Work{Complete: true}) })
		}
		synctest.Wait()
		cancel()
		gone.Wait()
		all := make([]asker, 9)
		var done sync.WaitGroup
		for i := range all {
			done.Go(func() { all[i].ask(t.Context(), g, begun) })
		}
		done.Wait()
		for i, a := range all {
			if a.refused > 0 || a.at > time.Second {
				t.Errorf("number %d is refused %d times and has its turn after %v", i, a.refused, a.at)
			}
		}
	})
}

// Another rate holds for the turns that are given from then on.
func TestRateChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFullListLimiter(1, 1000)
		g.setRate(100)
		begun := time.Now()
		for range 11 {
			if _, err := g.Admit(t.Context(), lists.Work{Complete: true}); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(begun); took != 100*time.Millisecond {
			t.Errorf("11 lists at 100 a second take %v", took)
		}
	})
}
