package control

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// port is one agent's way to control: an address, and the connections that came in there. It can be closed, and it can
// fall silent, as the network between two machines does. Silent connections stay open whatever happens to control; they
// are reset when the way is back.
type port struct {
	agent int
	addr  string

	mu          sync.Mutex
	tcpListener *net.TCPListener // nil while closed
	partitioned bool
	conns       map[*conn]struct{}
}

func newPort(agent int, addr string) *port {
	return &port{agent: agent, addr: addr, conns: make(map[*conn]struct{})}
}

// listen opens the port. The listener ends when the port is closed.
func (p *port) listen() (net.Listener, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", p.addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tcpListener = l.(*net.TCPListener)
	return &listener{p.tcpListener, p}, nil
}

// cancelCall closes the port and resets its connections, other than silent ones: no reset reaches their agent.
func (p *port) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tcpListener != nil {
		p.tcpListener.Close()
		p.tcpListener = nil
	}
	if !p.partitioned {
		p.resetAll()
	}
}

// setPartitioned makes the port silent, or resets its silent connections.
func (p *port) setPartitioned(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.partitioned == cut {
		return
	}
	p.partitioned = cut
	if !cut {
		p.resetAll()
		return
	}
	for c := range p.conns {
		c.partitioned.Store(true)
	}
}

// resetAll needs the lock.
func (p *port) resetAll() {
	for c := range p.conns {
		c.reset()
	}
	clear(p.conns)
}

// track makes a new connection one of the port's. It returns nil if the connection is not to be served.
func (p *port) track(l *net.TCPListener, tcp *net.TCPConn) *conn {
	c := &conn{TCPConn: tcp, port: p, released: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.tcpListener != l: // closed meanwhile
		c.reset()
		return nil
	case p.partitioned:
		c.partitioned.Store(true)
		p.conns[c] = struct{}{}
		go c.discard()
		return nil
	}
	p.conns[c] = struct{}{}
	return c
}

func (p *port) forget(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

type listener struct {
	*net.TCPListener
	port *port
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if c := l.port.track(l.TCPListener, tcp); c != nil {
			return c, nil
		}
	}
}

// conn is a connection that can fall silent: then nothing that comes is handed on, nothing is written, and it stays open
// when its server closes it, until the port resets it or its agent has left it.
type conn struct {
	*net.TCPConn
	port        *port
	partitioned atomic.Bool
	once        sync.Once
	released    chan struct{} // closed when the server need not wait for it any more
}

// reset ends the connection as the death of a process does.
func (c *conn) reset() {
	c.SetLinger(0)
	c.TCPConn.Close()
	c.release()
}

func (c *conn) release() { c.once.Do(func() { close(c.released) }) }

// discard drops what comes on a silent connection until it is over or its agent has left it, which nobody is told: the
// connection's end goes to a socket that no longer has an owner.
func (c *conn) discard() {
	io.Copy(io.Discard, c.TCPConn)
	c.port.forget(c)
	c.reset()
}

// Read may be cut off while it waits; what it got then is lost.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if !c.partitioned.Load() {
		return n, err
	}
	<-c.released
	return 0, net.ErrClosed
}

func (c *conn) Write(b []byte) (int, error) {
	if !c.partitioned.Load() {
		return c.TCPConn.Write(b)
	}
	<-c.released
	return 0, net.ErrClosed
}

// Close leaves a silent connection open for its agent.
func (c *conn) Close() error {
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	if c.partitioned.Load() {
		c.release()
		return nil
	}
	delete(c.port.conns, c)
	c.release()
	return c.TCPConn.Close()
}
