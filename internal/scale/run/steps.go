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

// lanes are what the steps ask of the parts. Each goes on by itself: a step is never waited for when the next is due.
type lanes struct{ control, hollow, real, source *lane }

// playSteps plays the world's steps at their times until the measured part is over.
func (p *play) playSteps(ctx context.Context) error {
	steps := p.world.Steps(p.begun)
	end := p.begun.Add(seconds(p.s.Seconds))
	p.affected = p.affects(steps)
	p.countSteps(steps)
	p.o.Progress(fmt.Sprintf("plays %d steps in %g s", len(steps), p.s.Seconds))
	laneCtx, stop := context.WithCancel(ctx)
	defer stop()
	room := len(steps)*4 + 1
	ls := &lanes{
		control: newLane(laneCtx, "control", room, longestTask),
		hollow:  newLane(laneCtx, "hollow", room, longestTask),
		real:    newLane(laneCtx, "real agents", room, longestRestart),
		// A round of the source takes as long as it takes; what it has not done by the end is told as unheard.
		source: newLane(laneCtx, "source", room, seconds(p.s.Seconds)),
	}
	for _, m := range p.moments(ls, steps) {
		due := p.begun.Add(m.at)
		if due.After(end) {
			break
		}
		if err := until(ctx, due); err != nil {
			break
		}
		m.do(due)
	}
	err := until(ctx, end)
	p.ended = time.Now()
	return errors.Join(err, p.finish(ctx, ls))
}

// countSteps counts what is played.
func (p *play) countSteps(steps []world.Step) {
	s := &p.result.Sizes
	for _, st := range steps {
		if len(st.Changes) > 0 || len(st.Restart) > 0 || on(st.ControlDown) || on(st.CutRegions) {
			s.ListChanges++
		}
		if st.Config > 0 {
			s.Configs++
		}
		if on(st.Fail) {
			s.Failures++
		}
	}
}

// moment is something to do at a time of the measured part.
type moment struct {
	at time.Duration
	do func(due time.Time)
}

// moments are the steps and, a while behind the last one of each event or at the run's end, what was counted till then.
func (p *play) moments(ls *lanes, steps []world.Step) (all []moment) {
	for _, st := range steps {
		all = append(all, moment{st.At, func(due time.Time) { p.step(ls, st, due) }})
		if !st.Ends || st.Event < 0 {
			continue
		}
		after := max(st.At, min(st.At+afterEvent*time.Second, seconds(p.s.Seconds)))
		all = append(all, moment{after, func(time.Time) {
			ls.control.add(func(ctx context.Context) error { return p.count(ctx, st.Event, true) })
		}})
	}
	slices.SortStableFunc(all, func(a, b moment) int { return cmp.Compare(a.at, b.at) })
	return all
}

