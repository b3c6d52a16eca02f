package simagent

import (
	"slices"

	"example.org/ryeloft/internal/scale/parallel"
	"example.org/ryeloft/internal/scale/world"
)

// Step applies one step of the world's events, to servers first and then to the agents that it restarts. It returns
// when these agents are up, without waiting until they have the endpoint list.
func (f *Fleet) Step(step world.Step) error {
	f.applyFlags(step)
	if step.Silent {
		for _, a := range f.colocatedAgents(step.Down) {
			f.stopAgent(a)
		}
	}
	for _, i := range step.Down {
		s := f.servers[i]
		s.shard.doSync(func() { s.takeDown(downState(step)) })
	}
	for _, i := range step.Up {
		s := f.servers[i]
		s.shard.doSync(func() { s.restart(step.Cold) })
	}
	return parallel.ForEach(f.agentsAt(step.Restart), startConcurrency, func(a *agent) error {
		if step.Forget {
			return f.startAgent(a, nil)
		}
		return f.startAgent(a, f.cachedEndpoints(a))
	})
}

// applyFlags applies the settings of a step that affect the whole fleet.
func (f *Fleet) applyFlags(step world.Step) {
	if step.Fail != nil {
		f.deepestFailing.Store(*step.Fail)
	}
	if step.PartitionRegions != nil {
		f.regionsPartitioned.Store(*step.PartitionRegions)
	}
}

// downState returns the state of the servers that a step takes down.
func downState(step world.Step) serverState {
	if step.Silent {
		return serverUnreachable
	}
	return serverCrashed
}

// colocatedAgents returns the simulated agents colocated with the given servers.
func (f *Fleet) colocatedAgents(servers []int) (agents []*agent) {
	if len(servers) == 0 {
		return nil
	}
	for _, a := range f.agents {
		if slices.Contains(servers, a.server.position) {
			agents = append(agents, a)
		}
	}
	return agents
}

// agentsAt returns the simulated agents at the given positions in the world.
func (f *Fleet) agentsAt(positions []int) (agents []*agent) {
	for _, i := range positions {
		if a := f.agentsByPosition[i]; a != nil {
			agents = append(agents, a)
		}
	}
	return agents
}
