package agent

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/metrics"
)

// dial opens a client's connection to an agent.
func (r *running) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(agenttest.Timeout))
	return c
}

// talk writes what a client sends as it is, and returns all that comes back until the agent closes.
func (r *running) talk(t *testing.T, text string) string {
	t.Helper()
	c := r.dial(t)
	go io.WriteString(c, text)
	got, err := io.ReadAll(c)
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Errorf("the connection stays open after %.60q", text)
	}
	return string(got)
}

// Clients that keep connections without a request do not shut out others, and a request that is open is not
// disturbed by them.
func TestSilentClientsMakeRoom(t *testing.T) {
	goOn := make(chan struct{})
	b := agenttest.NewServer(t, func(int, *http.Request) (string, bool) {
		<-goOn
		return agenttest.OKAnswer, false
	})
	a := agentFor(t, agenttest.Settings, b)
	first := make(chan int, 1)
	go func() {
		status, _ := a.do(t, a.request("unsafe", "15000m"))
		first <- status
	}()
	agenttest.Receive(t, "request", b.Requests)
	silent := make([]net.Conn, 1024)
	for i := range silent {
		silent[i] = a.dial(t)
	}
	silent[0].Read(make([]byte, 1)) // returns when it has been closed to make room
	second := make(chan int, 1)
	go func() {
		resp, err := (&http.Client{Transport: &http.Transport{}}).Do(a.request("unsafe", "15000m"))
		if err != nil {
			t.Error(err)
			second <- 0
			return
		}
		resp.Body.Close()
		second <- resp.StatusCode
	}()
	agenttest.Receive(t, "request of a newcomer", b.Requests)
	close(goOn)
	for _, answered := range []chan int{first, second} {
		if status := agenttest.Receive(t, "answer", answered); status != 200 {
			t.Errorf("answered %d", status)
		}
	}
}

// An application that keeps each connection that it has used once, and holds a third of the sockets at most, gets one for its
// next request as soon as the terms let the agent close one.
func TestKeptConnectionsLeaveSome(t *testing.T) {
	a := agentFor(t, agenttest.Settings, agenttest.NewServer(t, agenttest.Serve))
	held := make(chan struct{}, 1024/3)
	for i := range 1024/3 + 1 {
		select {
		case held <- struct{}{}:
		case <-time.After(idleTimeout + time.Second):
			t.Fatalf("no connection left for request %d", i)
		}
		c := a.dial(t)
		io.WriteString(c, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		go func() {
			io.Copy(io.Discard, c) // until the agent closes it
			<-held
		}()
	}
}

// What has been closed to make room is not sent on, though its request has been read meanwhile.
func TestTakeAfterMakingRoom(t *testing.T) {
	listener, err := listen(t.Context(), "127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	a := &Listener{TCPListener: listener, metrics: &metrics.Metrics{}, maxConns: 1}
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
	if a.takeRequest(x) || !a.takeRequest(y) {
		t.Error("the longest silent has not made room for the newcomer")
	}
	if z := (&clientConn{}); a.admit(z) {
		t.Error("a connection with an open request made room")
	}
	a.maxActive = 2 // where all have a request there is room for some more
	z := &clientConn{TCPConn: y.TCPConn}
	if !a.admit(z) || !a.takeRequest(z) || a.admit(&clientConn{}) {
		t.Errorf("%d connections are open where two may be busy", a.open)
	}
	a.connState(z, http.StateClosed)
	a.connState(x, http.StateClosed)
	a.connState(y, http.StateIdle)
	a.connState(y, http.StateClosed)
	if a.open != 0 || a.idle.Len() != 0 {
		t.Errorf("%d open and %d silent are counted", a.open, a.idle.Len())
	}
}

// A connection that has had an answer a moment ago, on which the next request may be there already, does not make room. Once
// one was chosen to, nothing of it is read: its client sees a reset, by which it knows that its request did not run.
func TestRoomIsMadeBetweenRequests(t *testing.T) {
	listener, err := listen(t.Context(), "127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	a := &Listener{TCPListener: listener, metrics: &metrics.Metrics{}, maxConns: 1, maxActive: 2}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(agenttest.Timeout))
		return c
	}
	const crossing = "GET /up HTTP/1.1\r\n"
	client := dial()
	conn, err := a.Accept()
	if err != nil {
		t.Fatal(err)
	}
	used := conn.(*clientConn)
	a.connState(used, http.StateIdle) // it has had an answer
	io.WriteString(client, crossing)
	if other := (&clientConn{reading: true}); !a.admit(other) || used.removed {
		t.Error("a connection made room right behind its answer, with room for one more")
	}
	used.idleSince = used.idleSince.Add(-idleGrace)
	newcomer := dial()
	if _, err := a.Accept(); err != nil || !used.removed {
		t.Fatalf("no room by a connection that rested for %v: %v", idleGrace, err)
	}
	if n, err := used.Read(make([]byte, 100)); n > 0 || err == nil {
		t.Errorf("%d bytes were read behind the end: %v", n, err)
	}
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the client whose request crossed the end sees %v", err)
	}
	// The same where a connection is ended without being in anybody's way.
	client = newcomer
	resting := a.idle.Back().Value.(*clientConn)
	a.connState(resting, http.StateIdle)
	io.WriteString(client, crossing)
	a.mu.Lock()
	a.markEnded(resting)
	a.mu.Unlock()
	if n, err := resting.Read(make([]byte, 100)); n > 0 || err != io.EOF {
		t.Errorf("%d bytes were read behind the end: %v", n, err)
	}
	resting.Close()
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the client whose request crossed the end sees %v", err)
	}
}

