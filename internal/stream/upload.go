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

// Upload is a request body that is too long to be held, on its way from a client to a server. It is sent once: the first
// attempt that claims it owns its buffer and gives it back. The mutex guards the source between that attempt and the
// client's handler, which closes the upload.
type Upload struct {
	// Budget is the time that the request has from its last byte on. It is set before the first attempt.
	Budget time.Duration
	// OnComplete is called once, when the body was read to its end. It is set before the first attempt.
	OnComplete func()

	length   int64  // below 0: not stated
	prefix   []byte // read already
	buffers  *Buffers
	buffer   []byte
	complete atomic.Bool // the body was read to its end

	mu      sync.Mutex
	source  io.Reader // nil once the request has ended
	claimed bool
}

// NewUpload returns an upload of a length, below 0 if it is not stated, of which a prefix has been read already.
func NewUpload(length int64, prefix []byte, source io.Reader) *Upload {
	return &Upload{length: length, prefix: prefix, source: source, OnComplete: func() {}}
}

// Length returns the length that the client has stated, below 0 if none.
func (u *Upload) Length() int64 { return u.length }

// Complete says whether the body was read to its end.
func (u *Upload) Complete() bool { return u.complete.Load() }

// Reserve takes a buffer for the body, if one is free.
func (u *Upload) Reserve(from *Buffers) bool {
	u.buffers = from
	u.buffer = from.TryGet()
	return u.buffer != nil
}

// Claim takes the body for an attempt, or for its end without one. The first caller gets it, and has to Release it.
func (u *Upload) Claim() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.claimed {
		return false
	}
	u.claimed = true
	return true
}

// Release gives the buffer back. Only the attempt that claimed the body may do so, because it may still be writing from the
// buffer when the client's handler has returned.
func (u *Upload) Release() { u.buffers.Put(u.buffer) }

// Close keeps the body from being read any further, because the connection is the next request's once the client's
// handler has returned. It gives the buffer back if no attempt has claimed the body.
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
	// This ends a read that waits, and all use of the connection, because net/http takes it for the client's end. It fails
	// only on a connection that is closed, on which no read waits.
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

// Discard reads the rest of the body and drops it, because a client that is still sending when its connection closes may
// never see the answer.
func (u *Upload) Discard() {
	var b [4 << 10]byte
	for {
		if _, err := u.read(b[:]); err != nil {
			return
		}
	}
}

// ServerConn is the connection to which a body is written.
type ServerConn interface {
	io.Writer
	SetWriteDeadline(time.Time) error
}

// SendTo passes the body on to a server as the server reads it. The error wraps ErrBodyIncomplete if the client is what
// broke it off.
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
		if err == io.EOF { //nolint:errorlint // a wrapped end is that of a body that was cut
			return out.close()
		}
		if err != nil {
			return fmt.Errorf("%w: %w", ErrBodyIncomplete, err)
		}
	}
}

// uploadWriter writes a body in the framing that its length asks for.
type uploadWriter struct {
	conn     ServerConn
	buffered *bufio.Writer
	body     io.Writer
	chunks   io.WriteCloser // nil if the length is stated
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

// close writes the end of the body and takes the deadline away.
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
