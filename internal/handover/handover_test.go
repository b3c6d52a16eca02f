package handover

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/config"
)

// Two processes share the limits while both run, and the survivor gets all of them, whichever process ends and at
// whatever stage. A socket file left behind by a killed process does not count as a process.
func TestProcessesShareLimits(t *testing.T) {
	path := filepath.Join(t.TempDir(), "link.sock")
	if err := os.WriteFile(path, nil, 0o600); err != nil { // as left behind by a killed process
		t.Fatal(err)
	}
	cfg := &config.Config{MemoryMB: 1 << 20, Sockets: 384} // memory limit too high to affect the tests
	one, two := LimitsFor(cfg, 1), LimitsFor(cfg, 2)
	join := func() *Handover {
		h := Join(path, quotasFor(cfg), &fakeIDs{}, &fakeProcessor{}, agenttest.DiscardLogger)
		t.Cleanup(h.Close)
		return h
	}
	first := join()
	if first.quotas.processes != 1 {
		t.Fatal("a socket file without a listener counts as a process")
	}
	if err := first.Announce(); err != nil {
		t.Fatal(err)
	}
	expect := func(what string, h *Handover, processes, clients, servers int) {
		t.Helper()
		var q Quotas
		for start := time.Now(); time.Since(start) < agenttest.Timeout; time.Sleep(time.Millisecond) {
			h.mu.Lock()
			q = *h.quotas
			maxConns, maxActive := q.clientConns.(*fakeClientConns).limits()
			maxServers := q.serverConns.(*fakeServerConns).limit()
			h.mu.Unlock()
			if q.processes == processes && q.clients.limit == clients && q.servers.limit == servers {
				want := one.withActiveClientConns(clients)
				if maxConns != want.ClientConns || maxActive != want.ActiveClientConns || maxServers != servers {
					t.Errorf("%s: got limits %d, %d and %d, want %d, %d and %d",
						what, maxConns, maxActive, maxServers, want.ClientConns, want.ActiveClientConns, servers)
				}
				return
			}
		}
		t.Errorf("%s: got %d processes, %+v, %+v, want %d processes with limits %d and %d", what, q.processes, q.clients, q.servers, processes, clients, servers)
	}
	// A process that ends before it accepts clients does not change the first, which newer processes still find.
	second := join()
	expect("second", second, 2, minQuota, two.ServerConns)
	expect("first beside second", first, 2, one.ActiveClientConns, two.ServerConns)
	second.Close()
	expect("first after second", first, 1, one.ActiveClientConns, one.ServerConns)
	// The same holds for a process that ends after it accepts clients.
	third := join()
	if err := third.Announce(); err != nil {
		t.Fatal(err)
	}
	expect("third", third, 2, two.ActiveClientConns, two.ServerConns)
	expect("first beside third", first, 2, two.ActiveClientConns, two.ServerConns)
	third.Close()
	expect("first after third", first, 1, one.ActiveClientConns, one.ServerConns)
	// The first process leaves once another accepts clients, and releases the slots of its clients as they disconnect, and
	// those for servers with them.
	fourth := join()
	if err := fourth.Announce(); err != nil {
		t.Fatal(err)
	}
	for start := time.Now(); !first.Leave(); time.Sleep(time.Millisecond) {
		if time.Since(start) > agenttest.Timeout {
			t.Fatal("the first process is not notified that another accepts clients")
		}
	}
	expect("fourth", fourth, 2, two.ActiveClientConns, two.ServerConns)
	firstClients := first.quotas.clientConns.(*fakeClientConns)
	firstClients.stopAccepting(50)
	expect("first, leaving", first, 2, 50, 50+minQuota)
	expect("fourth beside leaving first", fourth, 2, 2*two.ActiveClientConns-50, 2*two.ServerConns-50-minQuota)
	firstClients.close()
	expect("fourth after one more client disconnected", fourth, 2, 2*two.ActiveClientConns-49, 2*two.ServerConns-49-minQuota)
	first.Close()
	expect("fourth alone", fourth, 1, one.ActiveClientConns, one.ServerConns)
}

// The limits of two processes together must not exceed the descriptors and the memory of one agent.
func TestLimitsOfTwoProcesses(t *testing.T) {
	for _, sockets := range []int{config.MinSockets, 128, 256, 384, 1024} {
		cfg := &config.Config{MemoryMB: 64, Sockets: sockets}
		one, two := LimitsFor(cfg, 1), LimitsFor(cfg, 2)
		if sum := 2 * (two.ActiveClientConns + two.ServerConns + config.ReservedSockets); sum > sockets || two.ActiveClientConns < minQuota {
			t.Errorf("%d descriptors: got %d for two processes with %d client connections each, want at most %d with at least %d each",
				sockets, sum, two.ActiveClientConns, sockets, minQuota)
		}
		if 2*two.StreamBytes > one.StreamBytes || 2*two.BufferedBytes > one.BufferedBytes || 2*two.HeapBytes > one.HeapBytes {
			t.Errorf("got memory limits of each of two processes %+v, want at most half of %+v", two, one)
		}
	}
}
