package discovery

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
)

// Relays must share agents evenly, the agents of a lost relay must spread evenly over the others, and no other agent
// may change its first relay.
func TestAgentsShareRelays(t *testing.T) {
	const agents = 830
	for _, relays := range [][]string{
		{"10.0.0.1:9000", "10.0.0.2:9000", "10.0.0.3:9000", "10.0.0.4:9000", "10.0.0.5:9000"},
		{"127.0.0.1:9001", "127.0.0.1:9002", "127.0.0.1:9003", "127.0.0.1:9004", "127.0.0.1:9005"},
	} {
		for _, form := range []string{"agent-%03d", "%d", "gw-7f3a9c21e0b4d655-%d"} {
			first := map[string]int{}
			then := map[string]int{}
			lost := relays[2]
			others := slices.DeleteFunc(slices.Clone(relays), func(r string) bool { return r == lost })
			for i := range agents {
				name := fmt.Sprintf(form, i)
				order := rankRelays(name, relays)
				first[order[0]]++
				left := rankRelays(name, others)
				switch {
				case order[0] == lost:
					if then[left[0]]++; left[0] != order[1] {
						t.Errorf("%s fails over from %s to %s, want its second relay %s", name, lost, left[0], order[1])
					}
				case left[0] != order[0]:
					t.Errorf("%s fails over from %s to %s though %s is lost", name, order[0], left[0], lost)
				}
			}
			for r, n := range first {
				if mean := float64(agents) / float64(len(relays)); float64(n) >= 1.25*mean {
					t.Errorf("%s: %d agents at %s, want less than 1.25 times the mean %.0f", form, n, r, mean)
				}
			}
			for r, n := range then {
				if mean := float64(first[lost]) / float64(len(others)); float64(n) >= 1.5*mean {
					t.Errorf("%s: %d additional agents at %s, want less than 1.5 times the mean %.0f", form, n, r, mean)
				}
			}
			if len(first) != len(relays) || len(then) != len(others) {
				t.Errorf("%s: agents at %v, after the loss at %v, want all relays in use", form, first, then)
			}
		}
	}
}

// States of a host.
const (
	serving       = iota
	down          // connections are refused, and open ones are reset
	unresponsive  // stops responding
	rejecting     // 503
	rejectingOnce // 503 with Retry-After once, then serving
)

// serviceHosts is a service with several addresses, all of which have the same list at any time.
type serviceHosts struct {
	watchedService
	state        map[string]int
	stateChanged chan struct{} // closed when a state changes
}

func newHosts(addrs ...string) *serviceHosts {
	h := &serviceHosts{watchedService: watchedService{revision: 1, changed: make(chan struct{})}, state: map[string]int{}, stateChanged: make(chan struct{})}
	for _, a := range addrs {
		h.state[a] = serving
	}
	return h
}

func (h *serviceHosts) setState(state int, addrs ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range addrs {
		h.state[a] = state
	}
	close(h.stateChanged)
	h.stateChanged = make(chan struct{})
}

