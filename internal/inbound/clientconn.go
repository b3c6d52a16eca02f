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
	"unsafe"

	"example.org/ryeloft/internal/clock"
)

const (
	// headTimeout is how long a client may take to send a request's head, from its first byte, or from when it connected:
	// 2 s, and what a busy core may add.
	headTimeout = 2600 * time.Millisecond
	// lingerTimeout and lingerBytes are how long a client may go on sending on a connection that the agent has ended, and
	// how much.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 1 << 20
)

// clientConn is a connection of a client. What the listener's mutex does not guard is the goroutine's that reads.
type clientConn struct {
	*net.TCPConn
	raw       syscall.RawConn
	listener  *Listener
	closeOnce sync.Once

	// The listener's mutex guards these.
	element   *list.Element // of the idle or the closing ones; nil while a request is open
	idleSince time.Time
	removed   bool // out of the count
	ended     bool // nothing more is read of it
	reading   bool // part of a request has come
	pipelined bool // and of one more behind the present one

	startInstant atomic.Int64 // clock.Instant at which a request did; before the first, when the connection came
	head         headScanner
}

func newClientConn(tcp *net.TCPConn, l *Listener) (*clientConn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &clientConn{TCPConn: tcp, raw: raw, listener: l}
	c.startInstant.Store(int64(clock.InstantOf(time.Now())))
	return c, nil
}

// Read notes that a request begins, because net/http reports only a complete head and applies the idle timeout to the first
// bytes of one.
func (c *clientConn) Read(p []byte) (n int, err error) {
	begins := false
	if rawErr := c.raw.Read(func(fd uintptr) bool {
		n, begins, err = c.listener.readConn(c, int(fd), p)
		return !errors.Is(err, syscall.EAGAIN)
	}); rawErr != nil {
		return 0, rawErr
	}
	if err != nil {
		return 0, err
	}
	if begins && c.head.reused {
		c.startRequest()
	}
	c.head.scan(p[:n])
	return n, nil
}

// startRequest notes that a request does, and gives its head headTimeout.
func (c *clientConn) startRequest() {
	now := time.Now()
	c.startInstant.Store(int64(clock.InstantOf(now)))
	// It fails only on a connection that is closed, where the next read fails as well.
	_ = c.SetReadDeadline(now.Add(headTimeout))
}

// requestStart returns when the present request began.
func (c *clientConn) requestStart() time.Time {
	return clock.Instant(c.startInstant.Load()).Time()
}

// Close ends the connection. Behind an answer, or within a request, it ends its own side first, and the other when the
// client has ended its own or has had time to: a close over bytes that were not read resets the connection, and the client
// may lose an answer that it has not read yet.
func (c *clientConn) Close() (err error) {
	c.closeOnce.Do(func() {
		if !c.listener.endConn(c) && c.CloseWrite() == nil {
			c.linger()
		}
		err = c.TCPConn.Close()
	})
	return err
}

// linger reads what the client still sends, to its end or for lingerTimeout. However that ends, the connection closes next.
func (c *clientConn) linger() {
	if err := c.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c.TCPConn, lingerBytes))
}

// reset resets the connection, so that its client sees that what it got is not all.
func (c *clientConn) reset() {
	// It fails only on a connection that is closed.
	_ = c.SetLinger(0)
	c.closeNow()
}

// closeNow closes the connection without any wait. Whoever waits for its client sees that.
func (c *clientConn) closeNow() { _ = c.TCPConn.Close() }

// pollRDHUP is an event of poll(2), which package syscall leaves out.
const pollRDHUP = 0x2000

// pollDescriptor is a struct pollfd of poll(2).
type pollDescriptor struct {
	fd              int32
	events, revents int16
}

// closedByClient says whether the client has closed its connection, or its own side of it. Reading would show that only
// behind all that was sent before it, and net/http reads one byte ahead of the present request and no more.
func (c *clientConn) closedByClient() bool {
	poll := pollDescriptor{events: pollRDHUP}
	if err := c.raw.Control(func(fd uintptr) {
		poll.fd = int32(fd)
		// It does not wait; if it fails nothing has happened.
		_, _, _ = syscall.Syscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&poll)), 1, uintptr(unsafe.Pointer(&syscall.Timespec{})), 0, 0, 0)
	}); err != nil {
		return true // closed here
	}
	return poll.revents != 0
}

// connKey is the context's key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(r *http.Request) *clientConn { return r.Context().Value(connKey{}).(*clientConn) }
