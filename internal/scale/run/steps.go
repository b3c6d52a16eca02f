package run

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/lists"
	"example.org/ryeloft/internal/scale/control"
	"example.org/ryeloft/internal/scale/simagent"
	"example.org/ryeloft/internal/scale/world"
)

// partQueues are what the steps ask of the parts. Each goes on by itself: a step is never waited for when the next is due.
type partQueues struct{ control, simulated, real, source *taskQueue }

// playSteps plays the world's steps at their times until the measured part is over.
func (p *runner) playSteps(ctx context.Context) error {
	steps := p.world.Steps(p.startedAt)
	end := p.startedAt.Add(seconds(p.scenario.Seconds))
	p.affectedByEvent = p.countAffected(steps)
	p.countSteps(steps)
	p.options.Progress(fmt.Sprintf("plays %d steps in %g s", len(steps), p.scenario.Seconds))
	laneCtx, stop := context.WithCancel(ctx)
	defer stop()
	room := len(steps)*4 + 1
	ls := &partQueues{
		control:   newTaskQueue(laneCtx, "control", room, taskTimeout),
		simulated: newTaskQueue(laneCtx, "hollow", room, taskTimeout),
		real:      newTaskQueue(laneCtx, "real agents", room, restartTimeout),
		// A round of the source takes as long as it takes; what it has not done by the end is told as unheard.
		source: newTaskQueue(laneCtx, "source", room, seconds(p.scenario.Seconds)),
	}
	for _, m := range p.schedule(ls, steps) {
		due := p.startedAt.Add(m.at)
		if due.After(end) {
			break
		}
		if err := waitUntil(ctx, due); err != nil {
			break
		}
		m.do(due)
	}
	err := waitUntil(ctx, end)
	p.endedAt = time.Now()
	return errors.Join(err, p.drainQueues(ctx, ls))
}

// countSteps counts what is played.
func (p *runner) countSteps(steps []world.Step) {
	s := &p.result.Sizes
	for _, st := range steps {
		if len(st.Changes) > 0 || len(st.Restart) > 0 || isSet(st.ControlDown) || isSet(st.CutRegions) {
			s.ListChanges++
		}
		if st.Config > 0 {
			s.Configs++
		}
		if isSet(st.Fail) {
			s.Failures++
		}
	}
}

// timedAction is something to do at a time of the measured part.
type timedAction struct {
	at time.Duration
	do func(due time.Time)
}

// schedule are the steps and, a while behind the last one of each event or at the run's end, what was counted till then.
func (p *runner) schedule(ls *partQueues, steps []world.Step) (all []timedAction) {
	for _, st := range steps {
		all = append(all, timedAction{st.At, func(due time.Time) { p.applyStep(ls, st, due) }})
		if !st.Ends || st.Event < 0 {
			continue
		}
		after := max(st.At, min(st.At+secondsAfterEvent*time.Second, seconds(p.scenario.Seconds)))
		all = append(all, timedAction{after, func(time.Time) {
			ls.control.add(func(ctx context.Context) error { return p.takeSnapshot(ctx, st.Event, true) })
		}})
	}
	slices.SortStableFunc(all, func(a, b timedAction) int { return cmp.Compare(a.at, b.at) })
	return all
}

