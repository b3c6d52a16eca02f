// Package upstream pools the connections to servers and exchanges requests and responses over them.
//
// The Pool owns all connections; its mutex guards the idle ones and the endpoints. A connection in use belongs to the
// exchange that took it. The package never sends a request twice: the balancer decides whether to retry, based on the
// outcome that an exchange returns.
package upstream

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"example.org/ryeloft/internal/fairshare"
	"example.org/ryeloft/internal/metrics"
	"example.org/ryeloft/internal/settings"
	"example.org/ryeloft/internal/stream"
)

// idleMargin is subtracted from the idle timeout of servers: a connection is no longer reused this long before the
// server may close it. A request that crosses the close ends in a reset and may have run.
const idleMargin = 500 * time.Millisecond

// restAfterResponse is how long a connection is not reused after a response. A server may send a second response some
// milliseconds late; stale detects it before the connection is reused, but nothing tells it apart from the response to
// a request that has been written already.
const restAfterResponse = 25 * time.Millisecond

var (
	errSocketLimit    = errors.New("server connection limit reached")
	errServerDraining = errors.New("server is draining")
)

// isSocketShortage reports whether err means that the agent itself has no socket left.
func isSocketShortage(err error) bool {
	return errors.Is(err, errSocketLimit) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Pool holds the connections to all servers. It does not use http.Transport, which retries on a stale connection by
// itself and does not report whether the last byte of a request was written: only a request that was written completely
// may have run. Any goroutine may call its methods.
type Pool struct {
	metrics *metrics.Metrics
	memory  *stream.Memory // for the heads of responses and for buffered responses
	// scheduler shares the processor between the connections; nil if none waits for it.
	scheduler *fairshare.Scheduler

	mu             sync.Mutex
	connectTimeout time.Duration
	idleTimeout    time.Duration          // after which servers close idle connections; 0 means never
	maxConns       int                    // limit for open
	endpoints      map[*Endpoint]struct{} // without the retired ones
	open           int                    // connections, idle and in use
	idleAges       idleAgeStats
}

// NewPool returns a pool of at most maxConns connections. Responses for which no memory is left are streamed.
func NewPool(s *settings.Settings, maxConns int, memory *stream.Memory, m *metrics.Metrics) *Pool {
	p := &Pool{metrics: m, memory: memory, maxConns: maxConns, endpoints: map[*Endpoint]struct{}{}}
	p.Configure(s)
	return p
}

// ShareProcessor has the connections wait for processor time. It must be called before the pool is used.
func (p *Pool) ShareProcessor(s *fairshare.Scheduler) { p.scheduler = s }

// Configure applies the connection settings.
func (p *Pool) Configure(s *settings.Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTimeout = s.ConnectTimeout
	p.idleTimeout = s.IdleTimeout
}

// Resize changes the connection limit. It closes idle connections above the limit; connections in use stay open.
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

// UpdateLimit sets the connection limit to the result of decide, which receives the number of open connections. The
// number does not change in between.
func (p *Pool) UpdateLimit(decide func(open int) (maxConns int)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = decide(p.open)
}

// OpenConns returns the number of open connections, idle and in use.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// IdleConns returns the number of idle connections to an endpoint.
func (p *Pool) IdleConns(e *Endpoint) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(e.idle)
}

// EndpointCount returns the number of endpoints that are not retired.
func (p *Pool) EndpointCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.endpoints)
}

// AddEndpoint adds and returns an endpoint for the process at addr with the given start time.
func (p *Pool) AddEndpoint(addr string, start time.Duration) *Endpoint {
	e := &Endpoint{addr: addr, start: start}
	e.draining, e.drain = context.WithCancel(context.Background())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints[e] = struct{}{}
	return e
}

// Retire drains an endpoint and removes it. It closes the idle connections now, and those in use when they are
// returned.
func (p *Pool) Retire(e *Endpoint) {
	e.Drain()
	p.mu.Lock()
	e.retired = true
	delete(p.endpoints, e)
	p.mu.Unlock()
	p.closeIdle(e)
}

// get returns a connection to an endpoint: the most recently used idle one that has rested, or a new one.
func (p *Pool) get(ctx context.Context, e *Endpoint) (*conn, error) {
	for {
		c := p.takeIdle(e)
		if c == nil {
			return p.dial(ctx, e)
		}
		if p.checkIdleAge(c) && !c.stale() {
			p.metrics.ConnectionReused()
			return c, nil
		}
		p.discard(c)
	}
}

func (p *Pool) takeIdle(e *Endpoint) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(e.idle) {
		if time.Since(c.idleSince) >= restAfterResponse {
			e.idle = slices.Delete(e.idle, i, i+1)
			return c
		}
	}
	return nil
}

// expired reports whether a connection has been idle for too long to be reused. The caller holds the mutex.
func (p *Pool) expired(c *conn) bool {
	age := time.Since(c.idleSince)
	if p.idleTimeout > 0 && age > p.idleTimeout-min(idleMargin, p.idleTimeout/4) {
		return true
	}
	return !p.idleAges.allows(age)
}

// checkIdleAge stores how long a connection taken from the idle list was idle, and reports whether it may be reused.
func (p *Pool) checkIdleAge(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleAge = time.Since(c.idleSince)
	return !p.expired(c)
}

// recordLoss records whether a request on a reused connection was lost before the first byte of its response.
func (p *Pool) recordLoss(c *conn, lost bool) {
	if !c.used {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleAges.record(c.idleAge, lost)
}

// dial opens a connection. At the connection limit it closes the connection that has been idle longest.
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
	c := newConn(raw, e, p.memory)
	c.account = p.scheduler.Dialed()
	return c, nil
}

// reserve counts a connection that is about to be opened, and returns the dialer for it.
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

// removeLongestIdle removes and returns the connection that has been idle longest, or nil if none is idle. The caller
// holds the mutex and closes the connection.
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

// put returns a connection to the pool for the next request.
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

// discard closes a connection that is in no idle list.
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

// Sweep closes connections that have been idle for too long to be reused, and decays the idle age statistics.
func (p *Pool) Sweep() {
	var dropped []*conn
	p.mu.Lock()
	p.idleAges.decay()
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
