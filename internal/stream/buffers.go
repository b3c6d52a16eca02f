package stream

import "context"

// Buffers holds the parts that all streams of the agent share. Any goroutine may call its methods.
type Buffers struct {
	free chan []byte // nil stands for a part that is not allocated yet
}

// NewBuffers returns a store that grows to so many bytes as streams need them, and to two parts at least.
func NewBuffers(bytes int64) *Buffers {
	b := &Buffers{free: make(chan []byte, max(2, bytes/BufferBytes))}
	for range cap(b.free) {
		b.free <- nil
	}
	return b
}

// TryGet returns a part, or nil if none is free.
func (b *Buffers) TryGet() []byte {
	select {
	case part := <-b.free:
		return ensureAllocated(part)
	default:
		return nil
	}
}

// Get waits for a part. It returns nil if the context ends first.
func (b *Buffers) Get(ctx context.Context) []byte {
	select {
	case part := <-b.free:
		return ensureAllocated(part)
	case <-ctx.Done():
		return nil
	}
}

// Put gives a part back.
func (b *Buffers) Put(part []byte) { b.free <- part }

// Free returns how many parts are free.
func (b *Buffers) Free() int { return len(b.free) }

func ensureAllocated(part []byte) []byte {
	if part == nil {
		return make([]byte, BufferBytes)
	}
	return part
}
