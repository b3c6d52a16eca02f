package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/metrics"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/stream"
)

// exchangeBy exchanges a request with nothing but a time before which it is to be sent; the context bounds it.
func exchangeBy(p *Pool, ctx context.Context, to *Endpoint, m *Request, sendBy time.Time) Result {
	return p.Exchange(ctx, to, m, &Attempt{Deadline: time.Now().Add(agenttest.Timeout), SendBefore: sendBy})
}

// A health check that brings reports returns the load that the server states.
func TestHealthCheckBringsLoad(t *testing.T) {
	b := agenttest.NewServer(t, func(_ int, r *http.Request) (string, bool) {
		if r.URL.Path != protocol.PathLoad {
			return "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", false
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\noutstanding=7,recent_ms=12", false
	})
	cfg := agenttest.Config(t, "127.0.0.1:1", strings.Replace(agenttest.Settings, `"off"`, `"on_probe"`, 1))
	p := NewPool(&cfg.Settings, 4, &metrics.Metrics{})
	r := p.HealthCheck(context.Background(), p.AddEndpoint(b.Addr, 0), &cfg.Settings)
	if r.Outcome != balancer.OutcomeOK || r.Load.InFlight != 7 || r.Load.ServiceTime != 12*time.Millisecond || r.Load.Queue != -1 {
		t.Errorf("got %+v", r)
	}
}

func TestBadReportsAreAbsent(t *testing.T) {
	for _, text := range []string{"", "=", "outstanding", "outstanding=x", "outstanding=NaN", "outstanding=-1", "other=3", ",,,"} {
		if l := parseLoadReport(text, []string{"outstanding"}); l.Known {
			t.Errorf("%q is taken for %+v", text, l)
		}
	}
}

// A repeat that comes up too late to be dropped is not sent, and so has not run.
func TestLateRepeatIsNotSent(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.Serve)
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	p := NewPool(&cfg.Settings, 4, &metrics.Metrics{})
	to := p.AddEndpoint(b.Addr, 0)
	m := NewRequest("POST", "/keyed/1", "x", nil, nil, nil)
	ctx, cancel := context.WithTimeout(context.Background(), agenttest.Timeout)
	defer cancel()
	if r := exchangeBy(p, ctx, to, m, time.Now()); r.Outcome != balancer.OutcomeExpired || len(b.Requests) > 0 {
		t.Errorf("outcome %d, %d sent", r.Outcome, len(b.Requests))
	}
	if r := exchangeBy(p, ctx, to, m, time.Now().Add(agenttest.Timeout)); r.Outcome != balancer.OutcomeOK {
		t.Errorf("in time: outcome %d", r.Outcome)
	}
}

// A request that waits for a connection when its time is up or when it is cancelled never ran.
func TestConnectionThatNeverComesUp(t *testing.T) {
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	p := NewPool(&cfg.Settings, 4, &metrics.Metrics{})
	to := p.AddEndpoint("127.0.0.1:1", 0)
	m := NewRequest("GET", "/", "x", nil, nil, nil)
	over, cancel := context.WithDeadline(context.Background(), time.Now())
	defer cancel()
	if r := exchangeBy(p, over, to, m, time.Time{}); r.Outcome != balancer.OutcomeConnectFailed {
		t.Errorf("out of time: outcome %d", r.Outcome)
	}
	given, giveUp := context.WithCancel(context.Background())
	giveUp()
	if r := exchangeBy(p, given, to, m, time.Time{}); r.Outcome != balancer.OutcomeExpired {
		t.Errorf("given up: outcome %d", r.Outcome)
	}
	if p.open != 0 {
		t.Errorf("%d connections are counted as open", p.open)
	}
}