// waitUntil waits until a time or the end of the context.
func waitUntil(ctx context.Context, t time.Time) error {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// drainQueues waits a little for what was begun. A round of configurations that is still on is no failure: its agents count as
// not having had it.
func (p *runner) drainQueues(ctx context.Context, ls *partQueues) error {
	ctx, stop := context.WithTimeout(ctx, taskTimeout)
	defer stop()
	err := errors.Join(ls.control.close(ctx), ls.simulated.close(ctx), ls.real.close(ctx))
	at, stopAt := context.WithTimeout(ctx, time.Second)
	defer stopAt()
	late := ls.source.close(at)
	p.rolloutTimings = ls.source.taskTimings()
	if errors.Is(late, errUnfinished) || errors.Is(late, context.DeadlineExceeded) {
		p.options.Log.Warn("the source of configuration was not done", "error", late)
		late = nil
	}
	return errors.Join(err, late)
}

// applyStep hands a step's changes and effects to the parts.
func (p *runner) applyStep(ls *partQueues, st world.Step, due time.Time) {
	p.options.Log.Info("step", "at", st.At.Seconds(), "event", st.Event, "changes", len(st.Changes), "config", st.Config)
	p.recordReachability(st)
	if st.Begins && st.Event >= 0 {
		ls.control.add(func(ctx context.Context) error { return p.takeSnapshot(ctx, st.Event, false) })
	}
	if st.ControlDown != nil || st.CutRegions != nil || st.KillRelay || st.StartRelay || len(st.Changes) > 0 {
		ls.control.add(func(ctx context.Context) error { return p.applyToControl(ctx, st) })
	}
	ls.simulated.add(func(ctx context.Context) error {
		if err := p.simulatedPart.Call(ctx, "Hollow.Step", simagent.StepArgs{Step: st}, &struct{}{}); err != nil {
			return err
		}
		if len(st.Restart) > 0 && len(st.Up) == 0 {
			return p.publishMarker(ctx, st.Event)
		}
		return nil
	})
	if p.realAgents != nil && len(st.Restart) > 0 {
		known := p.cachedEndpoints(st.Forget)
		ls.real.add(func(ctx context.Context) error { return p.restartRealAgents(ctx, st.Restart, known) })
	}
	if st.Config > 0 {
		ls.source.add(func(ctx context.Context) error { return p.rollOutConfig(ctx, st, due) })
	}
}

// recordReachability keeps which agents cannot be told of anything from a step on. Real agents stay up when a machine fails.
func (p *runner) recordReachability(st world.Step) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if st.CutRegions != nil {
		p.setReachable(*st.CutRegions, p.agentsOutsideControlRegion(), now)
	}
	if st.ControlDown != nil {
		p.setReachable(*st.ControlDown, slices.Concat(p.simulatedPositions, p.realPositions), now)
	}
	if st.Silent {
		p.setReachable(true, p.simulatedBeside(st.Down), now)
		p.unreachableServers = append(p.unreachableServers, st.Down...)
	}
	back := slices.DeleteFunc(slices.Clone(st.Up), func(i int) bool { return !slices.Contains(p.unreachableServers, i) })
	p.unreachableServers = slices.DeleteFunc(p.unreachableServers, func(i int) bool { return slices.Contains(back, i) })
	p.setReachable(false, p.simulatedBeside(back), now)
}

func (p *runner) setReachable(lost bool, agents []int, at time.Time) {
	if lost {
		p.reachability.lose(agents, at)
	} else {
		p.reachability.regain(agents, at)
	}
}

// agentsOutsideControlRegion are the agents outside of control's region.
func (p *runner) agentsOutsideControlRegion() (agents []int) {
	for i, a := range p.world.Agents {
		if p.world.Servers[a.Server].Region != 0 {
			agents = append(agents, i)
		}
	}
	return agents
}

// simulatedBeside are the hollow agents beside some servers.
func (p *runner) simulatedBeside(servers []int) (agents []int) {
	for _, a := range p.simulatedPositions {
		if slices.Contains(servers, p.world.Agents[a].Server) {
			agents = append(agents, a)
		}
	}
	return agents
}

// countAffected counts, by event, what it does something to: servers where their processes end, agents otherwise.
func (p *runner) countAffected(steps []world.Step) map[int]int {
	servers, agents := map[int]map[int]bool{}, map[int]map[int]bool{}
	add := func(to map[int]map[int]bool, event int, all []int) {
		if to[event] == nil {
			to[event] = map[int]bool{}
		}
		for _, i := range all {
			to[event][i] = true
		}
	}
	everyone := slices.Concat(p.simulatedPositions, p.realPositions)
	for _, st := range steps {
		add(servers, st.Event, st.Down)
		add(agents, st.Event, st.Restart)
		if st.ControlDown != nil || st.Config > 0 {
			add(agents, st.Event, everyone)
		}
		if st.CutRegions != nil {
			add(agents, st.Event, p.agentsOutsideControlRegion())
		}
		if st.Fail != nil {
			add(servers, st.Event, p.world.Services[p.world.Deepest].Servers)
		}
	}
	affected := map[int]int{}
	for event := range agents {
		affected[event] = len(agents[event])
	}
	for event := range servers {
		if n := len(servers[event]); n > 0 {
			affected[event] = n
		}
	}
	return affected
}

