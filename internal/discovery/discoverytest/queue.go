package discoverytest

import (
	"sync"
	"time"
)

// Queue is the work queue of a service that handles calls one after the other, including calls that their caller has
// cancelled. The zero value is an idle service. It is safe for concurrent use.
type Queue struct {
	mu   sync.Mutex
	idle time.Time // when all reserved work is done
}

// Reserve appends work to the queue and returns when it begins and ends.
func (q *Queue) Reserve(work time.Duration) (begins, ends time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	begins = q.idleAt(time.Now())
	q.idle = begins.Add(work)
	return begins, q.idle
}

// ReserveWithin is like Reserve, but appends nothing and returns false if the work would not end within the limit.
func (q *Queue) ReserveWithin(work, limit time.Duration) (ends time.Time, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	ends = q.idleAt(now).Add(work)
	if ends.Sub(now) > limit {
		return time.Time{}, false
	}
	q.idle = ends
	return ends, true
}

// End returns when work would end if it were appended now.
func (q *Queue) End(work time.Duration) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.idleAt(time.Now()).Add(work)
}

// idleAt returns when work that is appended at the given time begins. The caller must hold the mutex.
func (q *Queue) idleAt(now time.Time) time.Time {
	if q.idle.Before(now) {
		return now
	}
	return q.idle
}