func (h *serviceHosts) RoundTrip(r *http.Request) (*http.Response, error) {
	type result struct {
		resp *http.Response
		err  error
	}
	answered := make(chan result, 1)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	for first := true; ; first = false {
		h.mu.Lock()
		state := h.state[r.URL.Host]
		changed := h.stateChanged
		if first && state != serving {
			h.requests = append(h.requests, r.URL.Host+"?"+r.URL.RawQuery)
		}
		if state == rejectingOnce {
			h.state[r.URL.Host] = serving
		}
		h.mu.Unlock()
		switch state {
		case down:
			return nil, errors.New("refused or reset")
		case rejecting:
			return &http.Response{Status: "503", StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
		case rejectingOnce:
			return &http.Response{
				Status: "503", StatusCode: http.StatusServiceUnavailable, Body: http.NoBody, Header: http.Header{"Retry-After": {"1.25"}},
			}, nil
		case unresponsive:
			select {
			case <-changed:
				return nil, errors.New("reset by a host that responds again")
			case <-r.Context().Done():
				return nil, r.Context().Err()
			}
		}
		if first {
			go func() {
				resp, err := h.watchedService.RoundTrip(r.WithContext(ctx))
				answered <- result{resp, err}
			}()
		}
		select {
		case a := <-answered:
			return a.resp, a.err
		case <-changed:
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
}

// hostsSince returns the hosts that were called from the n-th call on, in order and without duplicates.
func (h *serviceHosts) hostsSince(n int) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var hosts []string
	for _, q := range h.requests[n:] {
		if host, _, _ := strings.Cut(q, "?"); !slices.Contains(hosts, host) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// relayedAgent is an agent that gets its list through relays.
type relayedAgent struct {
	*serviceHosts
	order     []string // of its relays
	mu        sync.Mutex
	received  map[uint64]time.Time
	remaining []time.Duration // of each notification of a failure
}

const discoveryAddr = "10.0.0.9:1"

// startRelayed starts an agent that holds revision 1, or nothing. In poll mode it polls the given delay after a
// failure, as the balancer would; a negative delay means the longest that the balancer would choose for the remaining
// time.
func startRelayed(t *testing.T, pollMode, known bool, pollDelay time.Duration) *relayedAgent {
	relays := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
	a := &relayedAgent{serviceHosts: newHosts(append(relays, discoveryAddr)...), order: rankRelays("a", relays), received: map[uint64]time.Time{}}
	set := &settings.Settings{Balancer: balancer.Settings{Agents: 1, PollEndpoints: pollMode}}
	var d *Client
	d = New(Options{
		Addr: discoveryAddr, Name: "a", Relays: relays, Settings: func() *settings.Settings { return set },
		OnPoll: func(PollResult) {}, Log: slog.New(slog.DiscardHandler),
		Notify: func(event WatchEvent) {
			a.mu.Lock()
			defer a.mu.Unlock()
			if event.Update.KeepsEndpoints() {
				a.remaining = append(a.remaining, event.Remaining)
				wait := pollDelay
				if wait < 0 {
					wait = max(300*time.Millisecond, cmp.Or(event.Remaining, balancer.NotifyBoundAfterFailure)-1500*time.Millisecond)
				}
				time.AfterFunc(wait, d.Poll)
				return
			}
			if _, ok := a.received[event.Revision]; !ok {
				a.received[event.Revision] = time.Now()
			}
		},
	})
	if known {
		one := uint64(1)
		d.StartFrom(EndpointList{Revision: &one, Complete: true, Members: []Member{{ID: "x"}}})
	}
	d.SetTransport(a.serviceHosts)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { d.Run(ctx, nil); close(ended) }()
	t.Cleanup(func() { stop(); <-ended })
	d.Poll()
	return a
}

func (a *relayedAgent) receivedAt(revision uint64) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.received[revision]
	return at, ok
}

// However relays are lost, an agent must fail over to its next relay immediately and to the discovery service last, and
// must receive a change within the time that the platform allows. It must not poll the full list again.
func TestRelayFailover(t *testing.T) {
	const pollDelay = time.Second
	for name, c := range map[string]struct {
		poll         bool
		state        int
		lostRelays   int // number of lost relays, of three, from the first on
		within       time.Duration
		next         string // which address is called last
		wantFailures int    // number of failure notifications
	}{
		"reset":                   {true, down, 1, 10 * time.Millisecond, "second", 0},
		"rejected":                {true, rejecting, 1, 10 * time.Millisecond, "second", 0},
		"unresponsive":            {true, unresponsive, 1, relayWatchWait + watchGrace, "second", 0},
		"two reset":               {true, down, 2, 10 * time.Millisecond, "third", 0},
		"two unresponsive":        {true, unresponsive, 2, relayWatchWait + watchGrace + RelayTimeout, "third", 0},
		"all reset":               {true, down, 3, pollDelay + 10*time.Millisecond, "service", 1},
		"all reject":              {true, rejecting, 3, pollDelay + 10*time.Millisecond, "service", 1},
		"push mode, reset":        {false, down, 1, 10 * time.Millisecond, "second", 0},
		"push mode, unresponsive": {false, unresponsive, 1, relayWatchWait + watchGrace, "second", 0},
		"push mode, all reset":    {false, down, 3, 10 * time.Millisecond, "service", 0},
		"push mode, all reject":   {false, rejecting, 3, 10 * time.Millisecond, "service", 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := startRelayed(t, c.poll, false, pollDelay)
				time.Sleep(10*time.Second + 100*time.Millisecond) // during a watch
				synctest.Wait()
				full, calls := a.calls()
				if got := a.hostsSince(0); !slices.Equal(got, a.order[:1]) || full != 1 {
					t.Fatalf("called %v, full list %d times, want %v and once", got, full, a.order[:1])
				}
				a.setState(c.state, a.order[:c.lostRelays]...)
				a.change()
				start := time.Now()
				time.Sleep(6 * time.Second)
				synctest.Wait()
				if at, ok := a.receivedAt(2); !ok || at.Sub(start) > c.within {
					t.Errorf("received %v, after %v, want within %v", ok, at.Sub(start), c.within)
				}
				if full, _ := a.calls(); full != 1 {
					t.Errorf("full list polled %d times, want 1: %q", full, a.requests)
				}
				called := a.hostsSince(calls)
				ends := map[string]string{"second": a.order[1], "third": a.order[2], "service": discoveryAddr}
				if len(called) == 0 || called[len(called)-1] != ends[c.next] {
					t.Errorf("called %q, want the %s last", called, c.next)
				}
				if len(a.remaining) != c.wantFailures {
					t.Errorf("notified of failures with %v remaining, want %d notifications", a.remaining, c.wantFailures)
				}
				for _, remaining := range a.remaining { // reduced by how stale the relay may be
					if remaining <= 0 || remaining > balancer.NotifyBoundAfterFailure-RelayMaxStaleness {
						t.Errorf("notified of a failure with %v remaining, want more than 0 and at most %v", remaining, balancer.NotifyBoundAfterFailure-RelayMaxStaleness)
					}
				}
			})
		})
	}
}

