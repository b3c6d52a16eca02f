package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/config"
	"example.org/ryeloft/internal/discovery"
)

// An agent that starts with a cached endpoint list requests the changes since its revision. It requests the complete
// list if discovery no longer knows that revision, or if the cached list is incomplete or empty.
func TestStartsFromCachedEndpoints(t *testing.T) {
	x := agenttest.NewServer(t, agenttest.Serve)
	member := agenttest.Member("x", x.Addr, "Ready", 0)
	for _, c := range []struct {
		cached, change string
		want           []string // queries
	}{
		{string(agenttest.List(7, true, member)), string(agenttest.List(8, false)), []string{"after=7&wait_ms=", "after=8&wait_ms="}},
		{string(agenttest.List(7, true, member)), string(agenttest.List(3, false)), []string{"after=7&wait_ms=", "", "after=1&wait_ms="}},
		{string(agenttest.List(7, false, member)), "", []string{"", "after=1&wait_ms="}},
		{string(agenttest.List(7, true)), "", []string{"", "after=1&wait_ms="}},
	} {
		l := agenttest.NewDiscovery(t, agenttest.List(1, true, member))
		cfg := agenttest.Config(t, l.Listener.Addr().String(), agenttest.Settings)
		var err error
		if cfg.CachedEndpoints, err = discovery.Parse([]byte(c.cached)); err != nil {
			t.Fatal(err)
		}
		a := launch(t, cfg)
		for i, want := range c.want {
			if q := agenttest.Receive(t, "call", l.Calls); !strings.HasPrefix(q, want) || want == "" && q != "" {
				t.Errorf("cached list %s, call %d: got query %q, want %q", c.cached, i, q, want)
			}
			if i == 0 && c.change != "" {
				l.Next <- []byte(c.change)
			}
		}
		a.awaitReady(t)
	}
}

// An agent that starts with an old list accepts no clients until the first round of discovery calls has ended, since
// the list may contain servers whose removal counts as notified. If discovery does not respond, the agent still accepts
// clients within 6 s.
func TestNoClientBeforeFirstRound(t *testing.T) {
	for name, c := range map[string]struct {
		mode     string
		responds bool // discovery responds after a delay; otherwise it hangs
	}{
		"polled":              {`"subscribe"`, true},
		"pushed":              {`"automatic"`, true},
		"polled, no response": {`"subscribe"`, false},
		"pushed, no response": {`"automatic"`, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			removed, x := agenttest.NewServer(t, agenttest.Serve), agenttest.NewServer(t, agenttest.Serve)
			calls, response := make(chan string, 100), make(chan []byte, 1)
			service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls <- r.URL.RawQuery
				select {
				case list := <-response:
					_, _ = w.Write(list)
				case <-r.Context().Done():
				}
			}))
			defer service.Close()
			defer service.CloseClientConnections()
			text := strings.NewReplacer(`"automatic"`, c.mode, `"extraFloor"`, `"mustAskIn":10000,"extraFloor"`).Replace(agenttest.Settings)
			cfg := agenttest.Config(t, service.Listener.Addr().String(), text)
			var err error
			if cfg.CachedEndpoints, err = discovery.Parse(agenttest.List(7, true, agenttest.Member("removed", removed.Addr, "Ready", 0))); err != nil {
				t.Fatal(err)
			}
			started := time.Now()
			listening := make(chan struct{})
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			listener, err := listen(ctx, cfg.Listen, false)
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				_ = run(ctx, cfg, nil, agenttest.DiscardLogger, func() (*net.TCPListener, error) {
					close(listening)
					return listener, nil
				})
			}()
			agenttest.Receive(t, "call", calls)
			select {
			case <-listening:
				t.Fatal("the agent accepts clients before the first call has ended")
			case <-time.After(200 * time.Millisecond): // no event shows that the agent keeps waiting
			}
			if !c.responds {
				agenttest.Receive(t, "listener", listening)
				if took := time.Since(started); took > 6*time.Second {
					t.Errorf("accepted clients after %v, want at most 6s", took)
				}
				return
			}
			response <- agenttest.List(8, true, agenttest.Member("x", x.Addr, "Ready", 0))
			agenttest.Receive(t, "listener", listening)
			a := &testAgent{url: "http://" + listener.Addr().String(), client: &http.Client{Transport: &http.Transport{}}}
			if status, _ := a.do(t, a.request("safe", "15000m")); status != http.StatusOK || len(removed.Requests) > 0 {
				t.Errorf("got status %d and %d requests at the removed server, want 200 and none", status, len(removed.Requests))
			}
		})
	}
}

