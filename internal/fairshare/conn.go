package fairshare

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// Conn is a connection whose work is charged to an account. Its reads wait for processor time.
type Conn struct {
	net.Conn
	account *Account
	raw     syscall.RawConn // nil if the connection has no descriptor; then waiting is charged like work
}

// NewConn returns a connection whose work is charged to an account.
func NewConn(c net.Conn, account *Account) *Conn {
	return &Conn{Conn: c, account: account, raw: rawConn(c)}
}

// rawConn returns the raw connection of c, or nil if it has none.
func rawConn(c net.Conn) syscall.RawConn {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if c.raw == nil {
		return nil, errors.ErrUnsupported
	}
	return c.raw, nil
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (n int, err error) {
	c.account.Await()
	defer c.account.Start()
	return c.Conn.Read(p)
}

// Write implements io.Writer. Time spent waiting for the peer is not charged.
func (c *Conn) Write(p []byte) (n int, err error) {
	if c.raw == nil || c.account == nil {
		return c.Conn.Write(p)
	}
	return WriteCharged(c.Conn, c.raw, c.account, p)
}

// WriteCharged writes to a connection with a descriptor. It pauses the account while it waits for the peer.
func WriteCharged(c net.Conn, raw syscall.RawConn, account *Account, p []byte) (n int, err error) {
	if rawErr := raw.Write(func(fd uintptr) bool {
		n, err = writeDescriptor(int(fd), p)
		return true
	}); rawErr != nil {
		return 0, rawErr
	}
	if err != nil && !errors.Is(err, syscall.EAGAIN) {
		return 0, &net.OpError{Op: "write", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	}
	n = max(n, 0)
	if n == len(p) {
		return n, nil
	}
	account.Pause()
	defer account.Start()
	rest, err := c.Write(p[n:])
	if err == nil && n+rest < len(p) {
		err = io.ErrShortWrite
	}
	return n + rest, err
}

// writeDescriptor writes to a descriptor, and retries if a signal interrupts the write.
func writeDescriptor(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Write(fd, p)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}
