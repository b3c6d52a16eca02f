// Package meter counts the bytes on agents' connections per agent and second. It does not change the data. A Meter is
// safe for concurrent use.
package meter

import (
	"net"
	"sync"
	"time"
)

// maxBins is the number of one-second bins. Later bytes are counted in the last bin.
const maxBins = 3600

// Meter counts the bytes read from and written to sockets. TCP and IP headers and retransmissions are not included.
type Meter struct {
	mu        sync.RWMutex // write-locked to reset or to read all bins
	startedAt time.Time
	agents    []agentBins
}

// agentBins holds the bins of one agent. mu guards them while the meter's mutex is read-locked. Each agent has its own
// mutex, so that agents do not wait for each other.
type agentBins struct {
	mu      sync.Mutex
	in, out []int64 // by second, up to the last second with bytes
}

// New returns a meter whose first second starts at begin. Earlier bytes are counted in that second.
func New(agents int, begin time.Time) *Meter {
	return &Meter{startedAt: begin, agents: make([]agentBins, agents)}
}

// Begin resets all counts and starts the first second now.
func (m *Meter) Begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startedAt = time.Now()
	for i := range m.agents {
		c := &m.agents[i]
		c.in = nil
		c.out = nil
	}
}

// Bins returns the received and sent bytes by agent and second, with a bin for each second that has begun.
func (m *Meter) Bins() (in, out [][]int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.bin(time.Now()) + 1
	for i := range m.agents {
		n = max(n, len(m.agents[i].in), len(m.agents[i].out))
	}
	for i := range m.agents {
		in = append(in, padTo(m.agents[i].in, n))
		out = append(out, padTo(m.agents[i].out, n))
	}
	return in, out
}

func padTo(bins []int64, n int) []int64 {
	all := make([]int64, n)
	copy(all, bins)
	return all
}

// bin returns the index of the bin for a time.
func (m *Meter) bin(at time.Time) int {
	return int(min(max(at.Sub(m.startedAt)/time.Second, 0), maxBins-1))
}

func (m *Meter) add(agent, in, out int) {
	now := time.Now()
	m.mu.RLock()
	defer m.mu.RUnlock()
	bin := m.bin(now)
	c := &m.agents[agent]
	c.mu.Lock()
	defer c.mu.Unlock()
	if in > 0 {
		c.in = addToBin(c.in, bin, in)
	}
	if out > 0 {
		c.out = addToBin(c.out, bin, out)
	}
}

func addToBin(bins []int64, bin, n int) []int64 {
	for len(bins) <= bin {
		bins = append(bins, 0)
	}
	bins[bin] += int64(n)
	return bins
}

// Listener wraps l so that the bytes on its connections are counted for the agent with the given index.
func (m *Meter) Listener(l net.Listener, agent int) net.Listener { return &listener{l, m, agent} }

type listener struct {
	net.Listener
	meter *Meter
	agent int
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{c, l.meter, l.agent}, nil
}

type conn struct {
	net.Conn
	meter *Meter
	agent int
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.add(c.agent, n, 0)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.add(c.agent, 0, n)
	return n, err
}
