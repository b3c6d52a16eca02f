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
)

// uploadHead returns the head of a request of the unsafe class with the given framing header.
func (r *testAgent) uploadHead(budget time.Duration, framing string) string {
	return fmt.Sprintf("POST /unsafe/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: call-%d\r\nX-Call-Class: unsafe\r\nX-Caller: acme\r\n"+
		"X-Budget: %dm\r\n%s\r\n\r\n", r.requestCount.Add(1), budget.Milliseconds(), framing)
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
	for name, framing := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d", bodyBytes), "chunks": "Transfer-Encoding: chunked",
	} {
		t.Run(name, func(t *testing.T) {
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
			text := a.uploadHead(budget, framing)
			body := strings.Repeat("x", bodyBytes)
			if name == "chunks" {
				body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", bodyBytes, body)
			}
			if _, err := io.WriteString(client, text+body); err != nil {
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
