package agent

import (
	"bytes"
	"cmp"
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"example.org/ryeloft/internal/clock"
	"example.org/ryeloft/internal/metrics"
)

const (
	// lingerTimeout and lingerBytes are how long a client may go on sending on a connection that the agent has ended, and how much.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 1 << 20
	// lastAcceptBatch is how many connections are taken at once out of the queue of a listener that is to close. It is no
	// more than a process keeps free of its quota, because the queue may hold more than there are descriptors.
	lastAcceptBatch = 8
)

// Listener holds the connections of clients. There is room for so many; when it is short, the one that has been
// without a request longest goes. Danger: a listener that merely stops accepting lets clients that keep silent
// connections shut out all others.
type Listener struct {
	*net.TCPListener
	metrics     *metrics.Metrics
	maxConns    int            // connections, of which one without a request goes for each further one,
	maxActive   int            // and so many where all have a request; both are the mutex's
	finishing   atomic.Bool    // no connection is waited for any more
	queueClosed bool           // the listener is; Accept's
	queued      []*net.TCPConn // taken from its queue before that, a few at a time; Accept's

	aborted atomic.Bool // nothing more is owed to anybody

	released chan struct{} // told of a connection that has ended; it holds one word

	mu      sync.Mutex
	stopped bool // none is let in any more
	open    int
	idle    list.List // of *clientConn: those without a request, the longest first
	closing list.List // of *clientConn: those that only wait for their client's end, likewise
}

// clientConn is one of them. What is not guarded by the admission's mutex is the goroutine's that reads.
type clientConn struct {
	*net.TCPConn
	raw      syscall.RawConn
	listener *Listener
	closing  sync.Once

	element   *list.Element // among the silent or the ending; nil while a request is open
	idleSince time.Time     // among the silent since then
	removed   bool          // out of the count
	ended     bool          // nothing more is read of it
	reading   bool          // part of a request has come
	pipelined bool          // and of one more behind the present one

	begun atomic.Int64 // clock.Instant at which a request did; before the first, when the connection came
	head  headScanner
}

// Read notes that a request begins. net/http tells only of one whose head is whole, and holds the first bytes of one to
// the time that a connection may be idle.
func (c *clientConn) Read(p []byte) (n int, err error) {
	begins := false
	if werr := c.raw.Read(func(fd uintptr) bool {
		n, begins, err = c.listener.readConn(c, int(fd), p)
		return err != syscall.EAGAIN
	}); werr != nil {
		return 0, werr
	}
	if err != nil {
		return 0, err
	}
	if begins && c.head.reused {
		now := time.Now()
		c.begun.Store(int64(clock.InstantOf(now)))
		c.SetReadDeadline(now.Add(headTimeout))
	}
	c.head.scan(p[:n])
	return n, nil
}

// readConn reads what has come on a connection and notes it, in one step: a connection that was chosen to be closed is read no
// more. Danger: the client of a request that was read and not answered cannot know whether it ran. What was not read the
// kernel answers with a reset, on which the client sends it once more.
func (a *Listener) readConn(c *clientConn, fd int, p []byte) (n int, begins bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.ended || c.removed {
		return 0, false, io.EOF
	}
	for {
		if n, err = syscall.Read(fd, p); err != syscall.EINTR {
			break
		}
	}
	switch {
	case err != nil:
		return 0, false, err
	case n == 0 && len(p) > 0:
		return 0, false, io.EOF
	}
	begins = !c.reading
	c.pipelined = c.reading && c.element == nil
	c.reading = true
	return n, begins, nil
}

// Close ends the connection. Behind an answer, or within a request, it ends its own side first, and the other when the client
// has ended its own or has had time to. Danger: a close over bytes that were not read resets the connection, and the client
// may lose an answer that it has not read yet.
func (c *clientConn) Close() (err error) {
	c.closing.Do(func() {
		if !c.listener.endConn(c) && c.CloseWrite() == nil {
			c.SetReadDeadline(time.Now().Add(lingerTimeout))
			io.Copy(io.Discard, io.LimitReader(c.TCPConn, lingerBytes))
		}
		err = c.TCPConn.Close()
	})
	return err
}

// reset resets the connection: its client is to see that what it got is not all.
func (c *clientConn) reset() {
	c.SetLinger(0)
	c.TCPConn.Close()
}

// Of poll(2), which package syscall leaves out.
const pollRDHUP = 0x2000

// closedByClient says whether the client has closed its connection, or its own side of it. Danger: reading shows an end only behind
// all that was sent before it, and net/http reads one byte ahead of the present request and no more.
func (c *clientConn) closedByClient() bool {
	poll := struct {
		fd              int32
		events, happens int16
	}{events: pollRDHUP}
	if err := c.raw.Control(func(fd uintptr) {
		poll.fd = int32(fd)
		// It does not wait; if it fails nothing has happened.
		syscall.Syscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&poll)), 1, uintptr(unsafe.Pointer(&syscall.Timespec{})), 0, 0, 0)
	}); err != nil {
		return true // closed here
	}
	return poll.happens != 0
}

