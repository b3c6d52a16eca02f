package agent

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
	"example.org/ryeloft/internal/metrics"
	"example.org/ryeloft/internal/settings"
)

// roomsFor makes the rooms of a process that does nothing else.
func roomsFor(cfg *config.Config) *rooms {
	return newRooms(cfg, &admission{metrics: &metrics.Metrics{}, freed: make(chan struct{}, 1)}, NewPool(&settings.Settings{}, 1, &metrics.Metrics{}))
}

func TestRoomIsPassedOn(t *testing.T) {
	alone := room{whole: 136, owed: 136, bound: 136}
	beside := alone
	beside.follows(68, 2)
	for name, c := range map[string]struct {
		from         room
		needs        int
		places, left int
		excess       int
	}{
		"alone, with all in use":          {alone, 136, 0, 136, 0},
		"all in use":                      {beside, 136, 0, 136, 8},
		"the first to go pay the excess":  {beside, 130, 0, 130, 2},
		"all of it":                       {beside, 128, 0, 128, 0},
		"then the next are passed on":     {beside, 127, 1, 127, 0},
		"half in use":                     {beside, 68, 60, 68, 0},
		"none needed":                     {beside, 0, 128, 0, 0},
		"more in use than the bound says": {room{whole: 136, owed: 68, bound: 60}, 70, 0, 60, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := c.from
			if places := r.spare(c.needs); places != c.places || r.bound != c.left || r.excess != c.excess {
				t.Errorf("%d passed on, %+v", places, r)
			}
		})
	}
	r := beside
	r.take(1 << 16)
	if r.take(-1); r.bound != r.whole {
		t.Errorf("%+v", r)
	}
	if r.alone(); r != alone {
		t.Errorf("alone again: %+v", r)
	}
}

// In whatever order connections come and go at two processes, and places reach the newer, the two never hold more than all
// there is and what the newer begins with; once the older has let go of what was too many, not that either.
func TestRoomsNeverGrow(t *testing.T) {
	for _, sockets := range []int{config.MinSockets, 128, 256, 384, 1024} {
		cfg := &config.Config{MemoryMB: 64, Sockets: sockets}
		one, two := limitsOf(cfg, 1), limitsOf(cfg, 2)
		for seed := range uint64(200) {
			rnd := rand.New(rand.NewPCG(seed, uint64(sockets)))
			older := room{whole: one.busy, owed: one.busy, bound: one.busy}
			newer := room{whole: one.busy}
			newer.joins(two.busy)
			held, heldToo, under, shut := rnd.IntN(one.busy+1), 0, 0, false
			older.follows(two.busy, 2)
			for range 2000 {
				switch rnd.IntN(6) {
				case 0:
					if held < older.bound && !shut {
						held++
					}
				case 1:
					held = max(0, held-1)
				case 2:
					if heldToo < newer.bound {
						heldToo++
					}
				case 3:
					heldToo = max(0, heldToo-1)
				case 4:
					needs := held
					if shut = shut || rnd.IntN(500) == 0; !shut {
						needs = max(older.owed, held+leastRoom)
					}
					under += older.spare(needs)
				default:
					n := rnd.IntN(under + 1)
					under -= n
					newer.take(n)
				}
				if sum := older.bound + newer.bound + under; sum-older.excess > 2*two.busy || sum > one.busy+leastRoom || held > older.bound {
					t.Fatalf("%d descriptors, seed %d: %d held, %+v; %d held, %+v; %d under way", sockets, seed, held, older, heldToo, newer, under)
				}
			}
			if held > 0 {
				continue
			}
			under += older.spare(0)
			if newer.take(under); newer.bound != min(one.busy, 2*two.busy) {
				t.Errorf("%d descriptors, seed %d: none is held by the older, the newer has %+v", sockets, seed, newer)
			}
		}
	}
}

// A process follows others as far as they pass on, and one of an earlier release, which passes on nothing and knows but one
// word, as far as it owes; nonsense counts for nothing. When the other ends all is the survivor's.
func TestNewcomerHears(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	cfg := &config.Config{MemoryMB: 1 << 20, Sockets: 384}
	one, two := limitsOf(cfg, 1), limitsOf(cfg, 2)
	for name, c := range map[string]struct {
		said             string
		clients, servers int
	}{
		"nothing":                    {"", leastRoom, leastRoom},
		"an earlier release":         {"y", two.busy, two.backends},
		"it twice":                   {"yy", two.busy, two.backends},
		"none are passed on":         {"pass 0 0\ny", leastRoom, leastRoom},
		"some are":                   {"pass 3 0\nypass 0 2\npass 1 1\n", leastRoom + 4, leastRoom + 3},
		"half a line":                {"pass 3 4\npass 3 4", leastRoom + 3, leastRoom + 4},
		"too many":                   {"pass 65535 65535\n", one.busy, one.backends},
		"numbers that are too large": {"pass 65536 1\npass 1 99999999999999999999\n", leastRoom, leastRoom},
		"below nothing":              {"pass -1 1\npass +1 1\n", leastRoom, leastRoom},
		"nonsense": {"\n\n\x00\xff\npass\npass 1\npass 1 1 1\npass  1\nPASS 1 1\n" + fmt.Sprintf("pass %0100d 1\n", 1) + "pass 2 2\n",
			leastRoom + 2, leastRoom + 2},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "l")
			l, err := net.Listen("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			k := joinLink(path, roomsFor(cfg), agenttest.DiscardLogger)
			defer k.close()
			other, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer other.Close()
			bounds := func() (clients, servers int) {
				k.mu.Lock()
				defer k.mu.Unlock()
				return k.rooms.clients.bound, k.rooms.servers.bound
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
				if clients == one.busy && servers == one.backends {
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
func TestFollowerIsTold(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	path := filepath.Join(t.TempDir(), "l")
	cfg := &config.Config{MemoryMB: 1 << 20, Sockets: 384}
	k := joinLink(path, roomsFor(cfg), agenttest.DiscardLogger)
	defer k.close()
	if err := k.serves(); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(agenttest.Timeout))
	want := fmt.Sprintf("pass 0 %d\ny", limitsOf(cfg, 2).backends-leastRoom)
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
		t.Fatalf("told %q, want %q: %v", got, want, err)
	}
	io.WriteString(c, "pass 99 99\n\x00y") // it passes nothing back
	want = fmt.Sprintf("pass %d 0\n", limitsOf(cfg, 2).busy-leastRoom)
	got = make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
		t.Fatalf("told %q, want %q: %v", got, want, err)
	}
}
