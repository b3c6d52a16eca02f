package agenttest

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Server is a TCP server that answers the requests of all its connections with a script.
type Server struct {
	Addr     string
	Accepted chan net.Conn
	Requests chan *http.Request
	Closed   chan error // the read error of each connection that the agent has closed

	script Script
	mu     sync.Mutex
	count  int // requests on all connections; guarded by mu
}

// Script returns the response to the nth request of a server, counted from 0. The text is written verbatim; if closes
// is set, the server then closes the connection. If text is empty and closes is not set, the request gets no response.
type Script func(n int, req *http.Request) (text string, closes bool)

// OKResponse is the response of Serve.
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nContent-Type: text/x-made\r\n\r\nserved"

// Serve is the Script of a server that answers every request with OKResponse.
func Serve(int, *http.Request) (string, bool) { return OKResponse, false }

// NewServer starts a server whose listener and connections are closed when the test ends.
func NewServer(t *testing.T, script Script) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &Server{
		Addr: listener.Addr().String(), Accepted: make(chan net.Conn, 100), Requests: make(chan *http.Request, 100),
		Closed: make(chan error, 100), script: script,
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			s.Accepted <- conn
			go s.serve(conn)
		}
	}()
	return s
}

func (s *Server) serve(conn net.Conn) {
	requests := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(requests)
		if err != nil {
			conn.Close()
			s.Closed <- err
			return
		}
		// The error is ignored: a truncated body is noticed by its length.
		body, _ := io.ReadAll(req.Body)
		req.Body = io.NopCloser(bytes.NewReader(body))
		s.mu.Lock()
		n := s.count
		s.count++
		s.mu.Unlock()
		s.Requests <- req
		text, closes := s.script(n, req)
		send(conn, text)
		if closes {
			conn.Close()
			return
		}
	}
}
