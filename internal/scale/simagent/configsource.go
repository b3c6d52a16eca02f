package simagent

import (
	"slices"
	"sync"
	"time"

	"example.org/ryeloft/internal/scale/world"
)

// ConfigChange records when a revision of the configuration came into force at each agent. It is sent by RPC, so its
// field names are fixed.
type ConfigChange struct {
	Revision int
	Began    int64   // Unix ns: start of the rollout
	At       []int64 // Unix ns, indexed by agent of the world; 0: not yet, or not simulated
	Rejected int     // number of agents that rejected it
}

// configSource distributes configurations to the agents, one revision after the other and to one agent at a time. It
// does not wait for an agent to reload.
type configSource struct {
	fleet    *Fleet
	cpu      cpuCounter // for rendering configurations
	rollouts chan rollout

	mu             sync.Mutex // guards the fields below
	changes        []*ConfigChange
	newestRevision int // whose rollout has started
}

// rollout is one revision to distribute.
type rollout struct {
	revision int
	perAgent time.Duration // time that the source needs per agent
}

// maxQueuedRollouts is the number of rollouts that may be queued before Configure blocks.
const maxQueuedRollouts = 1024

func newConfigSource(f *Fleet) configSource {
	return configSource{fleet: f, rollouts: make(chan rollout, maxQueuedRollouts)}
}

// Configure queues the rollout of a revision behind the earlier ones. It does not wait for the rollout.
func (f *Fleet) Configure(revision int, perAgent time.Duration) {
	select {
	case f.configSource.rollouts <- rollout{revision, perAgent}:
	case <-f.ctx.Done():
	}
}

// run processes rollouts until the fleet is closed.
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

// rollOut distributes a revision to each agent in turn. Each agent reloads on a separate goroutine, which Close waits
// for.
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

// newest returns the revision that a starting agent gets.
func (s *configSource) newest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newestRevision
}

// render returns the text of an agent's configuration.
func (s *configSource) render(agent int, o world.ConfigOptions) (text []byte) {
	s.cpu.measure(func() { text = s.fleet.configText(agent, o) })
	return text
}

// recordInForce records that an agent has adopted a revision.
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

// recordRejected counts an agent that has rejected a revision.
func (s *configSource) recordRejected(revision int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.changes {
		if c.Revision == revision {
			c.Rejected++
		}
	}
}

// changesSince returns copies of the changes whose rollout began at or after from.
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
