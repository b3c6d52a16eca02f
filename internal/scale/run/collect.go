package run

import (
	"context"
	"errors"
	"math"
	"os"
	"slices"
	"time"

	"example.org/ryeloft/internal/scale/control"
	"example.org/ryeloft/internal/scale/procstat"
	"example.org/ryeloft/internal/scale/realagent"
	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/simagent"
)

// defaultDeliveryTimeout is the time within which a change must be delivered if the budgets set no limit.
const defaultDeliveryTimeout = 6 * time.Second

// secondsBeforeEvent is the length of the baseline for the served share before an event.
const secondsBeforeEvent = 5

// measurements holds the measurements that the processes reported at the end.
type measurements struct {
	control       control.StatsReply // includes bytes and acknowledgements at relays
	machines      []result.ControlMachine
	simulated     simagent.StatsReply
	realAgents    realagent.Stats
	lengthSeconds float64 // of the measurement period
	sourceCPU     time.Duration
}

// collect fetches the measurements of every process and fills in the result. A process that does not respond is
// omitted.
func (r *runner) collect(ctx context.Context) error {
	r.options.Progress("collects the measurements")
	m := &measurements{lengthSeconds: r.endedAt.Sub(r.startedAt).Seconds(), sourceCPU: ownCPU() - r.cpuAtStart}
	if r.realAgents != nil {
		m.realAgents = r.realAgents.Stats()
	}
	controlStats, machines, controlErr := r.collectControlSide(ctx)
	m.control = *controlStats
	m.machines = machines
	simulatedErr := r.simulatedProcess.Call(ctx, simagent.MethodStats, simagent.StatsArgs{}, &m.simulated)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summarizeAgents(m)
	r.summarizeControl(m)
	r.result.Depths = m.simulated.Depths
	// Calls that started in the last second may not have had time to complete.
	r.result.Windows = slices.DeleteFunc(m.simulated.Windows, func(w result.Window) bool {
		return float64(w.Second) >= math.Ceil(m.lengthSeconds)-1
	})
	for i := range r.scenario.Events {
		r.result.Events = append(r.result.Events, r.summarizeEvent(i, m))
	}
	r.result.ModelLagMS = m.simulated.LagMS
	r.result.ModelKeptTime = m.simulated.KeptTime
	r.result.LateNotifications = m.control.LateNotifications
	return errors.Join(controlErr, simulatedErr)
}

// deliveryTimeout returns the time after which a change that an agent has not received counts as undelivered.
func (r *runner) deliveryTimeout() time.Duration {
	if r.scenario.Budgets.InForceS > 0 {
		return seconds(r.scenario.Budgets.InForceS)
	}
	return defaultDeliveryTimeout
}

// summarizeAgents summarizes the cost of control traffic for the agents of both types.
func (r *runner) summarizeAgents(m *measurements) {
	acknowledged, inForce := r.listDeliveries(m, anyEvent)
	r.summarizeAgentType(&r.result.Simulated, r.simulatedPositions, m, acknowledged, inForce)
	r.summarizeAgentType(&r.result.Real, r.realPositions, m, acknowledged, acknowledged)
	r.result.Simulated.CPUPercent = m.simulated.Control.CPUPercent
	r.result.Simulated.HeapBytes = m.simulated.Control.HeapBytes
	r.result.Real.CPUPercent = m.realAgents.CPUPercent
	r.result.Real.RSSBytes = m.realAgents.RSSBytes
}