// Clients that say nothing, or never end what they say, are closed; so are those with nothing more to say.
func TestSlowClientsAreClosed(t *testing.T) {
	a := agentFor(t, agenttest.Settings, agenttest.NewServer(t, agenttest.Serve))
	whole := "POST /unsafe/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: c\r\nX-Call-Class: unsafe\r\nX-Caller: acme\r\nX-Budget: 9000m\r\n"
	for what, c := range map[string]struct{ text, answer string }{
		"silence":     {"", ""},
		"half a head": {"POST /unsafe/1 HT", "HTTP/1.1 400 "},
		"half a body": {whole + "Content-Length: 10\r\n\r\nhalf", "HTTP/1.1 408 "},
		"idle":        {whole + "Content-Length: 4\r\n\r\nbody", "HTTP/1.1 200 "},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			if got := a.talk(t, c.text); !strings.HasPrefix(got, c.answer) || c.answer == "" && got != "" {
				t.Errorf("answered %q", got)
			}
		})
	}
}

// A body that says where it ends in two ways can hide a second request, and headers that stand there twice mean
// two things: neither goes on to a backend.
func TestAmbiguousRequests(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.Serve)
	a := agentFor(t, agenttest.Settings, b)
	head := func(extra string) string {
		return "POST /unsafe/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: c\r\nX-Call-Class: unsafe\r\nX-Caller: acme\r\nX-Budget: 9000m\r\n" + extra + "\r\n"
	}
	hidden := head("Content-Length: 0\r\n")
	for what, c := range map[string]struct {
		text   string
		status int
	}{
		"both framings":     {head(fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", 5+len(hidden))) + "0\r\n\r\n" + hidden, 400},
		"hidden behind /up": {"GET /up HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, 400},
		"length last":       {head("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n") + "0\r\n\r\n" + hidden, 400},
		"chunks in 1.0":     {strings.Replace(head("Transfer-Encoding: chunked\r\n"), "1.1", "1.0", 1) + "0\r\n\r\n" + hidden, 400},
		"behind a request":  {"GET /up HTTP/1.1\r\nHost: x\r\n\r\n" + head("Transfer-Encoding: chunked\r\n") + "0\r\n\r\n", 200},
		"bad chunk size":    {head("Transfer-Encoding: chunked\r\n") + "zz\r\nbody\r\n0\r\n\r\n" + hidden, 408},
		"chunk too short":   {head("Transfer-Encoding: chunked\r\n") + "2\r\nbody\r\n0\r\n\r\n" + hidden, 408},
		"other coding":      {head("Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n" + hidden, 501},
		"two ids":           {head("X-Call-Id: d\r\nContent-Length: 0\r\n") + hidden, 400},
		"two budgets":       {head("X-Budget: 3m\r\nContent-Length: 0\r\n") + hidden, 400},
		"id for a hop":      {head("Connection: x-call-id\r\nContent-Length: 0\r\n") + hidden, 400},
		"large body":        {head("Content-Length: 60000000\r\n"), 413},
		"negative body":     {head("Content-Length: -1\r\n") + hidden, 400},
		"huge body":         {head("Content-Length: 99999999999999999999\r\n") + hidden, 400},
		"endless head":      {"POST /unsafe/1 HTTP/1.1\r\nX: " + strings.Repeat("x", 1<<20), 431},
		"unreadable":        {"\x00\x01\x02\r\n\r\n" + hidden, 400},
	} {
		got := a.talk(t, c.text)
		if !strings.Contains(got[:min(len(got), 13)], fmt.Sprintf(" %d ", c.status)) || strings.Count(got, "HTTP/1.1 200") > 1 {
			t.Errorf("%s: answered %q", what, got)
		}
	}
	if n := len(b.Requests); n != 0 {
		t.Errorf("%d requests went on", n)
	}
}

// A process that is replaced takes what waits in its listener's queue a few at a time, as the queue may hold more than it has
// descriptors, leaves none behind, and closes the listener behind the last.
func TestLastOfTheQueue(t *testing.T) {
	const queued = 5*lastAcceptBatch + 3
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &Listener{TCPListener: l.(*net.TCPListener), metrics: &metrics.Metrics{}, released: make(chan struct{}, 1), maxConns: queued, maxActive: queued}
	for range queued {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	a.FinishQueue()
	for i := range queued {
		c, err := a.nextConn()
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		defer c.Close()
		if len(a.queued) >= lastAcceptBatch {
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

// The limits are changed in one step with the look at what is open, and whoever passes on what becomes free is told of each
// connection that ends.
func TestLimitsFollowOpenConnections(t *testing.T) {
	a := &Listener{metrics: &metrics.Metrics{}, released: make(chan struct{}, 1), maxConns: 2, maxActive: 2}
	active := func() *clientConn { return &clientConn{reading: true} }
	first := active()
	if !a.admit(first) || !a.takeRequest(first) {
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
