package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
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

// begin starts one and waits until it says yes.
func begin(t *testing.T, cfg config.Config) *process {
	t.Helper()
	cfg.AdminAddr = freeAddr(t)
	ctx, stop := context.WithCancel(context.Background())
	p := &process{console: cfg.AdminAddr, stop: stop, ended: make(chan error, 1)}
	t.Cleanup(stop)
	go func() { p.ended <- Run(ctx, &cfg, nil, agenttest.DiscardLogger) }()
	for begun := time.Now(); time.Since(begun) < agenttest.Timeout; time.Sleep(time.Millisecond) {
		if c, err := net.Dial("tcp", p.console); err == nil {
			c.Close()
			if operator(t, p.console, "check\n") == "ok\n" {
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
	now := begin(t, *cfg)

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
		next := begin(t, *cfg)
		now.stop()
		begun := time.Now()
		if err := agenttest.Receive(t, "end of the process that is replaced", now.ended); err != nil || time.Since(begun) > killDeadline {
			t.Errorf("ended after %v with %v", time.Since(begun), err)
		}
		now = next
		if got := operator(t, now.console, "check\n"); got != "ok\n" {
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

// Two processes share the limits for as long as both live, whichever ends, and files that were left behind are no
// process.
func TestLinkSharesLimits(t *testing.T) {
	path := filepath.Join(t.TempDir(), "link.sock")
	if err := os.WriteFile(path, nil, 0o600); err != nil { // as a process that was killed leaves it
		t.Fatal(err)
	}
	cfg := &config.Config{MemoryMB: 1 << 20, Sockets: 384} // not the tests' memory
	one, two := limitsOf(cfg, 1), limitsOf(cfg, 2)
	join := func() *link {
		k := joinLink(path, roomsFor(cfg), agenttest.DiscardLogger)
		t.Cleanup(k.close)
		return k
	}
	first := join()
	if first.rooms.processes != 1 {
		t.Fatal("a file that nobody listens behind counts as a process")
	}
	if err := first.serves(); err != nil {
		t.Fatal(err)
	}
	expect := func(what string, k *link, processes, clients, servers int) {
		t.Helper()
		var r rooms
		for begun := time.Now(); time.Since(begun) < agenttest.Timeout; time.Sleep(time.Millisecond) {
			k.mu.Lock()
			r = *k.rooms
			r.admission.mu.Lock()
			most, busy := r.admission.most, r.admission.busy
			r.admission.mu.Unlock()
			r.pool.mu.Lock()
			mostServers := r.pool.maxConns
			r.pool.mu.Unlock()
			k.mu.Unlock()
			if r.processes == processes && r.clients.bound == clients && r.servers.bound == servers {
				if want := one.withBusy(clients); most != want.clients || busy != want.busy || mostServers != servers {
					t.Errorf("%s: %d, %d and %d are in force", what, most, busy, mostServers)
				}
				return
			}
		}
		t.Errorf("%s: %d processes, %+v, %+v, want %d, %d and %d", what, r.processes, r.clients, r.servers, processes, clients, servers)
	}
	// One that dies before it takes clients leaves the first as it was, and to be found.
	second := join()
	expect("the second", second, 2, leastRoom, two.backends)
	expect("the first beside it", first, 2, one.busy, two.backends)
	second.close()
	expect("the first after it", first, 1, one.busy, one.backends)
	// One that takes clients, and dies then, too.
	third := join()
	if err := third.serves(); err != nil {
		t.Fatal(err)
	}
	expect("the third", third, 2, two.busy, two.backends)
	expect("the first beside it", first, 2, two.busy, two.backends)
	third.close()
	expect("the first after it", first, 1, one.busy, one.backends)
	// The first goes when one that takes clients is there, and passes on what its clients leave.
	fourth := join()
	if err := fourth.serves(); err != nil {
		t.Fatal(err)
	}
	for begun := time.Now(); !first.leave(); time.Sleep(time.Millisecond) {
		if time.Since(begun) > agenttest.Timeout {
			t.Fatal("the first does not hear that another takes clients")
		}
	}
	expect("the fourth", fourth, 2, two.busy, two.backends)
	a := first.rooms.admission
	a.mu.Lock()
	a.open, a.shut = 50, true
	a.mu.Unlock()
	expect("the first, leaving", first, 2, 50, two.backends)
	expect("the fourth meanwhile", fourth, 2, 2*two.busy-50, two.backends)
	c := &clientConn{}
	a.mu.Lock()
	a.release(c)
	a.mu.Unlock()
	expect("the fourth after one more has gone", fourth, 2, 2*two.busy-49, two.backends)
	first.close()
	expect("the fourth alone", fourth, 1, one.busy, one.backends)
}

func TestLimitsOfTwo(t *testing.T) {
	for _, sockets := range []int{config.MinSockets, 128, 256, 384, 1024} {
		cfg := &config.Config{MemoryMB: 64, Sockets: sockets}
		one, two := limitsOf(cfg, 1), limitsOf(cfg, 2)
		if sum := 2 * (two.busy + two.backends + config.ReservedSockets); sum > sockets || two.busy < leastRoom {
			t.Errorf("%d descriptors: two hold %d, and of clients %d each", sockets, sum, two.busy)
		}
		if 2*two.streams > one.streams || 2*two.collector > one.collector {
			t.Errorf("memory of one %+v, of each of two %+v", one, two)
		}
	}
}

// What is still open when the process is about to be killed is answered as failed.
func TestLastAnswers(t *testing.T) {
	b := agenttest.NewServer(t, func(int, *http.Request) (string, bool) { return "", false })
	a := agentFor(t, strings.ReplaceAll(agenttest.Settings, `"aim":20000,"deadline":30000`, `"aim":1000,"deadline":1000`), b)
	answered := make(chan int, 1)
	go func() {
		status, _ := a.do(t, a.request("unsafe", "15000m"))
		answered <- status
	}()
	agenttest.Receive(t, "request", b.Requests)
	begun := time.Now()
	a.stop()
	if status := agenttest.Receive(t, "answer", answered); status != protocol.StatusFailed || time.Since(begun) > time.Second+killAfter {
		t.Errorf("answered %d after %v", status, time.Since(begun))
	}
	if err := agenttest.Receive(t, "end", a.ended); err != nil {
		t.Error(err)
	}
}