// applyToControl plays a step's part for control: what it loses, and the list's changes.
func (p *runner) applyToControl(ctx context.Context, st world.Step) error {
	if st.ControlDown != nil {
		if err := p.controlPart.Call(ctx, "Control.Down", control.DownArgs{Down: *st.ControlDown}, &struct{}{}); err != nil {
			return err
		}
	}
	if st.CutRegions != nil {
		if err := p.controlPart.Call(ctx, "Control.Cut", control.PartitionArgs{Agents: p.agentsOutsideControlRegion(), Cut: *st.CutRegions}, &struct{}{}); err != nil {
			return err
		}
		if err := p.partitionRelays(ctx, *st.CutRegions); err != nil {
			return err
		}
	}
	switch { // the first one, where there is one
	case len(p.relays) == 0:
	case st.KillRelay && p.relays[0].process != nil:
		if err := p.killRelay(ctx, p.relays[0]); err != nil {
			return err
		}
	case st.StartRelay && p.relays[0].process == nil:
		if err := p.startRelay(ctx, p.relays[0]); err != nil {
			return err
		}
	}
	if isSet(st.ControlDown) || isSet(st.CutRegions) {
		return p.publishMarker(ctx, st.Event)
	}
	if len(st.Changes) == 0 {
		return nil
	}
	return p.publishChange(ctx, st.Event, st.Changes)
}

func isSet(b *bool) bool { return b != nil && *b }

// publishMarker makes a revision in which one line is told again as it was: when it comes to an agent, that has the list again after
// what an event did, restarts or a loss of control, which itself changes nothing in the list.
func (p *runner) publishMarker(ctx context.Context, event int) error {
	p.mu.Lock()
	line := p.currentList()[:1]
	p.mu.Unlock()
	return p.publishChange(ctx, event, line)
}

// publishChange makes a revision.
func (p *runner) publishChange(ctx context.Context, event int, members []discovery.Member) error {
	var reply control.ChangeReply
	if err := p.controlPart.Call(ctx, "Control.Change", control.ChangeArgs{Members: members}, &reply); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision = max(p.revision, reply.Revision)
	p.listChanges = append(p.listChanges, listChange{reply.Revision, event})
	for _, m := range members {
		p.applyMember(m)
	}
	return nil
}

// restartRealAgents restarts real agents. One that is not up in its time, because no list comes to it, is a finding and no fault of
// the run; one that dies is.
func (p *runner) restartRealAgents(ctx context.Context, agents []int, known []byte) error {
	err := p.realAgents.Restart(ctx, agents, known)
	if err == nil || p.realAgents.Err() != nil {
		return err
	}
	p.options.Log.Warn("real agents were not up after a restart", "error", err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.RestartsNotUp++
	return nil
}

// stateGone is that of a member that has left the list.
const stateGone = "Gone"

// applyMember takes a change of one member into the list of the moment.
func (p *runner) applyMember(m discovery.Member) {
	if m.State == stateGone {
		delete(p.members, m.ID)
	} else {
		p.members[m.ID] = m
	}
}

// cachedEndpoints is the list that restarted agents are given, in discovery's form; nil if they are to forget it.
func (p *runner) cachedEndpoints(forget bool) []byte {
	if forget {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return lists.Encode(p.revision, true, p.currentList())
}

// takeSnapshot keeps what the control side has counted so far, at the beginning or the end of an event.
func (p *runner) takeSnapshot(ctx context.Context, event int, ends bool) error {
	_, machines, err := p.collectControlSide(ctx)
	if err != nil {
		return err
	}
	c := countersSnapshot{event: event, atEnd: ends}
	for _, m := range machines {
		c.fullLists, c.rejected = c.fullLists+m.WholeLists, c.rejected+m.Refused
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshots = append(p.snapshots, c)
	return nil
}

// rollOutConfig hands out a revision of the configuration. The source has one turn for all agents: hollow and real ones are
// spread evenly over it, each sort by its own pace, so that both are handed theirs as they would be in one row.
func (p *runner) rollOutConfig(ctx context.Context, st world.Step, due time.Time) error {
	p.mu.Lock()
	p.configRollouts = append(p.configRollouts, configRollout{st.Config, st.Event, due, time.Now()})
	p.mu.Unlock()
	round := p.scenario.Control.PushMS * float64(len(p.world.Agents))
	if n := len(p.simulatedPositions); n > 0 {
		args := simagent.ConfigArgs{Revision: st.Config, PushMS: round / float64(n)}
		if err := p.simulatedPart.Call(ctx, "Hollow.Config", args, &struct{}{}); err != nil {
			return err
		}
	}
	if p.realAgents != nil {
		return p.realAgents.Configure(ctx, st.Config, seconds(round/float64(len(p.realPositions))/1000))
	}
	return waitUntil(ctx, time.Now().Add(seconds(round/1000)))
}