// A draining server gets no new requests once a watch has returned the change, and the next watch continues from the
// revision of that change.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	x, y := agenttest.NewServer(t, agenttest.Serve), agenttest.NewServer(t, agenttest.Serve)
	l := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("x", x.Addr, "Ready", 0), agenttest.Member("y", y.Addr, "Ready", 0)))
	a := start(t, agenttest.Config(t, l.Listener.Addr().String(), agenttest.Settings))
	if q := agenttest.Receive(t, "first call", l.Calls); q != "" {
		t.Errorf("first call: got query %q, want none", q)
	}
	if q := agenttest.Receive(t, "watch", l.Calls); !strings.HasPrefix(q, "after=1&wait_ms=") {
		t.Errorf("second call: got query %q, want a watch after 1", q)
	}
	l.Next <- agenttest.List(2, false, agenttest.Member("x", x.Addr, "Terminating", 0))
	if q := agenttest.Receive(t, "watch", l.Calls); !strings.HasPrefix(q, "after=2&") {
		t.Errorf("third call: got query %q, want a watch after 2", q)
	}
	for range 40 {
		if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 {
			t.Fatalf("got status %d, want 200", status)
		}
	}
	if len(x.Requests) > 0 || len(y.Requests) != 40 {
		t.Errorf("got %d requests at the draining server and %d at the other, want 0 and 40", len(x.Requests), len(y.Requests))
	}
}

// After a reload with another discovery address, the agent requests the complete list there, even though its revisions
// are lower, and abandons the watch at the old address.
func TestReloadMigratesDiscovery(t *testing.T) {
	x, y := agenttest.NewServer(t, agenttest.Serve), agenttest.NewServer(t, agenttest.Serve)
	old := agenttest.NewDiscovery(t, agenttest.List(7, true, agenttest.Member("x", x.Addr, "Ready", 0)))
	next := agenttest.NewDiscovery(t, agenttest.List(2, true, agenttest.Member("y", y.Addr, "Ready", 0)))
	cfg := agenttest.Config(t, old.Listener.Addr().String(), agenttest.Settings)
	a := start(t, cfg)
	agenttest.Receive(t, "first call", old.Calls)
	agenttest.Receive(t, "watch", old.Calls)
	moved := *cfg
	moved.Discovery = next.Listener.Addr().String()
	a.reloads <- config.ReloadResult{Config: &moved}
	if q := agenttest.Receive(t, "call to the new discovery", next.Calls); q != "" {
		t.Errorf("first call: got query %q, want none", q)
	}
	if q := agenttest.Receive(t, "watch", next.Calls); !strings.HasPrefix(q, "after=2&") {
		t.Errorf("second call: got query %q, want a watch after 2", q)
	}
	for range 5 {
		if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 {
			t.Fatalf("got status %d, want 200", status)
		}
	}
	if len(x.Requests) > 0 || len(y.Requests) != 5 {
		t.Errorf("got %d requests at the old list's server and %d at the new one's, want 0 and 5", len(x.Requests), len(y.Requests))
	}
	if n := len(old.Calls); n > 0 {
		t.Errorf("got %d more calls at the old discovery, want none", n)
	}
}

// If discovery is down or returns a list that cannot be read, the agent keeps its current list, and its next call
// requests the complete list.
func TestDiscoveryFailures(t *testing.T) {
	x, y := agenttest.NewServer(t, agenttest.Serve), agenttest.NewServer(t, agenttest.Serve)
	l := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("x", x.Addr, "Ready", 0)))
	a := start(t, agenttest.Config(t, l.Listener.Addr().String(), agenttest.Settings))
	agenttest.Receive(t, "first call", l.Calls)
	for i, text := range []string{"no list", `{"revision":7,"complete":true,"members":[{"id":"x","phase":"Odd"}]}`, `{"complete":true}`} {
		agenttest.Receive(t, "watch", l.Calls)
		if i == 2 {
			l.SetList(func() []byte { return nil })
		}
		l.Next <- []byte(text)
		if q := agenttest.Receive(t, "call", l.Calls); q != "" {
			t.Errorf("after %s: got query %q, want none", text, q)
		}
	}
	agenttest.Receive(t, "repeated call", l.Calls)
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 {
		t.Errorf("without discovery: got status %d, want 200", status)
	}
	l.SetList(func() []byte { return agenttest.List(9, true, agenttest.Member("y", y.Addr, "Ready", 0)) })
	for {
		if q := agenttest.Receive(t, "call", l.Calls); strings.HasPrefix(q, "after=9&") {
			break
		}
	}
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 || len(y.Requests) != 1 {
		t.Errorf("with discovery back: got status %d and %d requests at the new server, want 200 and 1", status, len(y.Requests))
	}
}

