package agent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/stream"
)

// acceptPending accepts the pending and all later connections of a listener whose accept queue was full.
func acceptPending(t *testing.T, fd int, handler http.Handler) {
	t.Helper()
	dup, err := syscall.Dup(fd) // FullListener closes the original when the test ends
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(dup), "listener")
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: handler}
	t.Cleanup(func() { s.Close() })
	go s.Serve(l)
}

// closeClient closes a client connection in one of the closeModes.
func closeClient(t *testing.T, c net.Conn, mode string) {
	t.Helper()
	switch mode {
	case "half":
		c.(*net.TCPConn).CloseWrite()
		return
	case "reset":
		c.(*net.TCPConn).SetLinger(0)
	case "after bytes":
		io.WriteString(c, "GET /up HT")
	case "after many bytes":
		io.WriteString(c, strings.Repeat("GET /up HTTP/1.1\r\nHost: x\r\n\r\n", 1000))
	}
	c.Close()
}

var closeModes = []string{"close", "half", "reset", "after bytes", "after many bytes"}

// A request is not sent if its client closes the connection while the request waits for a server connection. This holds
// for every way of closing and whether or not attempts may be cancelled. The server connection then carries the next
// request.
func TestNoAttemptForClosedClient(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		for _, mode := range closeModes {
			for _, size := range []int{10, stream.MaxBufferedBytes + 1000} {
				t.Run(fmt.Sprintf("%s/cancel %v/%d bytes", mode, cancel, size), func(t *testing.T) {
					t.Parallel()
					addr, fd := agenttest.FullListener(t)
					got := make(chan *http.Request, 100)
					settings := strings.NewReplacer(`"cancel":true`, fmt.Sprintf(`"cancel":%v`, cancel),
						`"connectTimeout":2000`, `"connectTimeout":20000`).Replace(agenttest.Settings)
					l := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("x", addr, "Ready", 0)))
					a := start(t, agenttest.Config(t, l.Listener.Addr().String(), settings))
					c := a.dial(t)
					req := a.request("unsafe", "15000m")
					req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", size))), int64(size)
					if err := req.Write(c); err != nil {
						t.Fatal(err)
					}
					closeClient(t, c, mode)
					acceptPending(t, fd, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						io.Copy(io.Discard, r.Body)
						got <- r
						io.WriteString(w, "served")
					}))
					next := a.request("unsafe", "15000m")
					if status, _ := a.do(t, next); status != http.StatusOK {
						t.Errorf("connected client: got status %d, want 200", status)
					}
					want := next.Header.Get(protocol.HeaderRequestID)
					if id := agenttest.Receive(t, "request", got).Header.Get(protocol.HeaderRequestID); id != want || len(got) > 0 {
						t.Errorf("server got %s and %d more requests, want only %s", id, len(got), want)
					}
				})
			}
		}
	}
}

// A failed attempt is not retried if the client has closed its connection.
func TestNoRetryForClosedClient(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		for _, mode := range closeModes {
			t.Run(fmt.Sprintf("%s/cancel %v", mode, cancel), func(t *testing.T) {
				t.Parallel()
				clients, failed := make(chan net.Conn, 1), make(chan struct{}, 1)
				fails := func(_ int, r *http.Request) (string, bool) {
					if strings.HasPrefix(r.URL.Path, "/safe") {
						closeClient(t, <-clients, mode)
						failed <- struct{}{}
						return "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", false
					}
					return agenttest.OKResponse, false
				}
				x, y := agenttest.NewServer(t, fails), agenttest.NewServer(t, fails)
				a := startWith(t, strings.Replace(agenttest.Settings, `"cancel":true`, fmt.Sprintf(`"cancel":%v`, cancel), 1), x, y)
				c := a.dial(t)
				if err := a.request("safe", "15000m").Write(c); err != nil {
					t.Fatal(err)
				}
				clients <- c
				agenttest.Receive(t, "attempt", failed)
				// The loop handles the failure before the last of these requests ends.
				for range 20 {
					if status, _ := a.do(t, a.request("unsafe", "15000m")); status != http.StatusOK {
						t.Errorf("connected client: got status %d, want 200", status)
					}
				}
				attempts := 0
				for _, b := range []*agenttest.Server{x, y} {
					for range len(b.Requests) {
						if r := <-b.Requests; strings.HasPrefix(r.URL.Path, "/safe") {
							attempts++
						}
					}
				}
				if attempts != 1 {
					t.Errorf("got %d attempts, want 1", attempts)
				}
			})
		}
	}
}
