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

// fixedProcesses are the processes of a run beside real agents and relays: this one, control and the simulated agents.
const fixedProcesses = 3

// firstRevision is the list's that control begins with.
const firstRevision = 1

// stateGone is the state of a member that leaves the list.
const stateGone = "Gone"

// runner is one run as it goes on. Fields above mu are set before the steps begin, or used by one goroutine only.
type runner struct {
	scenario *scenario.Scenario
	options  Options
	fail     context.CancelCauseFunc // ends the run, for a reason
	result   *result.Run

	world              *world.World
	echo               *realagent.EchoServers
	controlProcess     *role.Child
	simulatedProcess   *role.Child
	realAgents         *realagent.Fleet
	discoveryAddrs     []string // control's, by agent, and behind them by relay
	relays             []*relayProcess
	realPositions      []int // agents of the world, by sort
	simulatedPositions []int
	relayDir           string // of the relays' lists; empty: there are no relays

	startedAt       time.Time // of the measured part
	endedAt         time.Time
	cpuAtStart      time.Duration // processor time of this process
	affectedByEvent map[int]int

	mu                 sync.Mutex // guards what follows and, of the result, what steps count
	reachability       *reachability
	unreachableServers []int // whose machines are away
	members            map[string]discovery.Member
	revision           uint64
	listChanges        []listChange
	snapshots          []countersSnapshot
	configRollouts     []configRollout
}

// listChange is a revision of the list that a step made.
type listChange struct {
	revision uint64
	event    int // -1: none
}

// countersSnapshot is what the control side had counted when an event began, or a while after it.
type countersSnapshot struct {
	event               int
	atEnd               bool
	fullLists, rejected int64
}

// configRollout is one configuration that the source handed out.
type configRollout struct {
	revision  int
	event     int
	due       time.Time // when the source should have begun
	startedAt time.Time
}

// drawWorld draws the scenario's world and its first list.
func (r *runner) drawWorld() error {
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

// currentList is the list of the moment, by id. mu is held, or the steps have not begun.
func (r *runner) currentList() []discovery.Member {
	var all []discovery.Member
	for _, m := range r.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b discovery.Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// applyMember takes a change of one member into the list of the moment. mu is held.
func (r *runner) applyMember(m discovery.Member) {
	if m.State == stateGone {
		delete(r.members, m.ID)
	} else {
		r.members[m.ID] = m
	}
}

// cachedEndpoints is the list that restarted agents are given, in discovery's form; nil if they are to forget it.
func (r *runner) cachedEndpoints(forget bool) []byte {
	if forget {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return lists.Encode(r.revision, true, r.currentList())
}

// agentsOutsideControlRegion are the agents that a partition of the regions cuts off from control.
func (r *runner) agentsOutsideControlRegion() (agents []int) {
	for i, a := range r.world.Agents {
		if r.world.Servers[a.Server].Region != 0 {
			agents = append(agents, i)
		}
	}
	return agents
}

// simulatedBeside are the simulated agents beside some servers.
func (r *runner) simulatedBeside(servers []int) (agents []int) {
	for _, a := range r.simulatedPositions {
		if slices.Contains(servers, r.world.Agents[a].Server) {
			agents = append(agents, a)
		}
	}
	return agents
}

// allAgents are the positions of all agents, simulated ones first.
func (r *runner) allAgents() []int { return slices.Concat(r.simulatedPositions, r.realPositions) }

// close ends all processes.
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
