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
)

// quotasFor makes the quotas of a process that does nothing else.
func quotasFor(cfg *config.Config) *Quotas {
	return NewQuotas(cfg, newFakeClientConns(), &fakeServerConns{})
}

func TestQuotaIsReleased(t *testing.T) {
	alone := quota{total: 136, entitled: 136, limit: 136}
	shared := alone
	shared.split(68, 2)
	for name, c := range map[string]struct {
		from         quota
		needs        int
		places, left int
		excess       int
	}{
		"alone, with all in use":          {alone, 136, 0, 136, 0},
		"all in use":                      {shared, 136, 0, 136, 8},
		"the first to go pay the excess":  {shared, 130, 0, 130, 2},
		"all of it":                       {shared, 128, 0, 128, 0},
		"then the next are passed on":     {shared, 127, 1, 127, 0},
		"half in use":                     {shared, 68, 60, 68, 0},
		"none needed":                     {shared, 0, 128, 0, 0},
		"more in use than the bound says": {quota{total: 136, entitled: 68, limit: 60}, 70, 0, 60, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := c.from
			if places := r.release(c.needs); places != c.places || r.limit != c.left || r.excess != c.excess {
				t.Errorf("%d passed on, %+v", places, r)
			}
		})
	}
	r := shared
	r.add(1 << 16)
	if r.add(-1); r.limit != r.total {
		t.Errorf("%+v", r)
	}
	if r.takeAll(); r != alone {
		t.Errorf("alone again: %+v", r)
	}
}

// In whatever order connections come and go at two processes, and places reach the newer, the two never hold more than all
// there is and what the newer begins with; once the older has let go of what was too many, not that either.
func TestQuotasNeverGrow(t *testing.T) {
	for _, sockets := range []int{config.MinSockets, 128, 256, 384, 1024} {
		cfg := &config.Config{MemoryMB: 64, Sockets: sockets}
		one, two := LimitsFor(cfg, 1), LimitsFor(cfg, 2)
		for seed := range uint64(200) {
			rnd := rand.New(rand.NewPCG(seed, uint64(sockets)))
			older := quota{total: one.ActiveClientConns, entitled: one.ActiveClientConns, limit: one.ActiveClientConns}
			newer := quota{total: one.ActiveClientConns}
			newer.join(two.ActiveClientConns)
			held, heldToo, under, shut := rnd.IntN(one.ActiveClientConns+1), 0, 0, false
			older.split(two.ActiveClientConns, 2)
			for range 2000 {
				switch rnd.IntN(6) {
				case 0:
					if held < older.limit && !shut {
						held++
					}
				case 1:
					held = max(0, held-1)
				case 2:
					if heldToo < newer.limit {
						heldToo++
					}
				case 3:
					heldToo = max(0, heldToo-1)
				case 4:
					needs := held
					if shut = shut || rnd.IntN(500) == 0; !shut {
						needs = max(older.entitled, held+minQuota)
					}
					under += older.release(needs)
				default:
					n := rnd.IntN(under + 1)
					under -= n
					newer.add(n)
				}
				if sum := older.limit + newer.limit + under; sum-older.excess > 2*two.ActiveClientConns || sum > one.ActiveClientConns+minQuota || held > older.limit {
					t.Fatalf("%d descriptors, seed %d: %d held, %+v; %d held, %+v; %d under way", sockets, seed, held, older, heldToo, newer, under)
				}
			}
			if held > 0 {
				continue
			}
			under += older.release(0)
			if newer.add(under); newer.limit != min(one.ActiveClientConns, 2*two.ActiveClientConns) {
				t.Errorf("%d descriptors, seed %d: none is held by the older, the newer has %+v", sockets, seed, newer)
			}
		}
	}
}

// A process follows others as far as they pass on, and one of an earlier release, which passes on nothing and knows but one
// word, as far as it owes; nonsense counts for nothing. When the other ends all is the survivor's.
func TestNewerProcessReceives(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	cfg := &config.Config{MemoryMB: 1 << 20, Sockets: 384}
	one, two := LimitsFor(cfg, 1), LimitsFor(cfg, 2)
	for name, c := range map[string]struct {
		said             string
		clients, servers int
	}{
		"nothing":                    {"", minQuota, minQuota},
		"an earlier release":         {"y", two.ActiveClientConns, two.ServerConns},
		"it twice":                   {"yy", two.ActiveClientConns, two.ServerConns},
		"none are passed on":         {"pass 0 0\ny", minQuota, minQuota},
		"some are":                   {"pass 3 0\nypass 0 2\npass 1 1\n", minQuota + 4, minQuota + 3},
		"half a line":                {"pass 3 4\npass 3 4", minQuota + 3, minQuota + 4},
		"too many":                   {"pass 65535 65535\n", one.ActiveClientConns, one.ServerConns},
		"numbers that are too large": {"pass 65536 1\npass 1 99999999999999999999\n", minQuota, minQuota},
		"below nothing":              {"pass -1 1\npass +1 1\n", minQuota, minQuota},
		"nonsense": {"\n\n\x00\xff\npass\npass 1\npass 1 1 1\npass  1\nPASS 1 1\n" + fmt.Sprintf("pass %0100d 1\n", 1) + "pass 2 2\n",
			minQuota + 2, minQuota + 2},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "l")
			l, err := net.Listen("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			k := Join(path, quotasFor(cfg), &fakeIDs{}, agenttest.DiscardLogger)
			defer k.Close()
			other, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer other.Close()
			bounds := func() (clients, servers int) {
				k.mu.Lock()
				defer k.mu.Unlock()
				return k.quotas.clients.limit, k.quotas.servers.limit
			}
			io.WriteString(other, c.said)
			for begun := time.Now(); ; time.Sleep(time.Millisecond) {
				clients, servers := bounds()
				if clients == c.clients && servers == c.servers {
					break
				}
				if time.Since(begun) > agenttest.Timeout {
					t.Fatalf("%d clients and %d servers, want %d and %d", clients, servers, c.clients, c.servers)
				}
			}
			other.Close()
			for begun := time.Now(); ; time.Sleep(time.Millisecond) {
				clients, servers := bounds()
				if clients == one.ActiveClientConns && servers == one.ServerConns {
					break
				}
				if time.Since(begun) > agenttest.Timeout {
					t.Fatalf("%d clients and %d servers of a process that is left alone", clients, servers)
				}
			}
		})
	}
}

// What is told to a process that follows begins with a line that passes places on, and holds the word of an earlier release
// just once.
func TestNewerProcessIsSent(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	path := filepath.Join(t.TempDir(), "l")
	cfg := &config.Config{MemoryMB: 1 << 20, Sockets: 384}
	k := Join(path, quotasFor(cfg), &fakeIDs{}, agenttest.DiscardLogger)
	defer k.Close()
	if err := k.Announce(); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(agenttest.Timeout))
	want := fmt.Sprintf("pass 0 %d\ny", LimitsFor(cfg, 2).ServerConns-minQuota)
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
		t.Fatalf("told %q, want %q: %v", got, want, err)
	}
	io.WriteString(c, "pass 99 99\n\x00y") // it passes nothing back
	want = fmt.Sprintf("pass %d 0\n", LimitsFor(cfg, 2).ActiveClientConns-minQuota)
	got = make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
		t.Fatalf("told %q, want %q: %v", got, want, err)
	}
}
