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

// An agent that starts with a known list asks for what has changed since, and for the whole list where discovery does
// not know that revision any more, or the known list is no whole one.
func TestStartsFromCachedEndpoints(t *testing.T) {
	x := agenttest.NewServer(t, agenttest.Serve)
	member := agenttest.Member("x", x.Addr, "Ready", 0)
	for _, c := range []struct {
		known, change string
		want          []string
	}{
		{string(agenttest.List(7, true, member)), string(agenttest.List(8, false)), []string{"after=7&wait_ms=", "after=8&wait_ms="}},
		{string(agenttest.List(7, true, member)), string(agenttest.List(3, false)), []string{"after=7&wait_ms=", "", "after=1&wait_ms="}},
		{string(agenttest.List(7, false, member)), "", []string{"", "after=1&wait_ms="}},
		{string(agenttest.List(7, true)), "", []string{"", "after=1&wait_ms="}},
	} {
		l := agenttest.NewDiscovery(t, agenttest.List(1, true, member))
		cfg := agenttest.Config(t, l.Listener.Addr().String(), agenttest.Settings)
		var err error
		if cfg.CachedEndpoints, err = discovery.Parse([]byte(c.known)); err != nil {
			t.Fatal(err)
		}
		a := launch(t, cfg)
		for i, want := range c.want {
			if q := agenttest.Receive(t, "call", l.Calls); !strings.HasPrefix(q, want) || want == "" && q != "" {
				t.Errorf("known %s: call %d asks %q, want %q", c.known, i, q, want)
			}
			if i == 0 && c.change != "" {
				l.Next <- []byte(c.change)
			}
		}
		a.awaitReady(t)
	}
}

// An agent that starts with an old list takes no client before discovery has answered it, or has failed to: the list may name
// servers whose removal counts as notified. One that cannot be answered takes clients in time.
func TestNoClientBeforeFirstRound(t *testing.T) {
	for name, c := range map[string]struct {
		mode    string
		answers bool // discovery answers in the end; it hangs otherwise
	}{
		"polled":         {`"subscribe"`, true},
		"pushed":         {`"automatic"`, true},
		"polled, silent": {`"subscribe"`, false},
		"pushed, silent": {`"automatic"`, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			removed, x := agenttest.NewServer(t, agenttest.Serve), agenttest.NewServer(t, agenttest.Serve)
			calls, answer := make(chan string, 100), make(chan []byte, 1)
			service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls <- r.URL.RawQuery
				select {
				case list := <-answer:
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
				t.Fatal("clients are taken before the first call has ended")
			case <-time.After(200 * time.Millisecond): // nothing shows that nothing happens
			}
			if !c.answers {
				agenttest.Receive(t, "listener", listening)
				if took := time.Since(started); took > 6*time.Second {
					t.Errorf("takes clients after %v", took)
				}
				return
			}
			answer <- agenttest.List(8, true, agenttest.Member("x", x.Addr, "Ready", 0))
			agenttest.Receive(t, "listener", listening)
			a := &testAgent{url: "http://" + listener.Addr().String(), client: &http.Client{Transport: &http.Transport{}}}
			if status, _ := a.do(t, a.request("safe", "15000m")); status != http.StatusOK || len(removed.Requests) > 0 {
				t.Errorf("answered %d, %d requests to the removed server", status, len(removed.Requests))
			}
		})
	}
}

// A server that drains gets nothing new once a watch has told so, and its list is followed without a gap.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	x, y := agenttest.NewServer(t, agenttest.Serve), agenttest.NewServer(t, agenttest.Serve)
	l := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("x", x.Addr, "Ready", 0), agenttest.Member("y", y.Addr, "Ready", 0)))
	a := start(t, agenttest.Config(t, l.Listener.Addr().String(), agenttest.Settings))
	if q := agenttest.Receive(t, "first call", l.Calls); q != "" {
		t.Errorf("the first call asks %q", q)
	}
	if q := agenttest.Receive(t, "watch", l.Calls); !strings.HasPrefix(q, "after=1&wait_ms=") {
		t.Errorf("the second call asks %q", q)
	}
	l.Next <- agenttest.List(2, false, agenttest.Member("x", x.Addr, "Terminating", 0))
	if q := agenttest.Receive(t, "watch", l.Calls); !strings.HasPrefix(q, "after=2&") {
		t.Errorf("the third call asks %q", q)
	}
	for range 40 {
		if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 {
			t.Fatalf("answered %d", status)
		}
	}
	if len(x.Requests) > 0 || len(y.Requests) != 40 {
		t.Errorf("%d sent to the draining one, %d to the other", len(x.Requests), len(y.Requests))
	}
}

// A reload moves to another discovery, which is asked for its whole list although its revisions are lower; the old
// one's watch is given up.
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
		t.Errorf("the first call asks %q", q)
	}
	if q := agenttest.Receive(t, "watch", next.Calls); !strings.HasPrefix(q, "after=2&") {
		t.Errorf("the second call asks %q", q)
	}
	for range 5 {
		if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 {
			t.Fatalf("answered %d", status)
		}
	}
	if len(x.Requests) > 0 || len(y.Requests) != 5 {
		t.Errorf("%d sent to the old list's server, %d to the new one's", len(x.Requests), len(y.Requests))
	}
	if n := len(old.Calls); n > 0 {
		t.Errorf("the old discovery was asked %d more times", n)
	}
}

