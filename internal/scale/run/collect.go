package run

import (
	"context"
	"errors"
	"math"
	"slices"
	"syscall"
	"time"

	"example.org/ryeloft/internal/scale/control"
	"example.org/ryeloft/internal/scale/realagent"
	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/simagent"
)

// defaultDue is how long a change may take where the budgets do not say.
const defaultDue = 6 * time.Second

// afterEvent is how many seconds behind an event bytes, lists and refusals still count as its own, beforeEvent how many seconds before it say
// what was served before.
const (
	afterEvent  = 6
	beforeEvent = 5
)

// measured is what the parts said at the end.
type measured struct {
	control  control.StatsReply // with what agents sent and heard at relays
	machines []result.ControlMachine
	hollow   simagent.StatsReply
	real     realagent.Stats
	seconds  float64 // since Begin
}

// gather asks every part for its figures and makes the result of them. A part that no longer answers leaves its own out.
func (p *play) gather(ctx context.Context) error {
	p.o.Progress("gathers the figures")
	m := &measured{seconds: p.ended.Sub(p.begun).Seconds()}
	spent := processorTime() - p.spent
	var errs []error
	if p.real != nil {
		m.real = p.real.Stats()
	}
	all, machines, err := p.controlSide(ctx)
	m.control, m.machines = *all, machines
	errs = append(errs, err)
	errs = append(errs, p.hollow.Call(ctx, "Hollow.Stats", simagent.StatsArgs{}, &m.hollow))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.agents(m)
	p.machines(m, spent)
	p.result.Depths, p.result.Windows = m.hollow.Depths, m.hollow.Windows
	// Calls that began after the end have had no time to be served.
	p.result.Windows = slices.DeleteFunc(p.result.Windows, func(w result.Window) bool { return float64(w.Second) >= math.Ceil(m.seconds)-1 })
	for i := range p.s.Events {
		p.result.Events = append(p.result.Events, p.event(i, m))
	}
	p.result.ModelLagMS, p.result.ModelKept = m.hollow.LagMS, m.hollow.KeptUp
	p.result.LateTold = m.control.LateTold
	return errors.Join(errs...)
}

// due is how long after a change an agent that has not had it counts as one that should have.
func (p *play) due() time.Duration {
	if p.s.Budgets.InForceS > 0 {
		return seconds(p.s.Budgets.InForceS)
	}
	return defaultDue
}

// agents sums up what control cost the agents of both sorts.
func (p *play) agents(m *measured) {
	heard, exact := p.listChanges(m, -1)
	confs := p.configChanges(m, -1)
	whole := max(1, int(m.seconds))
	for _, sort := range []struct {
		to     *result.AgentControl
		agents []int
		lists  []told
	}{{&p.result.Hollow, p.hollows, exact}, {&p.result.Real, p.reals, heard}} {
		a := sort.to
		a.Agents = len(sort.agents)
		a.BytesIn, a.BytesOut, a.Worst6s = rates(m.control.Out, m.control.In, sort.agents, whole) // its out is their in
		var lists, configs int
		a.ListHeard, _ = tally(heard, sort.agents, p.reach, p.ended.UnixNano(), p.due())
		a.ListInForce, lists = tally(sort.lists, sort.agents, p.reach, p.ended.UnixNano(), p.due())
		a.ConfInForce, configs = tally(confs, sort.agents, p.reach, p.ended.UnixNano(), p.due())
		a.Unheard = lists + configs
	}
	p.result.Hollow.CPUPercent = m.hollow.Control.CPUPercent
	p.result.Hollow.HeapBytes = m.hollow.Control.HeapBytes
	p.result.Real.CPUPercent = m.real.CPUPercent
	p.result.Real.RSSBytes = m.real.RSSBytes
}

// listChanges are the changes of the list that an event made (below 0: all), as control heard of them and as the hollow
// agents had them by themselves.
func (p *play) listChanges(m *measured, event int) (heard, exact []told) {
	for _, c := range p.changes {
		if event >= 0 && c.event != event {
			continue
		}
		i := slices.IndexFunc(m.control.Changes, func(t control.ChangeTold) bool { return t.Revision == c.revision })
		if i < 0 {
			continue
		}
		made := m.control.Changes[i].At
		heard = append(heard, told{at: made, had: m.control.Changes[i].Heard})
		own := told{at: made}
		if j := slices.IndexFunc(m.hollow.Lists, func(l simagent.List) bool { return l.Revision == c.revision }); j >= 0 {
			own.had = m.hollow.Lists[j].At
		}
		exact = append(exact, own)
	}
	return heard, exact
}

