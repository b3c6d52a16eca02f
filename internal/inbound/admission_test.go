package inbound

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/metrics"
)

// Between a request that was read and the end of its resting connection one step decides, whichever comes first: what
// is ended first is never sent, and what is taken first is answered before its connection ends.
func TestRequestStartsOrConnectionCloses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	a := &Listener{tcp: listener.(*net.TCPListener), metrics: &metrics.Metrics{}, maxConns: 2, maxActive: 2}
	accept := func() (*clientConn, net.Conn) {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(agenttest.Timeout))
		conn, err := a.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return conn.(*clientConn), c
	}
	idle, _ := accept()
	busy, _ := accept()
	if !a.beginRequest(busy) {
		t.Error("not taken")
	}
	a.closeIdle(time.Now(), true)
	if a.beginRequest(idle) {
		t.Error("taken after the end")
	}
	if busy.ended {
		t.Error("ended under a request")
	}
	// A connection that only waits for its client's end is evicted for a newcomer.
	_, client := accept()
	if open, _ := a.count(); open != 2 || a.closing.Len() != 0 {
		t.Errorf("%d open, %d of them ended", open, a.closing.Len())
	}
	client.Close()
}

// Of the clients without a request those that are sending one are evicted last.
func TestSendingClientsAreEvictedLast(t *testing.T) {
	a := &Listener{metrics: &metrics.Metrics{}, maxConns: 2, maxActive: 3}
	conn := func(reading bool) *clientConn {
		c := &clientConn{TCPConn: &net.TCPConn{}}
		c.reading = reading
		return c
	}
	sending, idle := conn(true), conn(false)
	a.admit(sending)
	a.admit(idle)
	idle.idleSince = idle.idleSince.Add(-newConnGrace)
	if third := conn(true); !a.admit(third) || sending.removed || !idle.removed {
		t.Errorf("sending closed: %v, idle closed: %v", sending.removed, idle.removed)
	}
	if !a.admit(conn(true)) || sending.removed || a.open != 3 {
		t.Errorf("with room for one more that is busy: sending closed: %v, %d open", sending.removed, a.open)
	}
	if !a.admit(conn(true)) || !sending.removed || a.open != 3 {
		t.Errorf("with no room: sending closed: %v, %d open", sending.removed, a.open)
	}
}

// What was evicted is not sent on, though its request has been read meanwhile.
func TestNoRequestAfterEviction(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	a := &Listener{tcp: listener.(*net.TCPListener), metrics: &metrics.Metrics{}, maxConns: 1}
	accept := func() *clientConn {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		conn, err := a.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return conn.(*clientConn)
	}
	x := accept()
	y := accept()
	if a.beginRequest(x) || !a.beginRequest(y) {
		t.Error("the connection that was idle longest has not made room for the newcomer")
	}
	if z := (&clientConn{}); a.admit(z) {
		t.Error("a connection with an open request was evicted")
	}
	a.maxActive = 2 // where all have a request there is room for some more
	z := &clientConn{TCPConn: y.TCPConn}
	if !a.admit(z) || !a.beginRequest(z) || a.admit(&clientConn{}) {
		t.Errorf("%d connections are open where two may be busy", a.open)
	}
	a.connState(z, http.StateClosed)
	a.connState(x, http.StateClosed)
	a.connState(y, http.StateIdle)
	a.connState(y, http.StateClosed)
	if a.open != 0 || a.idle.Len() != 0 {
		t.Errorf("%d open and %d idle are counted", a.open, a.idle.Len())
	}
}

