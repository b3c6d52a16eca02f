package control

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// port is the address at which one agent calls a machine, with the connections accepted there. It can be closed, and it
// can be partitioned from the agent. Partitioned connections stay open whatever happens to the machine; they are reset
// when the partition ends. mu guards its state.
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

// listen opens the port. Closing the port closes the listener.
func (p *port) listen() (net.Listener, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", p.addr)
	if err != nil {
		return nil, fmt.Errorf("listening for agent %d: %w", p.agent, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tcpListener = l.(*net.TCPListener)
	return &listener{p.tcpListener, p}, nil
}

// close closes the port and resets its connections unless they are partitioned: no reset reaches a partitioned agent.
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

// setPartitioned starts a partition, or ends it and resets the port's connections.
func (p *port) setPartitioned(partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.partitioned == partitioned {
		return
	}
	p.partitioned = partitioned
	if !partitioned {
		p.resetAll()
		return
	}
	for c := range p.conns {
		c.partitioned.Store(true)
	}
}

// resetAll resets all connections. The caller holds mu.
func (p *port) resetAll() {
	for c := range p.conns {
		c.reset()
	}
	clear(p.conns)
}

// track adds a new connection to the port. It returns nil if the connection must not be served.
func (p *port) track(l *net.TCPListener, tcp *net.TCPConn) *conn {
	c := &conn{TCPConn: tcp, port: p, released: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tcpListener != l { // the port was closed after the connection was accepted
		c.reset()
		return nil
	}
	p.conns[c] = struct{}{}
	if p.partitioned {
		c.partitioned.Store(true)
		go c.discard() // returns when the agent closes the connection or the partition ends
		return nil
	}
	return c
}

func (p *port) untrack(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// listener accepts those connections of a port that are to be served.
type listener struct {
	*net.TCPListener
	port *port
}

// Accept implements net.Listener.
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

// conn is a connection that can be partitioned. A partitioned connection delivers no received data and writes nothing.
// It stays open after its server closes it, until the port resets it or its agent closes it.
type conn struct {
	*net.TCPConn
	port        *port
	partitioned atomic.Bool
	releaseOnce sync.Once
	released    chan struct{} // closed when the server no longer needs to wait for the connection
}

// reset closes the connection with a TCP reset, as a process crash does.
func (c *conn) reset() {
	// Both fail only for a connection that is already closed.
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
	c.release()
}

func (c *conn) release() { c.releaseOnce.Do(func() { close(c.released) }) }

// discard drops the data received on a partitioned connection until its agent closes it or the port resets it.
func (c *conn) discard() {
	_, _ = io.Copy(io.Discard, c.TCPConn) // returns when the connection ends, with or without an error
	c.port.untrack(c)
	c.reset()
}

// Read drops data that arrives while the connection is partitioned, and then returns once the connection is released.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if !c.partitioned.Load() {
		return n, err
	}
	<-c.released
	return 0, net.ErrClosed
}

// Write writes nothing while the connection is partitioned, and then returns once the connection is released.
func (c *conn) Write(b []byte) (int, error) {
	if !c.partitioned.Load() {
		return c.TCPConn.Write(b)
	}
	<-c.released
	return 0, net.ErrClosed
}

// Close closes the connection, but leaves a partitioned one open for its agent.
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
