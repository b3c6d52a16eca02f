package handover

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/config"
)

// Two processes share the limits for as long as both live, whichever ends, and files that were left behind are no
// process.
func TestProcessesShareLimits(t *testing.T) {
	path := filepath.Join(t.TempDir(), "link.sock")
	if err := os.WriteFile(path, nil, 0o600); err != nil { // as a process that was killed leaves it
		t.Fatal(err)
	}
	cfg := &config.Config{MemoryMB: 1 << 20, Sockets: 384} // not the tests' memory
	one, two := LimitsFor(cfg, 1), LimitsFor(cfg, 2)
	join := func() *Handover {
		k := Join(path, quotasFor(cfg), &fakeIDs{}, agenttest.DiscardLogger)
		t.Cleanup(k.Close)
		return k
	}
	first := join()
	if first.quotas.processes != 1 {
		t.Fatal("a file that nobody listens behind counts as a process")
	}
	if err := first.Announce(); err != nil {
		t.Fatal(err)
	}
	expect := func(what string, k *Handover, processes, clients, servers int) {
		t.Helper()
		var q Quotas
		for begun := time.Now(); time.Since(begun) < agenttest.Timeout; time.Sleep(time.Millisecond) {
			k.mu.Lock()
			q = *k.quotas
			maxConns, maxActive := q.clientConns.(*fakeClientConns).limits()
			maxServers := q.serverConns.(*fakeServerConns).limit()
			k.mu.Unlock()
			if q.processes == processes && q.clients.limit == clients && q.servers.limit == servers {
				want := one.withActiveClientConns(clients)
				if maxConns != want.ClientConns || maxActive != want.ActiveClientConns || maxServers != servers {
					t.Errorf("%s: %d, %d and %d are in force", what, maxConns, maxActive, maxServers)
				}
				return
			}
		}
		t.Errorf("%s: %d processes, %+v, %+v, want %d, %d and %d", what, q.processes, q.clients, q.servers, processes, clients, servers)
	}
	// One that dies before it takes clients leaves the first as it was, and to be found.
	second := join()
	expect("the second", second, 2, minQuota, two.ServerConns)
	expect("the first beside it", first, 2, one.ActiveClientConns, two.ServerConns)
	second.Close()
	expect("the first after it", first, 1, one.ActiveClientConns, one.ServerConns)
	// One that takes clients, and dies then, too.
	third := join()
	if err := third.Announce(); err != nil {
		t.Fatal(err)
	}
	expect("the third", third, 2, two.ActiveClientConns, two.ServerConns)
	expect("the first beside it", first, 2, two.ActiveClientConns, two.ServerConns)
	third.Close()
	expect("the first after it", first, 1, one.ActiveClientConns, one.ServerConns)
	// The first goes when one that takes clients is there, and passes on what its clients leave.
	fourth := join()
	if err := fourth.Announce(); err != nil {
		t.Fatal(err)
	}
	for begun := time.Now(); !first.Leave(); time.Sleep(time.Millisecond) {
		if time.Since(begun) > agenttest.Timeout {
			t.Fatal("the first does not hear that another takes clients")
		}
	}
	expect("the fourth", fourth, 2, two.ActiveClientConns, two.ServerConns)
	firstClients := first.quotas.clientConns.(*fakeClientConns)
	firstClients.stopAccepting(50)
	expect("the first, leaving", first, 2, 50, two.ServerConns)
	expect("the fourth meanwhile", fourth, 2, 2*two.ActiveClientConns-50, two.ServerConns)
	firstClients.close()
	expect("the fourth after one more has gone", fourth, 2, 2*two.ActiveClientConns-49, two.ServerConns)
	first.Close()
	expect("the fourth alone", fourth, 1, one.ActiveClientConns, one.ServerConns)
}

func TestLimitsOfTwo(t *testing.T) {
	for _, sockets := range []int{config.MinSockets, 128, 256, 384, 1024} {
		cfg := &config.Config{MemoryMB: 64, Sockets: sockets}
		one, two := LimitsFor(cfg, 1), LimitsFor(cfg, 2)
		if sum := 2 * (two.ActiveClientConns + two.ServerConns + config.ReservedSockets); sum > sockets || two.ActiveClientConns < minQuota {
			t.Errorf("%d descriptors: two hold %d, and of clients %d each", sockets, sum, two.ActiveClientConns)
		}
		if 2*two.StreamBytes > one.StreamBytes || 2*two.HeapBytes > one.HeapBytes {
			t.Errorf("memory of one %+v, of each of two %+v", one, two)
		}
	}
}
