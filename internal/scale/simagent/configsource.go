package simagent

import (
	"slices"
	"sync"
	"time"

	"example.org/ryeloft/internal/scale/world"
)

// ConfigChange says since when a revision of the configuration has been in force. Its fields are part of a message.
type ConfigChange struct {
	Revision int
	Began    int64   // Unix ns: when the source began to hand it out
	At       []int64 // Unix ns, by agent of the world; 0: not yet, or not simulated
	Rejected int     // agents that rejected it
}

// configSource hands configurations to the agents, one revision after the other and each to one agent at a time. What an
// agent does with one takes none of the source's time.
type configSource struct {
	fleet    *Fleet
	cpu      cpuCounter // for making the texts
	rollouts chan rollout

	mu             sync.Mutex // guards what follows
	changes        []*ConfigChange
	newestRevision int // that it has begun to hand out
}

// rollout is one revision to hand out.
type rollout struct {
	revision int
	perAgent time.Duration // that the source takes for each agent
}

// maxQueuedRollouts is how many revisions may wait for the source.
const maxQueuedRollouts = 1024

func newConfigSource(f *Fleet) configSource {
	return configSource{fleet: f, rollouts: make(chan rollout, maxQueuedRollouts)}
}

// Configure has the source hand out a revision when it is done with those before. It does not wait for that.
func (f *Fleet) Configure(revision int, perAgent time.Duration) {
	select {
	case f.configSource.rollouts <- rollout{revision, perAgent}:
	case <-f.ctx.Done():
	}
}

// run hands out revisions until the fleet is closed.
func (s *configSource) run() {
	for {
		select {
		case r := <-s.rollouts:
			s.rollOut(r)
		case <-s.fleet.ctx.Done():
			return
		}
	}
}

// rollOut hands a revision to each agent in turn. Agents reload it on goroutines of their own, which Close waits for.
func (s *configSource) rollOut(r rollout) {
	f := s.fleet
	began := f.clock.Now()
	s.startRollout(r.revision, began)
	for i, a := range f.agents {
		due := began + time.Duration(i)*r.perAgent
		if due > f.clock.Now() {
			f.clock.Wait(due, f.ctx.Done())
		}
		if f.ctx.Err() != nil {
			return
		}
		text := s.render(a.position, f.configOptions(a, r.revision))
		f.background.Go(func() { f.reloadAgent(a, r.revision, text) })
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

// recordRejected notes that an agent has rejected a revision.
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
func (s *configSource) changesSince(from time.Duration) (changes []ConfigChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.changes {
		if c.Began >= int64(from) {
			copied := *c
			copied.At = slices.Clone(c.At)
			changes = append(changes, copied)
		}
	}
	return changes
}
