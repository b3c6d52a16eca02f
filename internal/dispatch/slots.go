package dispatch

import (
	"container/list"
	"context"
	"sync"
	"time"
)

// slots bounds the requests in flight. Requests beyond the limit wait in order. Any goroutine may call its methods.
type slots struct {
	mu      sync.Mutex
	limit   int
	used    int
	waiting list.List // of chan struct{}, each closed when its request gets a slot
}

// setLimit changes the number of slots. Those in use stay in use.
func (s *slots) setLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.grant()
}

// acquire takes a slot. It waits for one at most for the given time, and until the context ends.
func (s *slots) acquire(ctx context.Context, wait time.Duration) bool {
	s.mu.Lock()
	if s.used < s.limit && s.waiting.Len() == 0 {
		s.used++
		s.mu.Unlock()
		return true
	}
	granted := make(chan struct{})
	place := s.waiting.PushBack(granted)
	s.mu.Unlock()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
	case <-timeout.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-granted: // in the meantime
		return true
	default:
		s.waiting.Remove(place)
		return false
	}
}

// release gives a slot back.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	s.grant()
}

// grant gives free slots to those who wait. The caller holds the mutex.
func (s *slots) grant() {
	for s.used < s.limit && s.waiting.Len() > 0 {
		granted := s.waiting.Remove(s.waiting.Front()).(chan struct{})
		s.used++
		close(granted)
	}
}
