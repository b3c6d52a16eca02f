package agent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/discovery"
)

// One of 1,024 agents, limited to 32 MB and 256 sockets, follows indented lists of 1,024 servers with the longest ids,
// both complete lists and changes. It applies nothing of an invalid list and requests the complete list.
func TestLargeEndpointList(t *testing.T) {
	const size, longestID = 1024, 256 // members, bytes
	x, y := agenttest.NewServer(t, agenttest.Serve), agenttest.NewServer(t, agenttest.Serve)
	list := func(revision int, complete bool, phase string, include func(i int) bool) []byte {
		var members []string
		for i := range size {
			addr := x.Addr
			if i%2 == 1 {
				addr = y.Addr
			}
			if include(i) {
				members = append(members, agenttest.Member(fmt.Sprintf("%0*d", longestID, i), addr, phase, i))
			}
		}
		var text bytes.Buffer
		if err := json.Indent(&text, agenttest.List(revision, complete, members...), "", "    "); err != nil {
			t.Fatal(err)
		}
		return text.Bytes()
	}
	all := func(int) bool { return true }
	l := agenttest.NewDiscovery(t, list(1, true, "Ready", all))
	settings := strings.NewReplacer(`"replicasOfMe":1,"rank":0`, fmt.Sprintf(`"replicasOfMe":%d,"rank":%d`, size, size-1)).Replace(agenttest.Settings)
	cfg := agenttest.Config(t, l.Listener.Addr().String(), settings)
	cfg.MemoryMB, cfg.Sockets = 32, 256
	cached, err := discovery.Parse(list(1, true, "Ready", all))
	if err != nil {
		t.Fatal(err)
	}
	cfg.CachedEndpoints = cached
	a := start(t, cfg)
	// requestsPerServer sends 20 requests and returns how many each server got.
	requestsPerServer := func() (got [2]int) {
		for range 20 {
			if status, _ := a.do(t, a.request("safe", "15000m")); status != 200 {
				t.Fatalf("got status %d, want 200", status)
			}
			select {
			case <-x.Requests:
				got[0]++
			case <-y.Requests:
				got[1]++
			}
		}
		return got
	}
	agenttest.Receive(t, "first call", l.Calls)
	agenttest.Receive(t, "watch", l.Calls)
	if got := requestsPerServer(); got[0] == 0 || got[1] == 0 {
		t.Errorf("cached list: got %v requests at the servers, want some at each", got)
	}
	for i, c := range []struct {
		text  []byte
		x, y  bool   // whether each server gets requests afterwards
		query string // of the next call
	}{
		{list(2, false, "Terminating", func(i int) bool { return i%2 == 0 }), false, true, "after=2&"},
		{bytes.Replace(list(3, true, "Ready", all), []byte(`"Ready"`), []byte(`"Odd"`), 1), true, true, ""},
		{list(4, false, "Gone", func(i int) bool { return i%2 == 1 }), true, false, "after=4&"},
	} {
		if i == 2 { // the invalid list was followed by the complete one
			if q := agenttest.Receive(t, "watch", l.Calls); !strings.HasPrefix(q, "after=1&") {
				t.Errorf("after the complete list: got query %q, want a watch after 1", q)
			}
		}
		l.Next <- c.text
		if q := agenttest.Receive(t, "call", l.Calls); !strings.HasPrefix(q, c.query) || c.query == "" && q != "" {
			t.Errorf("list %d: got query %q, want %q", i, q, c.query)
		}
		if c.query == "" { // the complete list follows immediately, with all servers ready
			continue
		}
		time.Sleep(100 * time.Millisecond) // until the loop has applied the list
		if got := requestsPerServer(); got[0] > 0 != c.x || got[1] > 0 != c.y {
			t.Errorf("list %d: got %v requests at the servers, want some at x: %v, at y: %v", i, got, c.x, c.y)
		}
	}
}
