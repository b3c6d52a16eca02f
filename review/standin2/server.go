package standin2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Request is a request that has reached a counter server whole.
type Request struct {
	Method, ID, Key, Path string
	Body                  []byte
	Arrived               time.Time // of its last byte
}

// Server is a counter server.
type Server struct {
	Name, Addr string
	// Handle answers a request on its connection. It returns false if the connection is to close.
	Handle func(r Request, conn net.Conn) bool
	Count  atomic.Int64 // requests that arrived whole
}

// NewServer starts a counter server.
func NewServer(name string, handle func(r Request, conn net.Conn) bool) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Name: name, Addr: l.Addr().String(), Handle: handle}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

// Member returns the server's entry of the list.
func (s *Server) Member(phase string) Member { return Member{ID: s.Name, Addr: s.Addr, Phase: phase} }

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.Count.Add(1)
		request := Request{
			Method: r.Method, ID: r.Header.Get("X-Call-Id"), Key: r.Header.Get("Idempotency-Key"), Path: r.RequestURI,
			Body: body, Arrived: time.Now(),
		}
		if !s.Handle(request, conn) {
			return
		}
	}
}

// OK returns a 200 answer with the given body and an inline load report.
func OK(body []byte) []byte {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Load-Report: queue=0,latency_ms=20\r\n\r\n", len(body))
	return append([]byte(head), body...)
}
