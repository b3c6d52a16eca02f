package discoverytest

import (
	"sync"
	"time"
)

// Queue is the work of a service that handles calls one after the other, those included whose caller has given up. Its zero value is
// an idle service. It is safe for concurrent use.
type Queue struct {
	mu   sync.Mutex
	idle time.Time // when the reserved work is done
}

// Reserve plans a piece of work behind that of the calls before it and returns when it begins and ends.
func (q *Queue) Reserve(work time.Duration) (begins, ends time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	begins = q.idleAt(time.Now())
	q.idle = begins.Add(work)
	return begins, q.idle
}

// ReserveWithin is Reserve for work that ends within a limit from now. It plans no other and returns false for it.
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

// End is when work would end that came now.
func (q *Queue) End(work time.Duration) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.idleAt(time.Now()).Add(work)
}

// idleAt is when work can begin that comes at a time. The caller holds the mutex.
func (q *Queue) idleAt(now time.Time) time.Time {
	if q.idle.Before(now) {
		return now
	}
	return q.idle
}
