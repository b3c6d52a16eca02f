package run

import (
	"cmp"
	"context"
	"errors"
	"os"
	"slices"
	"sync"
	"time"

	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/lists"
	"example.org/ryeloft/internal/scale/realagent"
	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/role"
	"example.org/ryeloft/internal/scale/scenario"
	"example.org/ryeloft/internal/scale/world"
)

// fixedProcesses is the number of processes of a run other than real agents and relays: this one, control and the
// simulated agents.
const fixedProcesses = 3

// firstRevision is the revision of the list with which control starts.
const firstRevision = 1

// stateGone is the state of a member that is removed from the list.
const stateGone = "Gone"

// runner is the state of one run. Fields above mu are set before the steps begin, or used by only one goroutine.
type runner struct {
	scenario *scenario.Scenario
	options  Options
	fail     context.CancelCauseFunc // ends the run with a cause
	result   *result.Run

	world              *world.World
	echo               *realagent.EchoServers
	controlProcess     *role.Child
	simulatedProcess   *role.Child
	realAgents         *realagent.Fleet
	discoveryAddrs     []string // of control, by agent, followed by those for the relays
	relays             []*relayProcess
	realPositions      []int // positions in world.Agents
	simulatedPositions []int
	relayDir           string // stores the relays' lists; empty: there are no relays

	startedAt       time.Time // of the measurement period
	endedAt         time.Time
	cpuAtStart      time.Duration // CPU time of this process at startedAt
	affectedByEvent map[int]int

	mu                 sync.Mutex // guards the fields below and the result's fields that steps update
	reachability       *reachability
	unreachableServers []int // on failed machines
	members            map[string]discovery.Member
	revision           uint64
	listChanges        []listChange
	snapshots          []countersSnapshot
	configRollouts     []configRollout
}

// listChange is a revision of the list published by a step.
type listChange struct {
	revision uint64
	event    int // -1: none
}

// countersSnapshot holds the counters of control and relays when an event began, or secondsAfterEvent after it ended.
type countersSnapshot struct {
	event               int
	atEnd               bool
	fullLists, rejected int64
}

// configRollout is one configuration that the source distributed.
type configRollout struct {
	revision  int
	event     int
	due       time.Time // when the source should have started
	startedAt time.Time
}

// generateWorld generates the scenario's world and its first list from the seed.
func (r *runner) generateWorld() error {
	w, err := world.Generate(r.scenario)
	if err != nil {
		return err
	}
	if r.echo != nil {
		w.AddEcho(r.echo.Addrs())
	}
	r.world = w
	r.reachability = newReachability(len(w.Agents))
	r.revision = firstRevision
	for i, a := range w.Agents {
		if a.Real {
			r.realPositions = append(r.realPositions, i)
		} else {
			r.simulatedPositions = append(r.simulatedPositions, i)
		}
	}
	r.members = map[string]discovery.Member{}
	for _, m := range w.Members(time.Now()) {
		r.members[m.ID] = m
	}
	return nil
}

// currentList returns the current list, sorted by ID. Callers must hold mu, unless the steps have not begun.
func (r *runner) currentList() []discovery.Member {
	var all []discovery.Member
	for _, m := range r.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b discovery.Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// applyMember applies the change of one member to the current list. Callers must hold mu.
func (r *runner) applyMember(m discovery.Member) {
	if m.State == stateGone {
		delete(r.members, m.ID)
	} else {
		r.members[m.ID] = m
	}
}

// cachedEndpoints returns the list that restarted agents get, in discovery's format, or nil if they start without one.
func (r *runner) cachedEndpoints(forget bool) []byte {
	if forget {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return lists.Encode(r.revision, true, r.currentList())
}

// agentsOutsideControlRegion returns the agents that a partition of the regions separates from control.
func (r *runner) agentsOutsideControlRegion() (agents []int) {
	for i, a := range r.world.Agents {
		if r.world.Servers[a.Server].Region != 0 {
			agents = append(agents, i)
		}
	}
	return agents
}

// simulatedAgentsOf returns the simulated agents colocated with the given servers.
func (r *runner) simulatedAgentsOf(servers []int) (agents []int) {
	for _, a := range r.simulatedPositions {
		if slices.Contains(servers, r.world.Agents[a].Server) {
			agents = append(agents, a)
		}
	}
	return agents
}

// allAgents returns the positions of all agents, simulated ones first.
func (r *runner) allAgents() []int { return slices.Concat(r.simulatedPositions, r.realPositions) }

// close ends all processes and removes the relays' directory.
func (r *runner) close() error {
	var errs []error
	if r.realAgents != nil {
		errs = append(errs, r.realAgents.Close())
	}
	children := []*role.Child{r.simulatedProcess}
	for _, relay := range r.relays {
		children = append(children, relay.process)
	}
	children = append(children, r.controlProcess)
	for _, child := range children {
		if child != nil {
			errs = append(errs, child.Close())
		}
	}
	if r.relayDir != "" {
		errs = append(errs, os.RemoveAll(r.relayDir))
	}
	if r.echo != nil {
		errs = append(errs, r.echo.Close())
	}
	return errors.Join(errs...)
}
