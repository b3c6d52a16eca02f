// Package stream passes on request bodies and answers that are too long to be held: a few kilobytes of each are in memory
// at any time, out of Buffers that all streams of the agent share. An Upload is read from a client and written to a server,
// a Download the other way round. The package opens no connection and decides nothing.
package stream

import (
	"errors"
	"time"
)

const (
	// MaxBufferedBytes is the longest body of a request or an answer that is held completely; longer ones are streams.
	MaxBufferedBytes = 64 << 10
	// MaxBytes is the longest body of a request or an answer at all; those of the service have up to 32 MB.
	MaxBytes = 40 << 20
	// BufferBytes is what a stream holds at once.
	BufferBytes = 32 << 10
	// writeTimeout is how long a client or a server may take to read a part.
	writeTimeout = 10 * time.Second
)

var (
	// ErrNotRead says that a stream has ended because its client does not read it: the server is not to blame.
	ErrNotRead = errors.New("answer not read by its client")
	// ErrBodyIncomplete says that the rest of a body has not come: the request cannot have run, and the server is not to blame.
	ErrBodyIncomplete = errors.New("request body incomplete")
	// ErrClosed says that the request that a body belongs to has ended.
	ErrClosed = errors.New("upload closed")
)
