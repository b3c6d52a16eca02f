package inbound

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"

	"example.org/ryeloft/internal/clock"
	"example.org/ryeloft/internal/fairshare"
	"example.org/ryeloft/internal/metrics"
	"example.org/ryeloft/internal/stream"
)

// Listener admits client connections and limits their number. At the limit it closes the connection that has been idle
// longest: if it merely stopped accepting, clients that keep idle connections could lock out all others.
//
// Under its mutex, reading from a connection, starting a request on it and choosing it to close are atomic steps, so
// that a request is either answered or was never read.
type Listener struct {
	metrics *metrics.Metrics
	memory  *stream.Memory // for the heads of requests while they are parsed
	// scheduler shares the processor between the connections, and account is that for accepting them.
	scheduler *fairshare.Scheduler
	account   *fairshare.Account
	// maxEvicted is how many evicted connections may be ending at a time; 0 means any number. Until fewer are, no further
	// connection is admitted: connections that arrive faster than the goroutines of others end would take more and more
	// memory.
	maxEvicted int
	released   chan struct{} // has a value pending when a connection has ended
	finishing  atomic.Bool   // Accept returns only the connections that are left in the queue
	aborted    atomic.Bool   // connections close immediately, because the agent is ending

	// The accepting goroutine owns these.
	tcp         *net.TCPListener
	queued      []*net.TCPConn // accepted by drainQueue, not yet returned by Accept
	queueClosed bool
	crowded     bool // the client of the last connection had left, or there was no processor time for it at once

	// mu guards these and the fields of clientConn that say so.
	mu        sync.Mutex
	maxConns  int // above this, an idle connection is closed for each new one
	maxActive int // above this, no connection is admitted unless another can be closed
	stopped   bool
	open      int
	evicted   int              // connections that are not counted in open any more, but whose goroutines have not ended
	endedConn sync.Cond        // signals that evicted has changed
	idle      list.List        // of *clientConn: without a request, longest idle first
	closing   list.List        // of *clientConn: waiting only for the client's close, oldest first
	polled    []pollDescriptor // scratch space of leftByClient
}

func newListener(m *metrics.Metrics, memory *stream.Memory, maxEvicted int, scheduler *fairshare.Scheduler) *Listener {
	return &Listener{
		metrics: m, memory: memory, maxEvicted: maxEvicted, released: make(chan struct{}, 1),
		scheduler: scheduler, account: scheduler.Accepting(),
	}
}

// Accept returns the next connection that is admitted. Only one goroutine may call it.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.prepareAccept()
		tcp, err := l.nextConn()
		l.account.Start()
		if err != nil {
			return nil, err
		}
		c, err := newClientConn(tcp, l)
		if err != nil {
			return nil, err
		}
		if l.awaitTurn(c) && l.admit(c) {
			return c, nil
		}
		c.closeNow()
	}
}

// prepareAccept waits until there is processor time for accepting connections, and drops some whose clients have left. It
// does neither while the listener is finishing, because other connections arrive all the time.
func (l *Listener) prepareAccept() {
	if l.finishing.Load() {
		l.account.Pause()
		return
	}
	l.account.Await()
	if l.crowded {
		l.account.Start()
		l.dropLeft()
		l.account.Pause()
	}
}

// awaitTurn waits until there is processor time for a new connection. It returns false if the client has left.
func (l *Listener) awaitTurn(c *clientConn) (stays bool) {
	l.crowded = c.hasLeft()
	if l.crowded || l.finishing.Load() {
		return !l.crowded
	}
	l.account.Pause()
	defer l.account.Start()
	l.crowded = c.account.AwaitFirst()
	return !l.crowded || !c.closedByClient()
}

// hasLeft reports whether the client of a new connection has closed it, and has either sent nothing or cannot be served at
// once. Clients that connect and leave would otherwise keep those that stay waiting in the queue.
func (c *clientConn) hasLeft() bool {
	return c.leftWhileBusy() || c.resetByClient() || c.closedByClient() && c.unreadBytes() == 0
}

// leftWhileBusy reports whether the client has closed its connection and there is more work than the processor can do.
func (c *clientConn) leftWhileBusy() bool { return c.listener.scheduler.Busy() && c.closedByClient() }

// Close closes the listener but not its connections.
func (l *Listener) Close() error { return l.tcp.Close() }

// Addr returns the listener's address.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }

// nextConn returns the next connection. Once the listener is finishing, it returns the connections that are left in the
// queue, and then net.ErrClosed.
func (l *Listener) nextConn() (*net.TCPConn, error) {
	if !l.finishing.Load() && len(l.queued) == 0 {
		tcp, err := l.tcp.AcceptTCP()
		if err == nil || !l.finishing.Load() {
			return tcp, err
		}
	}
	for l.finishing.Load() && !l.queueClosed && len(l.queued) == 0 {
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

// stop records that no more connections are admitted.
func (l *Listener) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.notifyReleased()
}

// finishAccepting makes Accept close the listener as soon as no connection is waiting, so that later clients connect to
// another process. It interrupts an Accept that is blocked.
func (l *Listener) finishAccepting() {
	l.finishing.Store(true)
	// This fails only on a closed listener, on which no Accept is blocked.
	_ = l.tcp.SetDeadline(clock.Past())
}
