package agent

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/protocol"
)

// completeRequest returns the text of a complete request of the unsafe class with additional headers.
func (r *testAgent) completeRequest(t *testing.T, headers string) string {
	t.Helper()
	return fmt.Sprintf("POST /unsafe/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: call-%d\r\nX-Call-Class: unsafe\r\nX-Caller: acme\r\n"+
		"X-Budget: 15000m\r\n%sContent-Length: 4\r\n\r\nbody", r.requestCount.Add(1), headers)
}

// idleConn opens a connection that is idle after a first response.
func (r *testAgent) idleConn(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c := r.dial(t)
	br := bufio.NewReader(c)
	io.WriteString(c, r.completeRequest(t, ""))
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got status %s, error %v, want 200", resp.Status, err)
	}
	return c, br
}

// A graceful shutdown closes idle connections. A connection on which part of a request has arrived is not idle: the
// request is served, and the connection is closed after the response.
func TestPartialRequestDuringShutdown(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.Serve)
	a := startWith(t, agenttest.Settings, b)
	_, idle := a.idleConn(t)
	partial, br := a.idleConn(t)
	text := a.completeRequest(t, "")
	half := len(text) / 2
	io.WriteString(partial, text[:half])
	for len(b.Requests) > 0 {
		<-b.Requests
	}
	a.stop()
	if _, err := idle.ReadByte(); err != io.EOF {
		t.Fatalf("idle connection: got error %v, want EOF", err)
	}
	io.WriteString(partial, text[half:])
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatalf("got no response: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK || string(body) != "served" || !resp.Close || err != nil {
		t.Errorf("got %s %q, close %v, error %v, want 200 with close", resp.Status, body, resp.Close, err)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("after the response: got error %v, want EOF", err)
	}
	if err := agenttest.Receive(t, "end", a.ended); err != nil || len(b.Requests) != 1 {
		t.Errorf("agent returned %v after %d requests, want no error after 1", err, len(b.Requests))
	}
}

// Whatever causes the agent to close a connection, and whatever the client has pipelined, the client receives its last
// response completely and then EOF, not a reset.
func TestCompleteResponseBeforeClose(t *testing.T) {
	pipelined := strings.Repeat("GET /up HTTP/1.1\r\nHost: x\r\n\r\n", 3000) + "GET /up HT"
	for name, c := range map[string]struct {
		shutDown func(*testAgent) // called while the request is in flight; nil: the response closes the connection
		headers  string
		status   int
	}{
		"shutdown":            {func(a *testAgent) { a.stop() }, "", 200},
		"requested by client": {nil, "Connection: close\r\n", 200},
		"bad request":         {nil, "X-Caller: acme\r\n", 400},
		"budget spent":        {nil, "X-Budget: 1m\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proceed := make(chan struct{})
			b := agenttest.NewServer(t, func(int, *http.Request) (string, bool) {
				<-proceed
				return agenttest.OKResponse, false
			})
			a := startWith(t, agenttest.Settings, b)
			conn := a.dial(t)
			io.WriteString(conn, a.completeRequest(t, c.headers)+pipelined)
			if c.status == http.StatusOK {
				agenttest.Receive(t, "request", b.Requests)
			}
			if c.shutDown != nil {
				c.shutDown(a)
				for up := http.StatusOK; up == http.StatusOK; { // until the shutdown has started
					resp, err := a.client.Get(a.url + protocol.PathReady)
					if err != nil {
						t.Fatal(err)
					}
					resp.Body.Close()
					up = resp.StatusCode
				}
			}
			close(proceed)
			br := bufio.NewReader(conn)
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if resp.StatusCode != c.status || err != nil {
				t.Errorf("got %s %q, error %v, want status %d", resp.Status, body, err, c.status)
			}
			if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("after the response: got error %v, want EOF", err)
			}
		})
	}
}
