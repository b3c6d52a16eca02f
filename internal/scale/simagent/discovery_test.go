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

// control is a discovery service with an address for each agent.
type control struct {
	mu       sync.Mutex
	revision uint64
	members  []discovery.Member
	log      map[uint64][]discovery.Member // changes by revision
	changed  chan struct{}
	addrs    []string
	whole    []int // whole lists that each agent asked for
	watches  []int // watches that each began
	acked    []uint64
}

func newControl(t *testing.T, w *world.World) *control {
	c := &control{
		revision: 1, members: w.Members(time.Now()), log: map[uint64][]discovery.Member{}, changed: make(chan struct{}),
		whole: make([]int, len(w.Agents)), watches: make([]int, len(w.Agents)), acked: make([]uint64, len(w.Agents)),
	}
	for i := range w.Agents {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(i, w, r) }))
		t.Cleanup(s.Close)
		c.addrs = append(c.addrs, strings.TrimPrefix(s.URL, "http://"))
	}
	return c
}

func (c *control) serve(agent int, w http.ResponseWriter, r *http.Request) {
	text := r.URL.Query().Get("after")
	after, _ := strconv.ParseUint(text, 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	over := time.After(time.Duration(ms) * time.Millisecond)
	c.mu.Lock()
	c.acked[agent] = max(c.acked[agent], after)
	if text == "" {
		c.whole[agent]++
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
			l.Members = append(l.Members, c.log[rev]...)
		}
	}
	json.NewEncoder(w).Encode(l)
}

// change makes a revision of one change.
func (c *control) change(m discovery.Member) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	c.log[c.revision] = []discovery.Member{m}
	for i := range c.members {
		if c.members[i].ID == m.ID {
			c.members[i] = m
		}
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return c.revision
}

// asked returns how many whole lists all agents have asked for.
func (c *control) asked() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.whole {
		n += w
	}
	return n
}

// afterWatches waits until each agent has begun so many more watches. Whatever else it wanted before, it has asked for.
func (c *control) afterWatches(t *testing.T, agents []int, more int, do func()) {
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
	w, err := world.Draw(s)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// everyone returns the places of all agents.
func everyone(w *world.World) (out []int) {
	for i := range w.Agents {
		out = append(out, i)
	}
	return out
}

// started starts a world's agents and its control.
func started(t *testing.T, w *world.World, change func(*Options)) (*Fleet, *control) {
	t.Helper()
	c := newControl(t, w)
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

// tally adds up what the shards have counted.
func (f *Fleet) tally() *shardCounts {
	all := new(shardCounts)
	for _, s := range f.shards {
		s.doSync(func() { all.merge(&s.counts) })
	}
	return all
}
