package lists

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// serve starts a server for agent 0 on a TCP port of its own.
func serve(t *testing.T, s *Server) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Log = slog.New(slog.DiscardHandler)
	h := s.HTTP()
	go h.Serve(s.Listener(l, 0))
	t.Cleanup(func() { h.Close() })
	return l.Addr().String()
}

// call writes a request and reads the response's header and body.
func call(t *testing.T, c net.Conn, request string) (*http.Response, []byte) {
	t.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, text
}

const plainRequest = "GET " + Path + " HTTP/1.1\r\nHost: x\r\n\r\n"

// A list of nearly the largest size that an agent accepts must arrive complete.
func TestLargestList(t *testing.T) {
	s := &Server{Store: NewStore(8)}
	s.Store.Reset(1, readyMembers(30000))
	want := s.Store.Since(0, false)
	if n := len(want.Body); n > 4<<20 || n < 4<<20-128<<10 {
		t.Fatalf("list size: got %d bytes, want at most 4 MiB and at least 128 KiB less", n)
	}
	c, err := net.Dial("tcp", serve(t, s))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for range 2 { // on the same connection
		if resp, text := call(t, c, plainRequest); resp.StatusCode != 200 || string(text) != string(want.Body) {
			t.Errorf("got %s with %d bytes, want 200 with the list of %d bytes", resp.Status, len(text), len(want.Body))
		}
	}
}

// Connections beyond MaxConns must be closed, and a connection that ends must free its place.
func TestMaxConns(t *testing.T) {
	s := &Server{Store: NewStore(8), MaxConns: 2}
	s.Store.Reset(1, readyMembers(1))
	addr := serve(t, s)
	var open []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		call(t, c, plainRequest)
		open = append(open, c)
	}
	more, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer more.Close()
	if n, err := more.Read(make([]byte, 1)); err == nil {
		t.Errorf("third connection: got %d bytes, want it closed", n)
	}
	// The server closes this connection itself after the response.
	call(t, open[0], strings.Replace(plainRequest, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	if _, err := open[0].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("first connection: got error %v, want EOF", err)
	}
	next, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	if resp, _ := call(t, next, plainRequest); resp.StatusCode != 200 {
		t.Errorf("connection in the freed place: got %s, want 200", resp.Status)
	}
}

// A caller that announces a body and never sends it must not keep the connection open.
func TestBodyNeverSent(t *testing.T) {
	s := &Server{Store: NewStore(8)}
	s.Store.Reset(1, readyMembers(1))
	c, err := net.Dial("tcp", serve(t, s))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	resp, text := call(t, c, "GET "+Path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n")
	if resp.StatusCode != 400 || !strings.Contains(string(text), "body") || !resp.Close {
		t.Errorf("got %s %s, close %v, want 400 that names the body, close true", resp.Status, text, resp.Close)
	}
}

func TestLongHeader(t *testing.T) {
	s := &Server{Store: NewStore(8)}
	s.Store.Reset(1, readyMembers(1))
	c, err := net.Dial("tcp", serve(t, s))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	long := strings.Replace(plainRequest, "Host: x", "Host: x\r\nX: "+strings.Repeat("x", 2*maxHeaderBytes), 1)
	if _, err := io.WriteString(c, long); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil) // the body ends with a reset: not all headers were read
	if err != nil || resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got %+v, error %v, want status 431", resp, err)
	}
}

// pipeListener is a listener for net.Pipe connections, which use the fake clock of a synctest bubble.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}
func (p pipeListener) Close() error   { close(p.done); return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A caller that does not send its headers, does not read its response or makes no further calls must not keep its
// connection open beyond the timeout.
func TestSlowCallers(t *testing.T) {
	for _, c := range []struct {
		name, send string
		read       bool
		want       time.Duration
	}{
		{"no headers", "", true, headerTimeout},
		{"half the headers", plainRequest[:20], true, headerTimeout},
		{"response not read", plainRequest, false, writeTimeout},
		{"no further call", plainRequest, true, idleTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &Server{Store: NewStore(8), Log: slog.New(slog.DiscardHandler)}
				s.Store.Reset(1, readyMembers(100))
				p := pipeListener{make(chan net.Conn), make(chan struct{})}
				h := s.HTTP()
				go h.Serve(s.Listener(p, 0))
				near, far := net.Pipe()
				p.conns <- far
				began := time.Now()
				if _, err := io.WriteString(near, c.send); err != nil {
					t.Fatal(err)
				}
				if !c.read {
					time.Sleep(c.want) // on the fake clock
					synctest.Wait()    // until the write deadline, which is due now, has ended the write
				}
				n, err := io.Copy(io.Discard, near)
				if took := time.Since(began); took != c.want || err != nil {
					t.Errorf("got close after %v and %d bytes, error %v, want close after %v without error", took, n, err, c.want)
				}
				near.Close()
				h.Close()
			})
		})
	}
}

// A server with several listeners must attribute each call to the agent of its listener.
func TestListenersIdentifyAgents(t *testing.T) {
	acknowledged := make(chan string, 1)
	s := &Server{Store: NewStore(8), Log: slog.New(slog.DiscardHandler), OnAcknowledge: func(agent int, revision uint64, _ time.Time) {
		acknowledged <- fmt.Sprint(agent, " ", revision)
	}}
	s.Store.Reset(5, readyMembers(1))
	h := s.HTTP()
	defer h.Close()
	for _, agent := range []int{0, 7, 829} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go h.Serve(s.Listener(l, agent))
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		call(t, c, strings.Replace(plainRequest, Path, Path+"?after=5", 1))
		c.Close()
		if got := <-acknowledged; got != fmt.Sprint(agent, " 5") {
			t.Errorf("acknowledgement: got %q, want %q", got, fmt.Sprint(agent, " 5"))
		}
	}
}
