package agent

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/config"
	"example.org/ryeloft/internal/discovery"
)

// An agent that starts with a known list asks for what has changed since, and for the whole list where discovery does
// not know that revision any more, or the known list is no whole one.
func TestStartsFromTheKnownList(t *testing.T) {
	x := NewServer(t, Serve)
	member := Member("x", x.Addr, "Ready", 0)
	for _, c := range []struct {
		known, change string
		want          []string
	}{
		{string(List(7, true, member)), string(List(8, false)), []string{"after=7&wait_ms=", "after=8&wait_ms="}},
		{string(List(7, true, member)), string(List(3, false)), []string{"after=7&wait_ms=", "", "after=1&wait_ms="}},
		{string(List(7, false, member)), "", []string{"", "after=1&wait_ms="}},
		{string(List(7, true)), "", []string{"", "after=1&wait_ms="}},
	} {
		l := NewDiscovery(t, List(1, true, member))
		cfg := Config(t, l.Listener.Addr().String(), Settings)
		var err error
		if cfg.CachedEndpoints, err = discovery.Parse([]byte(c.known)); err != nil {
			t.Fatal(err)
		}
		start(t, cfg)
		for i, want := range c.want {
			if q := Receive(t, "call", l.Calls); !strings.HasPrefix(q, want) || want == "" && q != "" {
				t.Errorf("known %s: call %d asks %q, want %q", c.known, i, q, want)
			}
			if i == 0 && c.change != "" {
				l.Next <- []byte(c.change)
			}
		}
	}
}

