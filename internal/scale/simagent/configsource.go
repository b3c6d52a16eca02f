package simagent

import (
	"sync"
	"time"

	"example.org/ryeloft/internal/scale/world"
)

// Conf says since when a revision of the configuration has been in force.
type Conf struct {
	Revision int
	Began    int64   // Unix ns: when the source began to hand it out
	At       []int64 // Unix ns, by agent of the world; 0: not yet, or not hollow
	Rejected int     // agents that could not use it
}

// source hands configurations to the agents, one after the other, each to one agent at a time. What an agent does with one
// takes none of its time.
type source struct {
	fleet  *Fleet
	cpu    otherCPU // what it takes to make the texts
	orders chan order

	mu    sync.Mutex
	confs []*Conf
	last  int // revision of the newest that it has begun to hand out
}

// order is one revision to hand out, and how long that takes the source for each agent.
type order struct {
	revision int
	push     time.Duration
}

// mostOrders is how many revisions may wait for the source.
const mostOrders = 1024

func newSource(f *Fleet) source { return source{fleet: f, orders: make(chan order, mostOrders)} }

// Configure has the source hand out a revision when it is done with those before. It does not wait for that.
func (f *Fleet) Configure(revision int, push time.Duration) {
	select {
	case f.source.orders <- order{revision, push}:
	case <-f.ctx.Done():
	}
}

// run hands out revisions until the fleet is closed.
func (s *source) run() {
	done := s.fleet.ctx.Done()
	for {
		select {
		case o := <-s.orders:
			began := s.fleet.clock.Now()
			s.start(o.revision, began)
			for i, a := range s.fleet.agents {
				if due := began + time.Duration(i)*o.push; due > s.fleet.clock.Now() {
					s.fleet.clock.Wait(due, done)
				}
				if s.fleet.ctx.Err() != nil {
					return
				}
				text := s.make(a.place, s.fleet.options(a, o.revision))
				s.fleet.wait.Go(func() { s.fleet.reload(a, o.revision, text) }) // the source does not wait for it
			}
		case <-done:
			return
		}
	}
}

func (s *source) start(revision int, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = max(s.last, revision)
	s.confs = append(s.confs, &Conf{Revision: revision, Began: int64(at), At: make([]int64, len(s.fleet.world.Agents))})
}

// newest is the revision that a starting agent is given.
func (s *source) newest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// make makes an agent's configuration.
func (s *source) make(agent int, o world.ConfigOptions) (text []byte) {
	s.cpu.do(func() { text = s.fleet.text(agent, o) })
	return text
}

// inForce notes that an agent has adopted a revision.
func (s *source) inForce(a *agent, revision int) {
	now := int64(s.fleet.clock.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.confs {
		if c.Revision == revision && c.At[a.place] == 0 {
			c.At[a.place] = now
		}
	}
}

func (s *source) reject(revision int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.confs {
		if c.Revision == revision {
			c.Rejected++
		}
	}
}

// since returns copies of what was handed out from a time on.
func (s *source) since(from time.Duration) (out []Conf) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.confs {
		if c.Began >= int64(from) {
			cc := *c
			cc.At = append([]int64(nil), c.At...)
			out = append(out, cc)
		}
	}
	return out
}
