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

// defaultDeliveryTimeout is how long a change may take where the budgets do not say.
const defaultDeliveryTimeout = 6 * time.Second

// secondsAfterEvent is how many seconds behind an event bytes, lists and refusals still count as its own, secondsBeforeEvent how many seconds before it say
// what was served before.
const (
	secondsAfterEvent  = 6
	secondsBeforeEvent = 5
)

// measurements is what the parts said at the end.
type measurements struct {
	control       control.StatsReply // with what agents sent and heard at relays
	machines      []result.ControlMachine
	simulated     simagent.StatsReply
	realAgents    realagent.Stats
	lengthSeconds float64 // since Begin
}

// collect asks every part for its figures and makes the result of them. A part that no longer answers leaves its own out.
func (p *runner) collect(ctx context.Context) error {
	p.options.Progress("gathers the figures")
	m := &measurements{lengthSeconds: p.endedAt.Sub(p.startedAt).Seconds()}
	spent := processCPU() - p.cpuAtStart
	var errs []error
	if p.realAgents != nil {
		m.realAgents = p.realAgents.Stats()
	}
	all, machines, err := p.collectControlSide(ctx)
	m.control, m.machines = *all, machines
	errs = append(errs, err)
	errs = append(errs, p.simulatedPart.Call(ctx, "Hollow.Stats", simagent.StatsArgs{}, &m.simulated))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.summarizeAgents(m)
	p.summarizeControl(m, spent)
	p.result.Depths, p.result.Windows = m.simulated.Depths, m.simulated.Windows
	// Calls that began after the end have had no time to be served.
	p.result.Windows = slices.DeleteFunc(p.result.Windows, func(w result.Window) bool { return float64(w.Second) >= math.Ceil(m.lengthSeconds)-1 })
	for i := range p.scenario.Events {
		p.result.Events = append(p.result.Events, p.summarizeEvent(i, m))
	}
	p.result.ModelLagMS, p.result.ModelKeptTime = m.simulated.LagMS, m.simulated.KeptUp
	p.result.LateNotifications = m.control.LateTold
	return errors.Join(errs...)
}

// deliveryTimeout is how long after a change an agent that has not had it counts as one that should have.
func (p *runner) deliveryTimeout() time.Duration {
	if p.scenario.Budgets.InForceS > 0 {
		return seconds(p.scenario.Budgets.InForceS)
	}
	return defaultDeliveryTimeout
}

// summarizeAgents sums up what control cost the agents of both sorts.
func (p *runner) summarizeAgents(m *measurements) {
	heard, exact := p.listDeliveries(m, -1)
	confs := p.configDeliveries(m, -1)
	whole := max(1, int(m.lengthSeconds))
	for _, sort := range []struct {
		to     *result.AgentControl
		agents []int
		lists  []delivery
	}{{&p.result.Simulated, p.simulatedPositions, exact}, {&p.result.Real, p.realPositions, heard}} {
		a := sort.to
		a.Agents = len(sort.agents)
		a.BytesIn, a.BytesOut, a.Worst6s = rates(m.control.Out, m.control.In, sort.agents, whole) // its out is their in
		var lists, configs int
		a.ListHeard, _ = summarizeDeliveries(heard, sort.agents, p.reachability, p.endedAt.UnixNano(), p.deliveryTimeout())
		a.ListInForce, lists = summarizeDeliveries(sort.lists, sort.agents, p.reachability, p.endedAt.UnixNano(), p.deliveryTimeout())
		a.ConfInForce, configs = summarizeDeliveries(confs, sort.agents, p.reachability, p.endedAt.UnixNano(), p.deliveryTimeout())
		a.Unheard = lists + configs
	}
	p.result.Simulated.CPUPercent = m.simulated.Control.CPUPercent
	p.result.Simulated.HeapBytes = m.simulated.Control.HeapBytes
	p.result.Real.CPUPercent = m.realAgents.CPUPercent
	p.result.Real.RSSBytes = m.realAgents.RSSBytes
}

// listDeliveries are the changes of the list that an event made (below 0: all), as control heard of them and as the hollow
// agents had them by themselves.
func (p *runner) listDeliveries(m *measurements, event int) (heard, exact []delivery) {
	for _, c := range p.listChanges {
		if event >= 0 && c.event != event {
			continue
		}
		i := slices.IndexFunc(m.control.Changes, func(t control.ChangeNotification) bool { return t.Revision == c.revision })
		if i < 0 {
			continue
		}
		made := m.control.Changes[i].At
		heard = append(heard, delivery{madeAt: made, receivedAt: m.control.Changes[i].Heard})
		own := delivery{madeAt: made}
		if j := slices.IndexFunc(m.simulated.Lists, func(l simagent.ListChange) bool { return l.Revision == c.revision }); j >= 0 {
			own.receivedAt = m.simulated.Lists[j].At
		}
		exact = append(exact, own)
	}
	return heard, exact
}

