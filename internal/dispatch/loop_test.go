package dispatch

import (
	"container/heap"
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/metrics"
	"example.org/ryeloft/internal/settings"
	"example.org/ryeloft/internal/stream"
	"example.org/ryeloft/internal/upstream"
)

// newTestLoop returns a loop that does not run, with a pool of four connections.
func newTestLoop(t *testing.T, set *settings.Settings) *Loop {
	t.Helper()
	counters := &metrics.Metrics{}
	l, err := New(Options{
		Settings: set, Seed: 1, Pool: upstream.NewPool(set, 4, counters), Metrics: counters, Log: agenttest.DiscardLogger,
	})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// newTestRequest returns a request of a client that does not go.
func newTestRequest(l *Loop, class int, uri string) *Request {
	r := NewRequest(l.Settings())
	r.Class = class
	r.Deadline = l.Now() + agenttest.Timeout
	r.ClientClosed = func() bool { return false }
	r.Upstream = upstream.NewRequest("POST", uri, "x", nil, nil, nil)
	return r
}

// take has the loop handle a request as Submit hands it over.
func take(ctx context.Context, t *testing.T, l *Loop, r *Request) {
	t.Helper()
	if !l.takeID(r) {
		t.Fatalf("the id %q is in use", r.ID)
	}
	submitted{r}.handle(ctx, l)
}

// listed is what discovery tells of a list.
func listed(update balancer.DiscoveryUpdate, members ...discovery.Member) input {
	return endpointsNotified{discovery.WatchEvent{Update: update, Members: members}}
}

// idOf is the number of the server with a name.
func idOf(t *testing.T, l *Loop, name string) balancer.ServerID {
	t.Helper()
	for id := range l.endpoints {
		if m, known := l.members.Member(id); known && m.ID == name {
			return id
		}
	}
	t.Fatalf("no server %s", name)
	return 0
}

// The loop keeps a repeat from being sent too late, and forgets servers that are gone.
func TestActionsAreCarriedOut(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.Serve)
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	l := newTestLoop(t, &cfg.Settings)
	ctx := t.Context()
	list := func(mode balancer.DiscoveryUpdate, phase string) {
		listed(mode, discovery.Member{ID: "x", Address: b.Addr, State: phase}).handle(ctx, l)
	}
	list(balancer.EndpointsReplaced, "Ready")
	x := idOf(t, l, "x")
	r := newOpenRequest(newTestRequest(l, 0, "/keyed/1"))
	r.number = 7
	l.requests[r.number] = r
	send := balancer.Action{Kind: balancer.ActionSend, Request: r.number, Server: x, Timeout: agenttest.Timeout}
	l.act(ctx, &send)
	if in := agenttest.Receive(t, "outcome", l.inputs).(attemptEnded); in.outcome != balancer.OutcomeOK {
		t.Fatalf("outcome %d", in.outcome)
	}
	send.DispatchWithin = 1 // a nanosecond, which is over before a connection can be had
	l.act(ctx, &send)
	if in := agenttest.Receive(t, "outcome", l.inputs).(attemptEnded); in.outcome != balancer.OutcomeExpired {
		t.Errorf("sent too late: outcome %d", in.outcome)
	}
	list(balancer.EndpointsChanged, "Gone")
	agenttest.Receive(t, "close of the idle connection", b.Closed)
	if len(l.endpoints) > 0 || l.pool.EndpointCount() > 0 || l.members.Len() > 0 {
		t.Errorf("still known: %v %v", l.endpoints, l.members.Members())
	}
	send.DispatchWithin = 0
	l.act(ctx, &send)
	if n := len(l.events); n != 1 || l.events[0].Outcome != balancer.OutcomeExpired {
		t.Errorf("to a server that is gone: %+v", l.events)
	}
}

// A request is answered once: the outcome of an attempt that crosses the close of its client changes nothing.
func TestLateOutcomeIsDropped(t *testing.T) {
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	l := newTestLoop(t, &cfg.Settings)
	ctx := t.Context()
	listed(balancer.EndpointsReplaced, discovery.Member{ID: "x", Address: "127.0.0.1:1", State: "Ready"}).handle(ctx, l)
	c := newTestRequest(l, 2, "/")
	take(ctx, t, l, c)
	if len(l.requests) != 1 || l.requests[c.number].inFlight != 1 {
		t.Fatalf("after the request: %+v", l.requests)
	}
	abandoned{c}.handle(ctx, l)
	attemptEnded{request: c.number, answer: Answer{Status: http.StatusOK}}.handle(ctx, l)
	abandoned{c}.handle(ctx, l)
	if len(c.answered) != 0 || len(l.requests) != 0 {
		t.Errorf("%d answers, %d requests left", len(c.answered), len(l.requests))
	}
}

