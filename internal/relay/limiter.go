package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/lists"
)

const (
	// maxQueueDelay is the longest delay of a full list within one call. It is shorter than the timeout of the call, to
	// leave time for a wait for upstream (aheadWait) and for writing and reading the list.
	maxQueueDelay = discovery.RelayFullListTimeout * 5 / 8
	// reservationGrace is how long a reserved slot stays available after its time.
	reservationGrace = balancer.NotifyBoundAfterFailure / 24
)

// fullListLimiter limits the rate of full lists. Changes are admitted immediately, because they are small and urgent.
//
// A caller that cannot get a slot within maxQueueDelay is rejected. If its slot is due within NotifyBoundAfterFailure
// and fewer than maxReservations are reserved, the slot is reserved and the caller gets its time as Retry-After.
// Reservations are anonymous: each caller takes the first reserved slot that is due within maxQueueDelay. So a slot is
// not lost if its caller goes elsewhere, and a caller whose slot was taken still gets one ahead of later callers.
//
// A mutex guards the state; any goroutine may call Admit.
type fullListLimiter struct {
	mu              sync.Mutex
	interval        time.Duration // between two full lists
	nextSlot        time.Time     // the first slot that is neither taken nor reserved
	reserved        []time.Time   // slots that were announced to rejected callers as Retry-After, sorted
	maxReservations int
	waiting         int // callers in Admit that have a slot and wait for it
}

func newFullListLimiter(perSecond float64, maxReservations int) *fullListLimiter {
	l := &fullListLimiter{maxReservations: maxReservations}
	l.setRate(perSecond)
	return l
}

// setRate sets the number of full lists per second. Slots that are already taken or reserved keep their times.
func (l *fullListLimiter) setRate(perSecond float64) {
	l.mu.Lock()
	l.interval = time.Duration(float64(time.Second) / perSecond)
	l.mu.Unlock()
}

// Admit implements lists.Limiter.
func (l *fullListLimiter) Admit(ctx context.Context, w lists.Work) (time.Duration, error) {
	if !w.Complete {
		return 0, nil
	}
	now := time.Now()
	slot, err := l.takeSlot(now)
	if err != nil {
		return 0, err
	}
	defer l.doneWaiting()
	delay := max(0, slot.Sub(now))
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return delay, nil
	case <-ctx.Done():
		l.returnSlot(slot)
		return 0, ctx.Err()
	}
}

// takeSlot returns a slot within maxQueueDelay, or a RejectedError.
func (l *fullListLimiter) takeSlot(now time.Time) (time.Time, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slot, ok := l.takeReserved(now); ok {
		l.waiting++
		return slot, nil
	}
	if l.nextSlot.Before(now) {
		l.nextSlot = now
	}
	slot := l.nextSlot
	delay := slot.Sub(now)
	if delay <= maxQueueDelay {
		l.waiting++
		l.nextSlot = slot.Add(l.interval)
		return slot, nil
	}
	if delay > balancer.NotifyBoundAfterFailure || len(l.reserved) >= l.maxReservations {
		return time.Time{}, lists.RejectedError{Cause: "too many callers want the whole list"}
	}
	l.reserved = append(l.reserved, slot)
	l.nextSlot = slot.Add(l.interval)
	return time.Time{}, lists.RejectedError{RetryAfter: delay, Cause: "other callers' whole lists come first"}
}

// takeReserved takes the first reserved slot if it is due within maxQueueDelay. It drops slots past their
// reservationGrace.
func (l *fullListLimiter) takeReserved(now time.Time) (time.Time, bool) {
	for len(l.reserved) > 0 && now.Sub(l.reserved[0]) > reservationGrace {
		l.reserved = l.reserved[1:]
	}
	if len(l.reserved) == 0 || l.reserved[0].Sub(now) > maxQueueDelay {
		return time.Time{}, false
	}
	slot := l.reserved[0]
	l.reserved = l.reserved[1:]
	return slot, true
}

// returnSlot makes a slot available again when its caller stops waiting for it.
func (l *fullListLimiter) returnSlot(slot time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, _ := slices.BinarySearchFunc(l.reserved, slot, time.Time.Compare)
	l.reserved = slices.Insert(l.reserved, i, slot)
}

func (l *fullListLimiter) doneWaiting() {
	l.mu.Lock()
	l.waiting--
	l.mu.Unlock()
}

// queued returns the number of callers that wait for their slot.
func (l *fullListLimiter) queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting
}
