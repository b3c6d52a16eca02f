package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/inbound"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/stream"
)

// A client that half-closes its connection counts as gone and must not get a response.
func TestHalfCloseIsNotServed(t *testing.T) {
	b := agenttest.NewServer(t, func(int, *http.Request) (string, bool) { return "", false })
	a := startWith(t, agenttest.Settings, b)
	c, err := net.Dial("tcp", strings.TrimPrefix(a.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := a.request("unsafe", "15000m").Write(c); err != nil {
		t.Fatal(err)
	}
	agenttest.Receive(t, "request", b.Requests)
	c.(*net.TCPConn).CloseWrite()
	c.SetReadDeadline(time.Now().Add(agenttest.Timeout))
	if text, _ := io.ReadAll(c); len(text) > 0 {
		t.Errorf("got %q, want no response", text)
	}
}

func TestBadRequests(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.Serve)
	a := startWith(t, agenttest.Settings, b)
	for what, change := range map[string]func(*http.Request){
		"class":    func(r *http.Request) { r.Header.Set(protocol.HeaderClass, "nobody") },
		"path":     func(r *http.Request) { r.URL.Path = "/safe/1"; r.URL.RawPath = "" },
		"tenant":   func(r *http.Request) { r.Header.Set(protocol.HeaderTenant, "nobody") },
		"budget":   func(r *http.Request) { r.Header.Set(protocol.HeaderBudget, "480") },
		"NaN":      func(r *http.Request) { r.Header.Set(protocol.HeaderBudget, "NaNm") },
		"infinite": func(r *http.Request) { r.Header.Set(protocol.HeaderBudget, "Infm") },
		"negative": func(r *http.Request) { r.Header.Set(protocol.HeaderBudget, "-3m") },
		"id":       func(r *http.Request) { r.Header.Del(protocol.HeaderRequestID) },
		"long id": func(r *http.Request) {
			r.Header.Set(protocol.HeaderRequestID, strings.Repeat("x", inbound.MaxRequestIDBytes+1))
		},
		"key":    func(r *http.Request) { r.Header.Del(protocol.HeaderIdempotencyKey) },
		"method": func(r *http.Request) { r.Method = http.MethodPut },
		"body": func(r *http.Request) {
			r.Body = io.NopCloser(io.LimitReader(zeros{}, stream.MaxBytes+1))
			r.ContentLength = stream.MaxBytes + 1
		},
	} {
		req := a.request("keyed", "15000m")
		change(req)
		if status, _ := a.do(t, req); status < 400 || status >= 500 {
			t.Errorf("%s: got status %d, want 4xx", what, status)
		}
	}
	if len(b.Requests) > 0 {
		t.Errorf("%d requests were forwarded, want none", len(b.Requests))
	}
}

// Guards against net/http answering OPTIONS * with status 200 by itself, without a server and without the checks of a
// request. In a drain it also left the connection open.
func TestOptionsForNoPathIsBadRequest(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.Serve)
	a := startWith(t, agenttest.Settings, b)
	for name, headers := range map[string]http.Header{"bare": {}, "like a request": a.request("safe", "15000m").Header} {
		c, err := net.Dial("tcp", strings.TrimPrefix(a.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		var text strings.Builder
		text.WriteString("OPTIONS * HTTP/1.1\r\nHost: x\r\n")
		_ = headers.Write(&text) // writes to a strings.Builder never fail
		text.WriteString("\r\n")
		if _, err := io.WriteString(c, text.String()); err != nil {
			t.Fatal(err)
		}
		c.SetReadDeadline(time.Now().Add(agenttest.Timeout))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode/100 != 4 || !resp.Close {
			t.Errorf("%s: got status %d, connection closes %v, want 4xx and a close", name, resp.StatusCode, resp.Close)
		}
	}
	if len(b.Requests) > 0 {
		t.Errorf("%d requests were forwarded, want none", len(b.Requests))
	}
}

func TestRejectionHasRetryAfter(t *testing.T) {
	l := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("x", "127.0.0.1:1", "Terminating", 0)))
	a := start(t, agenttest.Config(t, l.Listener.Addr().String(), agenttest.Settings))
	resp, err := a.client.Do(a.request("unsafe", "15000m"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	after, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
	if resp.StatusCode != protocol.StatusRejected || err != nil || after <= 0 {
		t.Errorf("got status %s with Retry-After %q, want %d with a positive one", resp.Status, resp.Header.Get("Retry-After"), protocol.StatusRejected)
	}
}

// The budget passed to the server is shorter than the client's by a margin, so that the response is due before the
// client times out.
func TestForwardedBudgetIsReduced(t *testing.T) {
	b := agenttest.NewServer(t, func(int, *http.Request) (string, bool) { return "", false })
	a := startWith(t, agenttest.Settings, b)
	started := time.Now()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	req := a.request("unsafe", "20000m").WithContext(ctx)
	go func() {
		if resp, err := a.client.Do(req); err == nil { // the server never responds
			resp.Body.Close()
		}
	}()
	sent := agenttest.Receive(t, "request", b.Requests)
	remaining, err := protocol.ParseBudget(sent.Header.Get(protocol.HeaderBudget))
	if latest := 20*time.Second - inbound.MaxResponseMargin; err != nil || remaining > latest || remaining < latest-time.Since(started) {
		t.Errorf("got a forwarded budget of %v, error %v, want at most %v", remaining, err, latest)
	}
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}