// A server that swallows a request while it lives is not waited for: another gets a copy, whose answer is served, and
// the first is given up.
func TestSwallowedRequestIsServed(t *testing.T) {
	var got atomic.Int64
	script := func(int, *http.Request) (string, bool) {
		if got.Add(1) == 1 {
			return "", false
		}
		return agenttest.OKAnswer, false
	}
	x, y := agenttest.NewServer(t, script), agenttest.NewServer(t, script)
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	l := newTestLoop(t, &cfg.Settings)
	ctx := t.Context()
	listed(balancer.EndpointsReplaced, discovery.Member{ID: "x", Address: x.Addr, State: "Ready"},
		discovery.Member{ID: "y", Address: y.Addr, State: "Ready"}).handle(ctx, l)
	c := newTestRequest(l, 0, "/keyed/1")
	take(ctx, t, l, c)
	select {
	case <-x.Requests:
	case <-y.Requests:
	case <-time.After(agenttest.Timeout):
		t.Fatal("no request")
	}
	for range 2 { // the balancer's looks at the attempt without an answer, due or not
		look := heap.Pop(&l.timers).(timer)
		l.handle(ctx, balancer.Event{Kind: balancer.EventTimer, TimerID: look.id})
	}
	for range 2 { // the copy's answer, and the end of the first attempt
		agenttest.Receive(t, "outcome", l.inputs).handle(ctx, l)
	}
	if a := agenttest.Receive(t, "answer", c.answered); a.Status != http.StatusOK {
		t.Errorf("answered %d", a.Status)
	}
	select { // a busy machine may have the two servers' scripts run the other way round
	case <-x.Closed:
	case <-y.Closed:
	case <-time.After(agenttest.Timeout):
		t.Error("the unanswered connection is not closed")
	}
	if n := got.Load(); n != 2 || len(l.requests) > 0 {
		t.Errorf("%d attempts, %d requests left", n, len(l.requests))
	}
}

// Whatever order a close and the ends of two attempts come in, a request gets one answer or none, and is forgotten.
func TestEveryOrderOfEnds(t *testing.T) {
	orders := [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}
	for _, order := range orders {
		for _, first := range []balancer.Outcome{balancer.OutcomeOK, balancer.OutcomeTimeout, balancer.OutcomeReset, balancer.OutcomeExpired} {
			for _, second := range []balancer.Outcome{balancer.OutcomeOK, balancer.OutcomeTimeout, balancer.OutcomeCancelled} {
				for _, gone := range []bool{false, true} { // an attempt may find the client gone before its handler does
					cfg := agenttest.Config(t, "127.0.0.1:1", strings.Replace(agenttest.Settings, `"maxAttempts":3`, `"maxAttempts":2`, 1))
					l := newTestLoop(t, &cfg.Settings)
					ctx := t.Context()
					listed(balancer.EndpointsReplaced, discovery.Member{ID: "x", Address: "127.0.0.1:1", State: "Ready"},
						discovery.Member{ID: "y", Address: "127.0.0.1:1", State: "Ready"}).handle(ctx, l)
					c := newTestRequest(l, 0, "/keyed/1")
					take(ctx, t, l, c)
					for l.requests[c.number].inFlight < 2 { // the balancer's looks at the attempt without an answer, due or not
						look := heap.Pop(&l.timers).(timer)
						l.handle(ctx, balancer.Event{Kind: balancer.EventTimer, TimerID: look.id})
					}
					ended := func(n int, how balancer.Outcome) input {
						return attemptEnded{request: c.number, attempt: n, outcome: how, answer: Answer{Status: http.StatusOK},
							abandoned: gone && how == balancer.OutcomeExpired}
					}
					ends := []input{ended(0, first), ended(1, second), abandoned{c}}
					answers := 0
					for _, i := range order {
						ends[i].handle(ctx, l)
						select {
						case a := <-c.answered:
							if a.Status != 0 {
								answers++
							}
						default:
						}
					}
					if answers > 1 || len(l.requests) > 0 || len(l.ids.open) > 0 {
						t.Errorf("order %v, outcomes %d and %d, found gone %v: %d answers, %d requests left", order, first, second, gone, answers, len(l.requests))
					}
				}
			}
		}
	}
}

