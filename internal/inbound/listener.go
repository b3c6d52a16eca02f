package inbound

import (
	"container/list"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"example.org/ryeloft/internal/clock"
	"example.org/ryeloft/internal/metrics"
)

// finalAcceptBatch is how many connections are taken at once out of the queue of a listener that is to close. It is no more
// than a process keeps free of its quota, because the queue may hold more than there are descriptors.
const finalAcceptBatch = 8

// Listener admits the connections of clients and holds them to their number. When there are too many, the one that has
// been idle longest closes: a listener that merely stops accepting would let clients that keep idle connections shut out
// all others.
//
// Its mutex orders what happens to a connection: reading from it, taking a request of it and choosing it to end are one
// step each, so that a request is either answered or was never read.
type Listener struct {
	metrics   *metrics.Metrics
	released  chan struct{} // holds a value when a connection has ended
	finishing atomic.Bool   // no connection is waited for any more
	aborted   atomic.Bool   // connections close at once, because the agent ends

	// These are the goroutine's that accepts.
	tcp         *net.TCPListener
	queued      []*net.TCPConn // taken out of the queue before it was closed
	queueClosed bool

	mu        sync.Mutex
	maxConns  int // beyond which an idle connection closes for each further one
	maxActive int // beyond which none is admitted
	stopped   bool
	open      int
	idle      list.List // of *clientConn: those without a request, the longest first
	closing   list.List // of *clientConn: those that only wait for their client's end, likewise
}

func newListener(m *metrics.Metrics) *Listener {
	return &Listener{metrics: m, released: make(chan struct{}, 1)}
}

// Accept returns the next connection that is admitted. It is called from one goroutine.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.nextConn()
		if err != nil {
			return nil, err
		}
		c, err := newClientConn(tcp, l)
		if err != nil {
			return nil, err
		}
		if l.admit(c) {
			return c, nil
		}
		c.closeNow()
	}
}

// Close closes the listener, not the connections.
func (l *Listener) Close() error { return l.tcp.Close() }

// Addr returns the listener's address.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }

// nextConn returns the next connection; the last ones once the listener is to close.
func (l *Listener) nextConn() (*net.TCPConn, error) {
	if !l.finishing.Load() {
		tcp, err := l.tcp.AcceptTCP()
		if err == nil || !l.finishing.Load() {
			return tcp, err
		}
	}
	for !l.queueClosed && len(l.queued) == 0 {
		var err error
		l.queued, l.queueClosed, err = l.drainQueue()
		if err != nil {
			l.queueClosed = true
			return nil, err
		}
	}
	if len(l.queued) == 0 {
		l.stop()
		return nil, net.ErrClosed
	}
	tcp := l.queued[0]
	l.queued = l.queued[1:]
	return tcp, nil
}

// stop notes that no connection is admitted any more.
func (l *Listener) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.notifyReleased()
}

// finishAccepting has the next Accept that finds no connection waiting close the listener, so that clients that come later find
// another process. It breaks off the wait of the present one.
func (l *Listener) finishAccepting() {
	l.finishing.Store(true)
	// It fails only on a listener that is closed, where nobody waits.
	_ = l.tcp.SetDeadline(clock.Past())
}

// drainQueue takes connections that wait, and closes the listener if it finds no more. Nothing may come between the look
// that finds none and the close, because the kernel resets what is in the queue of a listener that closes.
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

// acceptWaiting accepts a batch of the connections that wait, and ends the listening if there are no more.
func acceptWaiting(listener int) (fds []int, closed bool) {
	for len(fds) < finalAcceptBatch {
		fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		switch {
		case err == nil:
			fds = append(fds, fd)
		case errors.Is(err, syscall.EINTR), errors.Is(err, syscall.ECONNABORTED):
		default:
			// It fails only on a listener that does not listen any more.
			_ = syscall.Shutdown(listener, syscall.SHUT_RD)
			return fds, true
		}
	}
	return fds, false
}

// connOfDescriptor returns the connection of a descriptor, which it takes over.
func connOfDescriptor(fd int) (*net.TCPConn, error) {
	file := os.NewFile(uintptr(fd), "client")
	// The connection has a descriptor of its own.
	defer func() { _ = file.Close() }()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}
