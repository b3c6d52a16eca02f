package relay

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/lists"
)

var quiet = slog.New(slog.DiscardHandler)

// network simulates a network in memory, on the fake clock of a synctest bubble.
type network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

// pipeListener is the listener at an address, with the connections to it.
type pipeListener struct {
	net          *network
	addr         string
	incoming     chan net.Conn
	closed       chan struct{}
	unresponsive chan struct{} // closed when the address stops responding
	conns        []net.Conn
}

func newNetwork() *network { return &network{listeners: map[string]*pipeListener{}} }

// listen opens a listener at an address that has none.
func (n *network) listen(addr string) *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{
		net: n, addr: addr, incoming: make(chan net.Conn), closed: make(chan struct{}), unresponsive: make(chan struct{}),
	}
	n.listeners[addr] = l
	return l
}

// dial implements discovery.Dial.
func (n *network) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	client, other := net.Pipe()
	server := &serverConn{Conn: other, unresponsive: l.unresponsive, closed: make(chan struct{})}
	if server.isUnresponsive() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	n.mu.Lock()
	open := n.listeners[addr] == l
	l.conns = append(l.conns, server)
	n.mu.Unlock()
	if !open {
		return nil, errRefused
	}
	select {
	case l.incoming <- server:
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return client, nil
}

var errRefused = errors.New("connection refused")

// kill closes the listener at an address and its connections.
func (n *network) kill(addr string) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	l.cut()
}

// cut closes the listener and its connections. Closing the http.Server is not enough: it leaves a just accepted
// connection open.
func (l *pipeListener) cut() {
	l.Close()
	l.net.mu.Lock()
	conns := l.conns
	l.net.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// stopResponding makes an address stop responding: existing connections stay open, and new ones are never established.
func (n *network) stopResponding(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.listeners[addr].unresponsive)
}

// serverConn is the server side of a connection.
type serverConn struct {
	net.Conn
	unresponsive, closed chan struct{}
	once                 sync.Once
}

func (c *serverConn) isUnresponsive() bool {
	select {
	case <-c.unresponsive:
		return true
	default:
		return false
	}
}

func (c *serverConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isUnresponsive() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *serverConn) Write(b []byte) (int, error) {
	if c.isUnresponsive() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c *serverConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.listeners[l.addr] == l {
		delete(l.net.listeners, l.addr)
		close(l.closed)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// upstream is the service that a relay watches, at one address.
type upstream struct {
	*lists.Store
	net      *network
	addr     string
	listener *pipeListener
	http     *http.Server
}

// newUpstream starts a service with a list. It runs until the test ends.
func newUpstream(t *testing.T, n *network, revision uint64, members ...discovery.Member) *upstream {
	u := &upstream{Store: lists.NewStore(100), net: n, addr: "upstream:1"}
	u.Reset(revision, members)
	u.up()
	t.Cleanup(u.down)
	return u
}

func (u *upstream) up() {
	s := &lists.Server{Store: u.Store, MaxCallsPerAgent: 100, MaxConns: 100, Log: quiet}
	u.http = s.HTTP()
	u.listener = u.net.listen(u.addr)
	go u.http.Serve(s.Listener(u.listener, 0))
}

// down stops the service and closes its connections.
func (u *upstream) down() {
	if u.http != nil {
		u.http.Close()
		u.listener.cut()
		u.http = nil
	}
}

// apply changes the list and panics if the revision is out of order.
func (u *upstream) apply(revision uint64, members ...discovery.Member) {
	if err := u.Apply(revision, members); err != nil {
		panic(err)
	}
}

// runningRelay is a relay that serves at its own address until it is stopped or the test ends.
type runningRelay struct {
	*Relay
	addr string
	stop func()
}

func startRelay(t *testing.T, n *network, addr, state string) *runningRelay {
	t.Helper()
	return startRelayAt(t, n, addr, "upstream:1", state)
}

func startRelayAt(t *testing.T, n *network, addr, upstream, state string) *runningRelay {
	t.Helper()
	r, err := New(Options{
		Name: addr, Discovery: upstream, State: state, FullListsPerSecond: 60, MaxCallers: 1000, Log: quiet, Dial: n.dial,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	ended.Go(func() { r.Run(ctx) })
	l := n.listen(addr)
	ended.Go(func() {
		if err := r.Serve(ctx, l); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Errorf("%s: %v", addr, err)
		}
	})
	var once sync.Once
	run := &runningRelay{Relay: r, addr: addr, stop: func() { once.Do(func() { cancel(); ended.Wait(); l.cut() }) }}
	t.Cleanup(run.stop)
	return run
}

// callResult is the outcome of a call.
type callResult struct {
	status     int // 0: no response
	list       discovery.EndpointList
	took       time.Duration
	retryAfter string
}

// call makes a call on a new connection.
func call(t *testing.T, n *network, addr, query string) callResult {
	t.Helper()
	tr := &http.Transport{DialContext: n.dial, DisableKeepAlives: true}
	began := time.Now()
	resp, err := (&http.Client{Transport: tr}).Get("http://" + addr + lists.Path + query)
	if err != nil {
		return callResult{took: time.Since(began)}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return callResult{took: time.Since(began)}
	}
	got := callResult{status: resp.StatusCode, took: time.Since(began), retryAfter: resp.Header.Get("Retry-After")}
	if got.status == http.StatusOK {
		if got.list, err = discovery.Parse(text); err != nil {
			t.Errorf("%s%s: %v", addr, query, err)
		}
	}
	return got
}
