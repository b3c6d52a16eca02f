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

// completeRequest makes a whole request of the unsafe class as it is sent.
func (r *testAgent) completeRequest(t *testing.T, headers string) string {
	t.Helper()
	return fmt.Sprintf("POST /unsafe/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: call-%d\r\nX-Call-Class: unsafe\r\nX-Caller: acme\r\n"+
		"X-Budget: 15000m\r\n%sContent-Length: 4\r\n\r\nbody", r.requestCount.Add(1), headers)
}

// idleConn opens a connection that has had an answer and now rests.
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
		t.Fatalf("answered %s: %v", resp.Status, err)
	}
	return c, br
}

// When the agent is told to end, it ends the connections that rest. One on which a request has begun does not rest: the
// request is served, and its connection ends behind the answer.
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
		t.Fatalf("the resting connection ends with %v", err)
	}
	io.WriteString(partial, text[half:])
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK || string(body) != "served" || !resp.Close || err != nil {
		t.Errorf("answered %s %q, closing %v: %v", resp.Status, body, resp.Close, err)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("the connection ends with %v", err)
	}
	if err := agenttest.Receive(t, "end", a.ended); err != nil || len(b.Requests) != 1 {
		t.Errorf("ended with %v, %d requests came", err, len(b.Requests))
	}
}

// Whatever ends a connection, and whatever its client sends meanwhile, the client gets its last answer whole and then an
// orderly end, no reset.
func TestCompleteResponseBeforeClose(t *testing.T) {
	pipelined := strings.Repeat("GET /up HTTP/1.1\r\nHost: x\r\n\r\n", 3000) + "GET /up HT"
	for name, c := range map[string]struct {
		closes  func(*testAgent) // while the request is under way; nil: its answer does
		headers string
		status  int
	}{
		"told to end":    {func(a *testAgent) { a.stop() }, "", 200},
		"client's wish":  {nil, "Connection: close\r\n", 200},
		"a bad request":  {nil, "X-Caller: acme\r\n", 400},
		"no more budget": {nil, "X-Budget: 1m\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proceed := make(chan struct{})
			b := agenttest.NewServer(t, func(int, *http.Request) (string, bool) {
				<-proceed
				return agenttest.OKAnswer, false
			})
			a := startWith(t, agenttest.Settings, b)
			conn := a.dial(t)
			io.WriteString(conn, a.completeRequest(t, c.headers)+pipelined)
			if c.status == http.StatusOK {
				agenttest.Receive(t, "request", b.Requests)
			}
			if c.closes != nil {
				c.closes(a)
				for up := http.StatusOK; up == http.StatusOK; { // until the agent knows
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
				t.Errorf("answered %s %q: %v", resp.Status, body, err)
			}
			if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("the connection ends with %v", err)
			}
		})
	}
}
