package agent

import (
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

// A client that closes its own side only has gone as well, and must not be told that it was served.
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
		t.Errorf("answered %q", text)
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
			t.Errorf("%s: answered %d", what, status)
		}
	}
	if len(b.Requests) > 0 {
		t.Errorf("%d reached the server", len(b.Requests))
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
		t.Errorf("answered %s with Retry-After %q", resp.Status, resp.Header.Get("Retry-After"))
	}
}

// What a request is owed is owed before its client gives up.
func TestAnswersAreDueBeforeTheClientGivesUp(t *testing.T) {
	b := agenttest.NewServer(t, func(int, *http.Request) (string, bool) { return "", false })
	a := startWith(t, agenttest.Settings, b)
	begun := time.Now()
	ctx, gone := context.WithCancel(t.Context())
	defer gone()
	req := a.request("unsafe", "20000m").WithContext(ctx)
	go func() {
		if resp, err := a.client.Do(req); err == nil { // the server never answers
			resp.Body.Close()
		}
	}()
	sent := agenttest.Receive(t, "request", b.Requests)
	left, err := protocol.ParseBudget(sent.Header.Get(protocol.HeaderBudget))
	if latest := 20*time.Second - inbound.MaxResponseMargin; err != nil || left > latest || left < latest-time.Since(begun) {
		t.Errorf("passed on with a budget of %v, want at most %v: %v", left, latest, err)
	}
}

// zeros is a reader without an end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}
