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

// Server is a TCP server that hands each request to a script, on whichever connection it comes.
type Server struct {
	Addr     string
	Accepted chan net.Conn
	Requests chan *http.Request
	Closed   chan error // the agent has closed a connection

	script Script
	mu     sync.Mutex
	count  int // requests
}

// Script answers the nth request on its connection: the text is written as it is, and closes says whether the connection
// ends then. No text and not closing is silence.
type Script func(n int, req *http.Request) (text string, closes bool)

// OKAnswer is the answer that Serve gives.
const OKAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nContent-Type: text/x-made\r\n\r\nserved"

// Serve is the script of a server that answers all requests.
func Serve(int, *http.Request) (string, bool) { return OKAnswer, false }

// NewServer starts a server, which ends with the test.
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
		// A body that breaks off shows by its length.
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
