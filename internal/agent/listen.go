package agent

import (
	"context"
	"fmt"
	"net"
	"syscall"
)

// soReusePort is Linux's SO_REUSEPORT, which package syscall leaves out.
const soReusePort = 0xf

// listen opens the listener for clients. If shared is set, other processes that also set it can listen on the same
// address.
func listen(ctx context.Context, addr string, shared bool) (*net.TCPListener, error) {
	var config net.ListenConfig
	if shared {
		config.Control = setReusePort
	}
	l, err := config.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	return l.(*net.TCPListener), nil
}

func setReusePort(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
	}); controlErr != nil {
		return controlErr
	}
	return err
}
