package agent

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ryeloft/internal/clock"
)

const (
	maxStream  = 40 << 20 // bytes of a body or an answer; those of the service have up to 32 MB
	streamPart = 32 << 10 // bytes that a stream holds at once
	// bodyRate is how many bytes a second of a body have to come, a little under the 64 kB that clients may take them
	// at, after bodyGrace or, if that is later, requestTime from when the request began: a peer that stalls is answered
	// within 3 s.
	bodyRate    = 56_000
	bodyGrace   = 300 * time.Millisecond
	requestTime = 2800 * time.Millisecond
	bodyGap     = 2 * time.Second
	// answerGap is the longest that a server may pause within a long answer, and takeGap the longest that a client or a
	// server may take for what a stream holds.
	answerGap = 3 * time.Second
	takeGap   = 10 * time.Second
	// wholeTime is how long the beginning of an answer that is long, or does not say its length, is held back: it may be
	// short after all, or break off.
	wholeTime = 50 * time.Millisecond
)

var (
	// errNotTaken says that a stream has ended for want of somebody to take it: the server is not to blame.
	errNotTaken = errors.New("the answer is not taken")
	// errNotSent says that the rest of a body has not come: it cannot have run, and the server is not to blame.
	errNotSent = errors.New("the body does not come")
	errStopped = errors.New("the request has ended")
)

// buffers are what all streams of the agent hold together: so many parts.
type buffers chan []byte

// newBuffers returns a store that grows to so many bytes as streams need them.
func newBuffers(bytes int64) buffers {
	b := make(buffers, max(2, bytes/streamPart))
	for range cap(b) {
		b <- nil
	}
	return b
}

// try returns a buffer if one is free.
func (b buffers) try() []byte {
	select {
	case part := <-b:
		return made(part)
	default:
		return nil
	}
}

// get waits for a buffer; it returns nil when the context has ended.
func (b buffers) get(ctx context.Context) []byte {
	select {
	case part := <-b:
		return made(part)
	case <-ctx.Done():
		return nil
	}
}

func made(part []byte) []byte {
	if part == nil {
		part = make([]byte, streamPart)
	}
	return part
}

func (b buffers) put(part []byte) { b <- part }

// paced reads a client's body and holds the client to its pace. Time in which nobody reads does not count: then it is a
// server that does not take the body.
type paced struct {
	body  io.Reader
	rc    *http.ResponseController
	began time.Time // the request did, with a monotonic reading
	got   int64
	took  time.Duration
}

func (p *paced) Read(b []byte) (int, error) {
	left := bodyGrace + time.Duration(p.got)*time.Second/bodyRate - p.took
	now := time.Now()
	left = max(left, p.began.Add(requestTime).Sub(now))
	if err := p.rc.SetReadDeadline(now.Add(min(left, bodyGap))); err != nil {
		return 0, err
	}
	n, err := p.body.Read(b)
	p.got, p.took = p.got+int64(n), p.took+time.Since(now)
	if err == io.EOF {
		// From here on the connection is watched for a client that goes, for as long as the answer takes.
		if err := p.rc.SetReadDeadline(time.Time{}); err != nil {
			return n, err
		}
	}
	return n, err
}

// upload is a body that is too long to be held. It can be used once.
type upload struct {
	first   []byte // read already
	length  int64  // below 0: not told
	budget  time.Duration
	buffers buffers
	part    []byte // what it holds at once; whoever has claimed the body gives it back

	ended func()      // told when it was read to its end, from which on the request is taken
	done  atomic.Bool // it was

	mu   sync.Mutex
	rest *paced // nil once the request has ended
	used bool   // somebody has taken it
}

// admit finds a buffer for the body, if there is one.
func (u *upload) admit(from buffers) bool {
	u.buffers, u.part = from, from.try()
	return u.part != nil
}

// claim takes the body for an attempt, or for its end without one; the first one gets it, and releases it.
func (u *upload) claim() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.used {
		return false
	}
	u.used = true
	return true
}

