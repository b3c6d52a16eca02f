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

// wait bounds what a test waits for; nothing passes by it.
const wait = 30 * time.Second

// until waits for something to hold.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for begun := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(begun) > wait {
			t.Fatalf("not within %v: %s", wait, what)
		}
	}
}

// fakeDiscovery is a discovery service with an address for each agent.
type fakeDiscovery struct {
	mu                sync.Mutex
	revision          uint64
	members           []discovery.Member
	changesByRevision map[uint64][]discovery.Member
	changed           chan struct{}
	addrs             []string
	fullLists         []int // that each agent asked for
	watches           []int // watches that each began
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
	over := time.After(time.Duration(ms) * time.Millisecond)
	c.mu.Lock()
	c.acknowledged[agent] = max(c.acknowledged[agent], after)
	if text == "" {
		c.fullLists[agent]++
	} else if ms > 0 {
		c.watches[agent]++
	}
	c.mu.Unlock()
	for waits := text != ""; waits; {
		c.mu.Lock()
		news, changed := c.revision > after, c.changed
		c.mu.Unlock()
		if news {
			break
		}
		select {
		case <-changed:
		case <-over:
			waits = false
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

// change makes a revision of one change.
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

// fullListCount returns how many full lists all agents have asked for.
func (c *fakeDiscovery) fullListCount() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.fullLists {
		n += w
	}
	return n
}

// afterWatches waits until each agent has begun so many more watches. Whatever else it wanted before, it has asked for.
func (c *fakeDiscovery) afterWatches(t *testing.T, agents []int, more int, do func()) {
	t.Helper()
	c.mu.Lock()
	before := append([]int(nil), c.watches...)
	c.mu.Unlock()
	do()
	until(t, fmt.Sprintf("%d more watches of each", more), func() bool {
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

// tinyWorld is a fleet of 24 servers, three deep.
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
must_ask_in_s = 2 # so that nobody waits long for its turn at the start
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

// everyone returns the positions of all agents.
func everyone(w *world.World) (out []int) {
	for i := range w.Agents {
		out = append(out, i)
	}
	return out
}

// started starts a world's agents with a discovery service.
func started(t *testing.T, w *world.World, change func(*Options)) (*Fleet, *fakeDiscovery) {
	t.Helper()
	c := newFakeDiscovery(t, w)
	o := Options{World: w, Agents: everyone(w), Discovery: c.addrs}
	if change != nil {
		change(&o)
	}
	f, err := Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	if n := f.countReady(); n != len(o.Agents) {
		t.Fatalf("%d agents of %d hold the list", n, len(o.Agents))
	}
	return f, c
}

// mergedCounts adds up what the shards have counted.
func (f *Fleet) mergedCounts() *shardCounts {
	all := new(shardCounts)
	for _, s := range f.shards {
		s.doSync(func() { all.merge(&s.counts) })
	}
	return all
}