// After a network partition of any length from its relays and from discovery, an agent must sync within the bound. The
// failures look like an overload of discovery, but may only keep the agent from calling discovery, not its relays.
func TestRecoveryAfterPartition(t *testing.T) {
	for _, partition := range []time.Duration{time.Second, 5 * time.Second, 12 * time.Second, 20 * time.Second, 47 * time.Second, 5 * time.Minute} {
		for name, relays := range map[string]int{"unresponsive": unresponsive, "stale": rejecting} {
			t.Run(fmt.Sprintf("%s relays/%v", name, partition), func(t *testing.T) { recoverAfterPartition(t, relays, partition) })
		}
	}
}

func recoverAfterPartition(t *testing.T, relays int, partition time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		a := startRelayed(t, true, true, -1)
		time.Sleep(10*time.Second + 100*time.Millisecond)
		all := append(slices.Clone(a.order), discoveryAddr)
		a.setState(relays, a.order...)
		a.setState(unresponsive, discoveryAddr)
		time.Sleep(partition)
		a.setState(serving, all...)
		a.change()
		back := time.Now()
		time.Sleep(30 * time.Second)
		synctest.Wait()
		if at, ok := a.receivedAt(2); !ok || at.Sub(back) > balancer.NotifyBoundAfterFailure {
			t.Errorf("received %v, %v after the partition, want at most %v", ok, at.Sub(back), balancer.NotifyBoundAfterFailure)
		}
	})
}

// A dial to a relay on an unresponsive machine must time out early enough to leave time for the other relays.
func TestRelayDialTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := withRelayDialTimeout(func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		for _, c := range []struct {
			ctx  context.Context
			want time.Duration
		}{
			{context.WithValue(t.Context(), relayedKey{}, true), relayDialTimeout},
			{t.Context(), time.Minute},
		} {
			ctx, cancel := context.WithTimeout(c.ctx, time.Minute)
			start := time.Now()
			if _, err := dial(ctx, "tcp", "10.0.0.1:1"); !errors.Is(err, context.DeadlineExceeded) || time.Since(start) != c.want {
				t.Errorf("got error %v after %v, want a timeout after %v", err, time.Since(start), c.want)
			}
			cancel()
		}
	})
	if worst := relayWatchWait + watchGrace + 5*relayDialTimeout; worst >= balancer.NotifyBoundAfterFailure-RelayMaxStaleness {
		t.Errorf("five unresponsive relays take %v, want less than %v", worst, balancer.NotifyBoundAfterFailure-RelayMaxStaleness)
	}
}