// until waits until a time or the end of the context.
func until(ctx context.Context, t time.Time) error {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// finish waits a little for what was begun. A round of configurations that is still on is no failure: its agents count as
// not having had it.
func (p *play) finish(ctx context.Context, ls *lanes) error {
	ctx, stop := context.WithTimeout(ctx, longestTask)
	defer stop()
	err := errors.Join(ls.control.close(ctx), ls.hollow.close(ctx), ls.real.close(ctx))
	at, stopAt := context.WithTimeout(ctx, time.Second)
	defer stopAt()
	late := ls.source.close(at)
	p.waits = ls.source.waited()
	if errors.Is(late, errLate) || errors.Is(late, context.DeadlineExceeded) {
		p.o.Log.Warn("the source of configuration was not done", "error", late)
		late = nil
	}
	return errors.Join(err, late)
}

// step hands a step's changes and effects to the parts.
func (p *play) step(ls *lanes, st world.Step, due time.Time) {
	p.o.Log.Info("step", "at", st.At.Seconds(), "event", st.Event, "changes", len(st.Changes), "config", st.Config)
	p.note(st)
	if st.Begins && st.Event >= 0 {
		ls.control.add(func(ctx context.Context) error { return p.count(ctx, st.Event, false) })
	}
	if st.ControlDown != nil || st.CutRegions != nil || st.KillRelay || st.StartRelay || len(st.Changes) > 0 {
		ls.control.add(func(ctx context.Context) error { return p.stepControl(ctx, st) })
	}
	ls.hollow.add(func(ctx context.Context) error {
		if err := p.hollow.Call(ctx, "Hollow.Step", simagent.StepArgs{Step: st}, &struct{}{}); err != nil {
			return err
		}
		if len(st.Restart) > 0 && len(st.Up) == 0 {
			return p.mark(ctx, st.Event)
		}
		return nil
	})
	if p.real != nil && len(st.Restart) > 0 {
		known := p.known(st.Forget)
		ls.real.add(func(ctx context.Context) error { return p.restart(ctx, st.Restart, known) })
	}
	if st.Config > 0 {
		ls.source.add(func(ctx context.Context) error { return p.configure(ctx, st, due) })
	}
}

// note keeps which agents cannot be told of anything from a step on. Real agents stay up when a machine fails.
func (p *play) note(st world.Step) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if st.CutRegions != nil {
		p.lose(*st.CutRegions, p.far(), now)
	}
	if st.ControlDown != nil {
		p.lose(*st.ControlDown, slices.Concat(p.hollows, p.reals), now)
	}
	if st.Silent {
		p.lose(true, p.beside(st.Down), now)
		p.silent = append(p.silent, st.Down...)
	}
	back := slices.DeleteFunc(slices.Clone(st.Up), func(i int) bool { return !slices.Contains(p.silent, i) })
	p.silent = slices.DeleteFunc(p.silent, func(i int) bool { return slices.Contains(back, i) })
	p.lose(false, p.beside(back), now)
}

func (p *play) lose(lost bool, agents []int, at time.Time) {
	if lost {
		p.reach.lose(agents, at)
	} else {
		p.reach.regain(agents, at)
	}
}

// far are the agents outside of control's region.
func (p *play) far() (agents []int) {
	for i, a := range p.world.Agents {
		if p.world.Servers[a.Server].Region != 0 {
			agents = append(agents, i)
		}
	}
	return agents
}

// beside are the hollow agents beside some servers.
func (p *play) beside(servers []int) (agents []int) {
	for _, a := range p.hollows {
		if slices.Contains(servers, p.world.Agents[a].Server) {
			agents = append(agents, a)
		}
	}
	return agents
}

