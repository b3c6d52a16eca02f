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
	for started := time.Now(); time.Since(started) < agenttest.Timeout; time.Sleep(time.Millisecond) {
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
		if err := agenttest.Receive(t, "end of the process that is replaced", current.ended); err != nil || time.Since(started) > maxKillDeadline {
			t.Errorf("ended after %v with %v", time.Since(started), err)
		}
		current = next
		if got := consoleCall(t, current.console, "check\n"); got != "ok\n" {
			t.Errorf("the next is asked: %q", got)
		}
	}
	for requests.Load() < 50 { // however quickly they came up
		time.Sleep(time.Millisecond)
	}
	stopClients()
	wg.Wait()
	// The kernel resets a connection that is just coming up as its listener closes: one a replacement at most, where
	// the queue of a listener that simply closes holds many.
	if failed.Load() > 2 {
		t.Errorf("%d of %d requests failed", failed.Load(), requests.Load())
	}
}

// While a process is replaced, a request id is taken by one of the two processes, whichever a client brings it to first, and by none
// while the other has it.
func TestRequestIDAcrossProcesses(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	proceed := make(chan struct{})
	b := agenttest.NewServer(t, func(int, *http.Request) (string, bool) {
		<-proceed
		return agenttest.OKAnswer, false
	})
	l := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("x", b.Addr, "Ready", 0)))
	cfg := agenttest.Config(t, l.Listener.Addr().String(), agenttest.Settings)
	// Each process has a client address of its own, so that the test chooses between them.
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
		if status := agenttest.Receive(t, "answer to the repeat", send(order[1], id)); status != http.StatusConflict {
			t.Errorf("%s is taken twice: the repeat is answered %d", id, status)
		}
		proceed <- struct{}{}
		if status := agenttest.Receive(t, "answer", first); status != http.StatusOK {
			t.Errorf("%s is answered %d", id, status)
		}
	}
	close(proceed)
	for i := range 50 { // in whatever order
		id := fmt.Sprintf("at-once-%d", i)
		older, newer := send(olderCfg.Listen, id), send(newerCfg.Listen, id)
		one, other := agenttest.Receive(t, "answer", older), agenttest.Receive(t, "answer", newer)
		if min(one, other) != http.StatusOK || max(one, other) != http.StatusConflict {
			t.Errorf("%s is answered %d and %d", id, one, other)
		}
	}
	if n := len(b.Requests); n != 50 {
		t.Errorf("%d requests of 50 ids at the server", n)
	}
}
