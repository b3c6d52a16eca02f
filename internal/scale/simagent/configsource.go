package simagent

import (
	"sync"
	"time"

	"example.org/ryeloft/internal/scale/world"
)

// ConfigChange says since when a revision of the configuration has been in force.
type ConfigChange struct {
	Revision int
	Began    int64   // Unix ns: when the source began to hand it out
	At       []int64 // Unix ns, by agent of the world; 0: not yet, or not hollow
	Rejected int     // agents that could not use it
}

// configSource hands configurations to the agents, one after the other, each to one agent at a time. What an agent does with one
// takes none of its time.
type configSource struct {
	fleet    *Fleet
	cpu      cpuCounter // what it takes to make the texts
	rollouts chan rollout

	mu             sync.Mutex
	changes        []*ConfigChange
	newestRevision int // revision of the newest that it has begun to hand out
}

// rollout is one revision to hand out, and how long that takes the source for each agent.
type rollout struct {
	revision int
	perAgent time.Duration
}

// maxQueuedRollouts is how many revisions may wait for the source.
const maxQueuedRollouts = 1024

func newConfigSource(f *Fleet) configSource {
	return configSource{fleet: f, rollouts: make(chan rollout, maxQueuedRollouts)}
}

// Configure has the source hand out a revision when it is done with those before. It does not wait for that.
func (f *Fleet) Configure(revision int, push time.Duration) {
	select {
	case f.configSource.rollouts <- rollout{revision, push}:
	case <-f.ctx.Done():
	}
}

// run hands out revisions until the fleet is closed.
func (s *configSource) run() {
	done := s.fleet.ctx.Done()
	for {
		select {
		case o := <-s.rollouts:
			began := s.fleet.clock.Now()
			s.startRollout(o.revision, began)
			for i, a := range s.fleet.agents {
				if due := began + time.Duration(i)*o.perAgent; due > s.fleet.clock.Now() {
					s.fleet.clock.Wait(due, done)
				}
				if s.fleet.ctx.Err() != nil {
					return
				}
				text := s.render(a.position, s.fleet.configOptions(a, o.revision))
				s.fleet.background.Go(func() { s.fleet.reloadAgent(a, o.revision, text) }) // the source does not wait for it
			}
		case <-done:
			return
		}
	}
}

func (s *configSource) startRollout(revision int, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newestRevision = max(s.newestRevision, revision)
	s.changes = append(s.changes, &ConfigChange{Revision: revision, Began: int64(at), At: make([]int64, len(s.fleet.world.Agents))})
}

// newest is the revision that a starting agent is given.
func (s *configSource) newest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newestRevision
}

// render makes an agent's configuration.
func (s *configSource) render(agent int, o world.ConfigOptions) (text []byte) {
	s.cpu.measure(func() { text = s.fleet.configText(agent, o) })
	return text
}

// recordInForce notes that an agent has adopted a revision.
func (s *configSource) recordInForce(a *agent, revision int) {
	now := int64(s.fleet.clock.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.changes {
		if c.Revision == revision && c.At[a.position] == 0 {
			c.At[a.position] = now
		}
	}
}

func (s *configSource) recordRejected(revision int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.changes {
		if c.Revision == revision {
			c.Rejected++
		}
	}
}

// changesSince returns copies of what was handed out from a time on.
func (s *configSource) changesSince(from time.Duration) (out []ConfigChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.changes {
		if c.Began >= int64(from) {
			cc := *c
			cc.At = append([]int64(nil), c.At...)
			out = append(out, cc)
		}
	}
	return out
}