// A server that resets whatever comes on a connection idle for a while costs a few requests, not one in two.
func TestEarlyClosesAreLearnt(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.Serve)
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	p := NewPool(&cfg.Settings, 4, &metrics.Metrics{})
	to := p.AddEndpoint(b.Addr, 0)
	const idle = 200 * time.Millisecond
	for range 3 { // lost on a connection that had been idle for so long
		p.recordLoss(&conn{used: true, idleAge: idle}, true)
	}
	m := NewRequest("GET", "/", "x", nil, nil, nil)
	ctx, cancel := context.WithTimeout(context.Background(), agenttest.Timeout)
	defer cancel()
	for _, c := range []struct {
		idle   time.Duration
		dialed int
	}{{0, 1}, {0, 1}, {2 * idle, 2}, {0, 2}} {
		for _, old := range to.idle {
			old.idleSince = old.idleSince.Add(-c.idle)
		}
		if r := exchangeBy(p, ctx, to, m, time.Time{}); r.Outcome != balancer.OutcomeOK {
			t.Fatalf("outcome %d", r.Outcome)
		}
		<-b.Requests
		if n := len(b.Accepted); n != c.dialed {
			t.Errorf("after %v without use: %d connections, want %d", c.idle, n, c.dialed)
		}
	}
}

// Nothing is written to a server that drains, on no kind of connection, and its idle ones stay.
func TestNothingNewToLeaving(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.Serve)
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	for _, idle := range []bool{false, true} {
		p := NewPool(&cfg.Settings, 4, &metrics.Metrics{})
		to := p.AddEndpoint(b.Addr, 0)
		m := NewRequest("GET", "/", "x", nil, nil, nil)
		if idle {
			if r := exchangeBy(p, t.Context(), to, m, time.Time{}); r.Outcome != balancer.OutcomeOK {
				t.Fatalf("outcome %d", r.Outcome)
			}
			<-b.Requests
		}
		tries := p.metrics.AttemptsSent()
		to.Drain()
		if r := exchangeBy(p, t.Context(), to, m, time.Time{}); r.Outcome != balancer.OutcomeServerDraining {
			t.Errorf("idle connection %v: outcome %d", idle, r.Outcome)
		}
		if len(b.Requests) > 0 || p.metrics.AttemptsSent() != tries || p.open != len(to.idle) {
			t.Errorf("idle connection %v: %d sent, %d tries counted, %d connections open and %d idle", idle, len(b.Requests), p.metrics.AttemptsSent(), p.open, len(to.idle))
		}
	}
}

// An answer whose time is up as it begins to flow is a time-out, and nothing of it is passed on.
func TestLongAnswerAtTheLastMoment(t *testing.T) {
	b := agenttest.NewServer(t, func(int, *http.Request) (string, bool) {
		return "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\nhalf", false
	})
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	p := NewPool(&cfg.Settings, 4, &metrics.Metrics{})
	m := NewRequest("GET", "/", "x", nil, nil, nil)
	fired := time.AfterFunc(0, func() {}) // but the context has not heard of it
	for fired.Stop() {
		fired.Reset(0)
	}
	r := p.Exchange(t.Context(), p.AddEndpoint(b.Addr, 0), m, &Attempt{
		Deadline: time.Now().Add(agenttest.Timeout), Timer: fired,
		Forward: func(Response) error { t.Error("passed on"); return nil },
	})
	if r.Outcome != balancer.OutcomeTimeout {
		t.Errorf("outcome %d", r.Outcome)
	}
}

// The buffer of a body goes back once: by the attempt that has claimed the body, however it ends, or else by the
// handler.
func TestBufferIsGivenBack(t *testing.T) {
	none := func(net.Conn) {}
	for what, play := range map[string]func(net.Conn){"taken": none, "cut off": func(c net.Conn) { c.Close() }} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				play(c)
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					io.WriteString(c, agenttest.OKAnswer)
				}
			}
		}()
		cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
		p := NewPool(&cfg.Settings, 4, &metrics.Metrics{})
		store := stream.NewBuffers(2 * stream.PartBytes)
		u := stream.NewUpload(100_000, nil, stream.NewPacedReader(bytes.NewReader(agenttest.Pattern(100_000)), http.NewResponseController(httptest.NewRecorder()), time.Time{}))
		u.Budget = agenttest.Timeout
		if !u.Reserve(store) || store.Free() != 1 {
			t.Fatal("no buffer")
		}
		m := NewRequest("POST", "/", "x", nil, nil, u)
		on := &Attempt{OnStreaming: func() {}, Timer: time.AfterFunc(agenttest.Timeout, func() {}), Deadline: time.Now().Add(agenttest.Timeout)}
		p.Exchange(t.Context(), p.AddEndpoint(l.Addr().String(), 0), m, on)
		if store.Free() != 2 || u.Claim() {
			t.Errorf("%s: %d buffers are free", what, store.Free())
		}
	}
}
