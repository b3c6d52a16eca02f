package agent

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/protocol"
)

// Requests that are still open shortly before the process would be killed are answered as failed.
func TestOpenRequestsFailBeforeKill(t *testing.T) {
	b := agenttest.NewServer(t, func(int, *http.Request) (string, bool) { return "", false })
	a := startWith(t, strings.ReplaceAll(agenttest.Settings, `"aim":20000,"deadline":30000`, `"aim":1000,"deadline":1000`), b)
	answered := make(chan int, 1)
	go func() {
		status, _ := a.do(t, a.request("unsafe", "15000m"))
		answered <- status
	}()
	agenttest.Receive(t, "request", b.Requests)
	started := time.Now()
	a.stop()
	if status := agenttest.Receive(t, "response", answered); status != protocol.StatusFailed || time.Since(started) > time.Second+killMargin {
		t.Errorf("got status %d after %v, want %d within %v", status, time.Since(started), protocol.StatusFailed, time.Second+killMargin)
	}
	if err := agenttest.Receive(t, "end", a.ended); err != nil {
		t.Error(err)
	}
}
