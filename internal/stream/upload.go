package stream

import (
	"bufio"
	"fmt"
	"io"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ryeloft/internal/clock"
)

// Upload is a request body that is too long to be buffered, passed from a client to a server. It is sent at most once:
// the first attempt that claims it owns its buffer and returns it. The mutex guards the source against concurrent use
// by that attempt and the client's handler, which closes the upload.
type Upload struct {
	// Budget is the request's time budget, counted from its last byte. It is set before the first attempt.
	Budget time.Duration
	// OnComplete is called once, when the body has been read completely. It is set before the first attempt.
	OnComplete func()

	length   int64  // negative if unknown
	prefix   []byte // the bytes read before the upload was created
	buffers  *Buffers
	buffer   []byte
	complete atomic.Bool // the body has been read completely

	mu      sync.Mutex
	source  io.Reader // nil once the request has ended
	claimed bool
}

// NewUpload returns an upload of the given length, negative if unknown, whose prefix has already been read. The rest is
// read from source.
func NewUpload(length int64, prefix []byte, source io.Reader) *Upload {
	return &Upload{length: length, prefix: prefix, source: source, OnComplete: func() {}}
}

// Length returns the length that the client has declared, or a negative number if it has not.
func (u *Upload) Length() int64 { return u.length }

// Complete reports whether the body has been read completely.
func (u *Upload) Complete() bool { return u.complete.Load() }

// Reserve reserves a buffer for the body. It returns false if none is free.
func (u *Upload) Reserve(from *Buffers) bool {
	u.buffers = from
	u.buffer = from.TryGet()
	return u.buffer != nil
}

// Claim claims the body for an attempt, or for Close if there was no attempt. Only the first call returns true, and its
// caller must call Release.
func (u *Upload) Claim() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.claimed {
		return false
	}
	u.claimed = true
	return true
}

// Release returns the buffer. Only the attempt that claimed the body may call it, because it may still be writing from
// the buffer when the client's handler has returned.
func (u *Upload) Release() { u.buffers.Put(u.buffer) }

// Close prevents further reads of the body, because the connection belongs to the next request once the client's
// handler has returned. It returns the buffer if no attempt has claimed the body.
func (u *Upload) Close(conn ReadDeadliner) {
	u.stop(conn)
	if u.buffer != nil && u.Claim() {
		u.Release()
	}
}

func (u *Upload) stop(conn ReadDeadliner) {
	if u.Complete() {
		return
	}
	// This interrupts a pending read and ends all use of the connection, because net/http takes the timeout for a close
	// by the client. It fails only on a closed connection, on which no read is pending.
	_ = conn.SetReadDeadline(clock.Past())
	u.mu.Lock()
	defer u.mu.Unlock()
	u.source = nil
}

func (u *Upload) read(b []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.source == nil {
		return 0, ErrClosed
	}
	n, err := u.source.Read(b)
	if err == io.EOF && !u.complete.Swap(true) {
		u.OnComplete()
	}
	return n, err
}

// Discard reads and discards the rest of the body, because a client that is still sending when its connection closes
// may never receive the response.
func (u *Upload) Discard() {
	var b [4 << 10]byte
	for {
		if _, err := u.read(b[:]); err != nil {
			return
		}
	}
}

// ServerConn is the server connection to which a body is written.
type ServerConn interface {
	io.Writer
	SetWriteDeadline(time.Time) error
}

// SendTo copies the body to a server at the server's pace. The error wraps ErrBodyIncomplete if the rest of the body
// could not be read from the client.
func (u *Upload) SendTo(server ServerConn) error {
	out := &uploadWriter{conn: server, buffered: bufio.NewWriter(server)}
	out.body = out.buffered
	if u.length < 0 {
		out.chunks = httputil.NewChunkedWriter(out.buffered)
		out.body = out.chunks
	}
	if err := out.write(u.prefix); err != nil {
		return err
	}
	u.prefix = nil
	for {
		n, err := u.read(u.buffer)
		if werr := out.write(u.buffer[:n]); werr != nil {
			return werr
		}
		if err == io.EOF { //nolint:errorlint // a wrapped io.EOF means a truncated body
			return out.close()
		}
		if err != nil {
			return fmt.Errorf("%w: %w", ErrBodyIncomplete, err)
		}
	}
}

// uploadWriter writes a body as is if its length is known, and chunked otherwise.
type uploadWriter struct {
	conn     ServerConn
	buffered *bufio.Writer
	body     io.Writer
	chunks   io.WriteCloser // nil if the length is known
}

func (w *uploadWriter) write(b []byte) error {
	if len(b) == 0 {
		return nil // an empty chunk would end the body
	}
	if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := w.body.Write(b); err != nil {
		return err
	}
	return w.buffered.Flush()
}

// close writes the end of the body and clears the write deadline.
func (w *uploadWriter) close() error {
	if w.chunks != nil {
		if err := w.chunks.Close(); err != nil {
			return err
		}
		if _, err := io.WriteString(w.buffered, "\r\n"); err != nil { // no trailers
			return err
		}
		if err := w.buffered.Flush(); err != nil {
			return err
		}
	}
	return w.conn.SetWriteDeadline(time.Time{})
}
