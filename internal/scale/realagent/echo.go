package realagent

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	callIDHeader = "X-Call-Id"
	alivePath    = "/alive"
	loadPath     = "/metrics/load"
)

// EchoServers are counter servers on loopback sockets that do no work. They respond immediately with the request's ID
// as the body, so that callers can recognize the response to their request. Their load reports contain all fields that
// settings can name. Goroutines serve the connections; Close waits for them.
type EchoServers struct {
	servers []*echoServer
	conns   sync.WaitGroup
}

// echoServer is one of EchoServers. mu guards closed and conns.
type echoServer struct {
	listener    net.Listener
	inProgress  atomic.Int64 // requests
	recentNanos atomic.Int64 // duration of the last request

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]struct{}
}

// StartEchoServers starts n servers.
func StartEchoServers(n int) (*EchoServers, error) {
	e := &EchoServers{}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Join(fmt.Errorf("starting echo servers: %w", err), e.Close())
		}
		s := &echoServer{listener: l, conns: map[net.Conn]struct{}{}}
		e.servers = append(e.servers, s)
		e.conns.Go(func() { e.accept(s) })
	}
	return e, nil
}

// Addrs returns the servers' addresses, host and port.
func (e *EchoServers) Addrs() []string {
	addrs := make([]string, len(e.servers))
	for i, s := range e.servers {
		addrs[i] = s.listener.Addr().String()
	}
	return addrs
}

// Close closes the servers and their connections and waits for their goroutines.
func (e *EchoServers) Close() error {
	var errs []error
	for _, s := range e.servers {
		errs = append(errs, s.close())
	}
	e.conns.Wait()
	return errors.Join(errs...)
}

func (e *EchoServers) accept(s *echoServer) {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		if s.track(c) {
			e.conns.Go(func() {
				s.serve(c)
				s.untrack(c)
			})
		}
	}
}

func (s *echoServer) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *echoServer) untrack(c net.Conn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *echoServer) close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
	return s.listener.Close()
}

// serve responds to a connection's requests in turn until either side closes it. It does not use net/http's server,
// whose variance on both routes of the comparison would hide that of the agent.
func (s *echoServer) serve(c net.Conn) {
	br := bufio.NewReader(c)
	var text []byte
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		startedAt := time.Now()
		s.inProgress.Add(1)
		text = s.appendResponse(text[:0], r)
		_, err = c.Write(text)
		s.inProgress.Add(-1)
		s.recentNanos.Store(int64(time.Since(startedAt)))
		if err != nil || r.Close {
			return
		}
	}
}

// appendResponse appends the complete response to a request.
func (s *echoServer) appendResponse(to []byte, r *http.Request) []byte {
	status, body := http.StatusOK, r.Header.Get(callIDHeader)
	report := fmt.Sprintf("outstanding=%d,backlog=0,recent_ms=%.3f", s.inProgress.Load(), float64(s.recentNanos.Load())/1e6)
	switch {
	case r.URL.Path == alivePath:
		body = "alive\n"
	case r.URL.Path == loadPath:
		body = report
	case body == "":
		status = http.StatusNotFound
		body = "no " + callIDHeader + "\n"
	}
	return fmt.Appendf(to, "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nX-Load-Report: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), report, len(body), body)
}
