package handover

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/config"
)

// The parts of the memory that an agent holds, whatever its peers do, are together under its limit, with the least memory
// that the platform gives and its most and its least descriptors, and stand on the capacity page. Beside a second process
// the connections are those that are left once the older process has closed the others.
func TestMemoryOfAgentIsUnderLimit(t *testing.T) {
	text, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(text)
	sums := map[string][]string{}
	var order []string
	add := func(what, cell string) {
		if sums[what] == nil {
			order = append(order, what)
		}
		sums[what] = append(sums[what], cell)
	}
	for _, processes := range []int{1, 2} {
		for _, sockets := range []int{1024, 256} {
			cfg := &config.Config{MemoryMB: 32, Sockets: sockets}
			sum := int64(0)
			for _, part := range MemoryOf(cfg, processes) {
				sum += part.Bytes
				add(fmt.Sprintf("| %s | %s |", part.What, part.Owner), fmt.Sprint(part.Bytes>>10))
			}
			add("| together, of 32,768 | |", fmt.Sprint(sum>>10))
			if limit := int64(cfg.MemoryMB) << 20; sum > limit {
				t.Errorf("%d descriptors, %d processes: got %d KiB, want at most %d", sockets, processes, sum>>10, limit>>10)
			}
		}
	}
	for _, what := range order {
		if row := what + " " + strings.Join(sums[what], " | ") + " |"; !strings.Contains(page, row) {
			t.Errorf("the capacity page lacks the row\n%s", row)
		}
	}
}

// With more memory, the connections are limited by the descriptors alone.
func TestMemoryLimitsConnections(t *testing.T) {
	for _, c := range []struct{ memoryMB, sockets, alone, each int }{
		{32, 1024, 349, 72}, {32, 256, 93, 46}, {64, 1024, 349, 174}, {192, 1024, 349, 174}, {16, 1024, leastConns, leastConns / 2},
	} {
		cfg := &config.Config{MemoryMB: c.memoryMB, Sockets: c.sockets}
		alone, each := LimitsFor(cfg, 1).ActiveClientConns, LimitsFor(cfg, 2).ActiveClientConns
		if alone != c.alone || each != c.each {
			t.Errorf("%d MB and %d descriptors: got %d and %d client connections, want %d and %d", c.memoryMB, c.sockets, alone, each, c.alone, c.each)
		}
	}
}

// Guards against a process that keeps its connections but loses half of its memory when another one joins. Whatever the
// division of the connections, the processes have no more than one has alone.
func TestMemoryGoesWithConnections(t *testing.T) {
	alone := LimitsFor(&config.Config{MemoryMB: 32, Sockets: 1024}, 1)
	total := alone.ActiveClientConns
	for conns := 0; conns <= total; conns++ {
		older, newer := alone.withMemoryShare(conns, total, 2), alone.withMemoryShare(total-conns, total, 2)
		if older.HeapBytes+newer.HeapBytes > alone.HeapBytes-uncountedProcessBytes || older.BufferedBytes+newer.BufferedBytes > alone.BufferedBytes {
			t.Fatalf("%d connections: got %+v and %+v, want no more than %+v together", conns, older, newer, alone)
		}
	}
	if got := alone.withMemoryShare(total, total, 2).HeapBytes; got < alone.HeapBytes*7/10 {
		t.Errorf("a process with all connections has a heap limit of %d, want most of %d", got, alone.HeapBytes)
	}
}

// Guards against connections to the handover socket that each take a share of the limits.
func TestPeersAreBounded(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	path := filepath.Join(t.TempDir(), "l")
	cfg := &config.Config{MemoryMB: 1 << 20, Sockets: 384}
	h := Join(path, quotasFor(cfg), &fakeIDs{}, &fakeProcessor{}, agenttest.DiscardLogger)
	defer h.Close()
	if err := h.Announce(); err != nil {
		t.Fatal(err)
	}
	closed := 0
	for range 2 * maxPeers {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(agenttest.Timeout))
		if _, err := c.Read(make([]byte, 1)); err != nil { // a peer gets a line at once
			closed++
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.peers) != maxPeers || closed != maxPeers {
		t.Errorf("got %d peers and %d connections closed, want %d and %d", len(h.peers), closed, maxPeers, maxPeers)
	}
}