// Without discovery, and with lists that cannot be read, the agent goes on with what it has; then it asks for
// the whole list.
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
			t.Errorf("after %s: asked %q", text, q)
		}
	}
	agenttest.Receive(t, "call again", l.Calls)
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 {
		t.Errorf("without discovery: answered %d", status)
	}
	l.SetList(func() []byte { return agenttest.List(9, true, agenttest.Member("y", y.Addr, "Ready", 0)) })
	for {
		if q := agenttest.Receive(t, "call", l.Calls); strings.HasPrefix(q, "after=9&") {
			break
		}
	}
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 || len(y.Requests) != 1 {
		t.Errorf("with discovery back: answered %d, %d at the new server", status, len(y.Requests))
	}
}

// Changes that do not follow the list held, as after a restart of discovery, lead to the whole list; so does a
// discovery that is silent when a watch is over.
func TestDiscoveryGapAndTimeout(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.Serve)
	l := agenttest.NewDiscovery(t, agenttest.List(8, true, agenttest.Member("x", b.Addr, "Ready", 0)))
	start(t, agenttest.Config(t, l.Listener.Addr().String(), agenttest.Settings))
	agenttest.Receive(t, "first call", l.Calls)
	agenttest.Receive(t, "watch", l.Calls)
	l.Next <- agenttest.List(3, false)
	if q := agenttest.Receive(t, "call after the gap", l.Calls); q != "" {
		t.Errorf("after a gap: asked %q", q)
	}
	for range 2 { // the watch that gets no answer, and the one after it
		if q := agenttest.Receive(t, "watch", l.Calls); !strings.HasPrefix(q, "after=8&") {
			t.Errorf("asked %q", q)
		}
	}
}

// Where the list must be asked for, the balancer hears of a failure and decides when to ask again.
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
	a := start(t, agenttest.Config(t, l.Listener.Addr().String(), set)) // which returns when the list has come
	if n := len(l.Calls); n < 3 {
		t.Errorf("up after %d calls, of which two failed", n)
	}
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 {
		t.Errorf("answered %d", status)
	}
}

// A call that hangs, in its dial or behind it, keeps neither the list of another discovery from coming after a move nor, once
// it comes up, the list of its own.
func TestHangingDiscoveryCalls(t *testing.T) {
	for _, mode := range []string{`"automatic"`, `"subscribe"`} {
		for _, how := range []string{"dial", "answer"} {
			for _, moves := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/moves %v", mode, how, moves), func(t *testing.T) {
					t.Parallel()
					x, y := agenttest.NewServer(t, agenttest.Serve), agenttest.NewServer(t, agenttest.Serve)
					next := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("y", y.Addr, "Ready", 0)))
					set := strings.NewReplacer(`"automatic"`, mode, `"extraFloor"`, `"mustAskIn":10000,"extraFloor"`).Replace(agenttest.Settings)
					addr, fd := agenttest.FullListener(t)
					if how == "answer" {
						addr = agenttest.NewServer(t, func(int, *http.Request) (string, bool) { return "", false }).Addr
					}
					cfg := agenttest.Config(t, addr, set)
					var err error
					if cfg.CachedEndpoints, err = discovery.Parse(agenttest.List(7, true, agenttest.Member("x", x.Addr, "Ready", 0))); err != nil {
						t.Fatal(err)
					}
					a := start(t, cfg)
					switch {
					case moves:
						moved := *cfg
						moved.Discovery = next.Listener.Addr().String()
						a.reloads <- config.ReloadResult{Config: &moved}
					case how == "dial":
						acceptPending(t, fd, next.Config.Handler)
					default:
						return // nothing comes up
					}
					started := time.Now()
					agenttest.Receive(t, "call", next.Calls)
					if took := time.Since(started); took > balancer.NotifyBoundAfterMigration {
						t.Errorf("asked after %v", took)
					}
				})
			}
		}
	}
}

// A process that knows a list is ready at once although discovery refuses all calls.
func TestReadyInTimeWithAList(t *testing.T) {
	text := strings.NewReplacer(`"discovery":"automatic"`, `"discovery":"subscribe"`, `"extraFloor"`, `"mustAskIn":10000,"extraFloor"`).Replace(agenttest.Settings)
	l := agenttest.NewDiscovery(t, nil) // refuses all
	cfg := agenttest.Config(t, l.Listener.Addr().String(), text)
	var err error
	if cfg.CachedEndpoints, err = discovery.Parse(agenttest.List(1, true, agenttest.Member("x", "127.0.0.1:1", "Ready", 0))); err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	if start(t, cfg); time.Since(started) > time.Second {
		t.Errorf("ready after %v with a list", time.Since(started))
	}
}