// summarizeAgentType summarizes bytes and deliveries of the agents of one type.
func (r *runner) summarizeAgentType(cost *result.AgentControl, agents []int, m *measurements, acknowledged, inForce []delivery) {
	summarize := func(changes []delivery) (result.Distribution, int) {
		return summarizeDeliveries(changes, agents, r.reachability, r.endedAt.UnixNano(), r.deliveryTimeout())
	}
	cost.Agents = len(agents)
	wholeSeconds := max(1, int(m.lengthSeconds))
	// The bytes that control sends are the bytes that agents receive.
	cost.BytesIn, cost.BytesOut, cost.Worst6s = rates(m.control.Out, m.control.In, agents, wholeSeconds)
	var undeliveredLists, undeliveredConfigs int
	cost.ListAcknowledged, _ = summarize(acknowledged)
	cost.ListInForce, undeliveredLists = summarize(inForce)
	cost.ConfigInForce, undeliveredConfigs = summarize(r.configDeliveries(m, anyEvent))
	cost.Undelivered = undeliveredLists + undeliveredConfigs
}

// anyEvent selects the changes of all events and those without an event.
const anyEvent = -1

// listDeliveries returns the deliveries of the list changes of an event: acknowledged by the time at which agents
// acknowledged them to control, inForce by the time at which the simulated agents reported them in force.
func (r *runner) listDeliveries(m *measurements, event int) (acknowledged, inForce []delivery) {
	for _, c := range r.listChanges {
		if event != anyEvent && c.event != event {
			continue
		}
		i := slices.IndexFunc(m.control.Changes, func(n control.ChangeNotification) bool { return n.Revision == c.revision })
		if i < 0 {
			continue
		}
		notification := m.control.Changes[i]
		acknowledged = append(acknowledged, delivery{publishedAt: notification.At, receivedAt: notification.AcknowledgedAt})
		delivered := delivery{publishedAt: notification.At}
		j := slices.IndexFunc(m.simulated.Lists, func(l simagent.ListChange) bool { return l.Revision == c.revision })
		if j >= 0 {
			delivered.receivedAt = m.simulated.Lists[j].At
		}
		inForce = append(inForce, delivered)
	}
	return acknowledged, inForce
}

// configDeliveries returns the deliveries of the configuration revisions of an event. Their time counts from when the
// source should have started the rollout, because waiting for the previous rollout is a cost of the source.
func (r *runner) configDeliveries(m *measurements, event int) (all []delivery) {
	for _, rollout := range r.configRollouts {
		if event != anyEvent && rollout.event != event {
			continue
		}
		d := delivery{publishedAt: rollout.due.UnixNano(), receivedAt: make([]int64, len(r.world.Agents))}
		for _, c := range m.simulated.Configs {
			if c.Revision == rollout.revision {
				copy(d.receivedAt, c.At)
			}
		}
		for _, c := range m.realAgents.Configs {
			if c.Revision != rollout.revision {
				continue
			}
			for i, agent := range r.realPositions {
				d.receivedAt[agent] = timeAt(c.InForce, i)
			}
		}
		all = append(all, d)
	}
	return all
}

// mergeDeliveries returns acknowledged with the times of the simulated agents replaced by those of inForce.
func mergeDeliveries(acknowledged, inForce []delivery, simulated []int) []delivery {
	all := make([]delivery, len(acknowledged))
	for i, d := range acknowledged {
		all[i] = delivery{publishedAt: d.publishedAt, receivedAt: slices.Clone(d.receivedAt)}
		for _, a := range simulated {
			if a < len(all[i].receivedAt) {
				all[i].receivedAt[a] = timeAt(inForce[i].receivedAt, a)
			}
		}
	}
	return all
}

// summarizeControl adds control, its relays and the configuration source to the result.
func (r *runner) summarizeControl(m *measurements) {
	if len(m.machines) == 0 { // control did not respond
		m.machines = []result.ControlMachine{{Role: "control", Name: "control"}}
	}
	r.result.Control = append(r.result.Control, m.machines...)
	r.result.Control = append(r.result.Control, r.sourceMachine(m))
}

