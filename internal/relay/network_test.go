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

// wires is a network within a test, on the test's clock.
type wires struct {
	mu     sync.Mutex
	places map[string]*place
}

// place is one address: who listens there, and the connections to it.
type place struct {
	net    *wires
	addr   string
	coming chan net.Conn
	gone   chan struct{}
	silent chan struct{} // closed when nothing more is said here
	conns  []net.Conn
}

func newWires() *wires { return &wires{places: map[string]*place{}} }

// listen opens an address that is not open.
func (w *wires) listen(addr string) *place {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := &place{net: w, addr: addr, coming: make(chan net.Conn), gone: make(chan struct{}), silent: make(chan struct{})}
	w.places[addr] = p
	return p
}

// dial is a discovery.Dial.
func (w *wires) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	w.mu.Lock()
	p := w.places[addr]
	w.mu.Unlock()
	if p == nil {
		return nil, errors.New("connection refused")
	}
	here, other := net.Pipe()
	there := &end{Conn: other, silent: p.silent, closed: make(chan struct{})}
	if there.hushed() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	w.mu.Lock()
	open := w.places[addr] == p
	p.conns = append(p.conns, there)
	w.mu.Unlock()
	if !open {
		return nil, errors.New("connection refused")
	}
	select {
	case p.coming <- there:
	case <-p.gone:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return here, nil
}

// kill closes an address and breaks the connections to it.
func (w *wires) kill(addr string) {
	w.mu.Lock()
	p := w.places[addr]
	w.mu.Unlock()
	p.cut()
}

// cut closes the place and breaks its connections. Danger: the end of an http.Server leaves a connection open that it has
// just accepted.
func (p *place) cut() {
	p.Close()
	p.net.mu.Lock()
	conns := p.conns
	p.net.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// hush has an address say nothing more: open connections stay open, new ones never come up.
func (w *wires) hush(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.places[addr].silent)
}

// end is the listener's side of a connection.
type end struct {
	net.Conn
	silent, closed chan struct{}
	once           sync.Once
}

func (e *end) hushed() bool {
	select {
	case <-e.silent:
		return true
	default:
		return false
	}
}

func (e *end) Read(b []byte) (int, error) {
	n, err := e.Conn.Read(b)
	if e.hushed() {
		<-e.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (e *end) Write(b []byte) (int, error) {
	if e.hushed() {
		<-e.closed
		return 0, net.ErrClosed
	}
	return e.Conn.Write(b)
}

func (e *end) Close() error {
	e.once.Do(func() { close(e.closed) })
	return e.Conn.Close()
}

func (p *place) Accept() (net.Conn, error) {
	select {
	case c := <-p.coming:
		return c, nil
	case <-p.gone:
		return nil, net.ErrClosed
	}
}

func (p *place) Close() error {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	if p.net.places[p.addr] == p {
		delete(p.net.places, p.addr)
		close(p.gone)
	}
	return nil
}

func (p *place) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// above is the service that a relay follows, at one address.
type above struct {
	*lists.Store
	net  *wires
	addr string
	at   *place
	http *http.Server
}

// newAbove starts a service with a list, until the test ends.
func newAbove(t *testing.T, w *wires, revision uint64, members ...discovery.Member) *above {
	a := &above{Store: lists.NewStore(100), net: w, addr: "above:1"}
	a.Reset(revision, members)
	a.up()
	t.Cleanup(a.down)
	return a
}

func (a *above) up() {
	s := &lists.Server{Store: a.Store, MaxCallsPerAgent: 100, MaxConns: 100, Log: quiet}
	a.http = s.HTTP()
	a.at = a.net.listen(a.addr)
	l := s.Listener(a.at, 0)
	go a.http.Serve(l)
}

// down resets who is connected.
func (a *above) down() {
	if a.http != nil {
		a.http.Close()
		a.at.cut()
		a.http = nil
	}
}

// apply changes the list and panics if that does not follow.
func (a *above) apply(revision uint64, members ...discovery.Member) {
	if err := a.Apply(revision, members); err != nil {
		panic(err)
	}
}

// running is a relay that runs at an address of its own until it is stopped or the test ends.
type running struct {
	*Relay
	addr string
	net  *wires
	stop func()
}

func startRelay(t *testing.T, w *wires, addr, state string) *running {
	t.Helper()
	return startRelayAt(t, w, addr, "above:1", state)
}

func startRelayAt(t *testing.T, w *wires, addr, above, state string) *running {
	t.Helper()
	r, err := New(Options{
		Name: addr, Discovery: above, State: state, FullListsPerSecond: 60, MaxCallers: 1000, Log: quiet, Dial: w.dial,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	ended.Go(func() { r.Run(ctx) })
	l := w.listen(addr)
	ended.Go(func() {
		if err := r.Serve(ctx, l); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Errorf("%s: %v", addr, err)
		}
	})
	var once sync.Once
	run := &running{Relay: r, addr: addr, net: w, stop: func() { once.Do(func() { cancel(); ended.Wait(); l.cut() }) }}
	t.Cleanup(run.stop)
	return run
}

// reply is what a call came to.
type reply struct {
	status int // 0: none
	list   discovery.EndpointList
	took   time.Duration
	again  string // Retry-After
}

// ask makes one call on a connection of its own.
func ask(t *testing.T, w *wires, addr, query string) reply {
	t.Helper()
	tr := &http.Transport{DialContext: w.dial, DisableKeepAlives: true}
	begun := time.Now()
	resp, err := (&http.Client{Transport: tr}).Get("http://" + addr + lists.Path + query)
	if err != nil {
		return reply{took: time.Since(begun)}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{took: time.Since(begun)}
	}
	got := reply{status: resp.StatusCode, took: time.Since(begun), again: resp.Header.Get("Retry-After")}
	if got.status == http.StatusOK {
		if got.list, err = discovery.Parse(text); err != nil {
			t.Errorf("%s%s: %v", addr, query, err)
		}
	}
	return got
}
