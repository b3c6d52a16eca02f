package inbound

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// finalAcceptBatch is how many connections are accepted at a time from the queue of a listener that is about to close. It is
// small, because the queue may hold more connections than there are descriptors, and these are only counted when they are
// admitted.
const finalAcceptBatch = 2

// dropBatch is how many connections dropLeft accepts at most.
const dropBatch = 64

// drainQueue accepts a batch of the waiting connections, and closes the listener if no more are waiting. Nothing may
// happen between the accept that finds the queue empty and the close, because the kernel resets the connections that
// are in the queue of a listener when it closes.
func (l *Listener) drainQueue() (conns []*net.TCPConn, closed bool, err error) {
	raw, err := l.tcp.SyscallConn()
	if err != nil {
		return nil, false, err
	}
	var fds []int
	if err := raw.Control(func(fd uintptr) { fds, closed = acceptWaiting(int(fd)) }); err != nil {
		return nil, false, err
	}
	for _, fd := range fds {
		conn, err := connOfDescriptor(fd)
		if err != nil {
			return conns, closed, err
		}
		conns = append(conns, conn)
	}
	return conns, closed, nil
}

// dropLeft accepts waiting connections and closes them, until there is one whose client has not left. It queues that one, if
// none is queued yet. It is much cheaper than admitting them.
func (l *Listener) dropLeft() {
	if len(l.queued) > 0 {
		return
	}
	raw, err := l.tcp.SyscallConn()
	if err != nil {
		return
	}
	stays := -1
	if err := raw.Control(func(fd uintptr) { stays = closeLeft(int(fd)) }); err != nil || stays < 0 {
		return
	}
	if conn, err := connOfDescriptor(stays); err == nil {
		l.queued = append(l.queued, conn)
	}
}

// closeLeft accepts at most dropBatch connections and closes those whose clients have left. It returns the first one whose
// client has not, or -1.
func closeLeft(listener int) (stays int) {
	for range dropBatch {
		fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if err != nil {
			return -1 // if this is lasting, the next accept returns it
		}
		poll := []pollDescriptor{{fd: int32(fd), events: pollRDHUP}}
		pollNow(poll)
		if poll[0].revents == 0 {
			return fd
		}
		_ = syscall.Close(fd) // nobody waits for the end
	}
	return -1
}

// acceptWaiting accepts a batch of the waiting connections, and shuts the listener down if no more are waiting.
func acceptWaiting(listener int) (fds []int, closed bool) {
	for len(fds) < finalAcceptBatch {
		fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		switch {
		case err == nil:
			fds = append(fds, fd)
		case errors.Is(err, syscall.EINTR), errors.Is(err, syscall.ECONNABORTED):
		default:
			// This fails only on a listener that has already been shut down.
			_ = syscall.Shutdown(listener, syscall.SHUT_RD)
			return fds, true
		}
	}
	return fds, false
}

// connOfDescriptor returns a connection for a descriptor, which it takes ownership of.
func connOfDescriptor(fd int) (*net.TCPConn, error) {
	file := os.NewFile(uintptr(fd), "client")
	// net.FileConn duplicates the descriptor.
	defer func() { _ = file.Close() }()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}
