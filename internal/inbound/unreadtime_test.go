package inbound

import (
	"io"
	"net"
	"testing"
	"time"

	"example.org/ryeloft/internal/metrics"
)

// acceptedConn returns a client's connection and its end at the agent, which belongs to a listener.
func acceptedConn(t *testing.T) (client net.Conn, agent *clientConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	client, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	agent, err = newClientConn(accepted.(*net.TCPConn), newListener(&metrics.Metrics{}, nil, 0, nil))
	if err != nil {
		t.Fatal(err)
	}
	return client, agent
}

// Guards against a budget that is counted from when the agent reads a request, although it has waited unread.
func TestUnreadTimeCountsFromArrival(t *testing.T) {
	const wait = 60 * time.Millisecond
	client, agent := acceptedConn(t)
	began := time.Now()
	if _, err := io.WriteString(client, "GET /up HTTP/1.1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(wait)
	if _, err := agent.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	got := agent.unreadTime()
	if most := time.Since(began) + kernelTick; got < wait-kernelTick || got > most {
		t.Errorf("got %v unread, want %v to %v", got, wait-kernelTick, most)
	}
}

// A request that is read at once must keep its whole budget.
func TestUnreadTimeOfNewDataIsZero(t *testing.T) {
	client, agent := acceptedConn(t)
	time.Sleep(60 * time.Millisecond)
	began := time.Now()
	if _, err := io.WriteString(client, "GET /up HTTP/1.1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := agent.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	if got := agent.unreadTime(); got > 0 && got > time.Since(began)+kernelTick {
		t.Errorf("got %v unread, want none", got)
	}
}

// Guards against new connections that are served although their clients have left: one that was reset has left, and so has
// one that was closed before anything was sent. One whose client has only sent a request and closed its write side has not,
// while there is processor time.
func TestNewConnectionsOfClientsThatLeft(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(client *net.TCPConn)
		left  bool
	}{
		{"stays", func(*net.TCPConn) {}, false},
		{"closed", func(client *net.TCPConn) { client.Close() }, true},
		{"reset", func(client *net.TCPConn) { client.SetLinger(0); client.Close() }, true},
		{"reset after a request", func(client *net.TCPConn) {
			io.WriteString(client, "GET /up HTTP/1.1\r\n\r\n")
			client.SetLinger(0)
			client.Close()
		}, true},
		{"write side closed after a request", func(client *net.TCPConn) {
			io.WriteString(client, "GET /up HTTP/1.1\r\n\r\n")
			client.CloseWrite()
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, agent := acceptedConn(t)
			c.leave(client.(*net.TCPConn))
			time.Sleep(20 * time.Millisecond)
			if got := agent.hasLeft(); got != c.left {
				t.Errorf("got left %v, want %v", got, c.left)
			}
		})
	}
}
