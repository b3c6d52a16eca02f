package agenttest

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

// UnresponsiveAddr returns an address to which no connection can be established.
func UnresponsiveAddr(t *testing.T) string {
	addr, _ := FullListener(t)
	return addr
}

// FullListener returns the address and the file descriptor of a listener whose accept queue is full, so that no
// connection can be established.
func FullListener(t *testing.T) (addr string, fd int) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := syscall.Close(fd); err != nil {
			t.Error(err)
		}
	})
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr = fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 16 {
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr, fd
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("16 connections did not fill the accept queue")
	return "", 0
}
