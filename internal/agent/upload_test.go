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
// before. It once got the answer after 10 s, because the budget began only when the server had taken the last byte.
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

// A client that takes longer to send a long body than its budget is served: the budget counts from its last byte.
func TestSlowClientOutlastsItsBudget(t *testing.T) {
	const budget, pause, parts = 800 * time.Millisecond, 1200 * time.Millisecond, 3
	text := strings.Repeat("x", 2*stream.MaxBufferedBytes)
	for _, framing := range agenttest.Framings(parts * len(text)) {
		t.Run(framing.Name, func(t *testing.T) {
			t.Parallel()
			a := startStreaming(t, func(w http.ResponseWriter, r *http.Request) {
				n, err := io.Copy(io.Discard, r.Body)
				fmt.Fprintf(w, "%d bytes, error %v", n, err)
			})
			client := a.dial(t)
			io.WriteString(client, a.uploadHead(budget, framing))
			for range parts {
				io.WriteString(client, framing.Part(text))
				time.Sleep(pause)
			}
			io.WriteString(client, framing.End)
			resp, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil {
				t.Fatal(err)
			}
			want := fmt.Sprintf("%d bytes, error <nil>", parts*len(text))
			if body, err := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK || string(body) != want || err != nil {
				t.Errorf("got %d %q, error %v, want 200 %q", resp.StatusCode, body, err, want)
			}
		})
	}
}

// A request whose long body is still arriving when the agent is about to be killed is answered as failed, and its server
// gets nothing more of the body, whether or not the settings allow the agent to cancel attempts. A server once ran such
// a request without the parts of its body that the agent had discarded.
func TestShutdownEndsLongBodies(t *testing.T) {
	const partBytes, laterParts = 2 << 10, 100
	first, later := strings.Repeat("f", stream.MaxBufferedBytes+1), strings.Repeat("l", partBytes)
	shortDeadlines := strings.ReplaceAll(agenttest.Settings, `"aim":20000,"deadline":30000`, `"aim":1000,"deadline":1000`)
	for _, cancel := range []string{"true", "false"} {
		settings := strings.Replace(shortDeadlines, `"cancel":true`, `"cancel":`+cancel, 1)
		for _, framing := range agenttest.Framings(len(first) + laterParts*partBytes) {
			t.Run("cancel "+cancel+"/"+framing.Name, func(t *testing.T) {
				t.Parallel()
				heads, bodies := make(chan string, 1), make(chan receivedBody, 1)
				a := start(t, streamingConfig(t, settings, func(_ http.ResponseWriter, r *http.Request) {
					heads <- r.URL.Path
					text, err := io.ReadAll(r.Body)
					bodies <- receivedBody{string(text), err}
				}))
				client := a.dial(t)
				io.WriteString(client, a.uploadHead(15*time.Second, framing)+framing.Part(first))
				agenttest.Receive(t, "head of the request", heads)
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
				got := agenttest.Receive(t, "end of the body", bodies)
				if n := strings.Count(got.text, "l"); n > 0 || got.err == nil {
					t.Errorf("after its client was answered, the server received %d bytes, error %v; want none and an error", n, got.err)
				}
			})
		}
	}
}

// receivedBody is what a server received of a request's body, and the error with which the body ended.
type receivedBody struct {
	text string
	err  error
}