// After changes that do not continue the current list, as from a restarted discovery, the agent requests the complete
// list. A watch that gets no response in time is followed by another watch for the same revision.
func TestDiscoveryGapAndTimeout(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.Serve)
	l := agenttest.NewDiscovery(t, agenttest.List(8, true, agenttest.Member("x", b.Addr, "Ready", 0)))
	start(t, agenttest.Config(t, l.Listener.Addr().String(), agenttest.Settings))
	agenttest.Receive(t, "first call", l.Calls)
	agenttest.Receive(t, "watch", l.Calls)
	l.Next <- agenttest.List(3, false)
	if q := agenttest.Receive(t, "call after the gap", l.Calls); q != "" {
		t.Errorf("after a gap: got query %q, want none", q)
	}
	for range 2 { // the watch that gets no response, and the one after it
		if q := agenttest.Receive(t, "watch", l.Calls); !strings.HasPrefix(q, "after=8&") {
			t.Errorf("got query %q, want a watch after 8", q)
		}
	}
}

// If endpoints must be polled, the balancer is notified of a failed poll and decides when to poll again.
func TestPolledDiscovery(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.Serve)
	set := strings.Replace(agenttest.Settings, `"automatic"`, `"subscribe"`, 1)
	set = strings.Replace(set, `"extraFloor"`, `"mustAskIn":50,"extraFloor"`, 1)
	list := agenttest.List(1, true, agenttest.Member("x", b.Addr, "Ready", 0))
	calls := 0
	l := agenttest.NewDiscovery(t, list)
	l.SetList(func() []byte {
		if calls++; calls <= 2 {
			return nil
		}
		return list
	})
	a := start(t, agenttest.Config(t, l.Listener.Addr().String(), set)) // returns once a poll has succeeded
	if n := len(l.Calls); n < 3 {
		t.Errorf("ready after %d calls, want at least 3, since two fail", n)
	}
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 {
		t.Errorf("got status %d, want 200", status)
	}
}

// A call that hangs, while connecting or while waiting for the response, does not delay the first call to another
// discovery after a reload. Nor does a hanging connection attempt delay the call to the same discovery once it accepts
// connections.
func TestHangingDiscoveryCalls(t *testing.T) {
	for _, mode := range []string{`"automatic"`, `"subscribe"`} {
		for _, how := range []string{"dial", "response"} {
			for _, migrates := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/migrates %v", mode, how, migrates), func(t *testing.T) {
					t.Parallel()
					x, y := agenttest.NewServer(t, agenttest.Serve), agenttest.NewServer(t, agenttest.Serve)
					next := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("y", y.Addr, "Ready", 0)))
					set := strings.NewReplacer(`"automatic"`, mode, `"extraFloor"`, `"mustAskIn":10000,"extraFloor"`).Replace(agenttest.Settings)
					addr, fd := agenttest.FullListener(t)
					if how == "response" {
						addr = agenttest.NewServer(t, func(int, *http.Request) (string, bool) { return "", false }).Addr
					}
					cfg := agenttest.Config(t, addr, set)
					var err error
					if cfg.CachedEndpoints, err = discovery.Parse(agenttest.List(7, true, agenttest.Member("x", x.Addr, "Ready", 0))); err != nil {
						t.Fatal(err)
					}
					a := start(t, cfg)
					switch {
					case migrates:
						moved := *cfg
						moved.Discovery = next.Listener.Addr().String()
						a.reloads <- config.ReloadResult{Config: &moved}
					case how == "dial":
						acceptPending(t, fd, next.Config.Handler)
					default:
						return // this discovery never responds, so there is no call to wait for
					}
					started := time.Now()
					agenttest.Receive(t, "call", next.Calls)
					if took := time.Since(started); took > balancer.NotifyBoundAfterMigration {
						t.Errorf("called after %v, want at most %v", took, balancer.NotifyBoundAfterMigration)
					}
				})
			}
		}
	}
}

// A process with a cached list is ready without delay even though discovery rejects all calls.
func TestReadyInTimeWithAList(t *testing.T) {
	text := strings.NewReplacer(`"discovery":"automatic"`, `"discovery":"subscribe"`, `"extraFloor"`, `"mustAskIn":10000,"extraFloor"`).Replace(agenttest.Settings)
	l := agenttest.NewDiscovery(t, nil) // rejects all calls
	cfg := agenttest.Config(t, l.Listener.Addr().String(), text)
	var err error
	if cfg.CachedEndpoints, err = discovery.Parse(agenttest.List(1, true, agenttest.Member("x", "127.0.0.1:1", "Ready", 0))); err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	if start(t, cfg); time.Since(started) > time.Second {
		t.Errorf("ready after %v with a cached list, want at most 1s", time.Since(started))
	}
}
