package stream

import "testing"

// Streams hold so much and no more.
func TestBuffersAreBounded(t *testing.T) {
	buffers := NewBuffers(3 * BufferBytes)
	for range 3 {
		if part := buffers.TryGet(); len(part) != BufferBytes {
			t.Fatalf("a buffer of %d bytes", len(part))
		}
	}
	if buffers.TryGet() != nil {
		t.Error("a fourth buffer of three")
	}
	buffers.Put(make([]byte, BufferBytes))
	if buffers.Get(t.Context()) == nil {
		t.Error("no buffer though one was put back")
	}
}
