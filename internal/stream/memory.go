package stream

import "sync/atomic"

// uncountedBytes is the length of a body or response that needs no reservation. Each connection needs about as much for
// its own buffers.
const uncountedBytes = 4 << 10

// Memory bounds the bytes of the heads, bodies and responses that are buffered at the same time. A body or response that
// does not fit is streamed instead. A nil Memory has no bound. Any goroutine may call its methods.
type Memory struct {
	limit, used atomic.Int64
	onChange    func(bytes int64)
}

// NewMemory returns a Memory of the given number of bytes. It calls onChange with the bytes that are reserved, and with a
// negative number when they are released.
func NewMemory(limit int64, onChange func(bytes int64)) *Memory {
	m := &Memory{onChange: onChange}
	m.SetLimit(limit)
	return m
}

// SetLimit changes the bound. If more than that is in use, nothing more can be reserved until enough is released.
func (m *Memory) SetLimit(limit int64) { m.limit.Store(limit) }

// TryReserve reserves memory for a body or response of n bytes. ok is false if not enough is free. The reservation must
// be released; it is nil if nothing needs to be.
func (m *Memory) TryReserve(n int64) (r *Reservation, ok bool) {
	if m == nil || n <= uncountedBytes {
		return nil, true
	}
	return m.TryGrow(nil, n)
}

// TryGrow raises a reservation, which may be nil, to n bytes in all, however few they are. ok is false if not enough memory
// is free; the reservation then stays as it is. It must not be called concurrently with Release.
func (m *Memory) TryGrow(r *Reservation, n int64) (grown *Reservation, ok bool) {
	if r != nil {
		n -= r.bytes.Load()
	}
	if m == nil || n <= 0 {
		return r, true
	}
	if m.used.Add(n) > m.limit.Load() {
		m.used.Add(-n)
		return r, false
	}
	m.onChange(n)
	if r == nil {
		r = &Reservation{memory: m}
	}
	r.bytes.Add(n)
	return r, true
}

func (m *Memory) release(n int64) {
	if n > 0 {
		m.used.Add(-n)
		m.onChange(-n)
	}
}

// Reservation is a part of a Memory. A nil Reservation is empty. Any goroutine may call its methods.
type Reservation struct {
	memory *Memory
	bytes  atomic.Int64
}

// Join adds another reservation to this one, and returns the result. It must not be called concurrently with Release.
func (r *Reservation) Join(other *Reservation) *Reservation {
	if r == nil {
		return other
	}
	if other != nil {
		r.bytes.Add(other.bytes.Swap(0))
	}
	return r
}

// Split moves n bytes, or as many as there are, to a reservation of their own. It must not be called concurrently with
// Release.
func (r *Reservation) Split(n int64) *Reservation {
	if r == nil {
		return nil
	}
	n = min(n, r.bytes.Load())
	r.bytes.Add(-n)
	split := &Reservation{memory: r.memory}
	split.bytes.Store(n)
	return split
}

// Shrink releases all but n bytes. It must not be called concurrently with Release.
func (r *Reservation) Shrink(n int64) {
	if r != nil && n < r.bytes.Load() {
		r.memory.release(r.bytes.Swap(n) - n)
	}
}

// Release releases the reservation. Further calls have no effect.
func (r *Reservation) Release() {
	if r != nil {
		r.memory.release(r.bytes.Swap(0))
	}
}