// An agent that uses another address must try its first relay again at most once a minute. If that fails it returns to
// the other address, else it stays at its first relay.
func TestReturnToPreferredRelay(t *testing.T) {
	for _, lost := range []int{1, 3} { // fail over to the second relay, and to the discovery service
		synctest.Test(t, func(t *testing.T) {
			a := startRelayed(t, true, true, time.Second)
			time.Sleep(10 * time.Second)
			a.setState(down, a.order[:lost]...)
			time.Sleep(10 * time.Second)
			_, before := a.calls()
			time.Sleep(10 * time.Minute)
			a.serviceHosts.mu.Lock()
			tries := 0
			for _, q := range a.requests[before:] {
				if host, _, _ := strings.Cut(q, "?"); host == a.order[0] {
					tries++
				}
			}
			a.serviceHosts.mu.Unlock()
			if tries < 8 || tries > 10 {
				t.Errorf("%d lost: first relay tried %d times in ten minutes, want 8 to 10", lost, tries)
			}
			a.setState(serving, a.order...)
			time.Sleep(preferredRetryInterval + 2*relayWatchWait + watchCycle)
			_, before = a.calls()
			time.Sleep(time.Minute)
			if got := a.hostsSince(before); !slices.Equal(got, a.order[:1]) {
				t.Errorf("%d lost: called %q a minute after their return, want %q", lost, got, a.order[0])
			}
			if full, _ := a.calls(); full != 0 {
				t.Errorf("full list polled %d times, want 0", full)
			}
		})
	}
}

// A relay that rejects a call with Retry-After must be called again after that time, and no other address before.
func TestRetryAfterOfRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startRelayed(t, true, false, time.Second)
		a.setState(rejectingOnce, a.order[0])
		start := time.Now()
		time.Sleep(5 * time.Second)
		at, ok := a.receivedAt(1)
		if called := a.hostsSince(0); !ok || at.Sub(start) != 1250*time.Millisecond || !slices.Equal(called, a.order[:1]) {
			t.Errorf("received %v after %v from %q, want 1.25s and %q", ok, at.Sub(start), called, a.order[:1])
		}
	})
}

// When the configured relays change, the agent must call the new ones and keep the held revision.
func TestRelaysChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHosts("10.0.0.1:1", "10.0.0.2:1", discoveryAddr)
		set := &settings.Settings{Balancer: balancer.Settings{Agents: 1}}
		d := New(Options{
			Addr: discoveryAddr, Name: "a", Settings: func() *settings.Settings { return set }, OnPoll: func(PollResult) {},
			Log: slog.New(slog.DiscardHandler), Notify: func(WatchEvent) {},
		})
		d.SetTransport(h)
		ctx, stop := context.WithCancel(t.Context())
		migrations, ended := make(chan Target), make(chan struct{})
		go func() { d.Run(ctx, migrations); close(ended) }()
		synctest.Wait()
		for _, c := range []struct {
			relays []string
			want   string
		}{
			{[]string{"10.0.0.1:1"}, "10.0.0.1:1"},
			{[]string{"10.0.0.2:1"}, "10.0.0.2:1"},
			{nil, discoveryAddr},
		} {
			_, before := h.calls()
			migrations <- Target{discoveryAddr, c.relays}
			synctest.Wait()
			if got := h.hostsSince(before); !slices.Equal(got, []string{c.want}) {
				t.Errorf("relays %q: called %q, want %q", c.relays, got, c.want)
			}
		}
		if full, _ := h.calls(); full != 1 {
			t.Errorf("full list polled %d times, want 1", full)
		}
		stop()
		<-ended
	})
}

// Of many relays an agent must use the first maxRelays of its own order, and then the discovery service.
func TestMaxRelays(t *testing.T) {
	all := make([]string, 1024)
	for i := range all {
		all[i] = fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
	}
	for _, n := range []int{0, 1, maxRelays, maxRelays + 1, len(all)} {
		r := newRoute("agent", Target{Addr: "10.1.0.1:80", Relays: all[:n]})
		want := append(rankRelays("agent", all[:n])[:min(n, maxRelays)], "10.1.0.1:80")
		var got []string
		for _, c := range r.candidates {
			got = append(got, c.addr)
		}
		if !slices.Equal(got, want) {
			t.Errorf("of %d relays: %v, want %v", n, got, want)
		}
	}
}