// affects counts, by event, what it does something to: servers where their processes end, agents otherwise.
func (p *play) affects(steps []world.Step) map[int]int {
	servers, agents := map[int]map[int]bool{}, map[int]map[int]bool{}
	add := func(to map[int]map[int]bool, event int, all []int) {
		if to[event] == nil {
			to[event] = map[int]bool{}
		}
		for _, i := range all {
			to[event][i] = true
		}
	}
	everyone := slices.Concat(p.hollows, p.reals)
	for _, st := range steps {
		add(servers, st.Event, st.Down)
		add(agents, st.Event, st.Restart)
		if st.ControlDown != nil || st.Config > 0 {
			add(agents, st.Event, everyone)
		}
		if st.CutRegions != nil {
			add(agents, st.Event, p.far())
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

// stepControl plays a step's part for control: what it loses, and the list's changes.
func (p *play) stepControl(ctx context.Context, st world.Step) error {
	if st.ControlDown != nil {
		if err := p.control.Call(ctx, "Control.Down", control.DownArgs{Down: *st.ControlDown}, &struct{}{}); err != nil {
			return err
		}
	}
	if st.CutRegions != nil {
		if err := p.control.Call(ctx, "Control.Cut", control.CutArgs{Agents: p.far(), Cut: *st.CutRegions}, &struct{}{}); err != nil {
			return err
		}
		if err := p.cutRelays(ctx, *st.CutRegions); err != nil {
			return err
		}
	}
	switch { // the first one, where there is one
	case len(p.relays) == 0:
	case st.KillRelay && p.relays[0].child != nil:
		if err := p.killRelay(ctx, p.relays[0]); err != nil {
			return err
		}
	case st.StartRelay && p.relays[0].child == nil:
		if err := p.startRelay(ctx, p.relays[0]); err != nil {
			return err
		}
	}
	if on(st.ControlDown) || on(st.CutRegions) {
		return p.mark(ctx, st.Event)
	}
	if len(st.Changes) == 0 {
		return nil
	}
	return p.change(ctx, st.Event, st.Changes)
}

func on(b *bool) bool { return b != nil && *b }

// mark makes a revision in which one line is told again as it was: when it comes to an agent, that has the list again after
// what an event did, restarts or a loss of control, which itself changes nothing in the list.
func (p *play) mark(ctx context.Context, event int) error {
	p.mu.Lock()
	line := p.list()[:1]
	p.mu.Unlock()
	return p.change(ctx, event, line)
}

// change makes a revision.
func (p *play) change(ctx context.Context, event int, members []discovery.Member) error {
	var reply control.ChangeReply
	if err := p.control.Call(ctx, "Control.Change", control.ChangeArgs{Members: members}, &reply); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision = max(p.revision, reply.Revision)
	p.changes = append(p.changes, change{reply.Revision, event})
	for _, m := range members {
		p.put(m)
	}
	return nil
}

// restart restarts real agents. One that is not up in its time, because no list comes to it, is a finding and no fault of
// the run; one that dies is.
func (p *play) restart(ctx context.Context, agents []int, known []byte) error {
	err := p.real.Restart(ctx, agents, known)
	if err == nil || p.real.Err() != nil {
		return err
	}
	p.o.Log.Warn("real agents were not up after a restart", "error", err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.NotUp++
	return nil
}

// phaseGone is that of a member that has left the list.
const phaseGone = "Gone"

// put takes a change of one member into the list of the moment.
func (p *play) put(m discovery.Member) {
	if m.State == phaseGone {
		delete(p.members, m.ID)
	} else {
		p.members[m.ID] = m
	}
}

// known is the list that restarted agents are given, in discovery's form; nil if they are to forget it.
func (p *play) known(forget bool) []byte {
	if forget {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return lists.Encode(p.revision, true, p.list())
}

// count keeps what the control side has counted so far, at the beginning or the end of an event.
func (p *play) count(ctx context.Context, event int, ends bool) error {
	_, machines, err := p.controlSide(ctx)
	if err != nil {
		return err
	}
	c := counter{event: event, ends: ends}
	for _, m := range machines {
		c.whole, c.refused = c.whole+m.WholeLists, c.refused+m.Refused
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters = append(p.counters, c)
	return nil
}

// configure hands out a revision of the configuration. The source has one turn for all agents: hollow and real ones are
// spread evenly over it, each sort by its own pace, so that both are handed theirs as they would be in one row.
func (p *play) configure(ctx context.Context, st world.Step, due time.Time) error {
	p.mu.Lock()
	p.pushes = append(p.pushes, push{st.Config, st.Event, due, time.Now()})
	p.mu.Unlock()
	round := p.s.Control.PushMS * float64(len(p.world.Agents))
	if n := len(p.hollows); n > 0 {
		args := simagent.ConfigArgs{Revision: st.Config, PushMS: round / float64(n)}
		if err := p.hollow.Call(ctx, "Hollow.Config", args, &struct{}{}); err != nil {
			return err
		}
	}
	if p.real != nil {
		return p.real.Configure(ctx, st.Config, seconds(round/float64(len(p.reals))/1000))
	}
	return until(ctx, time.Now().Add(seconds(round/1000)))
}