// headScanner sees of a request's head what net/http does not tell: which of the two ways to end a body stand in it.
type headScanner struct {
	line                            []byte // the present one, as far as a name in question reaches
	lines                           int
	reused                          bool // it is not the connection's first
	ended                           bool // all of the head has been seen
	contentLength, transferEncoding bool
}

func (h *headScanner) scan(text []byte) {
	for _, b := range text {
		switch {
		case h.ended:
			return
		case b != '\n':
			if len(h.line) < len("Transfer-Encoding:") {
				h.line = append(h.line, b)
			}
			continue
		}
		name, _, _ := bytes.Cut(h.line, []byte{':'})
		h.contentLength = h.contentLength || bytes.EqualFold(name, []byte("Content-Length"))
		h.transferEncoding = h.transferEncoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
		h.ended = h.lines > 0 && len(bytes.TrimRight(h.line, "\r")) == 0
		h.lines, h.line = h.lines+1, h.line[:0]
	}
}

// Accept returns the next connection, for which there is room. Serve calls it from one goroutine.
func (a *Listener) Accept() (net.Conn, error) {
	for {
		tcp, err := a.nextConn()
		if err != nil {
			return nil, err
		}
		raw, err := tcp.SyscallConn()
		if err != nil {
			return nil, err
		}
		c := &clientConn{TCPConn: tcp, raw: raw, listener: a}
		c.begun.Store(int64(clock.InstantOf(time.Now())))
		if a.admit(c) {
			return c, nil
		}
		tcp.Close() // requests are open on all others
	}
}

// nextConn returns the next connection; the last ones once the listener is to close.
func (a *Listener) nextConn() (*net.TCPConn, error) {
	if !a.finishing.Load() {
		tcp, err := a.AcceptTCP()
		if err == nil || !a.finishing.Load() {
			return tcp, err
		}
	}
	for !a.queueClosed && len(a.queued) == 0 {
		var err error
		if a.queued, a.queueClosed, err = a.drainQueue(); err != nil {
			a.queueClosed = true
			return nil, err
		}
	}
	if len(a.queued) == 0 {
		a.mu.Lock()
		a.stopped = true
		a.notifyReleased()
		a.mu.Unlock()
		return nil, net.ErrClosed
	}
	tcp := a.queued[0]
	a.queued = a.queued[1:]
	return tcp, nil
}

func (a *Listener) admit(c *clientConn) bool {
	a.mu.Lock()
	var victim *clientConn
	if a.open >= a.maxConns {
		victim = a.evictable()
		if victim == nil && a.open >= max(a.maxConns, a.maxActive) {
			a.mu.Unlock()
			return false
		}
	}
	if victim != nil {
		a.release(victim)
	}
	a.open++
	c.element, c.idleSince = a.idle.PushBack(c), time.Now()
	a.mu.Unlock()
	if victim != nil {
		victim.TCPConn.Close()
	}
	return true
}

// endConn is the step from which on nothing of a connection is read and no request taken. It says whether the connection is to
// close at once: it rests, or nobody is owed anything.
func (a *Listener) endConn(c *clientConn) (atOnce bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.markEnded(c)
	return !c.reading || a.aborted.Load()
}

// markEnded has a connection end; it is the first to make room. The mutex is held.
func (a *Listener) markEnded(c *clientConn) {
	if !c.ended && !c.removed {
		c.ended = true
		a.unlist(c)
		c.element = a.closing.PushBack(c)
	}
}

// Abort has connections close without any wait: the agent ends.
func (a *Listener) Abort() { a.aborted.Store(true) }

// evictable finds the connection that is to make room, if any can. Danger: on one that has had an answer a moment ago the
// next request may be there already, so the terms give it idleGrace; one that has just come is about to bring its first.
// When there is no other room, those that have brought no whole request yet go all the same, those that have begun one last.
// The mutex is held.
func (a *Listener) evictable() *clientConn {
	if e := a.closing.Front(); e != nil {
		return e.Value.(*clientConn)
	}
	var fresh, begun *clientConn
	for e := a.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		idle := time.Since(c.idleSince)
		switch {
		case c.reading:
			begun = cmp.Or(begun, c)
		case idle >= idleGrace, !c.head.reused && idle >= newConnGrace:
			return c
		case !c.head.reused:
			fresh = cmp.Or(fresh, c)
		}
	}
	if a.open < max(a.maxConns, a.maxActive) {
		return nil
	}
	return cmp.Or(fresh, begun)
}

// release takes a connection out of the count. The mutex is held.
func (a *Listener) release(c *clientConn) {
	if c.removed {
		return
	}
	c.removed = true
	a.open--
	a.unlist(c)
	a.notifyReleased()
}

// notifyReleased tells whoever passes room on that there may be some.
func (a *Listener) notifyReleased() {
	select {
	case a.released <- struct{}{}:
	default: // it is told already, or nobody asks
	}
}

