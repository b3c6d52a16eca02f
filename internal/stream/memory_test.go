package stream

import (
	"sync"
	"testing"
)

// The reservations never exceed the limit, and what is released can be reserved again.
func TestMemoryIsBounded(t *testing.T) {
	const limit = 10 * 64 << 10
	gauge := 0
	var mu sync.Mutex
	m := NewMemory(limit, func(n int64) { mu.Lock(); gauge += int(n); mu.Unlock() })
	var all sync.WaitGroup
	for i := range 50 {
		all.Go(func() {
			for n := range 200 {
				r, ok := m.TryReserve(64 << 10)
				if used := m.used.Load(); used > limit+50*64<<10 { // those that fail are included for a moment
					t.Errorf("got %d bytes in use", used)
				}
				if !ok {
					continue
				}
				if (i+n)%2 == 0 {
					r.Shrink(5 << 10)
				}
				r.Release()
				r.Release()
			}
		})
	}
	all.Wait()
	if used := m.used.Load(); used != 0 || gauge != 0 {
		t.Errorf("got %d bytes in use and a gauge of %d after all were released, want 0", used, gauge)
	}
	var held []*Reservation
	for {
		r, ok := m.TryReserve(64 << 10)
		if !ok {
			break
		}
		held = append(held, r)
	}
	if len(held) != 10 || gauge != limit {
		t.Errorf("got %d reservations and a gauge of %d, want 10 and %d", len(held), gauge, limit)
	}
	if r, ok := m.TryReserve(uncountedBytes); !ok || r != nil {
		t.Errorf("a short body: got %v, %v, want room without a reservation", r, ok)
	}
	m.SetLimit(limit / 2)
	for _, r := range held[:5] {
		r.Release()
	}
	if _, ok := m.TryReserve(64 << 10); ok {
		t.Error("more than the lowered limit was reserved")
	}
	held[5].Release()
	if _, ok := m.TryReserve(64 << 10); !ok {
		t.Error("got no room under the lowered limit")
	}
	if r, ok := (*Memory)(nil).TryReserve(1 << 30); !ok || r != nil {
		t.Error("a nil Memory has a limit")
	}
}
