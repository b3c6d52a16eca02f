package run

import (
	"context"
	"slices"
	"time"

	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/scale/control"
	"example.org/ryeloft/internal/scale/simagent"
	"example.org/ryeloft/internal/scale/world"
)

// applyStep adds the tasks of a step to the queues of the processes that it affects.
func (r *runner) applyStep(queues *taskQueues, step world.Step, due time.Time) {
	r.options.Log.Info("scenario step", "at", step.At.Seconds(), "event", step.Event, "changes", len(step.Changes), "config", step.Config)
	r.recordReachability(step)
	if step.Begins && step.Event >= 0 {
		queues.control.add(func(ctx context.Context) error { return r.takeSnapshot(ctx, step.Event, false) })
	}
	if concernsControl(step) {
		queues.control.add(func(ctx context.Context) error { return r.applyToControl(ctx, step) })
	}
	queues.simulated.add(func(ctx context.Context) error { return r.applyToSimulatedAgents(ctx, step) })
	if r.realAgents != nil && len(step.Restart) > 0 {
		cached := r.cachedEndpoints(step.Forget)
		queues.real.add(func(ctx context.Context) error { return r.restartRealAgents(ctx, step.Restart, cached) })
	}
	if step.Config > 0 {
		queues.source.add(func(ctx context.Context) error { return r.rollOutConfig(ctx, step, due) })
	}
}

func concernsControl(step world.Step) bool {
	return step.ControlDown != nil || step.PartitionRegions != nil || step.KillRelay || step.StartRelay || len(step.Changes) > 0
}

// recordReachability records which agents become unreachable or reachable with a step. Real agents stay up when a
// machine fails.
func (r *runner) recordReachability(step world.Step) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if step.PartitionRegions != nil {
		r.setReachable(!*step.PartitionRegions, r.agentsOutsideControlRegion(), now)
	}
	if step.ControlDown != nil {
		r.setReachable(!*step.ControlDown, r.allAgents(), now)
	}
	if step.Silent {
		r.setReachable(false, r.simulatedAgentsOf(step.Down), now)
		r.unreachableServers = append(r.unreachableServers, step.Down...)
	}
	var recovered []int
	for _, i := range step.Up {
		if slices.Contains(r.unreachableServers, i) {
			recovered = append(recovered, i)
		}
	}
	r.unreachableServers = slices.DeleteFunc(r.unreachableServers, func(i int) bool { return slices.Contains(recovered, i) })
	r.setReachable(true, r.simulatedAgentsOf(recovered), now)
}

// setReachable begins or ends an outage of the given agents. Callers must hold mu.
func (r *runner) setReachable(reachable bool, agents []int, at time.Time) {
	if reachable {
		r.reachability.endOutage(agents, at)
	} else {
		r.reachability.beginOutage(agents, at)
	}
}

// applyToControl applies a step's outages and list changes to control and the relays.
func (r *runner) applyToControl(ctx context.Context, step world.Step) error {
	if step.ControlDown != nil {
		if err := r.controlProcess.Call(ctx, control.MethodDown, control.DownArgs{Down: *step.ControlDown}, &struct{}{}); err != nil {
			return err
		}
	}
	if step.PartitionRegions != nil {
		if err := r.partitionRegions(ctx, *step.PartitionRegions); err != nil {
			return err
		}
	}
	if err := r.applyToFirstRelay(ctx, step); err != nil {
		return err
	}
	if isSet(step.ControlDown) || isSet(step.PartitionRegions) {
		return r.publishMarker(ctx, step.Event)
	}
	if len(step.Changes) == 0 {
		return nil
	}
	return r.publishChange(ctx, step.Event, step.Changes)
}

// partitionRegions begins or ends a partition between the regions.
func (r *runner) partitionRegions(ctx context.Context, partitioned bool) error {
	args := control.PartitionArgs{Agents: r.agentsOutsideControlRegion(), Partitioned: partitioned}
	if err := r.controlProcess.Call(ctx, control.MethodPartition, args, &struct{}{}); err != nil {
		return err
	}
	return r.partitionRelays(ctx, partitioned)
}

