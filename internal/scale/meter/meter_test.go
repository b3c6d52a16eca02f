package meter

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// pipeListener accepts the connections sent to conns. Unlike sockets, pipes work within a synctest bubble.
type pipeListener struct {
	net.Listener
	conns chan net.Conn
}

func (p pipeListener) Accept() (net.Conn, error) { return <-p.conns, nil }

// connect returns both ends of a connection whose second end is counted for the agent.
func connect(t *testing.T, m *Meter, agent int) (near, counted net.Conn) {
	t.Helper()
	p := pipeListener{conns: make(chan net.Conn, 1)}
	near, far := net.Pipe()
	p.conns <- far
	counted, err := m.Listener(p, agent).Accept()
	if err != nil {
		t.Fatal(err)
	}
	return near, counted
}

// send writes n bytes to one end and reads them at the other.
func send(t *testing.T, from, to net.Conn, n int) {
	t.Helper()
	if n == 0 { // a write of 0 bytes blocks on a pipe
		return
	}
	written := make(chan error, 1)
	go func() {
		_, err := from.Write(make([]byte, n))
		written <- err
	}()
	_, err := io.ReadFull(to, make([]byte, n))
	if err := errors.Join(err, <-written); err != nil {
		t.Error(err)
	}
}

// TestBins checks that bytes are counted for their direction, agent and second.
func TestBins(t *testing.T) {
	type sent struct {
		at      time.Duration // since the meter began
		agent   int
		in, out int
	}
	for _, c := range []struct {
		name    string
		sent    []sent
		until   time.Duration
		in, out string // expected bins
	}{
		{"nothing", nil, 1500 * time.Millisecond, "[[0 0] [0 0]]", "[[0 0] [0 0]]"},
		{"both ways", []sent{{0, 0, 3, 5}, {999 * time.Millisecond, 0, 10, 20}}, 999 * time.Millisecond, "[[13] [0]]", "[[25] [0]]"},
		{"seconds", []sent{{0, 1, 1, 0}, {time.Second, 1, 2, 0}, {3 * time.Second, 1, 4, 7}}, 4 * time.Second,
			"[[0 0 0 0 0] [1 2 0 4 0]]", "[[0 0 0 0 0] [0 0 0 7 0]]"},
		{"agents", []sent{{time.Second, 0, 1, 2}, {time.Second, 1, 3, 4}}, time.Second, "[[0 1] [0 3]]", "[[0 2] [0 4]]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin := time.Now()
				m := New(2, begin)
				for _, s := range c.sent {
					time.Sleep(time.Until(begin.Add(s.at))) // on the bubble's clock
					near, counted := connect(t, m, s.agent)
					send(t, near, counted, s.in)
					send(t, counted, near, s.out)
				}
				time.Sleep(time.Until(begin.Add(c.until)))
				in, out := m.Bins()
				if fmt.Sprint(in) != c.in || fmt.Sprint(out) != c.out {
					t.Errorf("got in %v, out %v, want in %s, out %s", in, out, c.in, c.out)
				}
			})
		})
	}
}

// TestMaxBins checks that bytes after the last bin are counted in it, and that Begin resets all counts.
func TestMaxBins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(1, time.Now())
		near, counted := connect(t, m, 0)
		for range 3 {
			time.Sleep(maxBins * time.Second)
			send(t, near, counted, 7)
		}
		in, out := m.Bins()
		if len(in[0]) != maxBins || len(out[0]) != maxBins || in[0][maxBins-1] != 21 {
			t.Errorf("got %d and %d bins, the last with %d bytes in, want %d bins, the last with 21", len(in[0]), len(out[0]), in[0][maxBins-1], maxBins)
		}
		m.Begin()
		send(t, counted, near, 9)
		if in, out := m.Bins(); fmt.Sprint(in, out) != "[[0]] [[9]]" {
			t.Errorf("after Begin: got in %v, out %v, want in [[0]], out [[9]]", in, out)
		}
	})
}

// TestBytesBeforeBegin checks that bytes before the meter's begin are counted in its first second.
func TestBytesBeforeBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(1, time.Now().Add(time.Minute))
		near, counted := connect(t, m, 0)
		send(t, near, counted, 7)
		if in, _ := m.Bins(); fmt.Sprint(in) != "[[7]]" {
			t.Errorf("got in %v, want [[7]]", in)
		}
	})
}

// TestConcurrentConnections checks that no bytes are lost while several connections per agent count and others read the
// bins.
func TestConcurrentConnections(t *testing.T) {
	const agents, conns, writes, size = 8, 4, 50, 100
	m := New(agents, time.Now())
	var all sync.WaitGroup
	for i := range agents * conns {
		near, counted := connect(t, m, i%agents)
		all.Go(func() {
			for range writes {
				send(t, near, counted, size)
				send(t, counted, near, 2*size)
			}
		})
		all.Go(func() { m.Bins() })
	}
	all.Wait()
	in, out := m.Bins()
	for agent := range agents {
		if n := sum(in[agent]); n != conns*writes*size {
			t.Errorf("agent %d: got %d bytes in, want %d", agent, n, conns*writes*size)
		}
		if n := sum(out[agent]); n != 2*conns*writes*size {
			t.Errorf("agent %d: got %d bytes out, want %d", agent, n, 2*conns*writes*size)
		}
	}
}

func sum(bins []int64) (all int64) {
	for _, n := range bins {
		all += n
	}
	return all
}

func BenchmarkAdd(b *testing.B) {
	m := New(1, time.Now())
	for b.Loop() {
		m.add(0, 100, 0)
	}
}
