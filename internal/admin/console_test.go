package admin

import (
	"io"
	"net"
	"testing"
	"time"
)

// ask sends a line to a console and returns all of the answer.
func ask(t *testing.T, addr, line string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * commandTimeout))
	io.WriteString(conn, line)
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(answer)
}

// Callers that say nothing, and a loop and an admission that are at their limits, keep no other caller waiting.
func TestConsoleAnswersAtOnce(t *testing.T) {
	calls := map[string]Command{"check": func(io.Writer) error { return nil }}
	c, err := Listen(t.Context(), "127.0.0.1:0", calls)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go c.Serve()
	addr := c.listener.Addr().String()
	for range 3 * maxConns {
		silent, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer silent.Close()
	}
	begun := time.Now()
	if got := ask(t, addr, "check\n"); got != "ok\n" || time.Since(begun) > commandTimeout/2 {
		t.Errorf("answered %q after %v", got, time.Since(begun))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.conns) > maxConns {
		t.Errorf("%d callers are held", len(c.conns))
	}
}
