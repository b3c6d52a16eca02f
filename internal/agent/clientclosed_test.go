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

// acceptWaiting has a listener that was full take its connections, old and new.
func acceptWaiting(t *testing.T, fd int, handler http.Handler) {
	t.Helper()
	own, err := syscall.Dup(fd) // the other one ends with the test
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(own), "listener")
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: handler}
	t.Cleanup(func() { s.Close() })
	go s.Serve(l)
}

// closeClient ends a client's connection in one of the ways that there are.
func closeClient(t *testing.T, c net.Conn, how string) {
	t.Helper()
	switch how {
	case "half":
		c.(*net.TCPConn).CloseWrite()
		return
	case "reset":
		c.(*net.TCPConn).SetLinger(0)
	case "behind bytes":
		io.WriteString(c, "GET /up HT")
	case "behind many bytes":
		io.WriteString(c, strings.Repeat("GET /up HTTP/1.1\r\nHost: x\r\n\r\n", 1000))
	}
	c.Close()
}

var waysToClose = []string{"close", "half", "reset", "behind bytes", "behind many bytes"}

// Nothing is begun for a client that has gone, however it went, and whether or not the settings allow cancelling: what
// waits for a connection then is not sent when that is up, and the connection carries the next one's request.
func TestNoAttemptForClosedClient(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		for _, how := range waysToClose {
			for _, size := range []int{10, stream.MaxBufferedBytes + 1000} {
				t.Run(fmt.Sprintf("%s/cancel %v/%d bytes", how, cancel, size), func(t *testing.T) {
					t.Parallel()
					addr, fd := agenttest.FullListener(t)
					got := make(chan *http.Request, 100)
					set := strings.NewReplacer(`"cancel":true`, fmt.Sprintf(`"cancel":%v`, cancel),
						`"connectTimeout":2000`, `"connectTimeout":20000`).Replace(agenttest.Settings)
					l := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("x", addr, "Ready", 0)))
					a := start(t, agenttest.Config(t, l.Listener.Addr().String(), set))
					c := a.dial(t)
					req := a.request("unsafe", "15000m")
					req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", size))), int64(size)
					if err := req.Write(c); err != nil {
						t.Fatal(err)
					}
					closeClient(t, c, how)
					acceptWaiting(t, fd, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						io.Copy(io.Discard, r.Body)
						got <- r
						io.WriteString(w, "served")
					}))
					next := a.request("unsafe", "15000m")
					if status, _ := a.do(t, next); status != http.StatusOK {
						t.Errorf("a client that stays is answered %d", status)
					}
					want := next.Header.Get(protocol.HeaderRequestID)
					if id := agenttest.Receive(t, "request", got).Header.Get(protocol.HeaderRequestID); id != want || len(got) > 0 {
						t.Errorf("%s and %d more came, want %s", id, len(got), want)
					}
				})
			}
		}
	}
}

// A failed attempt of a client that has gone is followed by no other.
func TestNoRetryForClosedClient(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		for _, how := range waysToClose {
			t.Run(fmt.Sprintf("%s/cancel %v", how, cancel), func(t *testing.T) {
				t.Parallel()
				clients, failed := make(chan net.Conn, 1), make(chan struct{}, 1)
				fails := func(_ int, r *http.Request) (string, bool) {
					if strings.HasPrefix(r.URL.Path, "/safe") {
						closeClient(t, <-clients, how)
						failed <- struct{}{}
						return "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", false
					}
					return agenttest.OKAnswer, false
				}
				x, y := agenttest.NewServer(t, fails), agenttest.NewServer(t, fails)
				a := startWith(t, strings.Replace(agenttest.Settings, `"cancel":true`, fmt.Sprintf(`"cancel":%v`, cancel), 1), x, y)
				c := a.dial(t)
				if err := a.request("safe", "15000m").Write(c); err != nil {
					t.Fatal(err)
				}
				clients <- c
				agenttest.Receive(t, "attempt", failed)
				// The loop has heard of the failure before this one's end.
				for range 20 {
					if status, _ := a.do(t, a.request("unsafe", "15000m")); status != http.StatusOK {
						t.Errorf("a client that stays is answered %d", status)
					}
				}
				tries := 0
				for _, b := range []*agenttest.Server{x, y} {
					for range len(b.Requests) {
						if r := <-b.Requests; strings.HasPrefix(r.URL.Path, "/safe") {
							tries++
						}
					}
				}
				if tries != 1 {
					t.Errorf("sent %d times", tries)
				}
			})
		}
	}
}