// configChanges are the revisions of the configuration that an event made (below 0: all). Their time counts from when the
// source should have begun to hand them out: that it was not done with the one before is its fault.
func (p *play) configChanges(m *measured, event int) (all []told) {
	for _, u := range p.pushes {
		if event >= 0 && u.event != event {
			continue
		}
		t := told{at: u.due.UnixNano(), had: make([]int64, len(p.world.Agents))}
		for _, c := range m.hollow.Configs {
			if c.Revision == u.revision {
				copy(t.had, c.At)
			}
		}
		for _, c := range m.real.Configs {
			if c.Revision != u.revision {
				continue
			}
			for i, agent := range p.reals {
				t.had[agent] = at(c.InForce, i)
			}
		}
		all = append(all, t)
	}
	return all
}

// machines lists control, its relays and the source of configuration.
func (p *play) machines(m *measured, spent time.Duration) {
	if len(m.machines) == 0 { // control no longer answers
		m.machines = []result.ControlMachine{{Role: "control", Name: "control"}}
	}
	p.result.Control = append(append(p.result.Control, m.machines...), p.source(m.seconds, spent))
}

// source is what handing out configurations took: the stated time of each, in bins of a second. Its processor time and
// memory are this process's, which does that for the real agents, and calls them, and plays the steps: more than the
// source's own.
func (p *play) source(length float64, spent time.Duration) result.ControlMachine {
	c := result.ControlMachine{Role: "source", Name: "source", RSSBytes: float64(resident(syscall.Getpid()))}
	if length <= 0 {
		return c
	}
	c.CPUPercent = 100 * spent.Seconds() / length
	bins, queue := make([]float64, max(1, int(length))), result.NewHist(longestMS)
	each := p.s.Control.PushMS / 1000
	for _, u := range p.pushes {
		queue.AddDuration(u.begun.Sub(u.due))
		for i := range p.world.Agents {
			begun := u.begun.Sub(p.begun).Seconds() + float64(i)*each
			if begun >= length {
				break
			}
			c.Calls++
			c.BytesOut += p.textLength(i, u.revision)
			spread1(bins, begun, each)
		}
	}
	for _, v := range bins {
		c.Busy += v / length
	}
	c.Worst6s, c.QueueMS, c.QueueMax = worst(bins), queue.Dist(), p.queued()
	return c
}

// spread1 puts a time from a moment on into bins of a second; what is behind the last one is left out.
func spread1(bins []float64, from, length float64) {
	for i := int(from); i < len(bins) && float64(i) < from+length; i++ {
		bins[i] += min(from+length, float64(i+1)) - max(from, float64(i))
	}
}

// queued is the most configurations that were due and not begun at once.
func (p *play) queued() int {
	most := 0
	for _, u := range p.pushes {
		n := 0
		for _, v := range p.pushes {
			if !v.due.After(u.due) && v.begun.After(u.due) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// textLength is the length of the settings that an agent is handed with a revision, in bytes.
func (p *play) textLength(agent, revision int) int64 {
	return int64(len(p.world.Settings(agent, revision)))
}

// event sums up one event as it was played.
func (p *play) event(i int, m *measured) result.EventResult {
	e := p.s.Events[i]
	from, to := int(e.AtS), int(math.Ceil(e.AtS+e.ForS))
	r := result.EventResult{Kind: e.Kind, At: e.AtS, Length: e.ForS, Affects: p.affected[i]}
	r.Bytes = between(from, to+afterEvent, m.control.In, m.control.Out)
	heard, exact := p.listChanges(m, i)
	changes, agents := slices.Concat(merge(heard, exact, p.hollows), p.configChanges(m, i)), slices.Concat(p.hollows, p.reals)
	r.InForceMS, r.Unheard = tally(changes, agents, p.reach, p.ended.UnixNano(), p.due())
	r.ServedPct = served(p.result.Windows, from, max(to, from+1))
	r.BeforePct = served(p.result.Windows, from-beforeEvent, from)
	r.BackAfterS = backAfter(p.result.Windows, to, r.BeforePct)
	for _, c := range p.counters {
		switch {
		case c.event != i:
		case c.ends:
			r.FullLists, r.Refused = r.FullLists+c.whole, r.Refused+c.refused
		default:
			r.FullLists, r.Refused = r.FullLists-c.whole, r.Refused-c.refused
		}
	}
	return r
}

// merge takes the hollow agents' own times in the place of control's.
func merge(heard, exact []told, hollows []int) []told {
	all := make([]told, len(heard))
	for i, h := range heard {
		all[i] = told{at: h.at, had: slices.Clone(h.had)}
		for _, a := range hollows {
			if a < len(all[i].had) {
				all[i].had[a] = at(exact[i].had, a)
			}
		}
	}
	return all
}

// processorTime is what this process has used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
