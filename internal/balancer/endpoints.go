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
	hashKey            float64       // place on the ring of all servers
	listedSpeed        float64       // speed by the list's first weight
	slowdown           float64       // times slower than its kind, learnt
	candidateSpeed     float64       // speed in the present line
	lastAnswer         time.Duration // when it last answered over a connection, 0 if never
	inFlight           int           // own attempts out
	silentAttempts     int           // of these, those that have been silent for longer than the patience
	sentSinceReport    int           // sends since the last report
	lastReport         LoadReport    // its last report
	reportedAt         time.Duration
	healthCheckPending bool
	skippedUntil       time.Duration // passed by until then: it had no room
	resetsInRow        int           // of its connections since it last answered
	health             []classHealth // by class
}

func (s *server) restart(e *Endpoint) {
	s.slowdown, s.skippedUntil, s.resetsInRow, s.lastAnswer, s.lastReport.Known = 1, 0, 0, 0, false
	clear(s.health)
	if s.listedSpeed = e.Weight; !(e.Weight > 0 && e.Weight < math.MaxFloat32) {
		s.listedSpeed = 1
	}
}

func (b *Balancer) onDiscovery(ev *Event) {
	if ev.Update.KeepsEndpoints() {
		b.schedulePoll(ev)
		return
	}
	b.candidateEpoch, b.pollFailures, b.pollRejections = b.candidateEpoch+1, 0, 0
	if ev.Update == EndpointsCached && b.settings.PollEndpoints {
		b.schedulePoll(ev)
	}
	if ev.Update != EndpointsChanged {
		for _, s := range b.servers { // who is absent from a whole list is gone
			s.State = Removed
		}
	}
	for i := range ev.Endpoints {
		e := &ev.Endpoints[i]
		if s := b.findOrAdd(e); s != nil {
			if s.listedSpeed == 0 || s.Start != e.Start {
				s.restart(e) // a new process: nothing learnt of the old one holds
			}
			s.Endpoint = *e
		}
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		if s.State != Removed || s.inFlight > 0 {
			return false
		}
		delete(b.serversByID, s.ID)
		return true
	})
	b.sortServers()
}

// findOrAdd finds the server of a line of the list, or puts it last on the ring; one not known that is gone stays so.
func (b *Balancer) findOrAdd(e *Endpoint) *server {
	s := b.serversByID[e.ID]
	if s == nil && e.State != Removed {
		s = &server{hashKey: b.hashKey(e.ID), health: make([]classHealth, len(b.classNames))}
		b.serversByID[e.ID], b.servers = s, append(b.servers, s)
	}
	return s
}

// hashKey places a server on this agent's ring by rendezvous hashing: one that comes or goes moves no other.
func (b *Balancer) hashKey(id ServerID) float64 {
	return -float64(rand.NewPCG(uint64(id), uint64(b.settings.Rank)).Uint64())
}

func (b *Balancer) sortServers() {
	slices.SortFunc(b.servers, func(x, y *server) int { return cmp.Compare(x.hashKey, y.hashKey) })
}