// Resize changes how many connections there may be, and how many where all have a request.
func (a *Listener) Resize(maxConns, maxActive int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.maxConns = maxConns
	a.maxActive = maxActive
}

// UpdateLimits sets how many connections there may be, and how many where all have a request, to what decide returns, in
// one step with the look at how many are open and whether more are accepted.
func (a *Listener) UpdateLimits(decide func(open int, accepting bool) (maxConns, maxActive int)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.maxConns, a.maxActive = decide(a.open, !a.stopped)
}

// Released holds a value when a connection has ended since the last one was taken out.
func (a *Listener) Released() <-chan struct{} { return a.released }

// unlist takes a connection out of the list that it is in. The mutex is held.
func (a *Listener) unlist(c *clientConn) {
	if c.element != nil {
		a.idle.Remove(c.element) // each list leaves the other's elements alone
		a.closing.Remove(c.element)
		c.element = nil
	}
}

// takeRequest notes that a whole request has come on a connection, which is not closed then until it is answered. It is false if
// its end came first: what nobody can be told of must not be sent on.
func (a *Listener) takeRequest(c *clientConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.removed || c.ended {
		return false
	}
	a.unlist(c)
	return true
}

// uploadComplete notes that what was read after a request was taken was its body, and no request behind it.
func (a *Listener) uploadComplete(c *clientConn) {
	a.mu.Lock()
	c.pipelined = false
	a.mu.Unlock()
}

// requestAnswered notes that a connection is kept only to read what its client goes on to send: it may be closed again.
func (a *Listener) requestAnswered(c *clientConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.element == nil && !c.removed && !c.ended {
		c.element, c.idleSince = a.idle.PushBack(c), time.Now()
	}
}

// connState follows what net/http makes of a connection.
func (a *Listener) connState(conn net.Conn, state http.ConnState) {
	c := conn.(*clientConn)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.idleSince = time.Now()
		if c.reading, c.pipelined = c.pipelined, false; c.reading {
			c.begun.Store(int64(clock.InstantOf(c.idleSince)))
		}
		c.head = headScanner{line: c.head.line[:0], reused: true}
		if c.element != nil {
			a.idle.MoveToBack(c.element)
		} else if !c.removed {
			c.element = a.idle.PushBack(c)
		}
	case http.StateClosed:
		a.release(c)
		if c.reading && !c.head.ended {
			a.metrics.HeadIncomplete()
		}
	}
}

// closeIdle closes the connections that have been without a request since then or longer; those that bring one just now
// only if they are to go all the same.
func (a *Listener) closeIdle(since time.Time, reading bool) {
	var idle []*clientConn
	a.mu.Lock()
	for e := a.idle.Front(); e != nil; {
		c := e.Value.(*clientConn)
		e = e.Next()
		if !c.idleSince.After(since) && (reading || !c.reading) {
			idle = append(idle, c)
			a.markEnded(c)
		}
	}
	a.mu.Unlock()
	for _, c := range idle {
		go c.Close() // which waits for the client
	}
}

// FinishQueue has the next Accept that finds no connection waiting close the listener: those that come later find another
// process. It breaks off the wait of the present one.
func (a *Listener) FinishQueue() {
	a.finishing.Store(true)
	a.SetDeadline(clock.Past())
}

// drainQueue takes connections that wait, and closes the listener if it finds no more. Danger: the kernel resets what is in the
// queue of a listener that closes, so nothing else may come between the look that finds none and the close. And a queue
// may hold more connections than there are descriptors, so they are let in or closed a few at a time.
func (a *Listener) drainQueue() (waiting []*net.TCPConn, closed bool, err error) {
	raw, err := a.SyscallConn()
	if err != nil {
		return nil, false, err
	}
	var taken []int
	if err := raw.Control(func(fd uintptr) {
		for len(taken) < lastAcceptBatch {
			n, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			switch err {
			case nil:
				taken = append(taken, n)
				continue
			case syscall.EINTR, syscall.ECONNABORTED:
				continue
			}
			syscall.Shutdown(int(fd), syscall.SHUT_RD) // which ends the listening
			closed = true
			return
		}
	}); err != nil {
		return nil, false, err
	}
	for _, fd := range taken {
		f := os.NewFile(uintptr(fd), "client")
		c, err := net.FileConn(f)
		f.Close()
		if err != nil {
			return waiting, closed, err
		}
		waiting = append(waiting, c.(*net.TCPConn))
	}
	return waiting, closed, nil
}

// Count is how many connections there are, and how many of them have no request open.
func (a *Listener) Count() (open, silent int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.open, a.idle.Len()
}

// AwaitEmpty waits until all connections have ended, or the context has.
func (a *Listener) AwaitEmpty(ctx context.Context) {
	look := time.NewTicker(pollInterval)
	defer look.Stop()
	for {
		if open, _ := a.Count(); open == 0 {
			return
		}
		select {
		case <-look.C:
		case <-ctx.Done():
			return
		}
	}
}

// connKey is the context's key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(r *http.Request) *clientConn { return r.Context().Value(connKey{}).(*clientConn) }
