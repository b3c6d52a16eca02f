package inbound

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"example.org/ryeloft/internal/clock"
)

const (
	// IdleGrace is how long the protocol lets a connection be without a request before the agent may close it.
	IdleGrace = 2 * time.Second
	// newConnGrace is how long a connection that has just come may take to bring its first request.
	newConnGrace = 250 * time.Millisecond
	// emptyCheckInterval is how often AwaitEmpty looks.
	emptyCheckInterval = 20 * time.Millisecond
)

// Resize changes how many connections there may be, and how many where all have a request.
func (l *Listener) Resize(maxConns, maxActive int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns = maxConns
	l.maxActive = maxActive
}

// UpdateLimits sets how many connections there may be, and how many where all have a request, to what decide returns, in
// one step with the look at how many are open and whether more are accepted.
func (l *Listener) UpdateLimits(decide func(open int, accepting bool) (maxConns, maxActive int)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns, l.maxActive = decide(l.open, !l.stopped)
}

// Released returns a channel that receives a value after a connection has ended; several ends may share one.
func (l *Listener) Released() <-chan struct{} { return l.released }

// notifyReleased says that a connection has ended, unless that is said already.
func (l *Listener) notifyReleased() {
	select {
	case l.released <- struct{}{}:
	default:
	}
}

// count returns how many connections there are, and how many of them have no request.
func (l *Listener) count() (open, idle int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, l.idle.Len()
}

// awaitEmpty waits until all connections have ended, or the context has.
func (l *Listener) awaitEmpty(ctx context.Context) {
	ticker := time.NewTicker(emptyCheckInterval)
	defer ticker.Stop()
	for {
		if open, _ := l.count(); open == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// admit counts a connection in, and closes an idle one for it if the limit asks for that. It is false if none may be closed.
func (l *Listener) admit(c *clientConn) bool {
	l.mu.Lock()
	var victim *clientConn
	if l.open >= l.maxConns {
		victim = l.evictable()
		if victim == nil && l.open >= max(l.maxConns, l.maxActive) {
			l.mu.Unlock()
			return false
		}
	}
	if victim != nil {
		l.remove(victim)
	}
	l.open++
	l.pushIdle(c)
	l.mu.Unlock()
	if victim != nil {
		victim.closeNow()
	}
	return true
}

// evictable returns the connection to close for a new one, nil if none may be closed. On a connection that was answered a
// moment ago the next request may have arrived already, so it has IdleGrace; one that has just connected is about to send
// its first. If the limit leaves no choice, connections without a complete request are closed all the same, those that are
// sending one last. The mutex is held.
func (l *Listener) evictable() *clientConn {
	if e := l.closing.Front(); e != nil {
		return e.Value.(*clientConn)
	}
	var unused, reading *clientConn
	for e := l.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		age := time.Since(c.idleSince)
		switch {
		case c.reading:
			reading = cmp.Or(reading, c)
		case age >= IdleGrace, !c.head.reused && age >= newConnGrace:
			return c
		case !c.head.reused:
			unused = cmp.Or(unused, c)
		}
	}
	if l.open < max(l.maxConns, l.maxActive) {
		return nil
	}
	return cmp.Or(unused, reading)
}

// pushIdle puts a connection behind all that are idle. The mutex is held.
func (l *Listener) pushIdle(c *clientConn) {
	c.element = l.idle.PushBack(c)
	c.idleSince = time.Now()
}

// removeFromList takes a connection out of the list that it is in. The mutex is held.
func (l *Listener) removeFromList(c *clientConn) {
	if c.element != nil {
		l.idle.Remove(c.element) // each list leaves the other's elements alone
		l.closing.Remove(c.element)
		c.element = nil
	}
}

// remove takes a connection out of the count. The mutex is held.
func (l *Listener) remove(c *clientConn) {
	if c.removed {
		return
	}
	c.removed = true
	l.open--
	l.removeFromList(c)
	l.notifyReleased()
}

// markEnded notes that a connection is closing, which makes it the first to be evicted. The mutex is held.
func (l *Listener) markEnded(c *clientConn) {
	if !c.ended && !c.removed {
		c.ended = true
		l.removeFromList(c)
		c.element = l.closing.PushBack(c)
	}
}

// endConn is the step from which on nothing is read from a connection and no request of it begins. It says whether the
// connection is to close at once, because it is idle or the agent ends.
func (l *Listener) endConn(c *clientConn) (immediately bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markEnded(c)
	return !c.reading || l.aborted.Load()
}

// abort makes connections close without waiting for their clients, because the agent ends.
func (l *Listener) abort() { l.aborted.Store(true) }

// readConn reads from a connection and notes that it did, in one step: a connection that was chosen to close is not read
// any more. The client of a request that was read but not answered cannot know whether it ran; one that was not read is
// answered by the kernel with a reset, on which the client sends it again.
func (l *Listener) readConn(c *clientConn, fd int, p []byte) (n int, begins bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.ended || c.removed {
		return 0, false, io.EOF
	}
	n, err = readDescriptor(fd, p)
	if err != nil {
		return 0, false, err
	}
	if n == 0 && len(p) > 0 {
		return 0, false, io.EOF
	}
	begins = !c.reading
	c.pipelined = c.reading && c.element == nil
	c.reading = true
	return n, begins, nil
}

// beginRequest notes that a complete request has arrived on a connection, which is not closed until the request is
// answered. It is false if the connection was ended first: the request must not be sent then, as nobody can be answered.
func (l *Listener) beginRequest(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.removed || c.ended {
		return false
	}
	l.removeFromList(c)
	return true
}

// uploadComplete notes that what was read after a request began was its body, and not a pipelined request.
func (l *Listener) uploadComplete(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.pipelined = false
}

// requestAnswered notes that a connection stays open only to read what its client goes on to send, so it may be evicted.
func (l *Listener) requestAnswered(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.element == nil && !c.removed && !c.ended {
		l.pushIdle(c)
	}
}

// connState follows what net/http makes of a connection.
func (l *Listener) connState(conn net.Conn, state http.ConnState) {
	c := conn.(*clientConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateIdle:
		l.connIdle(c)
	case http.StateClosed:
		l.remove(c)
		if c.reading && !c.head.ended {
			l.metrics.HeadIncomplete()
		}
	}
}

// connIdle notes that a connection waits for its next request, of which part may have come behind the last one. The mutex
// is held.
func (l *Listener) connIdle(c *clientConn) {
	c.idleSince = time.Now()
	c.reading = c.pipelined
	c.pipelined = false
	if c.reading {
		c.startInstant.Store(int64(clock.InstantOf(c.idleSince)))
	}
	c.head.reset()
	if c.element != nil {
		l.idle.MoveToBack(c.element)
	} else if !c.removed {
		c.element = l.idle.PushBack(c)
	}
}

// closeIdle closes the connections that have been without a request since then or longer; those that bring one just now
// only if evenReading is set.
func (l *Listener) closeIdle(since time.Time, includeReading bool) {
	var idle []*clientConn
	l.mu.Lock()
	for e := l.idle.Front(); e != nil; {
		c := e.Value.(*clientConn)
		e = e.Next()
		if !c.idleSince.After(since) && (includeReading || !c.reading) {
			idle = append(idle, c)
			l.markEnded(c)
		}
	}
	l.mu.Unlock()
	for _, c := range idle {
		go func() { // waits for the client, for lingerTimeout at most
			_ = c.Close() // the client sees the close
		}()
	}
}

// readDescriptor reads from a descriptor, again if a signal interrupts it.
func readDescriptor(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}