// applyToFirstRelay kills or restarts the first relay, if the step requests it and the run has relays.
func (r *runner) applyToFirstRelay(ctx context.Context, step world.Step) error {
	if len(r.relays) == 0 {
		return nil
	}
	first := r.relays[0]
	switch {
	case step.KillRelay && first.process != nil:
		return r.killRelay(ctx, first)
	case step.StartRelay && first.process == nil:
		return r.startRelay(ctx, first)
	}
	return nil
}

// applyToSimulatedAgents applies a step to the simulated agents.
func (r *runner) applyToSimulatedAgents(ctx context.Context, step world.Step) error {
	if err := r.simulatedProcess.Call(ctx, simagent.MethodStep, simagent.StepArgs{Step: step}, &struct{}{}); err != nil {
		return err
	}
	if len(step.Restart) > 0 && len(step.Up) == 0 {
		return r.publishMarker(ctx, step.Event)
	}
	return nil
}

// publishMarker publishes a revision that repeats one member of the list. An agent that acknowledges it has recovered
// from an event that does not change the list itself, such as a restart or a loss of control.
func (r *runner) publishMarker(ctx context.Context, event int) error {
	r.mu.Lock()
	member := r.currentList()[:1]
	r.mu.Unlock()
	return r.publishChange(ctx, event, member)
}

// publishChange publishes a revision of the list with the changed members.
func (r *runner) publishChange(ctx context.Context, event int, members []discovery.Member) error {
	var reply control.ChangeReply
	if err := r.controlProcess.Call(ctx, control.MethodChange, control.ChangeArgs{Members: members}, &reply); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = max(r.revision, reply.Revision)
	r.listChanges = append(r.listChanges, listChange{reply.Revision, event})
	for _, m := range members {
		r.applyMember(m)
	}
	return nil
}

// restartRealAgents restarts real agents. An agent that is not up in time, because it gets no list, is counted in
// RestartsNotUp and does not fail the run. An agent that dies fails it.
func (r *runner) restartRealAgents(ctx context.Context, agents []int, cached []byte) error {
	err := r.realAgents.Restart(ctx, agents, cached)
	if err == nil || r.realAgents.Err() != nil {
		return err
	}
	r.options.Log.Warn("real agents not up after restart", "error", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.RestartsNotUp++
	return nil
}

// takeSnapshot records the counters of control and the relays at the beginning or end of an event.
func (r *runner) takeSnapshot(ctx context.Context, event int, atEnd bool) error {
	_, machines, err := r.collectControlSide(ctx)
	if err != nil {
		return err
	}
	snapshot := countersSnapshot{event: event, atEnd: atEnd}
	for _, m := range machines {
		snapshot.fullLists += m.FullLists
		snapshot.rejected += m.Rejected
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshots = append(r.snapshots, snapshot)
	return nil
}

// rollOutConfig distributes a revision of the configuration. Simulated and real agents are each spread evenly over the
// time that the source takes for all agents, so that the timing is that of one sequence over both types.
func (r *runner) rollOutConfig(ctx context.Context, step world.Step, due time.Time) error {
	r.mu.Lock()
	r.configRollouts = append(r.configRollouts, configRollout{step.Config, step.Event, due, time.Now()})
	r.mu.Unlock()
	totalMillis := r.scenario.Control.PushMS * float64(len(r.world.Agents))
	if n := len(r.simulatedPositions); n > 0 {
		args := simagent.ConfigArgs{Revision: step.Config, PushMS: totalMillis / float64(n)}
		if err := r.simulatedProcess.Call(ctx, simagent.MethodConfigure, args, &struct{}{}); err != nil {
			return err
		}
	}
	if r.realAgents != nil {
		return r.realAgents.Configure(ctx, step.Config, seconds(totalMillis/float64(len(r.realPositions))/1000))
	}
	return waitUntil(ctx, time.Now().Add(seconds(totalMillis/1000)))
}