// configDeliveries are the revisions of the configuration that an event made (below 0: all). Their time counts from when the
// source should have begun to hand them out: that it was not done with the one before is its fault.
func (p *runner) configDeliveries(m *measurements, event int) (all []delivery) {
	for _, u := range p.configRollouts {
		if event >= 0 && u.event != event {
			continue
		}
		t := delivery{madeAt: u.due.UnixNano(), receivedAt: make([]int64, len(p.world.Agents))}
		for _, c := range m.simulated.Configs {
			if c.Revision == u.revision {
				copy(t.receivedAt, c.At)
			}
		}
		for _, c := range m.realAgents.Configs {
			if c.Revision != u.revision {
				continue
			}
			for i, agent := range p.realPositions {
				t.receivedAt[agent] = timeAt(c.InForce, i)
			}
		}
		all = append(all, t)
	}
	return all
}

// summarizeControl lists control, its relays and the source of configuration.
func (p *runner) summarizeControl(m *measurements, spent time.Duration) {
	if len(m.machines) == 0 { // control no longer answers
		m.machines = []result.ControlMachine{{Role: "control", Name: "control"}}
	}
	p.result.Control = append(append(p.result.Control, m.machines...), p.sourceMachine(m.lengthSeconds, spent))
}

// sourceMachine is what handing out configurations took: the stated time of each, in bins of a second. Its processor time and
// memory are this process's, which does that for the real agents, and calls them, and plays the steps: more than the
// source's own.
func (p *runner) sourceMachine(length float64, spent time.Duration) result.ControlMachine {
	c := result.ControlMachine{Role: "source", Name: "source", RSSBytes: float64(residentBytes(syscall.Getpid()))}
	if length <= 0 {
		return c
	}
	c.CPUPercent = 100 * spent.Seconds() / length
	bins, queue := make([]float64, max(1, int(length))), result.NewHistogram(maxMillis)
	each := p.scenario.Control.PushMS / 1000
	for _, u := range p.configRollouts {
		queue.AddDuration(u.startedAt.Sub(u.due))
		for i := range p.world.Agents {
			begun := u.startedAt.Sub(p.startedAt).Seconds() + float64(i)*each
			if begun >= length {
				break
			}
			c.Calls++
			c.BytesOut += p.configBytes(i, u.revision)
			addSpan(bins, begun, each)
		}
	}
	for _, v := range bins {
		c.Busy += v / length
	}
	c.Worst6s, c.QueueMS, c.QueueMax = worstWindowMean(bins), queue.Distribution(), p.maxQueuedRollouts()
	return c
}

// addSpan puts a time from a moment on into bins of a second; what is behind the last one is left out.
func addSpan(bins []float64, from, length float64) {
	for i := int(from); i < len(bins) && float64(i) < from+length; i++ {
		bins[i] += min(from+length, float64(i+1)) - max(from, float64(i))
	}
}

// maxQueuedRollouts is the most configurations that were due and not begun at once.
func (p *runner) maxQueuedRollouts() int {
	most := 0
	for _, u := range p.configRollouts {
		n := 0
		for _, v := range p.configRollouts {
			if !v.due.After(u.due) && v.startedAt.After(u.due) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// configBytes is the length of the settings that an agent is handed with a revision, in bytes.
func (p *runner) configBytes(agent, revision int) int64 {
	return int64(len(p.world.Settings(agent, revision)))
}

// summarizeEvent sums up one event as it was played.
func (p *runner) summarizeEvent(i int, m *measurements) result.EventResult {
	e := p.scenario.Events[i]
	from, to := int(e.AtS), int(math.Ceil(e.AtS+e.ForS))
	r := result.EventResult{Kind: e.Kind, AtSeconds: e.AtS, LengthSeconds: e.ForS, Affects: p.affectedByEvent[i]}
	r.Bytes = bytesBetween(from, to+secondsAfterEvent, m.control.In, m.control.Out)
	heard, exact := p.listDeliveries(m, i)
	changes, agents := slices.Concat(mergeDeliveries(heard, exact, p.simulatedPositions), p.configDeliveries(m, i)), slices.Concat(p.simulatedPositions, p.realPositions)
	r.InForceMS, r.Undelivered = summarizeDeliveries(changes, agents, p.reachability, p.endedAt.UnixNano(), p.deliveryTimeout())
	r.ServedPercent = servedPercent(p.result.Windows, from, max(to, from+1))
	r.ServedBeforePercent = servedPercent(p.result.Windows, from-secondsBeforeEvent, from)
	r.RecoveredAfterSeconds = recoveredAfter(p.result.Windows, to, r.ServedBeforePercent)
	for _, c := range p.snapshots {
		switch {
		case c.event != i:
		case c.atEnd:
			r.FullLists, r.Refused = r.FullLists+c.fullLists, r.Refused+c.rejected
		default:
			r.FullLists, r.Refused = r.FullLists-c.fullLists, r.Refused-c.rejected
		}
	}
	return r
}

// mergeDeliveries takes the hollow agents' own times in the place of control's.
func mergeDeliveries(heard, exact []delivery, hollows []int) []delivery {
	all := make([]delivery, len(heard))
	for i, h := range heard {
		all[i] = delivery{madeAt: h.madeAt, receivedAt: slices.Clone(h.receivedAt)}
		for _, a := range hollows {
			if a < len(all[i].receivedAt) {
				all[i].receivedAt[a] = timeAt(exact[i].receivedAt, a)
			}
		}
	}
	return all
}

// processCPU is what this process has used so far.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