// A backend that drains gets nothing new once a watch has told so, and its list is followed without a gap.
func TestDrain(t *testing.T) {
	x, y := NewServer(t, Serve), NewServer(t, Serve)
	l := NewDiscovery(t, List(1, true, Member("x", x.Addr, "Ready", 0), Member("y", y.Addr, "Ready", 0)))
	a := start(t, Config(t, l.Listener.Addr().String(), Settings))
	if q := Receive(t, "first call", l.Calls); q != "" {
		t.Errorf("the first call asks %q", q)
	}
	if q := Receive(t, "watch", l.Calls); !strings.HasPrefix(q, "after=1&wait_ms=") {
		t.Errorf("the second call asks %q", q)
	}
	l.Next <- List(2, false, Member("x", x.Addr, "Terminating", 0))
	if q := Receive(t, "watch", l.Calls); !strings.HasPrefix(q, "after=2&") {
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
func TestReload(t *testing.T) {
	x, y := NewServer(t, Serve), NewServer(t, Serve)
	old := NewDiscovery(t, List(7, true, Member("x", x.Addr, "Ready", 0)))
	next := NewDiscovery(t, List(2, true, Member("y", y.Addr, "Ready", 0)))
	cfg := Config(t, old.Listener.Addr().String(), Settings)
	a := start(t, cfg)
	Receive(t, "first call", old.Calls)
	Receive(t, "watch", old.Calls)
	moved := *cfg
	moved.Discovery = next.Listener.Addr().String()
	a.reloads <- config.ReloadResult{Config: &moved}
	if q := Receive(t, "call to the new discovery", next.Calls); q != "" {
		t.Errorf("the first call asks %q", q)
	}
	if q := Receive(t, "watch", next.Calls); !strings.HasPrefix(q, "after=2&") {
		t.Errorf("the second call asks %q", q)
	}
	for range 5 {
		if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 {
			t.Fatalf("answered %d", status)
		}
	}
	if len(x.Requests) > 0 || len(y.Requests) != 5 {
		t.Errorf("%d sent to the old list's backend, %d to the new one's", len(x.Requests), len(y.Requests))
	}
	if n := len(old.Calls); n > 0 {
		t.Errorf("the old discovery was asked %d more times", n)
	}
}

// Without discovery, and with lists that cannot be read, the agent goes on with what it has; then it asks for
// the whole list.
func TestDiscoveryLoss(t *testing.T) {
	x, y := NewServer(t, Serve), NewServer(t, Serve)
	l := NewDiscovery(t, List(1, true, Member("x", x.Addr, "Ready", 0)))
	a := start(t, Config(t, l.Listener.Addr().String(), Settings))
	Receive(t, "first call", l.Calls)
	for i, text := range []string{"no list", `{"revision":7,"complete":true,"members":[{"id":"x","phase":"Odd"}]}`, `{"complete":true}`} {
		Receive(t, "watch", l.Calls)
		if i == 2 {
			l.SetList(func() []byte { return nil })
		}
		l.Next <- []byte(text)
		if q := Receive(t, "call", l.Calls); q != "" {
			t.Errorf("after %s: asked %q", text, q)
		}
	}
	Receive(t, "call again", l.Calls)
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 {
		t.Errorf("without discovery: answered %d", status)
	}
	l.SetList(func() []byte { return List(9, true, Member("y", y.Addr, "Ready", 0)) })
	for {
		if q := Receive(t, "call", l.Calls); strings.HasPrefix(q, "after=9&") {
			break
		}
	}
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 || len(y.Requests) != 1 {
		t.Errorf("with discovery back: answered %d, %d at the new backend", status, len(y.Requests))
	}
}

// Changes that do not follow the list held, as after a restart of discovery, lead to the whole list; so does a
// discovery that is silent when a watch is over.
func TestDiscoveryGapAndSilence(t *testing.T) {
	b := NewServer(t, Serve)
	l := NewDiscovery(t, List(8, true, Member("x", b.Addr, "Ready", 0)))
	start(t, Config(t, l.Listener.Addr().String(), Settings))
	Receive(t, "first call", l.Calls)
	Receive(t, "watch", l.Calls)
	l.Next <- List(3, false)
	if q := Receive(t, "call after the gap", l.Calls); q != "" {
		t.Errorf("after a gap: asked %q", q)
	}
	for range 2 { // the watch that gets no answer, and the one after it
		if q := Receive(t, "watch", l.Calls); !strings.HasPrefix(q, "after=8&") {
			t.Errorf("asked %q", q)
		}
	}
}

// Where the list must be asked for, the module hears of a failure and decides when to ask again.
func TestAskedDiscovery(t *testing.T) {
	b := NewServer(t, Serve)
	set := strings.Replace(Settings, `"automatic"`, `"subscribe"`, 1)
	set = strings.Replace(set, `"extraFloor"`, `"mustAskIn":50,"extraFloor"`, 1)
	whole := List(1, true, Member("x", b.Addr, "Ready", 0))
	calls := 0
	l := NewDiscovery(t, whole)
	l.SetList(func() []byte {
		if calls++; calls <= 2 {
			return nil
		}
		return whole
	})
	a := start(t, Config(t, l.Listener.Addr().String(), set)) // which returns when the list has come
	if n := len(l.Calls); n < 3 {
		t.Errorf("up after %d calls, of which two failed", n)
	}
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != 200 {
		t.Errorf("answered %d", status)
	}
}

// A call that hangs, in its dial or behind it, keeps neither the list of another discovery from coming after a move nor, once
// it comes up, the list of its own.
func TestCallsThatHang(t *testing.T) {
	for _, mode := range []string{`"automatic"`, `"subscribe"`} {
		for _, how := range []string{"dial", "answer"} {
			for _, moves := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/moves %v", mode, how, moves), func(t *testing.T) {
					t.Parallel()
					x, y := NewServer(t, Serve), NewServer(t, Serve)
					next := NewDiscovery(t, List(1, true, Member("y", y.Addr, "Ready", 0)))
					set := strings.NewReplacer(`"automatic"`, mode, `"extraFloor"`, `"mustAskIn":10000,"extraFloor"`).Replace(Settings)
					addr, fd := FullListener(t)
					if how == "answer" {
						addr = NewServer(t, func(int, *http.Request) (string, bool) { return "", false }).Addr
					}
					cfg := Config(t, addr, set)
					var err error
					if cfg.CachedEndpoints, err = discovery.Parse(List(7, true, Member("x", x.Addr, "Ready", 0))); err != nil {
						t.Fatal(err)
					}
					a := start(t, cfg)
					switch {
					case moves:
						moved := *cfg
						moved.Discovery = next.Listener.Addr().String()
						a.reloads <- config.ReloadResult{Config: &moved}
					case how == "dial":
						accept(t, fd, next.Config.Handler)
					default:
						return // nothing comes up
					}
					begun := time.Now()
					Receive(t, "call", next.Calls)
					if took := time.Since(begun); took > balancer.NotifyBoundAfterMigration {
						t.Errorf("asked after %v", took)
					}
				})
			}
		}
	}
}

// A process that knows a list is ready at once although discovery refuses all calls.
func TestReadyInTimeWithAList(t *testing.T) {
	text := strings.NewReplacer(`"discovery":"automatic"`, `"discovery":"subscribe"`, `"extraFloor"`, `"mustAskIn":10000,"extraFloor"`).Replace(Settings)
	l := NewDiscovery(t, nil) // refuses all
	cfg := Config(t, l.Listener.Addr().String(), text)
	var err error
	if cfg.CachedEndpoints, err = discovery.Parse(List(1, true, Member("x", "127.0.0.1:1", "Ready", 0))); err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	if start(t, cfg); time.Since(begun) > time.Second {
		t.Errorf("ready after %v with a list", time.Since(begun))
	}
}
