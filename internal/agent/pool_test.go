package agent

import (
	"context"
	"net/http"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/metrics"
)

// A backend at the address of one that has gone has connections of its own: those of the old one close, the one in
// use when it is back, and the new one's stay when the old one is forgotten.
func TestNewBackendAtAnOldAddress(t *testing.T) {
	goOn := make(chan struct{}, 1)
	b := agenttest.NewServer(t, func(int, *http.Request) (string, bool) {
		<-goOn
		return agenttest.OKAnswer, false
	})
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	l, err := newLoop(&cfg.Settings, 1, newPool(&cfg.Settings, 4, &metrics.Metrics{}), agenttest.DiscardLogger)
	if err != nil {
		t.Fatal(err)
	}
	list := func(mode balancer.DiscoveryUpdate, members ...discovery.Member) {
		l.take(t.Context(), input{event: balancer.Event{Kind: balancer.EventDiscovery, Update: mode}, members: members})
	}
	old, next := discovery.Member{ID: "old", Address: b.Addr, State: "Ready"}, discovery.Member{ID: "next", Address: b.Addr, State: "Ready"}
	list(balancer.EndpointsReplaced, old)
	ctx, cancel := context.WithTimeout(t.Context(), agenttest.Timeout)
	defer cancel()
	m := newMessage("GET", "/", "x", nil, nil, nil)
	inUse := make(chan result, 1)
	first := l.targets[idOf(t, l, "old")]
	go func() { inUse <- exchangeBy(l.pool, ctx, first, &m, time.Time{}) }()
	agenttest.Receive(t, "request", b.Requests)
	list(balancer.EndpointsChanged, next)
	goOn <- struct{}{}
	second := l.targets[idOf(t, l, "next")]
	inUse2 := make(chan result, 1)
	agenttest.Receive(t, "answer of the old one", inUse)
	go func() { inUse2 <- exchangeBy(l.pool, ctx, second, &m, time.Time{}) }()
	agenttest.Receive(t, "request", b.Requests)
	if n := len(b.Accepted); n != 2 {
		t.Errorf("%d connections to two backends", n)
	}
	goOn <- struct{}{}
	agenttest.Receive(t, "answer of the new one", inUse2)
	old.State = "Gone"
	list(balancer.EndpointsChanged, old)
	if len(first.idle) != 0 || len(second.idle) != 1 || l.pool.open != 1 {
		t.Errorf("%d idle to the old one, %d to the new one, %d open", len(first.idle), len(second.idle), l.pool.open)
	}
	// A restart of the process at the same address is another target as well, and what comes back late closes.
	go func() { inUse2 <- exchangeBy(l.pool, ctx, second, &m, time.Time{}) }()
	agenttest.Receive(t, "request", b.Requests)
	next.StartedAtMillis = 5
	list(balancer.EndpointsChanged, next)
	goOn <- struct{}{}
	agenttest.Receive(t, "late answer", inUse2)
	if len(second.idle) != 0 || l.pool.open != 0 {
		t.Errorf("after a restart %d are idle, %d open", len(second.idle), l.pool.open)
	}
}

// An idle connection that the backend has closed is not written to: it would end as a reset, which an unsafe
// request does not survive.
func TestStaleConnection(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.Serve)
	a := agentFor(t, agenttest.Settings, b)
	for i := range 3 {
		status, _ := a.do(t, a.request("unsafe", "15000m"))
		if status != 200 {
			t.Fatalf("request %d: answered %d", i, status)
		}
		agenttest.Receive(t, "connection", b.Accepted).Close()
	}
}

func TestConnectionsAreReused(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.Serve)
	a := agentFor(t, agenttest.Settings, b)
	for range 5 {
		a.do(t, a.request("unsafe", "15000m"))
	}
	if n := len(b.Accepted); n != 1 {
		t.Errorf("%d connections for one request at a time", n)
	}
}

// The pool keeps to its sockets: an idle connection makes room, one in use does not.
func TestPoolIsBounded(t *testing.T) {
	x, y := agenttest.NewServer(t, agenttest.Serve), agenttest.NewServer(t, func(int, *http.Request) (string, bool) { return "", false })
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	p := newPool(&cfg.Settings, 1, &metrics.Metrics{})
	toX, toY := p.target(x.Addr, 0), p.target(y.Addr, 0)
	m := newMessage("GET", "/", "x", nil, nil, nil)
	ctx, cancel := context.WithTimeout(context.Background(), agenttest.Timeout)
	defer cancel()
	if r := exchangeBy(p, ctx, toX, &m, time.Time{}); r.outcome != balancer.OutcomeOK {
		t.Fatalf("outcome %d", r.outcome)
	}
	silent := make(chan result, 1)
	held, giveUp := context.WithCancel(ctx)
	go func() { silent <- exchangeBy(p, held, toY, &m, time.Time{}) }()
	agenttest.Receive(t, "close of the idle connection", x.Closed)
	agenttest.Receive(t, "request", y.Requests)
	if r := exchangeBy(p, ctx, toX, &m, time.Time{}); r.outcome != balancer.OutcomeExpired {
		t.Errorf("with the only socket in use: outcome %d", r.outcome)
	}
	giveUp()
	if r := agenttest.Receive(t, "cancelled attempt", silent); r.outcome != balancer.OutcomeCancelled {
		t.Errorf("given up: outcome %d", r.outcome)
	}
	if r := exchangeBy(p, ctx, toX, &m, time.Time{}); r.outcome != balancer.OutcomeOK {
		t.Errorf("with the socket free again: outcome %d", r.outcome)
	}
}

// What may be closed by the backend before a request has crossed is not used, and is swept away; ActClose closes
// what is idle.
func TestIdleConnectionsEnd(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.Serve)
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	p := newPool(&cfg.Settings, 4, &metrics.Metrics{})
	to := p.target(b.Addr, 0)
	m := newMessage("GET", "/", "x", nil, nil, nil)
	ctx, cancel := context.WithTimeout(context.Background(), agenttest.Timeout)
	defer cancel()
	for i, end := range []func(c *conn){
		func(c *conn) { // no sweep has come
			c.since = c.since.Add(-p.idleClose + idleMargin/2)
		},
		func(c *conn) {
			c.since = c.since.Add(-p.idleClose + idleMargin/2)
			p.sweep()
			agenttest.Receive(t, "close by the sweep", b.Closed)
		},
		func(*conn) {
			p.closeIdle(to)
			agenttest.Receive(t, "close of the idle connection", b.Closed)
		},
		func(*conn) {},
	} {
		if r := exchangeBy(p, ctx, to, &m, time.Time{}); r.outcome != balancer.OutcomeOK {
			t.Fatalf("exchange %d: outcome %d", i, r.outcome)
		}
		if n := len(b.Accepted); n != i+1 {
			t.Errorf("exchange %d: %d connections", i, n)
		}
		end(to.idle[0])
	}
	if p.open != 1 {
		t.Errorf("%d connections are counted as open", p.open)
	}
}

// The connection that was used last is the least likely to be closed by the backend.
func TestNewestConnectionFirst(t *testing.T) {
	p := newPool(&agenttest.Config(t, "127.0.0.1:1", agenttest.Settings).Settings, 4, &metrics.Metrics{})
	x := p.target("x", 0)
	older, newer := &conn{to: x}, &conn{to: x}
	p.put(older)
	p.put(newer)
	if p.takeIdle(x) != newer || p.takeIdle(x) != older || p.takeIdle(x) != nil {
		t.Error("not the one used last first")
	}
}
