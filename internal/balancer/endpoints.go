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
	// Removed means that the server is no longer in the endpoint list.
	Removed EndpointState = iota
	// Ready means that the server accepts requests.
	Ready
	// Draining means that the server only completes its current requests.
	Draining
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID ServerID
	// Zone and Cell identify groups of servers; agents prefer servers in their own zone.
	Zone int
	Cell int
	// Kind is the machine kind, an index into Settings.Kinds.
	Kind  int
	State EndpointState
	// Weight is the server's relative capacity. It is unknown unless it is above 0.
	Weight float64
	// Start is when the server's process started; 0 means long ago.
	Start time.Duration
}

// server is an endpoint with this agent's knowledge of it.
type server struct {
	Endpoint
	hashKey        float64 // sort key among this agent's servers
	listedSpeed    float64 // relative speed, from the Weight with which the process was first listed
	slowdown       float64 // learned factor by which it is slower than others of its kind
	candidateSpeed float64 // speed, including warmup, when a candidate set was last built with it

	inFlight        int // attempts of this agent that are in flight
	silentAttempts  int // those of them that have reached the class's silence timeout
	sentSinceReport int // attempts sent since lastReport
	lastReport      LoadReport
	reportedAt      time.Duration

	healthCheckPending bool
	lastResponse       time.Duration // time of the last OutcomeOK; 0 if there is none
	skippedUntil       time.Duration // it recently had no capacity
	resetsInRow        int           // connection resets since the last response
	health             []classHealth // by class.index
}

// resetLearnedState discards what was learned about the server's previous process.
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

// onDiscovery applies an endpoint list update, or schedules a poll if the update carries no endpoints.
func (b *Balancer) onDiscovery(ev *Event) {
	if ev.Update.KeepsEndpoints() {
		b.schedulePoll(ev)
		return
	}
	b.candidateEpoch++
	b.pollFailures = 0
	b.pollRejections = 0
	b.migrations = 0
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

// updateEndpoint applies one entry of the endpoint list.
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

// findOrAdd returns the server of an entry and adds it if it is unknown. It returns nil for an unknown server that is
// already removed.
func (b *Balancer) findOrAdd(e *Endpoint) *server {
	s := b.serversByID[e.ID]
	if s == nil && e.State != Removed {
		s = &server{hashKey: b.hashKey(e.ID), health: make([]classHealth, len(b.classNames))}
		b.serversByID[e.ID] = s
		b.servers = append(b.servers, s)
	}
	return s
}

// deleteRemoved deletes the removed servers that have no attempts in flight.
func (b *Balancer) deleteRemoved() {
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		if s.State != Removed || s.inFlight > 0 {
			return false
		}
		delete(b.serversByID, s.ID)
		return true
	})
}

// hashKey returns the sort key of a server among this agent's servers. It uses rendezvous hashing: adding or removing a
// server does not reorder the others.
func (b *Balancer) hashKey(id ServerID) float64 {
	return -float64(rand.NewPCG(uint64(id), uint64(b.settings.Rank)).Uint64())
}

func (b *Balancer) sortServers() {
	slices.SortFunc(b.servers, func(x, y *server) int { return cmp.Compare(x.hashKey, y.hashKey) })
}
