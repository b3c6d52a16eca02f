// Package stream forwards request and response bodies that are too long to be buffered completely. Of each stream only
// a few kilobytes are in memory at any time: in Buffers that all streams of the agent share, or in the memory of what has
// been read of a response before it became a stream. An Upload is read from a client and written to a server, a Download
// is read from a server and written to a client. After each piece a stream lets other goroutines run: as long as its sockets
// do not block, it would otherwise use the core for a whole time slice, and with hundreds of streams all requests would wait
// for seconds. The package opens no connections and makes no routing decisions.
package stream

import (
	"errors"
	"time"
)

const (
	// MaxBufferedBytes is the length of the longest request or response body that is buffered completely. Longer bodies
	// are streamed.
	MaxBufferedBytes = 64 << 10
	// minBodyBufferBytes is the size of the first buffer of a body of unknown length.
	minBodyBufferBytes = 4 << 10
	// MaxBytes is the length of the longest request or response body that is accepted. The service's bodies have up to
	// 32 MB.
	MaxBytes = 40 << 20
	// BufferBytes is the size of a stream's buffer.
	BufferBytes = 16 << 10
	// minBufferBytes is the size of the buffer of a download for which no other one is free.
	minBufferBytes = 4 << 10
	// writeTimeout is how long a client or a server may take to read the content of one buffer.
	writeTimeout = 10 * time.Second
)

var (
	// ErrNotRead is returned when a response is not read by its client. It is not the server's fault.
	ErrNotRead = errors.New("response not read by its client")
	// ErrBodyIncomplete is returned when the rest of a request body does not arrive. The request cannot have run, and
	// it is not the server's fault.
	ErrBodyIncomplete = errors.New("request body incomplete")
	// ErrClosed is returned when an upload is read after its request has ended.
	ErrClosed = errors.New("upload closed")
)

// BufferCost returns the memory for a body of unknown length that is buffered up to the given limit. The buffer has one byte
// more, which shows that the body is longer, and the allocator rounds it up.
func BufferCost(limit int64) int64 { return limit + limit/8 }

// GrowBuffer returns the beginning of a body in a larger buffer, of at most one byte over the limit.
func GrowBuffer(body []byte, limit int64) []byte {
	size := max(minBodyBufferBytes, 2*int64(cap(body)))
	if size >= limit {
		size = limit + 1
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown
}
