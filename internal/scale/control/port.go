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

	mu    sync.Mutex
	l     *net.TCPListener // nil while closed
	cut   bool
	conns map[*conn]struct{}
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
	p.l = l.(*net.TCPListener)
	return &listener{p.l, p}, nil
}

// hangUp closes the port and resets its connections, other than silent ones: no reset reaches their agent.
func (p *port) hangUp() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.l != nil {
		p.l.Close()
		p.l = nil
	}
	if !p.cut {
		p.resetAll()
	}
}

// setCut makes the port silent, or resets its silent connections.
func (p *port) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut == cut {
		return
	}
	p.cut = cut
	if !cut {
		p.resetAll()
		return
	}
	for c := range p.conns {
		c.silent.Store(true)
	}
}

// resetAll needs the lock.
func (p *port) resetAll() {
	for c := range p.conns {
		c.reset()
	}
	clear(p.conns)
}

// take makes a new connection one of the port's. It returns nil if the connection is not to be served.
func (p *port) take(l *net.TCPListener, tcp *net.TCPConn) *conn {
	c := &conn{TCPConn: tcp, port: p, over: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.l != l: // closed meanwhile
		c.reset()
		return nil
	case p.cut:
		c.silent.Store(true)
		p.conns[c] = struct{}{}
		go c.swallow()
		return nil
	}
	p.conns[c] = struct{}{}
	return c
}

func (p *port) drop(c *conn) {
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
		if c := l.port.take(l.TCPListener, tcp); c != nil {
			return c, nil
		}
	}
}

// conn is a connection that can fall silent: then nothing that comes is handed on, nothing is written, and it stays open
// when its server closes it, until the port resets it or its agent has left it.
type conn struct {
	*net.TCPConn
	port   *port
	silent atomic.Bool
	once   sync.Once
	over   chan struct{} // closed when the server need not wait for it any more
}

// reset ends the connection as the death of a process does.
func (c *conn) reset() {
	c.SetLinger(0)
	c.TCPConn.Close()
	c.end()
}

func (c *conn) end() { c.once.Do(func() { close(c.over) }) }

// swallow drops what comes on a silent connection until it is over or its agent has left it, which nobody is told: the
// connection's end goes to a socket that no longer has an owner.
func (c *conn) swallow() {
	io.Copy(io.Discard, c.TCPConn)
	c.port.drop(c)
	c.reset()
}

// Read may be cut off while it waits; what it got then is lost.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if !c.silent.Load() {
		return n, err
	}
	<-c.over
	return 0, net.ErrClosed
}

func (c *conn) Write(b []byte) (int, error) {
	if !c.silent.Load() {
		return c.TCPConn.Write(b)
	}
	<-c.over
	return 0, net.ErrClosed
}

// Close leaves a silent connection open for its agent.
func (c *conn) Close() error {
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	if c.silent.Load() {
		c.end()
		return nil
	}
	delete(c.port.conns, c)
	c.end()
	return c.TCPConn.Close()
}
