package inbound

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"example.org/ryeloft/internal/clock"
)

const (
	// IdleGrace is how long the protocol allows a connection to be idle before the agent may close it.
	IdleGrace = 2 * time.Second
	// emptyCheckInterval is how often awaitEmpty checks the number of connections.
	emptyCheckInterval = 20 * time.Millisecond
)

// Resize sets the maximum number of connections, and the maximum when all of them have a request.
func (l *Listener) Resize(maxConns, maxActive int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns = maxConns
	l.maxActive = maxActive
}

// UpdateLimits sets the same limits as Resize, to the values that decide returns. decide gets the number of open
// connections and whether more are accepted; neither changes before the limits are set.
func (l *Listener) UpdateLimits(decide func(open int, accepting bool) (maxConns, maxActive int)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns, l.maxActive = decide(l.open, !l.stopped)
}

// Released returns a channel that receives a value after connections have ended. One value may stand for several
// connections.
func (l *Listener) Released() <-chan struct{} { return l.released }

// notifyReleased sends a value to the Released channel, unless one is pending.
func (l *Listener) notifyReleased() {
	select {
	case l.released <- struct{}{}:
	default:
	}
}

// count returns the number of open connections, and how many of them have no request.
func (l *Listener) count() (open, idle int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, l.idle.Len()
}

// awaitEmpty waits until all connections have ended or the context is done.
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

// admit adds a connection. At the limit it closes another one in its place, or returns false if none may be closed. It waits
// while maxEvicted connections are ending.
func (l *Listener) admit(c *clientConn) bool {
	l.mu.Lock()
	l.endedConn.L = &l.mu
	for l.maxEvicted > 0 && l.evicted >= l.maxEvicted && !l.aborted.Load() {
		l.endedConn.Wait()
	}
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
		l.evicted++
	}
	l.open++
	l.pushIdle(c)
	l.mu.Unlock()
	if victim != nil {
		victim.closeNow()
	}
	return true
}

// pushIdle appends a connection to the idle list. The caller holds the mutex.
func (l *Listener) pushIdle(c *clientConn) {
	c.element = l.idle.PushBack(c)
	c.idleSince = time.Now()
}

// removeFromList removes a connection from the list that it is in. The caller holds the mutex.
func (l *Listener) removeFromList(c *clientConn) {
	if c.element != nil {
		l.idle.Remove(c.element) // a list ignores the elements of another
		l.closing.Remove(c.element)
		c.element = nil
	}
}

// remove removes a connection from the count and its list. The caller holds the mutex.
func (l *Listener) remove(c *clientConn) {
	if c.removed {
		return
	}
	c.removed = true
	l.open--
	l.removeFromList(c)
	l.notifyReleased()
}

// markEnded records that a connection is closing, so that it is evicted before all others. The caller holds the mutex.
func (l *Listener) markEnded(c *clientConn) {
	if !c.ended && !c.removed {
		c.ended = true
		l.removeFromList(c)
		c.element = l.closing.PushBack(c)
	}
}

// endConn ends a connection: from then on nothing is read from it and no request starts on it. It reports whether the
// connection should close immediately, because it is idle or the agent is ending.
func (l *Listener) endConn(c *clientConn) (immediately bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markEnded(c)
	return !c.reading || l.aborted.Load()
}

// abort makes connections close without waiting for their clients, because the agent is ending.
func (l *Listener) abort() {
	l.aborted.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endedConn.Broadcast()
}

// readConn atomically reads from a connection and records that it has a request; it reports whether the request begins
// with these bytes. A connection that was chosen to close is not read any more: the client of a request that was read
// but not answered cannot know whether it ran, whereas the kernel resets the connection of a request that was not read,
// and the client sends it again.
func (l *Listener) readConn(c *clientConn, fd int, p []byte) (n int, begins bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.ended || c.removed {
		return 0, false, io.EOF
	}
	n, err = readRequestBytes(&c.requests, fd, p)
	if err != nil {
		return 0, false, err
	}
	begins = !c.reading
	c.pipelined = c.reading && c.element == nil
	c.reading = true
	return n, begins, nil
}

// beginRequest records that a complete request has arrived on a connection, which then stays open until the request is
// answered. It returns false if the connection was ended before. Such a request must not be sent, because it cannot be
// answered.
func (l *Listener) beginRequest(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.removed || c.ended {
		return false
	}
	l.removeFromList(c)
	return true
}

// uploadComplete records that the bytes read after the start of a request were its body, not a pipelined request.
func (l *Listener) uploadComplete(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.pipelined = false
}

// requestAnswered records that a connection stays open only to discard what its client still sends, so it may be
// evicted.
func (l *Listener) requestAnswered(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.element == nil && !c.removed && !c.ended {
		l.pushIdle(c)
	}
}

// connState implements http.Server.ConnState.
func (l *Listener) connState(conn net.Conn, state http.ConnState) {
	c := conn.(*clientConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateIdle:
		l.connIdle(c)
	case http.StateClosed:
		c.account.Pause()
		if c.removed {
			l.evicted--
			l.endedConn.Broadcast()
		}
		l.remove(c)
		c.releaseParsing()
		if c.reading && c.requests.HeadIncomplete() {
			l.metrics.HeadIncomplete()
		}
	}
}

// connIdle records that a connection waits for its next request, whose first bytes may have arrived with the last
// request. The caller holds the mutex.
func (l *Listener) connIdle(c *clientConn) {
	c.idleSince = time.Now()
	c.reading = c.pipelined
	c.pipelined = false
	if c.reading {
		c.startInstant.Store(int64(clock.InstantOf(c.idleSince)))
	}
	c.reused = true
	c.releaseParsing()
	if c.element != nil {
		l.idle.MoveToBack(c.element)
	} else if !c.removed {
		c.element = l.idle.PushBack(c)
	}
}

// closeIdle closes the connections that have been without a complete request since the given time or longer. It closes
// those that are sending a request only if includeReading is set.
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
		go func() { // ends after lingerTimeout at the latest
			_ = c.Close() // the client sees the close
		}()
	}
}
