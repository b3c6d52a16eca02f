// Package upstream keeps the connections to servers and exchanges one request for one answer over them.
//
// The Pool owns all connections; its mutex guards the idle ones and the endpoints. A connection in use belongs to the one
// exchange that took it. The package never sends a request twice: whether one may be repeated is the balancer's to decide,
// by the outcome that an exchange reports.
package upstream

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"example.org/ryeloft/internal/metrics"
	"example.org/ryeloft/internal/settings"
)

// idleMargin is how long before a server may close an idle connection it is no longer used, because a request that crosses
// the close ends as a reset, and may have run.
const idleMargin = 500 * time.Millisecond

var (
	errSocketLimit    = errors.New("limit of connections to servers reached")
	errServerDraining = errors.New("server is draining")
)

// isLocalShortage says whether an error is the agent's own want of sockets.
func isLocalShortage(err error) bool {
	return errors.Is(err, errSocketLimit) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Pool keeps the connections to all servers. It does not use net/http's transport, which retries by itself on a stale
// connection and does not report whether a request's last byte was written, on which it depends whether the request may
// have run. Any goroutine may call its methods.
type Pool struct {
	metrics *metrics.Metrics

	mu             sync.Mutex
	connectTimeout time.Duration
	idleTimeout    time.Duration          // of the servers; 0: they never close
	maxConns       int                    // idle and in use
	endpoints      map[*Endpoint]struct{} // those not retired
	open           int                    // connections
	idleAge        idleAge
}

// NewPool returns a pool of so many connections at most.
func NewPool(s *settings.Settings, maxConns int, m *metrics.Metrics) *Pool {
	p := &Pool{metrics: m, maxConns: maxConns, endpoints: map[*Endpoint]struct{}{}}
	p.Configure(s)
	return p
}

// Configure takes the settings that concern connections.
func (p *Pool) Configure(s *settings.Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTimeout = s.ConnectTimeout
	p.idleTimeout = s.IdleTimeout
}

// Resize changes how many connections there may be. Idle ones close if they are too many; those in use stay.
func (p *Pool) Resize(maxConns int) {
	var dropped []*conn
	p.mu.Lock()
	p.maxConns = maxConns
	for p.open > p.maxConns {
		c := p.removeLongestIdle()
		if c == nil {
			break
		}
		dropped = append(dropped, c)
	}
	p.mu.Unlock()
	closeAll(dropped)
}

// UpdateLimit sets how many connections there may be to what decide returns, in one step with the count of open ones that
// decide is given.
func (p *Pool) UpdateLimit(decide func(open int) (maxConns int)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = decide(p.open)
}

// OpenConns returns how many connections there are, idle and in use.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// IdleConns returns how many idle connections to an endpoint there are.
func (p *Pool) IdleConns(e *Endpoint) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(e.idle)
}

// EndpointCount returns how many endpoints there are that are not retired.
func (p *Pool) EndpointCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.endpoints)
}

// AddEndpoint returns a new endpoint for the process that started then at an address.
func (p *Pool) AddEndpoint(addr string, start time.Duration) *Endpoint {
	e := &Endpoint{addr: addr, start: start}
	e.draining, e.drain = context.WithCancel(context.Background())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints[e] = struct{}{}
	return e
}

// Retire closes the idle connections to an endpoint, and those in use once they are back.
func (p *Pool) Retire(e *Endpoint) {
	e.Drain()
	p.mu.Lock()
	e.retired = true
	delete(p.endpoints, e)
	p.mu.Unlock()
	p.closeIdle(e)
}

// get returns a connection to an endpoint: the idle one that was used last, or a new one.
func (p *Pool) get(ctx context.Context, e *Endpoint) (*conn, error) {
	for {
		c := p.takeIdle(e)
		if c == nil {
			return p.dial(ctx, e)
		}
		if p.fresh(c) && !c.stale() {
			p.metrics.ConnectionReused()
			return c, nil
		}
		p.discard(c)
	}
}

func (p *Pool) takeIdle(e *Endpoint) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(e.idle) == 0 {
		return nil
	}
	last := len(e.idle) - 1
	c := e.idle[last]
	e.idle[last] = nil
	e.idle = e.idle[:last]
	return c
}

// expired says that a connection has been idle for too long to be used. The mutex is held.
func (p *Pool) expired(c *conn) bool {
	age := time.Since(c.idleSince)
	if p.idleTimeout > 0 && age > p.idleTimeout-min(idleMargin, p.idleTimeout/4) {
		return true
	}
	return !p.idleAge.allows(age)
}

// fresh says whether a connection out of the idle list may be used, and notes how long it was idle.
func (p *Pool) fresh(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleAge = time.Since(c.idleSince)
	return !p.expired(c)
}

// recordLoss notes whether a request over a reused connection was lost before any answer.
func (p *Pool) recordLoss(c *conn, lost bool) {
	if !c.used {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleAge.record(c.idleAge, lost)
}

// dial opens a connection, and closes the one that has been idle longest if there are too many.
func (p *Pool) dial(ctx context.Context, e *Endpoint) (*conn, error) {
	dialer, err := p.reserve()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(e.draining, cancel)()
	raw, err := dialer.DialContext(ctx, "tcp", e.addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		if e.Draining() {
			return nil, errServerDraining
		}
		return nil, err
	}
	p.metrics.ConnectionDialed()
	return newConn(raw, e), nil
}

// reserve counts a connection that is about to be opened, and returns what opens it.
func (p *Pool) reserve() (*net.Dialer, error) {
	p.mu.Lock()
	var victim *conn
	if p.open >= p.maxConns {
		victim = p.removeLongestIdle()
		if victim == nil {
			p.mu.Unlock()
			return nil, errSocketLimit
		}
	}
	p.open++
	dialer := &net.Dialer{Timeout: p.connectTimeout, KeepAlive: -1}
	p.mu.Unlock()
	if victim != nil {
		victim.Close()
	}
	return dialer, nil
}

// removeLongestIdle takes out the connection that has been idle longest, nil if none is idle. The mutex is held.
func (p *Pool) removeLongestIdle() *conn {
	var longest *Endpoint
	for e := range p.endpoints {
		if len(e.idle) > 0 && (longest == nil || e.idle[0].idleSince.Before(longest.idle[0].idleSince)) {
			longest = e
		}
	}
	if longest == nil {
		return nil
	}
	c := longest.idle[0]
	longest.idle = slices.Delete(longest.idle, 0, 1)
	p.open--
	return c
}

// put gives a connection back for the next request.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	if c.endpoint.retired {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	c.idleSince = time.Now()
	c.used = true
	c.endpoint.idle = append(c.endpoint.idle, c)
	p.mu.Unlock()
}

// discard closes a connection that is in nobody's list.
func (p *Pool) discard(c *conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// closeIdle closes the idle connections to an endpoint.
func (p *Pool) closeIdle(e *Endpoint) {
	p.mu.Lock()
	dropped := e.idle
	e.idle = nil
	p.open -= len(dropped)
	p.mu.Unlock()
	closeAll(dropped)
}

// Sweep closes what has been idle for too long to be used again, and lets what was learnt about idle ages fade.
func (p *Pool) Sweep() {
	var dropped []*conn
	p.mu.Lock()
	p.idleAge.decay()
	for e := range p.endpoints {
		for len(e.idle) > 0 && p.expired(e.idle[0]) {
			dropped = append(dropped, e.idle[0])
			e.idle = slices.Delete(e.idle, 0, 1)
		}
	}
	p.open -= len(dropped)
	p.mu.Unlock()
	closeAll(dropped)
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.Close()
	}
}
