package agent

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/protocol"
)

// What is still open when the process is about to be killed is answered as failed.
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
	if status := agenttest.Receive(t, "answer", answered); status != protocol.StatusFailed || time.Since(started) > time.Second+killMargin {
		t.Errorf("answered %d after %v", status, time.Since(started))
	}
	if err := agenttest.Receive(t, "end", a.ended); err != nil {
		t.Error(err)
	}
}
