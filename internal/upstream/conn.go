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

// conn is a connection to a server. It carries one request at a time and is its exchange's, or the pool's while it is idle.
type conn struct {
	net.Conn
	endpoint  *Endpoint
	limit     io.LimitedReader // bounds what one answer may hold, headers included
	buffered  *bufio.Reader
	idleSince time.Time
	used      bool          // it has carried an answer
	idleAge   time.Duration // how long it was idle when it was taken
	readErr   error         // why nothing more can be read
}

func newConn(raw net.Conn, e *Endpoint) *conn {
	c := &conn{Conn: raw, endpoint: e}
	c.limit.R = c
	c.buffered = bufio.NewReader(&c.limit)
	return c
}

// Read keeps what ended the connection. The kernel reports a reset once and an orderly end from then on, so an answer that
// ends with its connection would look complete to whoever reads next.
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

// stale says that the server has closed the connection, or sent something without a request. It peeks into the socket,
// because a request that is written to a closed connection cannot be told from one that has run.
func (c *conn) stale() bool {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return true
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		return true
	})
	return err != nil || !quiet
}
