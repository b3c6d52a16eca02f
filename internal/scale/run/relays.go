package run

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"example.org/ryeloft/internal/scale/control"
	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/role"
)

// relayProcess is one relay of the run, with the life that it has now.
type relayProcess struct {
	args      control.RelayArgs
	region    int
	process   *role.Child // nil while it is killed
	startedAt time.Time   // of what it counts now
	earlier   []relayCounts
}

// relayCounts is what an earlier life of a relay had counted when it was killed.
type relayCounts struct {
	startedAt time.Time
	stats     control.RelayStats
}

// startRelays starts the relays, each at a machine and in a region of its own as far as there are regions. Each keeps its
// list in a directory that a later life of it finds again.
func (p *runner) startRelays(ctx context.Context) error {
	if p.scenario.Relays.Count == 0 {
		return nil
	}
	dir, err := os.MkdirTemp("", "scale-relays-")
	if err != nil {
		return fmt.Errorf("the relays' directory: %w", err)
	}
	p.relayDir = dir
	agents := len(p.world.Agents)
	for k := range p.scenario.Relays.Count {
		r := &relayProcess{region: k % p.scenario.Fleet.Regions, args: control.RelayArgs{
			Name: fmt.Sprintf("relay%d", k+1), Discovery: p.discoveryAddrs[agents+k], State: filepath.Join(dir, fmt.Sprint(k)), Lists: p.scenario.Relays.AdmitPerS,
		}}
		p.relays = append(p.relays, r)
		for try := range portAttempts {
			if r.args.Addrs, err = controlAddrs(1+k, agents); err != nil {
				return err
			}
			if err = p.startRelay(ctx, r); err == nil {
				break
			}
			p.options.Log.Warn("a relay did not start", "relay", r.args.Name, "try", try, "error", err)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// startRelay starts one relay, or starts it again.
func (p *runner) startRelay(ctx context.Context, r *relayProcess) error {
	child, err := p.startPart(ctx, "relay")
	if err != nil {
		return err
	}
	if err := child.Call(ctx, "Relay.Start", r.args, &control.StartReply{}); err != nil {
		return errors.Join(err, child.Close())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r.process, r.startedAt = child, time.Now()
	return nil
}

// killRelay ends a relay as the crash of its machine would, and keeps what it had counted.
func (p *runner) killRelay(ctx context.Context, r *relayProcess) error {
	var stats control.RelayStats
	if err := r.process.Call(ctx, "Relay.Stats", struct{}{}, &stats); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r.earlier = append(r.earlier, relayCounts{r.startedAt, stats})
	r.process.Kill()
	r.process = nil
	return nil
}

// relayAddrs are the addresses of all relays, by agent; nil if there are none.
func (p *runner) relayAddrs() [][]string {
	if len(p.relays) == 0 {
		return nil
	}
	all := make([][]string, len(p.world.Agents))
	for agent := range all {
		for _, r := range p.relays {
			all[agent] = append(all[agent], r.args.Addrs[agent])
		}
	}
	return all
}

// beginRelayMeasurement begins the measured part at the relays.
func (p *runner) beginRelayMeasurement(ctx context.Context) error {
	for _, r := range p.relays {
		if err := r.process.Call(ctx, "Relay.Begin", struct{}{}, &struct{}{}); err != nil {
			return err
		}
		r.startedAt = time.Now()
	}
	return nil
}

// partitionRelays has regions lose or find each other, as far as relays are concerned: agents and relays of one region reach each
// other, and control is in region 0.
func (p *runner) partitionRelays(ctx context.Context, cut bool) error {
	above := control.PartitionArgs{Cut: cut}
	for k, r := range p.relays {
		if r.region != 0 {
			above.Agents = append(above.Agents, len(p.world.Agents)+k)
		}
		if r.process == nil {
			continue
		}
		below := control.PartitionArgs{Cut: cut}
		for i, a := range p.world.Agents {
			if p.world.Servers[a.Server].Region != r.region {
				below.Agents = append(below.Agents, i)
			}
		}
		if err := r.process.Call(ctx, "Relay.Cut", below, &struct{}{}); err != nil {
			return err
		}
	}
	return p.controlPart.Call(ctx, "Control.Cut", above, &struct{}{})
}

// collectControlSide asks control and the relays, and puts together what agents sent, were sent and heard at any of them. The
// machines come control first.
func (p *runner) collectControlSide(ctx context.Context) (*control.StatsReply, []result.ControlMachine, error) {
	var all control.StatsReply
	if err := p.controlPart.Call(ctx, "Control.Stats", struct{}{}, &all); err != nil {
		return &all, nil, err
	}
	machines := []result.ControlMachine{all.Machine}
	agents := len(p.world.Agents)
	if len(all.In) > agents { // those behind are the relays
		all.In, all.Out = all.In[:agents], all.Out[:agents]
	}
	for _, r := range p.relays {
		lives := slices.Clone(r.earlier)
		if r.process != nil {
			now := relayCounts{startedAt: r.startedAt}
			if err := r.process.Call(ctx, "Relay.Stats", struct{}{}, &now.stats); err != nil {
				return &all, machines, err
			}
			lives = append(lives, now)
		}
		machines = append(machines, sumRelayCounts(lives))
		for _, l := range lives {
			from := max(0, int(l.startedAt.Sub(p.startedAt).Seconds()))
			if p.startedAt.IsZero() {
				from = 0
			}
			all.In, all.Out = addShifted(all.In, l.stats.In, from), addShifted(all.Out, l.stats.Out, from)
			addAcknowledgements(all.Changes, l.stats.Heard)
		}
	}
	return &all, machines, nil
}

// sumRelayCounts sums up the lives of a relay.
func sumRelayCounts(lives []relayCounts) (m result.ControlMachine) {
	for i, l := range lives {
		s := l.stats.Machine
		if i == 0 {
			m = s
			continue
		}
		m.Calls, m.WholeLists, m.Refused = m.Calls+s.Calls, m.WholeLists+s.WholeLists, m.Refused+s.Refused
		m.BytesIn, m.BytesOut = m.BytesIn+s.BytesIn, m.BytesOut+s.BytesOut
		m.CPUPercent, m.Busy, m.Worst6s = max(m.CPUPercent, s.CPUPercent), max(m.Busy, s.Busy), max(m.Worst6s, s.Worst6s)
		m.RSSBytes = max(m.RSSBytes, s.RSSBytes)
	}
	return m
}

// addShifted adds bins by agent and second to others, so many seconds later. Agents that one of them lacks have none there.
func addShifted(to, more [][]int64, from int) [][]int64 {
	for agent := range to {
		if agent >= len(more) {
			break
		}
		for second, n := range more[agent] {
			if at := from + second; at < len(to[agent]) {
				to[agent][at] += n
			} else if n != 0 {
				to[agent] = append(to[agent], make([]int64, at-len(to[agent])+1)...)
				to[agent][at] += n
			}
		}
	}
	return to
}

// addAcknowledgements notes in changes what agents were heard to hold elsewhere, where that was sooner.
func addAcknowledgements(changes []control.ChangeNotification, heard [][]control.Acknowledgement) {
	for _, c := range changes {
		for agent, marks := range heard {
			if agent >= len(c.Heard) {
				break
			}
			i, _ := slices.BinarySearchFunc(marks, c.Revision, func(m control.Acknowledgement, revision uint64) int {
				return cmp.Compare(m.Revision, revision)
			})
			if i < len(marks) && (c.Heard[agent] == 0 || marks[i].At < c.Heard[agent]) {
				c.Heard[agent] = marks[i].At
			}
		}
	}
}
