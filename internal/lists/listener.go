package lists

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener returns a listener whose connections are known as one agent's, and are few. One http.Server serves them all:
// a server for each of many hundreds of agents would hold as many sets of bookkeeping.
func (s *Server) Listener(l net.Listener, agent int) net.Listener {
	limit := s.MaxConns
	if limit == 0 {
		limit = connsEach
	}
	return &listener{Listener: l, agent: agent, limit: int64(limit)}
}

type listener struct {
	net.Listener
	agent int
	limit int64
	open  atomic.Int64
}

// Accept closes connections beyond the limit at once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &conn{Conn: c, l: l}, nil
		}
		l.open.Add(-1)
		c.Close()
	}
}

type conn struct {
	net.Conn
	l    *listener
	once sync.Once
}

func (c *conn) Close() error {
	c.once.Do(func() { c.l.open.Add(-1) })
	return c.Conn.Close()
}
