package handover

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"path/filepath"
	"runtime/debug"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/config"
	"example.org/ryeloft/internal/stream"
)

// quotasFor returns the quotas of a process without real connections.
func quotasFor(cfg *config.Config) *Quotas {
	return NewQuotas(cfg, newFakeClientConns(), &fakeServerConns{}, stream.NewMemory(0, func(int64) {}), fakeAttempts{})
}

// release gives up exactly the slots that are not needed, and drops the excess before it releases any.
func TestQuotaIsReleased(t *testing.T) {
	alone := quota{total: 136, share: 136, limit: 136}
	shared := alone
	shared.split(68, 2)
	for name, c := range map[string]struct {
		from         quota
		needed       int
		slots, limit int
		excess       int
	}{
		"alone, all needed":            {alone, 136, 0, 136, 0},
		"all needed":                   {shared, 136, 0, 136, 8},
		"fewer unused than the excess": {shared, 130, 0, 130, 2},
		"as many unused as the excess": {shared, 128, 0, 128, 0},
		"one more unused is released":  {shared, 127, 1, 127, 0},
		"half needed":                  {shared, 68, 60, 68, 0},
		"none needed":                  {shared, 0, 128, 0, 0},
		"more needed than the limit":   {quota{total: 136, share: 68, limit: 60}, 70, 0, 60, 0},
	} {
		t.Run(name, func(t *testing.T) {
			q := c.from
			if slots := q.release(c.needed); slots != c.slots || q.limit != c.limit || q.excess != c.excess {
				t.Errorf("got %d slots released and %+v, want %d with limit %d and excess %d", slots, q, c.slots, c.limit, c.excess)
			}
		})
	}
	q := shared
	q.add(1 << 16)
	if q.add(-1); q.limit != q.total {
		t.Errorf("after adding too many and a negative number: got %+v, want limit %d", q, q.total)
	}
	if q.takeAll(); q != alone {
		t.Errorf("alone again: got %+v, want %+v", q, alone)
	}
}

// In any order of opened and closed connections and delayed releases, the limits of two processes never exceed the
// total plus the newer process's initial slots. Once the older process has dropped its excess, they do not exceed the
// shares of two processes. When the older process has released all its slots, the newer one has the shares of both, up
// to the total.
func TestSumOfQuotasIsBounded(t *testing.T) {
	for _, sockets := range []int{config.MinSockets, 128, 256, 384, 1024} {
		cfg := &config.Config{MemoryMB: 64, Sockets: sockets}
		one, two := LimitsFor(cfg, 1), LimitsFor(cfg, 2)
		for seed := range uint64(200) {
			rnd := rand.New(rand.NewPCG(seed, uint64(sockets)))
			older := quota{total: one.ActiveClientConns, share: one.ActiveClientConns, limit: one.ActiveClientConns}
			newer := quota{total: one.ActiveClientConns}
			newer.join(two.ActiveClientConns)
			olderOpen, newerOpen, inTransit, leaving := rnd.IntN(one.ActiveClientConns+1), 0, 0, false
			older.split(two.ActiveClientConns, 2)
			for range 2000 {
				switch rnd.IntN(6) {
				case 0:
					if olderOpen < older.limit && !leaving {
						olderOpen++
					}
				case 1:
					olderOpen = max(0, olderOpen-1)
				case 2:
					if newerOpen < newer.limit {
						newerOpen++
					}
				case 3:
					newerOpen = max(0, newerOpen-1)
				case 4:
					needed := olderOpen
					if leaving = leaving || rnd.IntN(500) == 0; !leaving {
						needed = max(older.share, olderOpen+minQuota)
					}
					inTransit += older.release(needed)
				default:
					n := rnd.IntN(inTransit + 1)
					inTransit -= n
					newer.add(n)
				}
				if sum := older.limit + newer.limit + inTransit; sum-older.excess > 2*two.ActiveClientConns || sum > one.ActiveClientConns+minQuota || olderOpen > older.limit {
					t.Fatalf("%d descriptors, seed %d: limits are too high: older has %d open, %+v; newer has %d open, %+v; %d slots in transit", sockets, seed, olderOpen, older, newerOpen, newer, inTransit)
				}
			}
			if olderOpen > 0 {
				continue
			}
			inTransit += older.release(0)
			if newer.add(inTransit); newer.limit != min(one.ActiveClientConns, 2*two.ActiveClientConns) {
				t.Errorf("%d descriptors, seed %d: after the older released all slots the newer has %+v, want limit %d",
					sockets, seed, newer, min(one.ActiveClientConns, 2*two.ActiveClientConns))
			}
		}
	}
}

