package agent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/stream"
)

// After each failed outcome in the protocol's table, a keyed request is retried, and an unsafe one only if it cannot
// have run.
func TestAttemptOutcomes(t *testing.T) {
	rejected := "HTTP/1.1 %d No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
	for _, row := range []struct {
		name       string
		text       string
		closes     bool
		mayHaveRun bool
	}{
		{"error", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", false, true},
		{"rejected with 503", fmt.Sprintf(rejected, 503), false, false},
		{"rejected with 504", fmt.Sprintf(rejected, 504), false, false},
		{"503 without X-Rejected", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false, true},
		{"reset", "", true, true},
		{"truncated response", "HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\nhalf", true, true},
		{"shorter than Content-Length, connection open", "HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\nhalf", false, true},
		{"partial head, connection open", "HTTP/1.1 200 OK\r\nContent-", false, true},
		{"oversized Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhalf", false, true},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nhalf", false, true},
		{"bad chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhalf", false, true},
		{"another protocol", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n" + agenttest.OKResponse, false, true},
		{"not HTTP", "SSH-2.0-x\r\n\r\n", true, true},
		{"endless header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 200<<10), true, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			script := func(n int, _ *http.Request) (string, bool) {
				if n == 0 {
					return row.text, row.closes
				}
				return agenttest.OKResponse, false
			}
			for _, class := range []string{"keyed", "unsafe"} {
				// The retry goes to the second server, which serves all requests.
				first := agenttest.NewServer(t, script)
				second := agenttest.NewServer(t, agenttest.Serve)
				a := startWith(t, agenttest.Settings, first, second)
				for len(first.Requests) == 0 { // until the balancer picks the first server
					status, body := a.do(t, a.request(class, "15000m"))
					retried := class == "keyed" || !row.mayHaveRun
					switch {
					case len(first.Requests) == 0 && status == 200:
						<-second.Requests
					case retried && (status != 200 || body != "served"):
						t.Errorf("%s: got %d %q, want 200 with the second server's body", class, status, body)
					case !retried && status != protocol.StatusFailed:
						t.Errorf("%s: got status %d, want %d", class, status, protocol.StatusFailed)
					case retried && len(first.Requests)+len(second.Requests) != 2, !retried && len(first.Requests)+len(second.Requests) != 1:
						t.Errorf("%s: got %d attempts, want a retry: %v", class, len(first.Requests)+len(second.Requests), retried)
					}
				}
			}
		})
	}
}

// A good response is served whatever bytes precede or follow it. Its connection is not reused, since the bytes after it
// would be read as the response to the next request.
func TestBytesAroundResponse(t *testing.T) {
	for what, text := range map[string]string{
		"copy after it":   agenttest.OKResponse + strings.Replace(agenttest.OKResponse, "served", "again!", 1),
		"noise after it":  agenttest.OKResponse + "\x00\x01\r\n\r\n",
		"hints before it": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + agenttest.OKResponse,
		"bad load report": strings.Replace(agenttest.OKResponse, "Content-Type", "X-Load-Report: outstanding=-Inf,=,\r\nContent-Type", 1),
	} {
		a := startWith(t, agenttest.Settings, agenttest.NewServer(t, func(int, *http.Request) (string, bool) { return text, false }))
		for range 3 {
			if status, body := a.do(t, a.request("unsafe", "15000m")); status != 200 || body != "served" {
				t.Errorf("%s: got %d %q, want 200 %q", what, status, body, "served")
			}
		}
	}
}

// A keyed request that may have run is not retried at a server outside its deduplication scope.
func TestRetryStaysInDedupCell(t *testing.T) {
	breaks := func(int, *http.Request) (string, bool) { return "", true }
	x, y := agenttest.NewServer(t, breaks), agenttest.NewServer(t, breaks)
	a := startWith(t, agenttest.Settings, x, y)
	a.do(t, a.request("celled", "15000m"))
	if len(x.Requests) > 0 && len(y.Requests) > 0 {
		t.Error("got attempts in both cells, want them in one")
	}
}

func TestConnectFailed(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	closedServer := &agenttest.Server{Addr: closed.Addr().String()}
	a := startWith(t, agenttest.Settings, closedServer)
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != protocol.StatusRejected {
		t.Errorf("got status %d, want %d, since the request never ran", status, protocol.StatusRejected)
	}
}

func TestTimeout(t *testing.T) {
	b := agenttest.NewServer(t, func(int, *http.Request) (string, bool) { return "", false })
	a := startWith(t, agenttest.Settings, b)
	status, _ := a.do(t, a.request("unsafe", "150m"))
	if status != protocol.StatusFailed {
		t.Errorf("got status %d, want %d, since the request may have run", status, protocol.StatusFailed)
	}
	agenttest.Receive(t, "close of the connection", b.Closed)
	if len(b.Requests) != 1 {
		t.Errorf("got %d attempts, want 1", len(b.Requests))
	}
}

// A truncated response is never forwarded as complete, whatever its framing and wherever it breaks off: a short one
// becomes a failure, and the client can tell that a long one is incomplete.
func TestTruncatedResponses(t *testing.T) {
	long := string(agenttest.Pattern(stream.MaxBufferedBytes + 1000))
	for name, text := range map[string]string{
		"no length":             "HTTP/1.1 200 OK\r\n\r\nhalf",
		"no length and nothing": "HTTP/1.1 200 OK\r\n\r\n",
		"a length":              "HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\nhalf",
		"no last chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"no end of chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
		"long, no length":       "HTTP/1.1 200 OK\r\n\r\n" + long,
		"long, a length":        "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + long,
		"long, no last chunk":   fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(long), long),
	} {
		for _, end := range []string{"reset", "end"} {
			if end == "end" && strings.Contains(name, "no length") {
				continue // the end of the connection completes such a response
			}
			t.Run(name+", "+end, func(t *testing.T) {
				a := startStreaming(t, func(w http.ResponseWriter, _ *http.Request) {
					c, _, err := w.(http.Hijacker).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					if end == "reset" {
						c.(*net.TCPConn).SetLinger(0)
					}
					io.WriteString(c, text)
					c.Close()
				})
				resp, err := a.client.Do(a.request("unsafe", "15000m"))
				if err != nil {
					return // closed before any byte was forwarded
				}
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				if resp.StatusCode == http.StatusOK && err == nil {
					t.Errorf("got a complete response of %d bytes, want an error", len(body))
				}
			})
		}
	}
}
