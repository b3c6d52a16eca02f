package lists

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener returns a listener that attributes its connections to one agent and limits their number. One http.Server
// serves the listeners of all agents: a server per agent would cost too much memory with many hundreds of agents.
func (s *Server) Listener(l net.Listener, agent int) net.Listener {
	limit := s.MaxConns
	if limit == 0 {
		limit = defaultMaxConns
	}
	return &listener{Listener: l, agent: agent, limit: int64(limit)}
}

type listener struct {
	net.Listener
	agent int
	limit int64
	open  atomic.Int64
}

// Accept closes connections beyond the limit immediately.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &conn{Conn: c, listener: l}, nil
		}
		l.open.Add(-1)
		c.Close()
	}
}

// conn is a connection that counts as open until Close is first called.
type conn struct {
	net.Conn
	listener  *listener
	closeOnce sync.Once
}

func (c *conn) Close() error {
	c.closeOnce.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