// A server at the address of one that has gone has connections of its own: those of the old one close, the one in
// use when it is back, and the new one's stay when the old one is forgotten.
func TestNewServerAtOldAddress(t *testing.T) {
	goOn := make(chan struct{}, 1)
	b := agenttest.NewServer(t, func(int, *http.Request) (string, bool) {
		<-goOn
		return agenttest.OKAnswer, false
	})
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	l := newTestLoop(t, &cfg.Settings)
	list := func(mode balancer.DiscoveryUpdate, members ...discovery.Member) {
		listed(mode, members...).handle(t.Context(), l)
	}
	old, next := discovery.Member{ID: "old", Address: b.Addr, State: "Ready"}, discovery.Member{ID: "next", Address: b.Addr, State: "Ready"}
	list(balancer.EndpointsReplaced, old)
	ctx, cancel := context.WithTimeout(t.Context(), agenttest.Timeout)
	defer cancel()
	m := upstream.NewRequest("GET", "/", "x", nil, nil, nil)
	plain := &upstream.Attempt{Deadline: time.Now().Add(agenttest.Timeout)}
	inUse := make(chan upstream.Result, 1)
	first := l.endpoints[idOf(t, l, "old")]
	go func() { inUse <- l.pool.Exchange(ctx, first, m, plain) }()
	agenttest.Receive(t, "request", b.Requests)
	list(balancer.EndpointsChanged, next)
	goOn <- struct{}{}
	second := l.endpoints[idOf(t, l, "next")]
	inUse2 := make(chan upstream.Result, 1)
	agenttest.Receive(t, "answer of the old one", inUse)
	go func() { inUse2 <- l.pool.Exchange(ctx, second, m, plain) }()
	agenttest.Receive(t, "request", b.Requests)
	if n := len(b.Accepted); n != 2 {
		t.Errorf("%d connections to two servers", n)
	}
	goOn <- struct{}{}
	agenttest.Receive(t, "answer of the new one", inUse2)
	old.State = "Gone"
	list(balancer.EndpointsChanged, old)
	if l.pool.IdleConns(first) != 0 || l.pool.IdleConns(second) != 1 || l.pool.OpenConns() != 1 {
		t.Errorf("%d idle to the old one, %d to the new one, %d open", l.pool.IdleConns(first), l.pool.IdleConns(second), l.pool.OpenConns())
	}
	// A restart of the process at the same address is another endpoint as well, and what comes back late closes.
	go func() { inUse2 <- l.pool.Exchange(ctx, second, m, plain) }()
	agenttest.Receive(t, "request", b.Requests)
	next.StartedAtMillis = 5
	list(balancer.EndpointsChanged, next)
	goOn <- struct{}{}
	agenttest.Receive(t, "late answer", inUse2)
	if l.pool.IdleConns(second) != 0 || l.pool.OpenConns() != 0 {
		t.Errorf("after a restart %d are idle, %d open", l.pool.IdleConns(second), l.pool.OpenConns())
	}
}

// An answer that flows to the client is its only one: what another attempt brings is dropped, and ending that attempt's
// rivals does not cut it off.
func TestDownloadIsTheOnlyAnswer(t *testing.T) {
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	l := newTestLoop(t, &cfg.Settings)
	cut := [2]bool{}
	c := newTestRequest(l, 0, "/")
	c.number = 7
	r := newOpenRequest(c)
	r.cancelAttempt = []context.CancelFunc{func() { cut[0] = true }, func() { cut[1] = true }}
	r.inFlight = 2
	l.requests[7] = r
	flows := func(attempt int) *stream.Download {
		d := stream.NewDownload(-1, nil, nil, nil, nil)
		streaming{request: 7, attempt: attempt, answer: Answer{Status: http.StatusOK, Download: d}}.handle(t.Context(), l)
		return d
	}
	first, second := flows(0), flows(1)
	if err := agenttest.Receive(t, "end of the second", second.Done()); !errors.Is(err, stream.ErrNotRead) || len(first.Done()) > 0 {
		t.Errorf("the second ends with %v", err)
	}
	if got := agenttest.Receive(t, "answer", c.answered); got.Download != first {
		t.Errorf("answered %+v", got)
	}
	for i := range cut {
		l.act(t.Context(), &balancer.Action{Kind: balancer.ActionCancel, Request: 7, Attempt: i})
	}
	if cut != [2]bool{false, true} {
		t.Errorf("cut off: %v", cut)
	}
}
