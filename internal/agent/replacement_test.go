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

// process is one of several processes of one agent.
type process struct {
	console string
	stop    context.CancelFunc
	ended   chan error
}

// startProcess starts a process and waits until its console reports that it is ready.
func startProcess(t *testing.T, cfg config.Config) *process {
	t.Helper()
	cfg.AdminAddr = freeAddr(t)
	ctx, stop := context.WithCancel(context.Background())
	p := &process{console: cfg.AdminAddr, stop: stop, ended: make(chan error, 1)}
	t.Cleanup(stop)
	go func() { p.ended <- Run(ctx, &cfg, nil, agenttest.DiscardLogger) }()
	for started := time.Now(); time.Since(started) < agenttest.Timeout; time.Sleep(time.Millisecond) {
		if c, err := net.Dial("tcp", p.console); err == nil {
			c.Close()
			if consoleCall(t, p.console, "check\n") == "ok\n" {
				return p
			}
		}
	}
	t.Fatalf("the process is not ready after %v", agenttest.Timeout)
	return nil
}

// Processes replace each other under load. Requests are answered, new connections are accepted, and each replaced
// process returns without an error long before it would be killed.
func TestReplacement(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	b := agenttest.NewServer(t, agenttest.Serve)
	l := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("x", b.Addr, "Ready", 0)))
	go func() {
		for range b.Requests { // keep the channel from filling up
		}
	}()
	cfg := agenttest.Config(t, l.Listener.Addr().String(), agenttest.Settings)
	cfg.Listen = freeAddr(t)
	current := startProcess(t, *cfg)

	var requests, failed atomic.Int64
	clientCtx, stopClients := context.WithCancel(context.Background())
	defer stopClients()
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: agenttest.Timeout}
			defer client.CloseIdleConnections()
			for n := 0; clientCtx.Err() == nil; n++ {
				req, _ := http.NewRequest("GET", "http://"+cfg.Listen+"/safe/1", nil)
				req.Header = http.Header{protocol.HeaderRequestID: {fmt.Sprintf("%d-%d", i, n)}, protocol.HeaderClass: {"safe"},
					protocol.HeaderTenant: {"acme"}, protocol.HeaderBudget: {"15000m"}}
				requests.Add(1)
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
		current.stop()
		started := time.Now()
		if err := agenttest.Receive(t, "end of the replaced process", current.ended); err != nil || time.Since(started) > maxKillDeadline {
			t.Errorf("replaced process: returned %v after %v, want no error within %v", err, time.Since(started), maxKillDeadline)
		}
		current = next
		if got := consoleCall(t, current.console, "check\n"); got != "ok\n" {
			t.Errorf("check of the new process: got %q, want ok", got)
		}
	}
	for requests.Load() < 50 { // even if the processes started quickly
		time.Sleep(time.Millisecond)
	}
	stopClients()
	wg.Wait()
	// The kernel resets a connection that is being established while its listener closes. That is at most one per
	// replacement, whereas a listener that closes without draining its accept queue resets many.
	if failed.Load() > 2 {
		t.Errorf("%d of %d requests failed", failed.Load(), requests.Load())
	}
}

// During a replacement only one of the two processes accepts a request id, the one that receives it first. The other
// rejects it with 409.
func TestRequestIDAcrossProcesses(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	proceed := make(chan struct{})
	b := agenttest.NewServer(t, func(int, *http.Request) (string, bool) {
		<-proceed
		return agenttest.OKResponse, false
	})
	l := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("x", b.Addr, "Ready", 0)))
	cfg := agenttest.Config(t, l.Listener.Addr().String(), agenttest.Settings)
	// Each process listens on a different address, so that the test can choose between them.
	olderCfg, newerCfg := *cfg, *cfg
	olderCfg.Listen, newerCfg.Listen = freeAddr(t), freeAddr(t)
	startProcess(t, olderCfg)
	startProcess(t, newerCfg)
	send := func(addr, id string) <-chan int {
		status := make(chan int, 1)
		req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/unsafe/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header = http.Header{protocol.HeaderRequestID: {id}, protocol.HeaderClass: {"unsafe"},
			protocol.HeaderTenant: {"acme"}, protocol.HeaderBudget: {"15000m"}}
		go func() {
			resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: agenttest.Timeout}).Do(req)
			if err != nil {
				status <- 0
				return
			}
			resp.Body.Close()
			status <- resp.StatusCode
		}()
		return status
	}
	for i, order := range [][2]string{{olderCfg.Listen, newerCfg.Listen}, {newerCfg.Listen, olderCfg.Listen}} {
		id := fmt.Sprintf("repeated-%d", i)
		first := send(order[0], id)
		agenttest.Receive(t, "request", b.Requests)
		if status := agenttest.Receive(t, "response to the repeat", send(order[1], id)); status != http.StatusConflict {
			t.Errorf("%s repeated: got status %d, want 409", id, status)
		}
		proceed <- struct{}{}
		if status := agenttest.Receive(t, "response", first); status != http.StatusOK {
			t.Errorf("%s: got status %d, want 200", id, status)
		}
	}
	close(proceed)
	for i := range 50 { // either process may be first
		id := fmt.Sprintf("concurrent-%d", i)
		older, newer := send(olderCfg.Listen, id), send(newerCfg.Listen, id)
		one, other := agenttest.Receive(t, "response", older), agenttest.Receive(t, "response", newer)
		if min(one, other) != http.StatusOK || max(one, other) != http.StatusConflict {
			t.Errorf("%s: got statuses %d and %d, want 200 and 409", id, one, other)
		}
	}
	if n := len(b.Requests); n != 50 {
		t.Errorf("got %d requests at the server, want 50, one per id", n)
	}
}
