package admin

import (
	"io"
	"net"
	"testing"
	"time"
)

// consoleCall sends a line to a console and returns the complete reply.
func consoleCall(t *testing.T, addr, line string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * commandTimeout))
	io.WriteString(conn, line)
	reply, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(reply)
}

// Connections that send nothing fill the console's connection limit. They must not delay the reply to another caller.
func TestIdleConnectionsDoNotDelayReplies(t *testing.T) {
	commands := map[string]Command{"check": func(io.Writer) error { return nil }}
	c, err := Listen(t.Context(), "127.0.0.1:0", commands, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go c.Serve()
	addr := c.listener.Addr().String()
	for range 3 * maxConns {
		idle, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer idle.Close()
	}
	started := time.Now()
	if got := consoleCall(t, addr, "check\n"); got != "ok\n" || time.Since(started) > commandTimeout/2 {
		t.Errorf("got %q after %v, want ok within %v", got, time.Since(started), commandTimeout/2)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.conns) > maxConns {
		t.Errorf("got %d open connections, want at most %d", len(c.conns), maxConns)
	}
}