// release gives the buffer back. Danger: an attempt may still be writing from it when its client's handler has returned,
// and another request's body would go out in this one's place.
func (u *upload) release() { u.buffers.put(u.part) }

func (u *upload) read(b []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rest == nil {
		return 0, errStopped
	}
	n, err := u.rest.Read(b)
	if err == io.EOF && !u.done.Swap(true) {
		u.ended()
	}
	return n, err
}

// discard reads the rest of the body and drops it. Danger: a client that is still sending when its connection closes may
// never see the answer, which the kernel drops with the connection.
func (u *upload) discard() {
	var part [4 << 10]byte
	for {
		if _, err := u.read(part[:]); err != nil {
			return
		}
	}
}

// stop keeps the body from being read any further. Danger: once the client's handler has returned, the connection is the
// next request's.
func (u *upload) stop(rc *http.ResponseController) {
	if u.done.Load() {
		return
	}
	// Ends a read that waits, and all use of the connection: net/http takes it for the client's end.
	rc.SetReadDeadline(clock.Past())
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rest = nil
}

// send passes the body on to a server as that takes it.
func (u *upload) send(c *conn) error {
	out := bufio.NewWriter(c)
	var to io.Writer = out
	var chunks io.WriteCloser
	if u.length < 0 {
		chunks = httputil.NewChunkedWriter(out)
		to = chunks
	}
	write := func(b []byte) error {
		if len(b) == 0 {
			return nil // which would end the chunks
		}
		if err := c.SetWriteDeadline(time.Now().Add(takeGap)); err != nil {
			return err
		}
		if _, err := to.Write(b); err != nil {
			return err
		}
		return out.Flush()
	}
	if err := write(u.first); err != nil {
		return err
	}
	u.first = nil
	for {
		n, err := u.read(u.part)
		if werr := write(u.part[:n]); werr != nil {
			return werr
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errNotSent, err)
		}
	}
	if chunks != nil {
		if err := chunks.Close(); err != nil {
			return err
		}
		if _, err := io.WriteString(out, "\r\n"); err != nil { // no trailers
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
	return c.SetWriteDeadline(time.Time{})
}

// download is an answer that is too long to be held, on its way from an attempt to a client's handler.
type download struct {
	first  []byte // read already
	length int64  // below 0: not told
	rest   io.Reader
	conn   *conn
	ended  chan error // holds one, so that the handler never waits: nil if the client has it whole
	abort  func()
}

// end tells the attempt how the stream ended.
func (d *download) end(err error) { d.ended <- err }

// pass passes a long answer on to its client as that takes it. The error says what broke it off.
func (s *server) pass(w http.ResponseWriter, r *http.Request, d *download) (err error) {
	defer func() { d.end(err) }()
	// A client that goes while the server pauses ends the attempt.
	defer context.AfterFunc(r.Context(), d.abort)()
	part := s.buffers.get(r.Context())
	if part == nil {
		return errNotTaken
	}
	defer s.buffers.put(part)
	rc := http.NewResponseController(w)
	write := func(b []byte) error {
		if err := rc.SetWriteDeadline(time.Now().Add(takeGap)); err != nil {
			return fmt.Errorf("%w: %w", errNotTaken, err)
		}
		if _, err := w.Write(b); err != nil {
			return fmt.Errorf("%w: %w", errNotTaken, err)
		}
		if err := rc.Flush(); err != nil {
			return fmt.Errorf("%w: %w", errNotTaken, err)
		}
		return nil
	}
	if err := write(d.first); err != nil {
		return err
	}
	for {
		if err := d.conn.SetReadDeadline(time.Now().Add(answerGap)); err != nil {
			return err
		}
		n, err := d.rest.Read(part)
		if n > 0 {
			if err := write(part[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return d.conn.SetReadDeadline(time.Time{})
		}
		if err != nil {
			return fmt.Errorf("the answer breaks off: %w", err)
		}
	}
}
