package agent

import (
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/metrics"
)

// A request on its way to a backend that begins to leave before anything was sent goes on to another at once, whatever its
// class and however few attempts are allowed.
func TestLeavingWhileConnecting(t *testing.T) {
	x, y := agenttest.DeafAddr(t), agenttest.NewServer(t, agenttest.Serve)
	set := strings.NewReplacer(`"maxAttempts":3`, `"maxAttempts":1`, `"extraFloor":100`, `"extraFloor":0`,
		`"connectTimeout":2000`, `"connectTimeout":20000`).Replace(agenttest.Settings)
	l := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("x", x, "Ready", 0)))
	a := start(t, agenttest.Config(t, l.Listener.Addr().String(), set))
	agenttest.Receive(t, "first call", l.Calls)
	for i, class := range []string{"unsafe", "keyed", "safe"} {
		answered := make(chan int, 1)
		go func() {
			status, _ := a.do(t, a.request(class, "15000m"))
			answered <- status
		}()
		time.Sleep(200 * time.Millisecond) // it waits for the connection
		agenttest.Receive(t, "watch", l.Calls)
		begun := time.Now()
		l.Next <- agenttest.List(2+2*i, true, agenttest.Member("x", x, "Terminating", 0), agenttest.Member("y", y.Addr, "Ready", 0))
		if status := agenttest.Receive(t, "answer", answered); status != 200 || time.Since(begun) > 5*time.Second {
			t.Errorf("%s: answered %d after %v", class, status, time.Since(begun))
		}
		agenttest.Receive(t, "request", y.Requests)
		agenttest.Receive(t, "watch", l.Calls)
		l.Next <- agenttest.List(3+2*i, true, agenttest.Member("x", x, "Ready", 0)) // it stays after all
	}
}

// Nothing is written to a backend that has begun to leave, on no kind of connection, and its idle ones stay.
func TestNothingNewToLeaving(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.Serve)
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	for _, idle := range []bool{false, true} {
		p := newPool(&cfg.Settings, 4, &metrics.Metrics{})
		to := p.target(b.Addr, 0)
		m := newMessage("GET", "/", "x", nil, nil, nil)
		if idle {
			if r := exchangeBy(p, t.Context(), to, &m, time.Time{}); r.outcome != balancer.OutcomeOK {
				t.Fatalf("outcome %d", r.outcome)
			}
			<-b.Requests
		}
		tries := p.metrics.AttemptsSent()
		to.leave()
		if r := exchangeBy(p, t.Context(), to, &m, time.Time{}); r.outcome != balancer.OutcomeServerDraining {
			t.Errorf("idle connection %v: outcome %d", idle, r.outcome)
		}
		if len(b.Requests) > 0 || p.metrics.AttemptsSent() != tries || p.open != len(to.idle) {
			t.Errorf("idle connection %v: %d sent, %d tries counted, %d connections open and %d idle", idle, len(b.Requests), p.metrics.AttemptsSent(), p.open, len(to.idle))
		}
	}
}
