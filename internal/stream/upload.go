package stream

import (
	"bufio"
	"fmt"
	"io"
	"net/http/httputil"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ryeloft/internal/clock"
	"example.org/ryeloft/internal/fairshare"
)

// Upload is a request body that is too long to be buffered, passed from a client to a server. It is sent at most once:
// the first attempt that claims it owns its buffer and returns it. The mutex guards the source against concurrent use
// by that attempt and the client's handler, which closes the upload.
type Upload struct {
	// Budget is the request's time budget, counted from the last byte that the client sends. It is set before the first
	// attempt.
	Budget time.Duration
	// OnComplete is called once, when the body has been read completely. It is set before the first attempt.
	OnComplete func()

	length      int64  // negative if unknown
	prefix      []byte // the bytes read before the upload was created
	client      ArrivalClock
	account     *fairshare.Account // that reads are charged to
	lastArrival time.Time          // when the client was last known to be sending; used by the attempt only
	buffers     *Buffers
	buffer      []byte
	received    int64       // bytes of the body, without the prefix
	complete    atomic.Bool // the body has been read completely
	revoked     atomic.Bool // the request has ended: nothing more of the body is read for a server

	mu      sync.Mutex
	source  io.Reader // nil once the request has ended
	claimed bool
}

// ArrivalClock observes the arrival of bytes on a client's connection.
type ArrivalClock interface {
	// MaxUnread returns an upper bound of the bytes that the client has sent and that are still in the kernel.
	MaxUnread() int64
	// LastArrival returns when a read last received bytes that it had waited for. Until then the client had not sent
	// everything that the read asked for.
	LastArrival() time.Time
}

// NewUpload returns an upload of the given length, negative if unknown, whose prefix has already been read. The rest is
// read from source, which reads from the client's connection.
func NewUpload(length int64, prefix []byte, source io.Reader, client ArrivalClock) *Upload {
	return &Upload{
		length: length, prefix: prefix, source: source, client: client, lastArrival: time.Now(), OnComplete: func() {},
	}
}

// ChargeReads sets the account that reads from the client are charged to. It must be called before the first attempt.
func (u *Upload) ChargeReads(account *fairshare.Account) { u.account = account }

// Length returns the length that the client has declared, or a negative number if it has not.
func (u *Upload) Length() int64 { return u.length }

// Deadline returns when the request's budget ends, as far as its body has been read. The last byte of a body that is
// read without waiting may have been in the socket's buffers for as long as the server has been slow to take the body.
// So the budget counts from when the client was last known to be sending: when bytes arrived that a read had waited for,
// or when more of a body of known length was missing than the socket's buffers can hold. Only the attempt that claimed
// the body may call Deadline.
func (u *Upload) Deadline() time.Time { return u.lastArrival.Add(u.Budget) }

// Complete reports whether the body has been read completely.
func (u *Upload) Complete() bool { return u.complete.Load() }

// Reserve reserves a buffer for the body. It returns false if none is free.
func (u *Upload) Reserve(from *Buffers) bool {
	u.buffers = from
	u.buffer = from.TryGet()
	return u.buffer != nil
}

// Claim claims the body for an attempt. It returns false if another attempt has claimed it, or if the request has ended.
// An attempt that has claimed the body must call Release.
func (u *Upload) Claim() bool {
	return !u.revoked.Load() && u.claim()
}

// claim claims the body for an attempt, or for Close if there was no attempt. Only the first call returns true.
func (u *Upload) claim() bool {
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
	if u.buffer != nil && u.claim() {
		u.Release()
	}
}

func (u *Upload) stop(conn ReadDeadliner) {
	u.Revoke()
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
	u.account.Pause() // the server is waited for next
	if err == io.EOF && !u.complete.Swap(true) {
		u.OnComplete()
	}
	return n, err
}

// readToSend reads the next part of the body for the attempt. It fails once the body has been revoked, even if it has read
// a part: an earlier one may have been discarded, and a server that received the end of the body would run a request
// that nobody sent.
func (u *Upload) readToSend(b []byte) (int, error) {
	n, err := u.read(b)
	if u.revoked.Load() {
		return 0, ErrClosed
	}
	return n, err
}

// Revoke ends the sending of the body to a server, whether or not the attempt is cancelled as well.
func (u *Upload) Revoke() { u.revoked.Store(true) }

// Discard reads and discards the rest of a body that has been revoked, because a client that is still sending when its
// connection closes may never receive the response.
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

// SendTo copies the body to a server at the server's pace, but not beyond the request's Deadline. The error wraps
// ErrBodyIncomplete if the rest of the body could not be read from the client.
func (u *Upload) SendTo(server ServerConn) error {
	out := &uploadWriter{conn: server, buffered: bufio.NewWriter(server)}
	out.body = out.buffered
	if u.length < 0 {
		out.chunks = httputil.NewChunkedWriter(out.buffered)
		out.body = out.chunks
	}
	if err := out.write(u.prefix, u.Deadline()); err != nil {
		return err
	}
	u.prefix = nil
	for {
		n, err := u.readToSend(u.buffer)
		u.updateLastArrival(n)
		if werr := out.write(u.buffer[:n], u.Deadline()); werr != nil {
			return werr
		}
		if u.revoked.Load() { // while the part was written
			return fmt.Errorf("%w: %w", ErrBodyIncomplete, ErrClosed)
		}
		runtime.Gosched()
		if err == io.EOF { //nolint:errorlint // a wrapped io.EOF means a truncated body
			return out.close(u.Deadline())
		}
		if err != nil {
			return fmt.Errorf("%w: %w", ErrBodyIncomplete, err)
		}
	}
}

// updateLastArrival records when the client was last known to be sending, after a read of n bytes.
func (u *Upload) updateLastArrival(n int) {
	u.received += int64(n)
	if arrival := u.client.LastArrival(); arrival.After(u.lastArrival) {
		u.lastArrival = arrival
	}
	if u.length-u.received > u.client.MaxUnread() {
		u.lastArrival = time.Now()
	}
}

// uploadWriter writes a body as is if its length is known, and chunked otherwise.
type uploadWriter struct {
	conn     ServerConn
	buffered *bufio.Writer
	body     io.Writer
	chunks   io.WriteCloser // nil if the length is known
}

// write writes a part of the body. It fails at the deadline, or when the server has not taken the part for
// writeTimeout.
func (w *uploadWriter) write(b []byte, deadline time.Time) error {
	if len(b) == 0 {
		return nil // an empty chunk would end the body
	}
	if err := w.setDeadline(deadline); err != nil {
		return err
	}
	if _, err := w.body.Write(b); err != nil {
		return err
	}
	return w.buffered.Flush()
}

// close writes the end of the body by the deadline.
func (w *uploadWriter) close(deadline time.Time) error {
	if w.chunks == nil {
		return nil
	}
	if err := w.setDeadline(deadline); err != nil {
		return err
	}
	if err := w.chunks.Close(); err != nil {
		return err
	}
	if _, err := io.WriteString(w.buffered, "\r\n"); err != nil { // no trailers
		return err
	}
	return w.buffered.Flush()
}

func (w *uploadWriter) setDeadline(deadline time.Time) error {
	stalled := time.Now().Add(writeTimeout)
	if stalled.Before(deadline) {
		deadline = stalled
	}
	return w.conn.SetWriteDeadline(deadline)
}
