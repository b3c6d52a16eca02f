package agent

import (
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
)

// An idle connection that the server has closed is not reused: the request would end in a reset, after which an unsafe
// request cannot be retried.
func TestStaleConnection(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.Serve)
	a := startWith(t, agenttest.Settings, b)
	for i := range 3 {
		status, _ := a.do(t, a.request("unsafe", "15000m"))
		if status != 200 {
			t.Fatalf("request %d: got status %d, want 200", i, status)
		}
		agenttest.Receive(t, "connection", b.Accepted).Close()
	}
}

func TestConnectionsAreReused(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.Serve)
	a := startWith(t, agenttest.Settings, b)
	for range 5 {
		a.do(t, a.request("unsafe", "15000m"))
		time.Sleep(100 * time.Millisecond) // a connection is not reused right after a response
	}
	if n := len(b.Accepted); n != 1 {
		t.Errorf("got %d connections for sequential requests, want 1", n)
	}
}
