package inbound

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"example.org/ryeloft/internal/clock"
	"example.org/ryeloft/internal/fairshare"
	"example.org/ryeloft/internal/framing"
	"example.org/ryeloft/internal/stream"
)

const (
	// headTimeout is how long a client may take to send a request's head, counted from its first byte, or for the first
	// request from when the client connected. It is 2 s plus the delay that a busy core may add.
	headTimeout = 2600 * time.Millisecond
	// lingerTimeout and lingerBytes bound how long and how much a client may still send on a connection that the agent
	// has ended.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 1 << 20
	// lingerBufferBytes is the size of the buffer with which they are discarded.
	lingerBufferBytes = 4 << 10
)

// clientConn is a client's connection. The reading goroutine owns the fields that the listener's mutex does not guard,
// except the instants, which are atomic.
type clientConn struct {
	*net.TCPConn
	raw       syscall.RawConn
	fd        int32 // as long as the connection is not closed
	listener  *Listener
	closeOnce sync.Once

	// The listener's mutex guards these.
	element   *list.Element // in the idle or the closing list; nil while a request is open
	idleSince time.Time
	removed   bool // not counted any more
	ended     bool // not read any more
	reading   bool // the first bytes of a request have been read
	pipelined bool // so have the first bytes of the request after that
	reused    bool // a request has been answered

	startInstant   atomic.Int64 // clock.Instant when the current request began, or when the client connected if none has
	arrivalInstant atomic.Int64 // clock.Instant when a read last received bytes that it had waited for
	account        *fairshare.Account
	requests       framing.Requests
	rejected       bool                // the current request was rejected before its head was complete
	parsing        *stream.Reservation // of the memory for the head of the current request, until the handler takes it
}

func newClientConn(tcp *net.TCPConn, l *Listener) (*clientConn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &clientConn{TCPConn: tcp, raw: raw, listener: l, account: l.scheduler.Accepted()}
	if err := raw.Control(func(fd uintptr) { c.fd = int32(fd) }); err != nil {
		return nil, err
	}
	c.startInstant.Store(int64(clock.InstantOf(time.Now())))
	return c, nil
}

// Read implements net.Conn. It detects the start of a request, because net/http reports a request only when its head is
// complete, and applies the idle timeout to its first bytes. It waits for processor time if the client has used much. While
// there is too little, it does not read what a client sent that has left.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if c.rejected {
		return 0, errHeadRejected
	}
	waited, err := c.awaitInput()
	if err != nil {
		return 0, err
	}
	if c.leftWhileBusy() || c.account.Await() && c.closedByClient() {
		return 0, io.EOF
	}
	defer c.account.Start()
	inHead := c.requests.InHead()
	begins := false
	if rawErr := c.raw.Read(func(fd uintptr) bool {
		n, begins, err = c.listener.readConn(c, int(fd), p)
		noInput := errors.Is(err, syscall.EAGAIN)
		waited = waited || noInput
		return !noInput
	}); rawErr != nil {
		return 0, rawErr
	}
	if err != nil {
		return 0, err
	}
	if waited {
		c.arrivalInstant.Store(int64(clock.InstantOf(time.Now())))
	}
	if begins {
		c.startRequest()
	}
	if err := c.checkHead(); err != nil {
		if inHead {
			c.rejectHead(err)
			err = errHeadRejected
		}
		return 0, err
	}
	return n, nil
}

// awaitInput waits until a read would not block, and reports whether it had to wait.
func (c *clientConn) awaitInput() (waited bool, err error) {
	c.account.Pause()
	var peekErr error
	if err := c.raw.Read(func(fd uintptr) bool {
		_, peekErr = peekDescriptor(int(fd), make([]byte, 1))
		noInput := errors.Is(peekErr, syscall.EAGAIN)
		waited = waited || noInput
		return !noInput
	}); err != nil {
		return waited, err
	}
	return waited, peekErr
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	if c.account == nil {
		return c.TCPConn.Write(p)
	}
	return fairshare.WriteCharged(c.TCPConn, c.raw, c.account, p)
}

// startRequest records the start of a request that is not the first, and sets the read deadline for its head.
func (c *clientConn) startRequest() {
	if !c.reused {
		return
	}
	now := time.Now()
	c.startInstant.Store(int64(clock.InstantOf(now)))
	// This fails only on a closed connection, on which the next read fails as well.
	_ = c.SetReadDeadline(now.Add(headTimeout))
}

// requestStart returns when the current request began.
func (c *clientConn) requestStart() time.Time {
	return clock.Instant(c.startInstant.Load()).Time()
}

// LastArrival implements stream.ArrivalClock.
func (c *clientConn) LastArrival() time.Time {
	return clock.Instant(c.arrivalInstant.Load()).Time()
}

// Close closes the connection. After a response or within a request it first closes the write side only, and the rest
// when the client has closed its side or lingerTimeout has passed: closing a connection with unread bytes resets it,
// and the client may lose a response that it has not read yet.
func (c *clientConn) Close() (err error) {
	c.closeOnce.Do(func() {
		if !c.listener.endConn(c) && c.CloseWrite() == nil {
			c.linger()
		}
		err = c.TCPConn.Close()
	})
	return err
}

// linger discards what the client still sends, until it closes its side, or lingerTimeout or lingerBytes is reached.
// Errors are ignored because the connection is closed next.
func (c *clientConn) linger() {
	if err := c.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
		return
	}
	var buffer [lingerBufferBytes]byte
	for n := 0; n < lingerBytes; {
		c.account.Await()
		read, err := c.TCPConn.Read(buffer[:])
		c.account.Start()
		if err != nil {
			return
		}
		n += read
	}
}

// reset resets the connection, so that its client detects that the response is incomplete.
func (c *clientConn) reset() {
	// This fails only on a closed connection.
	_ = c.SetLinger(0)
	c.closeNow()
}

// closeNow closes the connection immediately. Pending reads and writes fail.
func (c *clientConn) closeNow() { _ = c.TCPConn.Close() }

// closedByClient reports whether the client has closed its connection or its write side. A read would show this only
// after all bytes sent before it, and net/http reads only one byte beyond the current request.
func (c *clientConn) closedByClient() bool { return c.poll() != 0 }

// resetByClient reports whether the client has reset its connection.
func (c *clientConn) resetByClient() bool { return c.poll()&pollHUP != 0 }

// poll returns the events of the connection that tell that the client has closed it.
func (c *clientConn) poll() int16 {
	poll := []pollDescriptor{{events: pollRDHUP}}
	if err := c.raw.Control(func(fd uintptr) {
		poll[0].fd = int32(fd)
		pollNow(poll)
	}); err != nil {
		return pollRDHUP | pollHUP // closed here
	}
	return poll[0].revents
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(r *http.Request) *clientConn { return r.Context().Value(connKey{}).(*clientConn) }
