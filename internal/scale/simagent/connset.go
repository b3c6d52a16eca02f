package simagent

import (
	"context"
	"net"
	"sync"
	"time"
)

// dialTimeout equals the discovery client's default timeout, which does not apply because Options.Dial replaces its
// dialer.
const dialTimeout = time.Second

// connSet tracks the open connections of one discovery client, so that they can be closed with its process.
type connSet struct {
	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

// trackedConn is a connection that removes itself from its connSet when it is closed.
type trackedConn struct {
	net.Conn
	owner *connSet
}

func (c *trackedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

func (s *connSet) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	plain, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &trackedConn{plain, s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		plain.Close()
		return nil, net.ErrClosed
	}
	if s.open == nil {
		s.open = map[net.Conn]struct{}{}
	}
	s.open[c] = struct{}{}
	return c, nil
}

func (s *connSet) close() {
	s.mu.Lock()
	open := s.open
	s.open = nil
	s.closed = true
	s.mu.Unlock()
	for c := range open {
		c.Close()
	}
}
