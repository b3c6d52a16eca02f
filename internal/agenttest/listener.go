package agenttest

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

// DeafAddr returns an address at which connections never come up.
func UnresponsiveAddr(t *testing.T) string {
	addr, _ := FullListener(t)
	return addr
}

// FullListener returns the address and the descriptor of a listener whose queue of connections is full, so that none comes up.
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
	t.Fatal("connections come up all the same")
	return "", 0
}