// sourceMachine returns the cost of distributing configurations, by the configured cost per agent. CPU time and memory
// are those of this process, which also applies the steps and calls the other processes, so they overstate the source's
// cost.
func (r *runner) sourceMachine(m *measurements) result.ControlMachine {
	machine := result.ControlMachine{Role: "source", Name: "source"}
	if resident, err := procstat.ResidentBytes(os.Getpid()); err == nil {
		machine.RSSBytes = float64(resident)
	}
	if m.lengthSeconds <= 0 {
		return machine
	}
	machine.CPUPercent = 100 * m.sourceCPU.Seconds() / m.lengthSeconds
	bins := make([]float64, max(1, int(m.lengthSeconds)))
	queue := result.NewHistogram(maxMillis)
	perAgent := r.scenario.Control.PushMS / 1000
	for _, rollout := range r.configRollouts {
		queue.AddDuration(rollout.startedAt.Sub(rollout.due))
		for i := range r.world.Agents {
			startSecond := rollout.startedAt.Sub(r.startedAt).Seconds() + float64(i)*perAgent
			if startSecond >= m.lengthSeconds {
				break
			}
			machine.Calls++
			machine.BytesOut += int64(len(r.world.Settings(i, rollout.revision)))
			addSpan(bins, startSecond, perAgent)
		}
	}
	for _, busy := range bins {
		machine.Busy += busy / m.lengthSeconds
	}
	machine.Worst6s = result.WorstWindow(bins)
	machine.QueueMS = queue.Distribution()
	machine.QueueMax = r.maxQueuedRollouts()
	return machine
}

// addSpan adds a time span, in seconds, to bins of one second each. Time after the last bin is ignored.
func addSpan(bins []float64, from, length float64) {
	for i := int(from); i < len(bins) && float64(i) < from+length; i++ {
		bins[i] += min(from+length, float64(i+1)) - max(from, float64(i))
	}
}

// maxQueuedRollouts returns the maximum number of configurations that were due and not yet started at the same time.
func (r *runner) maxQueuedRollouts() int {
	maxQueued := 0
	for _, at := range r.configRollouts {
		queued := 0
		for _, other := range r.configRollouts {
			if !other.due.After(at.due) && other.startedAt.After(at.due) {
				queued++
			}
		}
		maxQueued = max(maxQueued, queued)
	}
	return maxQueued
}

// summarizeEvent summarizes the effects of one event.
func (r *runner) summarizeEvent(i int, m *measurements) result.EventResult {
	e := r.scenario.Events[i]
	from := int(e.AtS)
	to := int(math.Ceil(e.AtS + e.ForS))
	out := result.EventResult{Kind: e.Kind, AtSeconds: e.AtS, LengthSeconds: e.ForS, Affects: r.affectedByEvent[i]}
	out.Bytes = bytesBetween(from, to+secondsAfterEvent, m.control.In, m.control.Out)
	acknowledged, inForce := r.listDeliveries(m, i)
	changes := slices.Concat(mergeDeliveries(acknowledged, inForce, r.simulatedPositions), r.configDeliveries(m, i))
	out.InForceMS, out.Undelivered = summarizeDeliveries(changes, r.allAgents(), r.reachability, r.endedAt.UnixNano(), r.deliveryTimeout())
	out.ServedPercent = servedPercent(r.result.Windows, from, max(to, from+1))
	out.ServedBeforePercent = servedPercent(r.result.Windows, from-secondsBeforeEvent, from)
	out.RecoveredAfterSeconds = recoveredAfter(r.result.Windows, to, out.ServedBeforePercent)
	for _, snapshot := range r.snapshots {
		switch {
		case snapshot.event != i:
		case snapshot.atEnd:
			out.FullLists += snapshot.fullLists
			out.Rejected += snapshot.rejected
		default:
			out.FullLists -= snapshot.fullLists
			out.Rejected -= snapshot.rejected
		}
	}
	return out
}

// ownCPU returns the CPU time that this process has used, or 0 if it cannot be read.
func ownCPU() time.Duration {
	cpu, err := procstat.OwnCPU()
	if err != nil {
		return 0
	}
	return cpu
}
