package agent

import (
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
)

// A request that waits for a connection to a server that starts to drain is sent to another server without delay,
// whatever its class and even if only one attempt is allowed.
func TestServerDrainsWhileConnecting(t *testing.T) {
	x, y := agenttest.UnresponsiveAddr(t), agenttest.NewServer(t, agenttest.Serve)
	settings := strings.NewReplacer(`"maxAttempts":3`, `"maxAttempts":1`, `"extraFloor":100`, `"extraFloor":0`,
		`"connectTimeout":2000`, `"connectTimeout":20000`).Replace(agenttest.Settings)
	l := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("x", x, "Ready", 0)))
	a := start(t, agenttest.Config(t, l.Listener.Addr().String(), settings))
	agenttest.Receive(t, "first call", l.Calls)
	for i, class := range []string{"unsafe", "keyed", "safe"} {
		answered := make(chan int, 1)
		go func() {
			status, _ := a.do(t, a.request(class, "15000m"))
			answered <- status
		}()
		time.Sleep(200 * time.Millisecond) // until the request waits for the connection
		agenttest.Receive(t, "watch", l.Calls)
		started := time.Now()
		l.Next <- agenttest.List(2+2*i, true, agenttest.Member("x", x, "Terminating", 0), agenttest.Member("y", y.Addr, "Ready", 0))
		if status := agenttest.Receive(t, "response", answered); status != 200 || time.Since(started) > 5*time.Second {
			t.Errorf("%s: got status %d after %v, want 200 within 5s", class, status, time.Since(started))
		}
		agenttest.Receive(t, "request", y.Requests)
		agenttest.Receive(t, "watch", l.Calls)
		l.Next <- agenttest.List(3+2*i, true, agenttest.Member("x", x, "Ready", 0)) // x no longer drains
	}
}