// A connection that has had an answer a moment ago, on which the next request may be there already, is not evicted.
// Once one was chosen to, nothing of it is read: its client sees a reset, by which it knows that its request did not
// run.
func TestEvictionBetweenRequests(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	a := &Listener{tcp: listener.(*net.TCPListener), metrics: &metrics.Metrics{}, maxConns: 1, maxActive: 2}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(agenttest.Timeout))
		return c
	}
	const partialRequest = "GET /up HTTP/1.1\r\n"
	client := dial()
	conn, err := a.Accept()
	if err != nil {
		t.Fatal(err)
	}
	used := conn.(*clientConn)
	a.connState(used, http.StateIdle) // it has had an answer
	io.WriteString(client, partialRequest)
	if other := (&clientConn{reading: true}); !a.admit(other) || used.removed {
		t.Error("a connection was evicted right after its answer, with room for one more")
	}
	used.idleSince = used.idleSince.Add(-IdleGrace)
	newcomer := dial()
	if _, err := a.Accept(); err != nil || !used.removed {
		t.Fatalf("no eviction of a connection that rested for %v: %v", IdleGrace, err)
	}
	if n, err := used.Read(make([]byte, 100)); n > 0 || err == nil {
		t.Errorf("%d bytes were read behind the end: %v", n, err)
	}
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the client whose request crossed the end sees %v", err)
	}
	// The same where a connection is ended without being in anybody's way.
	client = newcomer
	idle := a.idle.Back().Value.(*clientConn)
	a.connState(idle, http.StateIdle)
	io.WriteString(client, partialRequest)
	a.mu.Lock()
	a.markEnded(idle)
	a.mu.Unlock()
	if n, err := idle.Read(make([]byte, 100)); n > 0 || err != io.EOF { //nolint:errorlint // net/http compares it so
		t.Errorf("%d bytes were read behind the end: %v", n, err)
	}
	idle.Close()
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the client whose request crossed the end sees %v", err)
	}
}

// A process that is replaced takes what waits in its listener's queue a few at a time, as the queue may hold more than
// it has descriptors, leaves none behind, and closes the listener behind the last.
func TestAcceptQueueIsDrainedBeforeClose(t *testing.T) {
	const queued = 5*finalAcceptBatch + 3
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &Listener{tcp: l.(*net.TCPListener), metrics: &metrics.Metrics{}, released: make(chan struct{}, 1), maxConns: queued, maxActive: queued}
	for range queued {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	a.finishAccepting()
	for i := range queued {
		c, err := a.nextConn()
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		defer c.Close()
		if len(a.queued) >= finalAcceptBatch {
			t.Fatalf("%d more are taken at once", len(a.queued))
		}
	}
	if _, err := a.nextConn(); !errors.Is(err, net.ErrClosed) || !a.stopped {
		t.Errorf("behind the last: %v, shut %v", err, a.stopped)
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is open")
	}
}

// The limits are changed in one step with the look at what is open, and whoever passes on what becomes free is told of
// each connection that ends.
func TestLimitsFollowOpenConnections(t *testing.T) {
	a := &Listener{metrics: &metrics.Metrics{}, released: make(chan struct{}, 1), maxConns: 2, maxActive: 2}
	active := func() *clientConn { return &clientConn{reading: true} }
	first := active()
	if !a.admit(first) || !a.beginRequest(first) {
		t.Fatal("not admitted")
	}
	a.UpdateLimits(func(open int, accepting bool) (maxConns, maxActive int) {
		if open != 1 || !accepting {
			t.Errorf("%d open, accepting %v", open, accepting)
		}
		return 1, 1
	})
	if a.admit(active()) {
		t.Error("admitted beyond the new limit")
	}
	if len(a.Released()) != 0 {
		t.Error("told of a connection that has not ended")
	}
	a.connState(first, http.StateClosed)
	if len(a.Released()) != 1 {
		t.Error("not told of a connection that has ended")
	}
	a.Resize(2, 3)
	a.mu.Lock()
	a.stopped = true
	a.mu.Unlock()
	a.UpdateLimits(func(open int, accepting bool) (maxConns, maxActive int) {
		if open != 0 || accepting || a.maxConns != 2 || a.maxActive != 3 {
			t.Errorf("%d open, accepting %v, limits %d and %d", open, accepting, a.maxConns, a.maxActive)
		}
		return 0, 0
	})
}
