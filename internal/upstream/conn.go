package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// conn is a connection to a server. It carries one request at a time. It is owned by the exchange that uses it, and by
// the pool while it is idle.
type conn struct {
	net.Conn
	endpoint  *Endpoint
	limit     io.LimitedReader // bounds the size of a response head; unlimited for the body
	buffered  *bufio.Reader
	idleSince time.Time
	used      bool          // it has carried at least one response
	idleAge   time.Duration // how long it had been idle when it was last taken from the pool
	readErr   error         // the first read error other than a timeout, returned by all later reads
}

func newConn(raw net.Conn, e *Endpoint) *conn {
	c := &conn{Conn: raw, endpoint: e}
	c.limit.R = c
	c.buffered = bufio.NewReader(&c.limit)
	return c
}

// Read reads from the connection and returns its first error, other than a timeout, on every later call. The kernel
// reports a reset only once and end of file from then on, so after a reset a response that is delimited by the end of
// its connection would look complete to the next read.
func (c *conn) Read(b []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.Conn.Read(b)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
	return n, err
}

// stale reports whether the server has closed the idle connection or sent data without a request. It peeks into the
// socket, because a request written to a closed connection cannot be distinguished from one that has run.
func (c *conn) stale() bool {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return true
	}
	noInput := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noInput = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		return true
	})
	return err != nil || !noInput
}
