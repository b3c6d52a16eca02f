package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// ServerID identifies a server. It stays the same when the server's process restarts.
type ServerID uint32

// EndpointState is the state of a server in the endpoint list.
type EndpointState uint8

// The values of EndpointState.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID    ServerID
	Zone  int
	Kind  int
	Cell  int
	State EndpointState
	// Weight is the server's relative capacity; not above 0 it is not known.
	Weight float64
	// Start is when the server's process started; 0 is long ago.
	Start time.Duration
}

// LoadReport is what a server reports of its own load. A field that is negative or NaN is absent, and all of them are
// unless Known.
type LoadReport struct {
	Known bool
	// InFlight counts the requests that the server holds, Queue those of them that wait.
	InFlight float64
	Queue    float64
	// ServiceTime is the time that recent requests took, without waiting.
	ServiceTime time.Duration
}

type server struct {
	Endpoint
	rank     float64       // place on the ring of all servers
	base     float64       // speed by the list's first weight
	slow     float64       // times slower than its kind, learnt
	built    float64       // speed in the present line
	used     time.Duration // when it last answered over a connection, 0 if never
	inFlight int           // own attempts out
	silent   int           // of these, those that have been silent for longer than the patience
	since    int           // sends since the last report
	load     LoadReport    // its last report
	loadAt   time.Duration
	probing  bool
	full     time.Duration // passed by until then: it had no room
	resets   int           // of its connections since it last answered
	health   []health      // by class
}

func (s *server) restart(e *Endpoint) {
	s.slow, s.full, s.resets, s.used, s.load.Known = 1, 0, 0, 0, false
	clear(s.health)
	if s.base = e.Weight; !(e.Weight > 0 && e.Weight < math.MaxFloat32) {
		s.base = 1
	}
}

func (b *Balancer) onList(ev *Event) {
	if ev.Update.KeepsEndpoints() {
		b.scheduleListCall(ev)
		return
	}
	b.epoch, b.listFailures, b.listRefusals = b.epoch+1, 0, 0
	if ev.Update == EndpointsCached && b.set.PollEndpoints {
		b.scheduleListCall(ev)
	}
	if ev.Update != EndpointsChanged {
		for _, s := range b.ring { // who is absent from a whole list is gone
			s.State = Removed
		}
	}
	for i := range ev.Endpoints {
		e := &ev.Endpoints[i]
		if s := b.entry(e); s != nil {
			if s.base == 0 || s.Start != e.Start {
				s.restart(e) // a new process: nothing learnt of the old one holds
			}
			s.Endpoint = *e
		}
	}
	b.ring = slices.DeleteFunc(b.ring, func(s *server) bool {
		if s.State != Removed || s.inFlight > 0 {
			return false
		}
		delete(b.servers, s.ID)
		return true
	})
	b.sortRing()
}

// entry finds the server of a line of the list, or puts it last on the ring; one not known that is gone stays so.
func (b *Balancer) entry(e *Endpoint) *server {
	s := b.servers[e.ID]
	if s == nil && e.State != Removed {
		s = &server{rank: b.order(e.ID), health: make([]health, len(b.names))}
		b.servers[e.ID], b.ring = s, append(b.ring, s)
	}
	return s
}

// order places a server on this agent's ring by rendezvous hashing: one that comes or goes moves no other.
func (b *Balancer) order(id ServerID) float64 {
	return -float64(rand.NewPCG(uint64(id), uint64(b.set.Rank)).Uint64())
}

func (b *Balancer) sortRing() {
	slices.SortFunc(b.ring, func(x, y *server) int { return cmp.Compare(x.rank, y.rank) })
}
