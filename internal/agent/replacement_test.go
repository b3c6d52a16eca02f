package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/config"
	"example.org/ryeloft/internal/protocol"
)

// process is one of several that run one agent.
type process struct {
	console string
	stop    context.CancelFunc
	ended   chan error
}

// startProcess starts one and waits until it says yes.
func startProcess(t *testing.T, cfg config.Config) *process {
	t.Helper()
	cfg.AdminAddr = freeAddr(t)
	ctx, stop := context.WithCancel(context.Background())
	p := &process{console: cfg.AdminAddr, stop: stop, ended: make(chan error, 1)}
	t.Cleanup(stop)
	go func() { p.ended <- Run(ctx, &cfg, nil, agenttest.DiscardLogger) }()
	for begun := time.Now(); time.Since(begun) < agenttest.Timeout; time.Sleep(time.Millisecond) {
		if c, err := net.Dial("tcp", p.console); err == nil {
			c.Close()
			if consoleCall(t, p.console, "check\n") == "ok\n" {
				return p
			}
		}
	}
	t.Fatal("the process does not come up")
	return nil
}

// Processes replace each other under load: what was taken is answered, connections are let in, and each process that
// goes ends well, long before it would be killed.
func TestReplacement(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	b := agenttest.NewServer(t, agenttest.Serve)
	l := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("x", b.Addr, "Ready", 0)))
	go func() {
		for range b.Requests { // nobody looks
		}
	}()
	cfg := agenttest.Config(t, l.Listener.Addr().String(), agenttest.Settings)
	cfg.Listen = freeAddr(t)
	now := startProcess(t, *cfg)

	var asked, failed atomic.Int64
	clients, over := context.WithCancel(context.Background())
	defer over()
	var all sync.WaitGroup
	for i := range 4 {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: agenttest.Timeout}
			defer client.CloseIdleConnections()
			for n := 0; clients.Err() == nil; n++ {
				req, _ := http.NewRequest("GET", "http://"+cfg.Listen+"/safe/1", nil)
				req.Header = http.Header{protocol.HeaderRequestID: {fmt.Sprintf("%d-%d", i, n)}, protocol.HeaderClass: {"safe"},
					protocol.HeaderTenant: {"acme"}, protocol.HeaderBudget: {"15000m"}}
				asked.Add(1)
				resp, err := client.Do(req)
				if err != nil || resp.StatusCode != 200 {
					failed.Add(1)
					t.Logf("request %d-%d: %v, error %v", i, n, resp, err)
				}
				if err == nil {
					resp.Body.Close()
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	for range 2 {
		next := startProcess(t, *cfg)
		now.stop()
		begun := time.Now()
		if err := agenttest.Receive(t, "end of the process that is replaced", now.ended); err != nil || time.Since(begun) > maxKillDeadline {
			t.Errorf("ended after %v with %v", time.Since(begun), err)
		}
		now = next
		if got := consoleCall(t, now.console, "check\n"); got != "ok\n" {
			t.Errorf("the next is asked: %q", got)
		}
	}
	for asked.Load() < 50 { // however quickly they came up
		time.Sleep(time.Millisecond)
	}
	over()
	all.Wait()
	// The kernel resets a connection that is just coming up as its listener closes: one a replacement at most, where
	// the queue of a listener that simply closes holds many.
	if failed.Load() > 2 {
		t.Errorf("%d of %d requests failed", failed.Load(), asked.Load())
	}
}
