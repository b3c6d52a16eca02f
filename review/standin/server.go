package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// Call is a request that a counter server has received to its last byte.
type Call struct {
	Server  string
	ID      string
	Class   string
	Body    []byte
	Arrived time.Time
	Request *http.Request
	Conn    net.Conn
}

// Server is a stand-in for a counter server.
type Server struct {
	ID   string
	Addr string
	l    net.Listener
}

// StartServer starts a counter server. handle is called for each request, one at a time for a connection, and writes
// the answer to the connection; false closes the connection.
func StartServer(id string, handle func(*Call) bool) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Addr: l.Addr().String(), l: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, handle)
		}
	}()
	return s, nil
}

func (s *Server) serve(conn net.Conn, handle func(*Call) bool) {
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
		if r.URL.Path == "/alive" || r.URL.Path == "/metrics/load" {
			if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\nbacklog=0,recent_ms=100"); err != nil {
				return
			}
			continue
		}
		call := &Call{
			Server: s.ID, ID: r.Header.Get("X-Call-Id"), Class: r.Header.Get("X-Call-Class"), Body: body, Arrived: time.Now(),
			Request: r, Conn: conn,
		}
		if !handle(call) {
			return
		}
	}
}

// Member returns the server's entry in the list.
func (s *Server) Member() Member {
	return Member{ID: s.ID, HostPort: s.Addr, Locality: "perth-east", Flavor: "standard", Cell: 1, Phase: "Ready", Size: 1}
}
