package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/stream"
)

// uploadHead returns the head of a request of the unsafe class with the given framing header.
func (r *testAgent) uploadHead(budget time.Duration, framing agenttest.Framing) string {
	return fmt.Sprintf("POST /unsafe/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: call-%d\r\nX-Call-Class: unsafe\r\nX-Caller: acme\r\n"+
		"X-Budget: %dm\r\n%s\r\n\r\n", r.requestCount.Add(1), budget.Milliseconds(), framing.Header)
}

// listenWithReadBuffer returns a listener whose connections have a receive buffer of the given size.
func listenWithReadBuffer(t *testing.T, bytes int) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// A client that has written the last byte of a long body gets its answer in time even if the server stops reading
// before. Once it got the answer after 10 s, because the budget began only when the server had taken the last byte.
func TestLongBodyToHungServerIsAnsweredInTime(t *testing.T) {
	const bodyBytes, budget, lateness = 4 << 20, 1500 * time.Millisecond, 500 * time.Millisecond
	for _, framing := range agenttest.Framings(bodyBytes) {
		t.Run(framing.Name, func(t *testing.T) {
			t.Parallel()
			l := listenWithReadBuffer(t, 4<<10)
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					t.Cleanup(func() { conn.Close() })
					_, _ = http.ReadRequest(bufio.NewReader(conn)) // and nothing more
				}
			}()
			d := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("s", l.Addr().String(), "Ready", 0)))
			a := start(t, agenttest.Config(t, d.Listener.Addr().String(), agenttest.Settings))
			client := a.dial(t)
			body := framing.Part(strings.Repeat("x", bodyBytes)) + framing.End
			if _, err := io.WriteString(client, a.uploadHead(budget, framing)+body); err != nil {
				t.Fatalf("the client could not write its last byte: %v", err)
			}
			lastByte := time.Now()
			resp, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil {
				t.Fatal(err)
			}
			if took := time.Since(lastByte); resp.StatusCode != protocol.StatusRejected || took > budget+lateness {
				t.Errorf("got %d %v after the last byte, want %d within %v", resp.StatusCode, took, protocol.StatusRejected, budget+lateness)
			}
			if resp.Header.Get("Retry-After") == "" {
				t.Error("got no Retry-After")
			}
		})
	}
}

// A request whose long body is still arriving when the agent is about to be killed is answered as failed, and its server
// never gets the end of the body, whether or not the settings allow the agent to cancel attempts. Once the server ran
// such a request without the parts of its body that the agent had discarded.
func TestShutdownEndsLongBodies(t *testing.T) {
	const partBytes, laterParts = 2 << 10, 100
	first, later := strings.Repeat("f", stream.MaxBufferedBytes+1), strings.Repeat("l", partBytes)
	shortDeadlines := strings.ReplaceAll(agenttest.Settings, `"aim":20000,"deadline":30000`, `"aim":1000,"deadline":1000`)
	for _, cancel := range []string{"true", "false"} {
		for _, framing := range agenttest.Framings(len(first) + laterParts*partBytes) {
			t.Run(fmt.Sprintf("cancel %s/%s", cancel, framing.Name), func(t *testing.T) {
				t.Parallel()
				server := serveBodies(t)
				d := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("s", server.addr, "Ready", 0)))
				settings := strings.Replace(shortDeadlines, `"cancel":true`, `"cancel":`+cancel, 1)
				a := start(t, agenttest.Config(t, d.Listener.Addr().String(), settings))
				client := a.dial(t)
				io.WriteString(client, a.uploadHead(15*time.Second, framing)+framing.Part(first))
				agenttest.Receive(t, "head of the request", server.heads)
				a.stop()
				resp, err := http.ReadResponse(bufio.NewReader(client), nil)
				if err != nil || resp.StatusCode != protocol.StatusFailed {
					t.Fatalf("got response %v, error %v, want status %d", resp, err, protocol.StatusFailed)
				}
				for range laterParts {
					io.WriteString(client, framing.Part(later)) // fails once the agent has ended
				}
				io.WriteString(client, framing.End)
				client.Close()
				if err := agenttest.Receive(t, "end of the body", server.bodies); err == nil {
					t.Error("the server received a complete request whose client was answered before")
				}
			})
		}
	}
}

// bodyServer reads requests and answers none.
type bodyServer struct {
	addr   string
	heads  chan string // the path of each request
	bodies chan error  // the error with which the body of each request ends, or nil if it is complete
}

// serveBodies starts a bodyServer, which reads one connection after the other.
func serveBodies(t *testing.T) *bodyServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &bodyServer{addr: l.Addr().String(), heads: make(chan string, 1), bodies: make(chan error, 1)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				continue
			}
			s.heads <- r.URL.Path
			_, err = io.Copy(io.Discard, r.Body)
			s.bodies <- err
		}
	}()
	return s
}
