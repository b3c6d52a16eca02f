package inbound

import (
	"syscall"
	"time"
	"unsafe"
)

// kernelTick is the longest period of the clock with which the kernel measures the time since data arrived.
const kernelTick = 10 * time.Millisecond

// unreadTime returns how long ago the client's last bytes arrived, or 0 if that is less than can be told. Once a request has
// been read, it has waited at least this long.
func (c *clientConn) unreadTime() (unread time.Duration) {
	if err := c.raw.Control(func(fd uintptr) { unread = timeSinceData(int(fd)) }); err != nil {
		return 0
	}
	if unread <= kernelTick {
		return 0
	}
	return unread
}

// timeSinceData returns how long ago the last data arrived on a TCP connection, or 0 if the kernel does not tell.
func timeSinceData(fd int) time.Duration {
	var info syscall.TCPInfo
	size := uint32(unsafe.Sizeof(info))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, uintptr(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 || size < uint32(unsafe.Offsetof(info.Last_data_recv)+unsafe.Sizeof(info.Last_data_recv)) {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
