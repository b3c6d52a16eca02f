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
	// maxQueueDelay is how long a caller may wait for its full list in one call: less than its call may take, by what it may
	// have waited for an answer from upstream (aheadWait) and what writing and reading the list may need.
	maxQueueDelay = discovery.RelayFullListTimeout * 5 / 8
	// reservationGrace is how long after its time a reserved slot is still kept for its caller.
	reservationGrace = balancer.NotifyBoundAfterFailure / 24
)

// fullListLimiter hands full lists out at a stated rate; changes pass at once, since they are small and have to be in time.
//
// A caller that cannot have a slot within maxQueueDelay is rejected with Retry-After, and that slot is reserved. Reservations bear
// no name: any caller takes the first one that is due within maxQueueDelay, so that a slot whose caller went elsewhere is not
// lost, and a caller that finds its slot taken gets one that comes no later than those behind it.
//
// A mutex guards its state; Admit may be called by any goroutine.
type fullListLimiter struct {
	mu              sync.Mutex
	interval        time.Duration // between two full lists
	nextSlot        time.Time     // the first that nobody has
	reserved        []time.Time   // slots that rejected callers got as Retry-After, sorted
	maxReservations int
	waiting         int // callers in Admit that wait for their slot
}

func newFullListLimiter(perSecond float64, maxReservations int) *fullListLimiter {
	l := &fullListLimiter{maxReservations: maxReservations}
	l.setRate(perSecond)
	return l
}

// setRate changes how many full lists a second are handed out; slots that were given stay.
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

// takeSlot gives a caller a slot that it can wait for, or rejects it.
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

// takeReserved takes the first reserved slot if that is due within maxQueueDelay.
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

// returnSlot lets another caller have a slot whose caller does not wait for it.
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

// queued is how many callers wait for their slot.
func (l *fullListLimiter) queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting
}