// A newer process adds exactly the slots that the older one releases. Beside a process of an earlier release, which
// sends only the word that it is ready, it gets its share. Invalid lines add nothing. When the older process ends, the
// newer one gets the total.
func TestNewerProcessAppliesReleases(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	cfg := &config.Config{MemoryMB: 1 << 20, Sockets: 384}
	one, two := LimitsFor(cfg, 1), LimitsFor(cfg, 2)
	for name, c := range map[string]struct {
		sent             string
		clients, servers int
	}{
		"no input":                     {"", minQuota, minQuota},
		"an earlier release":           {"y", two.ActiveClientConns, two.ServerConns},
		"earlier release, ready twice": {"yy", two.ActiveClientConns, two.ServerConns},
		"no slots released":            {"pass 0 0\ny", minQuota, minQuota},
		"some slots released":          {"pass 3 0\nypass 0 2\npass 1 1\n", minQuota + 4, minQuota + 3},
		"incomplete line":              {"pass 3 4\npass 3 4", minQuota + 3, minQuota + 4},
		"more than the total":          {"pass 65535 65535\n", one.ActiveClientConns, one.ServerConns},
		"numbers out of range":         {"pass 65536 1\npass 1 99999999999999999999\n", minQuota, minQuota},
		"signed numbers":               {"pass -1 1\npass +1 1\n", minQuota, minQuota},
		"invalid lines": {"\n\n\x00\xff\npass\npass 1\npass 1 1 1\npass  1\nPASS 1 1\n" + fmt.Sprintf("pass %0100d 1\n", 1) + "pass 2 2\n",
			minQuota + 2, minQuota + 2},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "l")
			l, err := net.Listen("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			newer := Join(path, quotasFor(cfg), &fakeIDs{}, &fakeProcessor{}, agenttest.DiscardLogger)
			defer newer.Close()
			other, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer other.Close()
			limits := func() (clients, servers int) {
				newer.mu.Lock()
				defer newer.mu.Unlock()
				return newer.quotas.clients.limit, newer.quotas.servers.limit
			}
			io.WriteString(other, c.sent)
			for start := time.Now(); ; time.Sleep(time.Millisecond) {
				clients, servers := limits()
				if clients == c.clients && servers == c.servers {
					break
				}
				if time.Since(start) > agenttest.Timeout {
					t.Fatalf("got limits of %d clients and %d servers, want %d and %d", clients, servers, c.clients, c.servers)
				}
			}
			other.Close()
			for start := time.Now(); ; time.Sleep(time.Millisecond) {
				clients, servers := limits()
				if clients == one.ActiveClientConns && servers == one.ServerConns {
					break
				}
				if time.Since(start) > agenttest.Timeout {
					t.Fatalf("alone: got limits of %d clients and %d servers, want %d and %d", clients, servers, one.ActiveClientConns, one.ServerConns)
				}
			}
		})
	}
}

// The input of a newer process begins with a release line, and contains the byte that announces readiness only once: a
// process of an earlier release looks for that byte anywhere.
func TestOlderProcessSendsReleases(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	path := filepath.Join(t.TempDir(), "l")
	cfg := &config.Config{MemoryMB: 1 << 20, Sockets: 384}
	older := Join(path, quotasFor(cfg), &fakeIDs{}, &fakeProcessor{}, agenttest.DiscardLogger)
	defer older.Close()
	if err := older.Announce(); err != nil {
		t.Fatal(err)
	}
	newer, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer newer.Close()
	newer.SetDeadline(time.Now().Add(agenttest.Timeout))
	want := fmt.Sprintf("pass 0 %d\ny", LimitsFor(cfg, 2).ServerConns-minQuota)
	got := make([]byte, len(want))
	if _, err := io.ReadFull(newer, got); err != nil || string(got) != want {
		t.Fatalf("got %q, want %q, error %v", got, want, err)
	}
	io.WriteString(newer, "pass 99 99\n\x00y") // a newer process cannot release slots to an older one
	want = fmt.Sprintf("pass %d 0\n", LimitsFor(cfg, 2).ActiveClientConns-minQuota)
	got = make([]byte, len(want))
	if _, err := io.ReadFull(newer, got); err != nil || string(got) != want {
		t.Fatalf("got %q, want %q, error %v", got, want, err)
	}
}

// Guards against a replacement in which the clients of one process are rejected for want of connections to servers that the
// other does not use: the slots follow the open client connections.
func TestServerSlotsFollowClients(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	cfg := &config.Config{MemoryMB: 1 << 20, Sockets: 256}
	one, share := LimitsFor(cfg, 1).ServerConns, LimitsFor(cfg, 2).ServerConns
	clients := newFakeClientConns()
	servers := &fakeServerConns{}
	q := NewQuotas(cfg, clients, servers, stream.NewMemory(0, func(int64) {}), fakeAttempts{})
	clients.open = 83
	q.split(2)
	if _, released := q.release(false); released != 0 || servers.limit() != 2*share-minQuota {
		t.Errorf("83 clients: got %d slots released and limit %d of %d, want none and all but those of the newer process, %d", released, servers.limit(), one, 2*share-minQuota)
	}
	clients.open = 10
	if _, released := q.release(true); released != share-minQuota || servers.limit() != share {
		t.Errorf("10 clients: got %d slots released and limit %d, want %d and the share of %d", released, servers.limit(), share-minQuota, share)
	}
	clients.stopAccepting(10)
	if _, released := q.release(true); released != share-10-minQuota || servers.limit() != 10+minQuota {
		t.Errorf("10 clients, accepting no more: got %d slots released and limit %d, want %d and %d", released, servers.limit(), share-10-minQuota, 10+minQuota)
	}
}
