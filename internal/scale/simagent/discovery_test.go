package simagent

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/scale/scenario"
	"example.org/ryeloft/internal/scale/world"
)

// waitTimeout bounds every wait in a test. Reaching it fails the test.
const waitTimeout = 30 * time.Second

// waitFor waits until condition returns true. It fails the test after waitTimeout.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for start := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		if time.Since(start) > waitTimeout {
			t.Fatalf("timed out after %v waiting for: %s", waitTimeout, what)
		}
	}
}

// fakeDiscovery is a discovery service with one address per agent. mu guards all fields but addrs.
type fakeDiscovery struct {
	mu                sync.Mutex
	revision          uint64
	members           []discovery.Member
	changesByRevision map[uint64][]discovery.Member
	changed           chan struct{}
	addrs             []string
	fullLists         []int // full lists requested, per agent
	watches           []int // watches started, per agent
	acknowledged      []uint64
}

func newFakeDiscovery(t *testing.T, w *world.World) *fakeDiscovery {
	c := &fakeDiscovery{
		revision: 1, members: w.Members(time.Now()), changesByRevision: map[uint64][]discovery.Member{}, changed: make(chan struct{}),
		fullLists: make([]int, len(w.Agents)), watches: make([]int, len(w.Agents)), acknowledged: make([]uint64, len(w.Agents)),
	}
	for i := range w.Agents {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(i, w, r) }))
		t.Cleanup(s.Close)
		c.addrs = append(c.addrs, strings.TrimPrefix(s.URL, "http://"))
	}
	return c
}

func (c *fakeDiscovery) serve(agent int, w http.ResponseWriter, r *http.Request) {
	text := r.URL.Query().Get("after")
	after, _ := strconv.ParseUint(text, 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	c.mu.Lock()
	c.acknowledged[agent] = max(c.acknowledged[agent], after)
	if text == "" {
		c.fullLists[agent]++
	} else if ms > 0 {
		c.watches[agent]++
	}
	c.mu.Unlock()
	for waiting := text != ""; waiting; {
		c.mu.Lock()
		outdated, changed := c.revision > after, c.changed
		c.mu.Unlock()
		if outdated {
			break
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	l := discovery.EndpointList{Revision: &c.revision, Complete: text == "", Members: c.members}
	if text != "" {
		l.Members = []discovery.Member{}
		for rev := after + 1; rev <= c.revision; rev++ {
			l.Members = append(l.Members, c.changesByRevision[rev]...)
		}
	}
	json.NewEncoder(w).Encode(l)
}

// change creates a revision with one changed member and returns its number.
func (c *fakeDiscovery) change(m discovery.Member) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	c.changesByRevision[c.revision] = []discovery.Member{m}
	for i := range c.members {
		if c.members[i].ID == m.ID {
			c.members[i] = m
		}
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return c.revision
}

// fullListCount returns the number of full lists that all agents have requested.
func (c *fakeDiscovery) fullListCount() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, count := range c.fullLists {
		n += count
	}
	return n
}

// awaitWatches calls do and waits until each of the agents has started the given number of further watches. By then all
// earlier requests of these agents have arrived.
func (c *fakeDiscovery) awaitWatches(t *testing.T, agents []int, more int, do func()) {
	t.Helper()
	c.mu.Lock()
	before := append([]int(nil), c.watches...)
	c.mu.Unlock()
	do()
	waitFor(t, fmt.Sprintf("%d more watches per agent", more), func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, a := range agents {
			if c.watches[a] < before[a]+more {
				return false
			}
		}
		return true
	})
}

// tinyWorld returns a world of 24 servers with three layers.
func tinyWorld(t *testing.T, change func(*scenario.Scenario)) *world.World {
	t.Helper()
	s, err := scenario.Parse([]byte(`name = "tiny"
seconds = 10
seed = 7
[fleet]
servers = 24
services = 8
depth = 3
calls_per_second = 900
regions = 2
zones = 4
service_ms = 4
[agent]
must_ask_in_s = 2 # keeps the initial delays before the first poll short
`))
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(s)
	}
	w, err := world.Generate(s)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// allAgents returns the positions of all agents.
func allAgents(w *world.World) (out []int) {
	for i := range w.Agents {
		out = append(out, i)
	}
	return out
}

// startFleet starts all agents of a world with a fake discovery service. The fleet is closed when the test ends.
func startFleet(t *testing.T, w *world.World, change func(*Options)) (*Fleet, *fakeDiscovery) {
	t.Helper()
	c := newFakeDiscovery(t, w)
	o := Options{World: w, Agents: allAgents(w), Discovery: c.addrs}
	if change != nil {
		change(&o)
	}
	f, err := Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	if n := f.countReady(); n != len(o.Agents) {
		t.Fatalf("got %d agents with the endpoint list, want %d", n, len(o.Agents))
	}
	return f, c
}

// mergedCounts returns the sum of the shards' counts.
func (f *Fleet) mergedCounts() *shardCounts {
	all := new(shardCounts)
	for _, s := range f.shards {
		s.doSync(func() { all.merge(&s.counts) })
	}
	return all
}
