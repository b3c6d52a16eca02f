package upstream

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/metrics"
)

// A pool that is given a lower limit closes what is idle at once.
func TestPoolResize(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.Serve)
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	p := NewPool(&cfg.Settings, 4, &metrics.Metrics{})
	to := p.AddEndpoint(b.Addr, 0)
	var held []*conn
	for range 4 {
		c, err := p.get(t.Context(), to)
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, c)
	}
	for _, c := range held {
		p.put(c)
	}
	p.Resize(1)
	for range 3 {
		agenttest.Receive(t, "close of an idle connection", b.Closed)
	}
	if p.open != 1 || len(to.idle) != 1 || to.idle[0] != held[3] {
		t.Errorf("%d connections", p.open)
	}
}

// The limit follows what is open: it is decided by the count of open connections, idle and in use, and in force at
// once.
func TestLimitFollowsOpenConnections(t *testing.T) {
	server := agenttest.NewServer(t, agenttest.Serve)
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	pool := NewPool(&cfg.Settings, 4, &metrics.Metrics{})
	endpoint, other := pool.AddEndpoint(server.Addr, 0), pool.AddEndpoint(server.Addr, 1)
	var inUse []*conn
	for range 3 {
		c, err := pool.get(t.Context(), endpoint)
		if err != nil {
			t.Fatal(err)
		}
		inUse = append(inUse, c)
	}
	pool.put(inUse[2])
	for _, test := range []struct {
		maxConns, wantOpen int
		want               error
	}{
		{maxConns: 2, wantOpen: 3, want: nil},            // the idle one makes way
		{maxConns: 3, wantOpen: 3, want: errSocketLimit}, // all are in use
		{maxConns: 4, wantOpen: 3, want: nil},            // there is one more
		{maxConns: 4, wantOpen: 4, want: errSocketLimit}, // and no other
	} {
		pool.UpdateLimit(func(open int) int {
			if open != test.wantOpen {
				t.Errorf("%d connections are open, want %d", open, test.wantOpen)
			}
			return test.maxConns
		})
		c, err := pool.get(t.Context(), other)
		if !errors.Is(err, test.want) {
			t.Errorf("limit %d with %d open: error %v, want %v", test.maxConns, test.wantOpen, err, test.want)
		}
		if c != nil {
			inUse = append(inUse, c)
		}
	}
	for _, c := range inUse {
		c.Close()
	}
}

// The pool keeps to its sockets: an idle connection is evicted, one in use is not.
func TestPoolIsBounded(t *testing.T) {
	x, y := agenttest.NewServer(t, agenttest.Serve), agenttest.NewServer(t, func(int, *http.Request) (string, bool) { return "", false })
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	p := NewPool(&cfg.Settings, 1, &metrics.Metrics{})
	toX, toY := p.AddEndpoint(x.Addr, 0), p.AddEndpoint(y.Addr, 0)
	m := NewRequest("GET", "/", "x", nil, nil, nil)
	ctx, cancel := context.WithTimeout(context.Background(), agenttest.Timeout)
	defer cancel()
	if r := exchangeBy(p, ctx, toX, m, time.Time{}); r.Outcome != balancer.OutcomeOK {
		t.Fatalf("outcome %d", r.Outcome)
	}
	cancelled := make(chan Result, 1)
	held, giveUp := context.WithCancel(ctx)
	go func() { cancelled <- exchangeBy(p, held, toY, m, time.Time{}) }()
	agenttest.Receive(t, "close of the idle connection", x.Closed)
	agenttest.Receive(t, "request", y.Requests)
	if r := exchangeBy(p, ctx, toX, m, time.Time{}); r.Outcome != balancer.OutcomeExpired {
		t.Errorf("with the only socket in use: outcome %d", r.Outcome)
	}
	giveUp()
	if r := agenttest.Receive(t, "cancelled attempt", cancelled); r.Outcome != balancer.OutcomeCancelled {
		t.Errorf("given up: outcome %d", r.Outcome)
	}
	if r := exchangeBy(p, ctx, toX, m, time.Time{}); r.Outcome != balancer.OutcomeOK {
		t.Errorf("with the socket free again: outcome %d", r.Outcome)
	}
}

// What may be closed by the server before a request has crossed is not used, and is swept away; Retire closes
// what is idle.
func TestIdleConnectionsEnd(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.Serve)
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	p := NewPool(&cfg.Settings, 4, &metrics.Metrics{})
	to := p.AddEndpoint(b.Addr, 0)
	m := NewRequest("GET", "/", "x", nil, nil, nil)
	ctx, cancel := context.WithTimeout(context.Background(), agenttest.Timeout)
	defer cancel()
	for i, end := range []func(c *conn){
		func(c *conn) { // no sweep has come
			c.idleSince = c.idleSince.Add(-p.idleTimeout + idleMargin/2)
		},
		func(c *conn) {
			c.idleSince = c.idleSince.Add(-p.idleTimeout + idleMargin/2)
			p.Sweep()
			agenttest.Receive(t, "close by the sweep", b.Closed)
		},
		func(*conn) {
			p.closeIdle(to)
			agenttest.Receive(t, "close of the idle connection", b.Closed)
		},
		func(*conn) {},
	} {
		if r := exchangeBy(p, ctx, to, m, time.Time{}); r.Outcome != balancer.OutcomeOK {
			t.Fatalf("exchange %d: outcome %d", i, r.Outcome)
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

// The connection that was used last is the least likely to be closed by the server.
func TestNewestConnectionFirst(t *testing.T) {
	p := NewPool(&agenttest.Config(t, "127.0.0.1:1", agenttest.Settings).Settings, 4, &metrics.Metrics{})
	x := p.AddEndpoint("x", 0)
	older, newer := &conn{endpoint: x}, &conn{endpoint: x}
	p.put(older)
	p.put(newer)
	if p.takeIdle(x) != newer || p.takeIdle(x) != older || p.takeIdle(x) != nil {
		t.Error("not the one used last first")
	}
}
