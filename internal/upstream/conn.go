package upstream

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"example.org/ryeloft/internal/fairshare"
	"example.org/ryeloft/internal/stream"
)

// responseBufferBytes is the size of the buffer with which a response is read.
const responseBufferBytes = 2 << 10

// responseBuffers holds the buffers that no connection uses. Connections to servers are idle, or wait for a response, most
// of the time.
var responseBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, responseBufferBytes) }}

// conn is a connection to a server. It carries one request at a time. It is owned by the exchange that uses it, and by
// the pool while it is idle.
type conn struct {
	net.Conn
	account   *fairshare.Account
	endpoint  *Endpoint
	buffered  *bufio.Reader // nil unless a response is being read
	head      responseHead
	idleSince time.Time
	used      bool          // it has carried at least one response
	idleAge   time.Duration // how long it had been idle when it was last taken from the pool
	readErr   error         // the first read error other than a timeout, returned by all later reads
}

// newConn returns a connection that reserves memory for the heads of responses.
func newConn(raw net.Conn, e *Endpoint, memory *stream.Memory) *conn {
	return &conn{Conn: raw, endpoint: e, head: responseHead{memory: memory}}
}

// startResponse prepares for reading a response. It waits for the first byte before it takes a buffer.
func (c *conn) startResponse() {
	c.head.start()
	c.awaitInput()
	c.buffered = responseBuffers.Get().(*bufio.Reader)
	c.buffered.Reset(c)
}

// endResponse gives the buffer back when a response has been read. It reports whether the connection may be reused: bytes
// after a response would be read as the response to the next request.
func (c *conn) endResponse() (reusable bool) {
	reusable = c.buffered.Buffered() == 0
	c.buffered.Reset(nil)
	responseBuffers.Put(c.buffered)
	c.buffered = nil
	return reusable
}

// Read reads from the connection and returns its first error, other than a timeout, on every later call. The kernel
// reports a reset only once and end of file from then on, so after a reset a response that is delimited by the end of
// its connection would look complete to the next read. Read also follows the head of a response, and fails if it is too
// large. It waits for processor time if the server has used much.
func (c *conn) Read(b []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	c.account.Await()
	defer c.account.Start()
	n, err := c.Conn.Read(b)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
	if headErr := c.head.add(b[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// awaitInput waits until a read would not block: input has arrived, the server has closed the connection, or the read
// deadline has passed.
func (c *conn) awaitInput() {
	raw, err := c.rawConn()
	if err != nil {
		return
	}
	// If this fails, so does the read that follows.
	_ = raw.Read(func(fd uintptr) bool { return !errors.Is(peek(fd), syscall.EAGAIN) })
}

func (c *conn) rawConn() (syscall.RawConn, error) {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sys.SyscallConn()
}

// peek returns the error of a read that would not block, or nil if there is input or the connection has been closed.
func peek(fd uintptr) error {
	for {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

// longBodySendBuffer is the send buffer of a connection to which a long body is written. It is small, because what it holds
// after the client's last byte must still reach the server in the client's time. The kernel doubles the value.
const longBodySendBuffer = 128 << 10

// limitSendBuffer limits the send buffer for a long body. If that fails, the server merely has less time at the end.
func (c *conn) limitSendBuffer() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(longBodySendBuffer)
	}
}

// stale reports whether the server has closed the idle connection or sent data without a request. It peeks into the
// socket, because a request written to a closed connection cannot be distinguished from one that has run.
func (c *conn) stale() bool {
	raw, err := c.rawConn()
	if err != nil {
		return true
	}
	noInput := false
	err = raw.Read(func(fd uintptr) bool {
		noInput = errors.Is(peek(fd), syscall.EAGAIN)
		return true
	})
	return err != nil || !noInput
}
