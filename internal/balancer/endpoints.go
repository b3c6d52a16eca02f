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

// The values of EndpointState. Only servers that are Ready are sent requests.
const (
	// Removed says that the server has left the endpoint list.
	Removed EndpointState = iota
	// Ready says that the server takes requests.
	Ready
	// Draining says that the server only completes the requests that it holds.
	Draining
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID ServerID
	// Zone and Cell are groups of servers; agents prefer the servers of their zone.
	Zone int
	Cell int
	// Kind is the kind of machine, a position in Settings.Kinds.
	Kind  int
	State EndpointState
	// Weight is the server's relative capacity; a weight that is not above 0 is unknown.
	Weight float64
	// Start is when the server's process started; 0 is long ago.
	Start time.Duration
}

// server is an endpoint with what this agent knows about it.
type server struct {
	Endpoint
	hashKey        float64 // place among this agent's servers
	listedSpeed    float64 // speed by the weight that the endpoint list gave when the process was first listed
	slowdown       float64 // learned: how many times slower it is than others of its kind
	candidateSpeed float64 // present speed, when a candidate set was last built with it

	inFlight        int // attempts of this agent
	silentAttempts  int // of these, those that have been silent for the class's silence timeout
	sentSinceReport int // attempts sent since lastReport
	lastReport      LoadReport
	reportedAt      time.Duration

	healthCheckPending bool
	lastResponse       time.Duration // 0 if it has not answered yet
	skippedUntil       time.Duration // its capacity was exhausted a moment ago
	resetsInRow        int           // connections that were reset since the last answer
	health             []classHealth // by class.index
}

// resetLearnedState forgets what was learned of the server's previous process.
func (s *server) resetLearnedState(e *Endpoint) {
	s.slowdown = 1
	s.skippedUntil = 0
	s.resetsInRow = 0
	s.lastResponse = 0
	s.lastReport.Known = false
	clear(s.health)
	s.listedSpeed = 1
	if e.Weight > 0 && e.Weight < math.MaxFloat32 {
		s.listedSpeed = e.Weight
	}
}

// onDiscovery takes in a change of the endpoint list, or schedules a poll where the update brings none.
func (b *Balancer) onDiscovery(ev *Event) {
	if ev.Update.KeepsEndpoints() {
		b.schedulePoll(ev)
		return
	}
	b.candidateEpoch++
	b.pollFailures = 0
	b.pollRejections = 0
	if ev.Update == EndpointsCached && b.settings.PollEndpoints {
		b.schedulePoll(ev)
	}
	if ev.Update != EndpointsChanged { // a complete list: servers that are absent from it are removed
		for _, s := range b.servers {
			s.State = Removed
		}
	}
	for i := range ev.Endpoints {
		b.updateEndpoint(&ev.Endpoints[i])
	}
	b.deleteRemoved()
	b.sortServers()
}

// updateEndpoint takes in one entry of the endpoint list.
func (b *Balancer) updateEndpoint(e *Endpoint) {
	s := b.findOrAdd(e)
	if s == nil {
		return
	}
	isNew := s.listedSpeed == 0
	if isNew || s.Start != e.Start {
		s.resetLearnedState(e)
	}
	s.Endpoint = *e
}

// findOrAdd returns the server of an entry, and adds one that is not known. It returns nil for a server that was
// removed before it was known.
func (b *Balancer) findOrAdd(e *Endpoint) *server {
	s := b.serversByID[e.ID]
	if s == nil && e.State != Removed {
		s = &server{hashKey: b.hashKey(e.ID), health: make([]classHealth, len(b.classNames))}
		b.serversByID[e.ID] = s
		b.servers = append(b.servers, s)
	}
	return s
}

// deleteRemoved drops the servers that were removed, once none of their attempts is in flight.
func (b *Balancer) deleteRemoved() {
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		if s.State != Removed || s.inFlight > 0 {
			return false
		}
		delete(b.serversByID, s.ID)
		return true
	})
}

// hashKey gives a server its place among this agent's servers by rendezvous hashing: a server that comes or goes does
// not move the others.
func (b *Balancer) hashKey(id ServerID) float64 {
	return -float64(rand.NewPCG(uint64(id), uint64(b.settings.Rank)).Uint64())
}

func (b *Balancer) sortServers() {
	slices.SortFunc(b.servers, func(x, y *server) int { return cmp.Compare(x.hashKey, y.hashKey) })
}
