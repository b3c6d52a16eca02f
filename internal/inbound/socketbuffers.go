package inbound

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"unsafe"
)

const (
	// longBodyReceiveBuffer is the receive buffer of a connection on which a long body arrives. It is small, because what
	// it holds after the client's last byte must still reach the server in the client's time. The kernel doubles the value.
	longBodyReceiveBuffer = 128 << 10
	// defaultMaxSendBuffer is the largest send buffer of a client if the kernel does not tell.
	defaultMaxSendBuffer = 4 << 20
)

// maxSendBuffer returns the largest send buffer that the kernel gives to a client on this machine.
var maxSendBuffer = sync.OnceValue(func() int64 {
	largest := int64(0)
	for _, path := range []string{"/proc/sys/net/ipv4/tcp_wmem", "/proc/sys/net/core/wmem_max"} {
		text, err := os.ReadFile(path)
		if err != nil {
			return defaultMaxSendBuffer
		}
		for _, field := range strings.Fields(string(text)) {
			bytes, err := strconv.ParseInt(field, 10, 64)
			if err != nil {
				return defaultMaxSendBuffer
			}
			largest = max(largest, bytes)
		}
	}
	return largest
})

// MaxUnread implements stream.ArrivalClock: the bytes in the receive queue, and as many as the client's send buffer can
// hold.
func (c *clientConn) MaxUnread() int64 { return c.unreadBytes() + maxSendBuffer() }

// unreadBytes returns the number of bytes in the receive queue.
func (c *clientConn) unreadBytes() int64 {
	queued := int32(0)
	if err := c.raw.Control(func(fd uintptr) {
		// SIOCINQ has the value of TIOCINQ. If the call fails, queued stays 0.
		_, _, _ = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&queued)))
	}); err != nil {
		return 0
	}
	return int64(queued)
}

// limitReceiveBuffer limits the receive buffer for a long body. If that fails, the body is merely given up earlier.
func (c *clientConn) limitReceiveBuffer() { _ = c.SetReadBuffer(longBodyReceiveBuffer) }
