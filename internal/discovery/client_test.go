package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
)

// testTimeout bounds what a test waits for; nothing passes by it.
const testTimeout = 20 * time.Second

func receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// A call for the list that hangs is given up before the platform counts what it missed as notified, 6 s from its begin, with
// time for another, be it a watch or not.
func TestHangingCallsTimeOut(t *testing.T) {
	revision := uint64(41)
	for _, c := range []struct {
		pollMode   bool
		revision   *uint64
		maxTimeout time.Duration
	}{
		{true, nil, 4 * time.Second}, {false, nil, 4 * time.Second},
		{true, &revision, 4 * time.Second}, {false, &revision, 4 * time.Second},
	} {
		set := &settings.Settings{Balancer: balancer.Settings{Agents: 1, PollEndpoints: c.pollMode}}
		d := New(Options{Addr: "127.0.0.1:1", Settings: func() *settings.Settings { return set }, Log: slog.New(slog.DiscardHandler)})
		d.revision = c.revision
		d.httpClient.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
			if due, ok := r.Context().Deadline(); !ok || time.Until(due) > c.maxTimeout {
				t.Errorf("poll mode %v, list held %v: waits until %v, want %v at most", c.pollMode, c.revision != nil, due, c.maxTimeout)
			}
			return nil, errors.New("no discovery")
		})
		watchWait := defaultWatchWait
		switch {
		case c.revision == nil:
			watchWait = 0
		case c.pollMode:
			watchWait = minWatchWait + watchCycle
		}
		d.pollOrWatch(t.Context(), t.Context(), watchWait)
	}
}

// A list is accepted as a whole or not at all, and the error says what cannot be used.
func TestParse(t *testing.T) {
	const good = `{"revision":7,"complete":true,"members":[
	 {"id":"x","host_port":"10.0.0.1:80","locality":"a","flavor":"m1","cell":3,"phase":"Ready","size":2,"up_since_ms":5},
	 {"id":"y","phase":"Gone"}]}`
	l, err := Parse([]byte(good))
	if err != nil || *l.Revision != 7 || !l.Complete || len(l.Members) != 2 ||
		l.Members[0] != (Member{"x", "10.0.0.1:80", "a", "m1", 3, "Ready", 2, 5}) {
		t.Fatalf("%+v, error %v", l, err)
	}
	for _, c := range []struct{ what, old, new string }{
		{"unexpected end", good, good[:len(good)/2]},
		{"no revision", `"revision":7,`, ``},
		{"members[0].id", `"id":"x"`, `"id":""`},
		{"members[1].id", `"id":"y"`, `"id":"x"`},
		{"members[1].id", `"id":"y"`, fmt.Sprintf(`"id":%q`, strings.Repeat("y", maxMemberIDBytes+1))},
		{"members[0].phase", `"Ready"`, `"Odd"`},
		{"members[0].up_since_ms", `:5}`, `:-1}`},
		{"members[0].up_since_ms", `:5}`, `:9e12}`},
		{"members[0].host_port", `10.0.0.1:80`, `there:80`},
	} {
		l, err := Parse([]byte(strings.Replace(good, c.old, c.new, 1)))
		if !errors.Is(err, ErrMalformedList) || !strings.Contains(err.Error(), c.what) || l.Members != nil {
			t.Errorf("%s: %+v, error %v", c.what, l, err)
		}
	}
}

// Each call is counted once, with its wait, its duration and its error, before its result is notified; the event says its revision;
// and all calls go through the dial that the client is given.
func TestCallsAreReportedAndUseDial(t *testing.T) {
	answers := make(chan string)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case text := <-answers:
			fmt.Fprint(w, text)
		case <-r.Context().Done():
		}
	}))
	defer s.Close()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	dialed := make(chan string, 100)
	calls := make(chan PollResult, 100)
	events := make(chan WatchEvent, 100)
	set := &settings.Settings{Balancer: balancer.Settings{Agents: 1}}
	d := New(Options{
		Addr: "127.0.0.1:1", Settings: func() *settings.Settings { return set }, Log: slog.New(slog.DiscardHandler),
		Notify: func(event WatchEvent) {
			if len(calls) == 0 {
				t.Errorf("notified of %+v, and no call is counted", event)
			}
			events <- event
		},
		OnPoll: func(c PollResult) { calls <- c },
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			dialed <- addr
			return (&net.Dialer{}).DialContext(ctx, network, s.Listener.Addr().String())
		},
	})
	ended := make(chan struct{})
	go func() { d.Run(ctx, nil); close(ended) }()
	for i, c := range []struct {
		text     string
		wait     time.Duration
		fails    bool
		update   balancer.DiscoveryUpdate // notified, if it does not fail
		revision uint64
	}{
		{`{"revision":4,"complete":true,"members":[{"id":"x","host_port":"10.0.0.1:80","phase":"Ready"}]}`, 0, false, balancer.EndpointsReplaced, 4},
		{`{"revision":6,"complete":false,"members":[{"id":"x","phase":"Gone"}]}`, defaultWatchWait, false, balancer.EndpointsChanged, 6},
		{`no list`, defaultWatchWait, true, 0, 0},
		{`{"revision":9,"complete":true,"members":[]}`, 0, false, balancer.EndpointsReplaced, 9},
	} {
		select {
		case answers <- c.text:
		case <-time.After(testTimeout):
			t.Fatalf("no call %d", i)
		}
		if !c.fails {
			if event := receive(t, "event", events); event.Update != c.update || event.Revision != c.revision {
				t.Errorf("call %d: notified of %+v", i, event)
			}
		}
		got := receive(t, "count", calls)
		if got.Wait != c.wait || got.Duration <= 0 || errors.Is(got.Err, ErrMalformedList) != c.fails || got.Err != nil != c.fails {
			t.Errorf("call %d: counted as %+v", i, got)
		}
	}
	stop()
	receive(t, "end", ended)
	for n := len(dialed); n > 0; n-- {
		if addr := <-dialed; addr != "127.0.0.1:1" {
			t.Errorf("dialed %s", addr)
		}
	}
	if len(events) > 0 {
		t.Errorf("%d more events", len(events))
	}
}
