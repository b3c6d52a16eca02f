package stream

// Buffers is a bounded pool of buffers that all streams of the agent share. Any goroutine may call its methods.
type Buffers struct {
	free chan []byte // nil stands for a buffer that is not allocated yet
}

// NewBuffers returns a pool that allocates buffers on demand, up to the given number of bytes but at least two buffers.
func NewBuffers(bytes int64) *Buffers {
	b := &Buffers{free: make(chan []byte, max(2, bytes/BufferBytes))}
	for range cap(b.free) {
		b.free <- nil
	}
	return b
}

// TryGet returns a buffer, or nil if none is free.
func (b *Buffers) TryGet() []byte {
	select {
	case buffer := <-b.free:
		return ensureAllocated(buffer)
	default:
		return nil
	}
}

// TryGetSpare returns a buffer, or nil unless more than half of them are free.
func (b *Buffers) TryGetSpare() []byte {
	if 2*b.Free() <= cap(b.free) {
		return nil
	}
	return b.TryGet()
}

// Put returns a buffer to the pool.
func (b *Buffers) Put(buffer []byte) { b.free <- buffer }

// Free returns the number of free buffers.
func (b *Buffers) Free() int { return len(b.free) }

func ensureAllocated(buffer []byte) []byte {
	if buffer == nil {
		return make([]byte, BufferBytes)
	}
	return buffer
}
