package agent

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/protocol"
)

// A request with the id of a request that is in flight, or has just ended, is rejected with 409. The first one is
// served.
func TestRequestIDsAreUsedOnce(t *testing.T) {
	proceed := make(chan struct{})
	b := agenttest.NewServer(t, func(int, *http.Request) (string, bool) {
		<-proceed
		return agenttest.OKResponse, false
	})
	a := startWith(t, agenttest.Settings, b)
	first := make(chan int, 1)
	go func() {
		status, _ := a.do(t, a.request("unsafe", "15000m"))
		first <- status
	}()
	id := agenttest.Receive(t, "request", b.Requests).Header.Get(protocol.HeaderRequestID)
	again := func() int {
		req := a.request("unsafe", "15000m")
		req.Header.Set(protocol.HeaderRequestID, id)
		status, _ := a.do(t, req)
		return status
	}
	if status := again(); status != http.StatusConflict {
		t.Errorf("while the first is in flight: got status %d, want 409", status)
	}
	close(proceed)
	if status := agenttest.Receive(t, "response", first); status != 200 {
		t.Errorf("first: got status %d, want 200", status)
	}
	if status := again(); status != http.StatusConflict {
		t.Errorf("after the first has ended: got status %d, want 409", status)
	}
	if n := len(b.Requests); n > 0 {
		t.Errorf("%d more requests were forwarded, want none", n)
	}
}

// When a client closes its connection, its attempts are cancelled, which closes their server connections.
func TestClientClosesConnection(t *testing.T) {
	returned := make(chan struct{})
	b := agenttest.NewServer(t, func(int, *http.Request) (string, bool) { return "", false })
	a := startWith(t, agenttest.Settings, b)
	ctx, closeConn := context.WithCancel(context.Background())
	go func() {
		defer close(returned)
		if resp, err := a.client.Do(a.request("unsafe", "15000m").WithContext(ctx)); err == nil {
			resp.Body.Close()
			t.Errorf("got status %s, want an error", resp.Status)
		}
	}()
	agenttest.Receive(t, "request", b.Requests)
	closeConn()
	agenttest.Receive(t, "end of the client's call", returned)
	agenttest.Receive(t, "close of the connection", b.Closed)
}

// reportLog receives a value when the agent logs that it has got two load reports.
type reportLog chan struct{}

func (l reportLog) Write(line []byte) (int, error) {
	_, count, found := strings.Cut(string(line), "load_reports=")
	if reports, err := strconv.Atoi(strings.TrimSpace(count)); found && err == nil && reports >= 2 {
		select {
		case l <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Rejections by a server whose load reports show little load do not count as overload: while they last, requests go to
// the other servers and none is shed.
func TestRejectionsShedNothing(t *testing.T) {
	t.Parallel()
	const initial, extra = 16, 5
	isHealthCheck := func(req *http.Request) bool { return req.URL.Path == protocol.PathLoad }
	report := "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\noutstanding=1,recent_ms=50"
	reject, serve := make(chan struct{}), make(chan struct{})
	x := agenttest.NewServer(t, func(_ int, req *http.Request) (string, bool) {
		if isHealthCheck(req) {
			return report, false
		}
		<-reject
		return "HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", false
	})
	y := agenttest.NewServer(t, func(_ int, req *http.Request) (string, bool) {
		if isHealthCheck(req) {
			return report, false
		}
		<-serve
		return agenttest.OKResponse, false
	})
	// With a tick of 5 s, one health check of each server is enough for the whole test.
	l := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("x", x.Addr, "Ready", 0), agenttest.Member("y", y.Addr, "Ready", 1)))
	reported := make(reportLog, 1)
	a := launchWithLog(t, agenttest.Config(t, l.Listener.Addr().String(), strings.NewReplacer(`"off"`, `"on_probe"`, `"tick":5`, `"tick":5000`,
		`"maxAttempts":3`, `"maxAttempts":20,"probes":true`).Replace(agenttest.Settings)), slog.New(slog.NewTextHandler(reported, nil)))
	a.awaitReady(t)
	statuses := make(chan int, initial+extra)
	send := func() {
		status, _ := a.do(t, a.request("unsafe", "15000m"))
		statuses <- status
	}
	for range initial {
		go send()
	}
	atX, atY := 0, 0
	for atX+atY < initial {
		select {
		case req := <-x.Requests:
			if !isHealthCheck(req) {
				atX++
			}
		case req := <-y.Requests:
			if !isHealthCheck(req) {
				atY++
			}
		case <-time.After(agenttest.Timeout):
			t.Fatalf("got %d and %d requests, want %d in total", atX, atY, initial)
		}
	}
	// A rejection by a server whose load is not known yet counts as overload, so the reports must have reached the balancer.
	agenttest.Receive(t, "load reports of both servers", reported)
	close(reject)
	awaitAtY := func(n int) {
		for atY < n {
			select {
			case status := <-statuses:
				t.Fatalf("got status %d after %d rejections, with %d requests at the other server", status, atX, atY)
			case req := <-y.Requests:
				if !isHealthCheck(req) {
					atY++
				}
			case <-time.After(agenttest.Timeout):
				t.Fatalf("got %d requests at the other server, want %d", atY, n)
			}
		}
	}
	awaitAtY(initial) // including the rejected requests
	for range extra {
		go send()
	}
	awaitAtY(initial + extra)
	close(serve)
	for range initial + extra {
		if status := agenttest.Receive(t, "response", statuses); status != http.StatusOK {
			t.Errorf("got status %d after %d rejections, want 200", status, atX)
		}
	}
}
