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

// relayProcess is one relay of the run and its current incarnation.
type relayProcess struct {
	args      control.RelayArgs
	region    int
	process   *role.Child   // nil after it was killed
	startedAt time.Time     // of the current counts
	earlier   []relayCounts // of killed incarnations
}

// relayCounts holds the counts of one incarnation of a relay since startedAt.
type relayCounts struct {
	startedAt time.Time
	stats     control.RelayStats
}

func relayName(k int) string { return fmt.Sprintf("relay%d", k+1) }

// startRelays starts the relays, each on a separate machine, and distributes them over the regions in turn. Each stores
// its list in a directory that later incarnations reuse.
func (r *runner) startRelays(ctx context.Context) error {
	if r.scenario.Relays.Count == 0 {
		return nil
	}
	dir, err := os.MkdirTemp("", "scale-relays-")
	if err != nil {
		return fmt.Errorf("creating the relays' directory: %w", err)
	}
	r.relayDir = dir
	agents := len(r.world.Agents)
	for k := range r.scenario.Relays.Count {
		relay := &relayProcess{region: k % r.scenario.Fleet.Regions, args: control.RelayArgs{
			Name: relayName(k), Discovery: r.discoveryAddrs[agents+k], State: filepath.Join(dir, fmt.Sprint(k)),
			FullListsPerSecond: r.scenario.Relays.FullListsPerS,
		}}
		r.relays = append(r.relays, relay)
		if err := r.startRelayAtFreePort(ctx, relay, 1+k); err != nil {
			return err
		}
	}
	return nil
}

// startRelayAtFreePort starts a relay for the first time. It tries up to portAttempts ports until one is free on all
// addresses.
func (r *runner) startRelayAtFreePort(ctx context.Context, relay *relayProcess, machine int) (err error) {
	for attempt := range portAttempts {
		relay.args.Addrs, err = controlAddrs(machine, len(r.world.Agents))
		if err != nil {
			return err
		}
		err = r.startRelay(ctx, relay)
		if err == nil {
			return nil
		}
		r.options.Log.Warn("relay start failed", "relay", relay.args.Name, "attempt", attempt, "error", err)
	}
	return err
}

// startRelay starts or restarts one relay.
func (r *runner) startRelay(ctx context.Context, relay *relayProcess) error {
	process, err := r.startProcess(ctx, role.Relay)
	if err != nil {
		return err
	}
	if err := process.Call(ctx, control.RelayMethodStart, relay.args, &control.StartReply{}); err != nil {
		return errors.Join(err, process.Close())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	relay.process = process
	relay.startedAt = time.Now()
	return nil
}

// killRelay kills a relay, as a crash of its machine would, and keeps its counts.
func (r *runner) killRelay(ctx context.Context, relay *relayProcess) error {
	var stats control.RelayStats
	if err := relay.process.Call(ctx, control.RelayMethodStats, struct{}{}, &stats); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	relay.earlier = append(relay.earlier, relayCounts{relay.startedAt, stats})
	relay.process.Kill()
	relay.process = nil
	return nil
}

// relayAddrs returns the addresses of all relays by agent, or nil if there are no relays.
func (r *runner) relayAddrs() [][]string {
	if len(r.relays) == 0 {
		return nil
	}
	all := make([][]string, len(r.world.Agents))
	for agent := range all {
		for _, relay := range r.relays {
			all[agent] = append(all[agent], relay.args.Addrs[agent])
		}
	}
	return all
}

// beginRelayMeasurement starts the measurement period in the relays.
func (r *runner) beginRelayMeasurement(ctx context.Context) error {
	for _, relay := range r.relays {
		if err := relay.process.Call(ctx, control.RelayMethodBegin, struct{}{}, &struct{}{}); err != nil {
			return err
		}
		relay.startedAt = time.Now()
	}
	return nil
}

// partitionRelays begins or ends a partition between the regions at the relays: agents and relays of the same region
// reach each other, and control is in region 0.
func (r *runner) partitionRelays(ctx context.Context, partitioned bool) error {
	fromControl := control.PartitionArgs{Partitioned: partitioned}
	for k, relay := range r.relays {
		if relay.region != 0 {
			fromControl.Agents = append(fromControl.Agents, len(r.world.Agents)+k)
		}
		if relay.process == nil {
			continue
		}
		fromRelay := control.PartitionArgs{Partitioned: partitioned}
		for i, a := range r.world.Agents {
			if r.world.Servers[a.Server].Region != relay.region {
				fromRelay.Agents = append(fromRelay.Agents, i)
			}
		}
		if err := relay.process.Call(ctx, control.RelayMethodPartition, fromRelay, &struct{}{}); err != nil {
			return err
		}
	}
	return r.controlProcess.Call(ctx, control.MethodPartition, fromControl, &struct{}{})
}

// collectControlSide fetches the stats of control and the relays, and merges the bytes and acknowledgements of agents
// at any of them. The first of the machines is control.
func (r *runner) collectControlSide(ctx context.Context) (*control.StatsReply, []result.ControlMachine, error) {
	var all control.StatsReply
	if err := r.controlProcess.Call(ctx, control.MethodStats, struct{}{}, &all); err != nil {
		return &all, nil, err
	}
	machines := []result.ControlMachine{all.Machine}
	agents := len(r.world.Agents)
	if len(all.In) > agents { // the remaining ones are relays
		all.In = all.In[:agents]
		all.Out = all.Out[:agents]
	}
	for _, relay := range r.relays {
		incarnations, err := relay.counts(ctx)
		if err != nil {
			return &all, machines, err
		}
		machines = append(machines, sumRelayCounts(incarnations))
		for _, counts := range incarnations {
			firstSecond := 0
			if !r.startedAt.IsZero() {
				firstSecond = max(0, int(counts.startedAt.Sub(r.startedAt).Seconds()))
			}
			all.In = addShifted(all.In, counts.stats.In, firstSecond)
			all.Out = addShifted(all.Out, counts.stats.Out, firstSecond)
			addAcknowledgements(all.Changes, counts.stats.Acknowledgements)
		}
	}
	return &all, machines, nil
}

// counts returns the counts of all incarnations of a relay.
func (p *relayProcess) counts(ctx context.Context) ([]relayCounts, error) {
	incarnations := slices.Clone(p.earlier)
	if p.process == nil {
		return incarnations, nil
	}
	current := relayCounts{startedAt: p.startedAt}
	if err := p.process.Call(ctx, control.RelayMethodStats, struct{}{}, &current.stats); err != nil {
		return nil, err
	}
	return append(incarnations, current), nil
}

// sumRelayCounts sums the counts of a relay's incarnations. Rates and memory are the maximum over them.
func sumRelayCounts(incarnations []relayCounts) (sum result.ControlMachine) {
	for i, counts := range incarnations {
		m := counts.stats.Machine
		if i == 0 {
			sum = m
			continue
		}
		sum.Calls += m.Calls
		sum.FullLists += m.FullLists
		sum.Rejected += m.Rejected
		sum.BytesIn += m.BytesIn
		sum.BytesOut += m.BytesOut
		sum.CPUPercent = max(sum.CPUPercent, m.CPUPercent)
		sum.Busy = max(sum.Busy, m.Busy)
		sum.Worst6s = max(sum.Worst6s, m.Worst6s)
		sum.RSSBytes = max(sum.RSSBytes, m.RSSBytes)
	}
	return sum
}

// addShifted adds the bins of more, by agent and second, to those of to after the given delay in seconds. Agents that
// are missing in either are ignored.
func addShifted(to, more [][]int64, delay int) [][]int64 {
	for agent := range to {
		if agent >= len(more) {
			break
		}
		for second, n := range more[agent] {
			at := delay + second
			if at >= len(to[agent]) {
				if n == 0 {
					continue
				}
				to[agent] = append(to[agent], make([]int64, at-len(to[agent])+1)...)
			}
			to[agent][at] += n
		}
	}
	return to
}

// addAcknowledgements updates changes with agents' acknowledgements at a relay where these are earlier.
func addAcknowledgements(changes []control.ChangeNotification, byAgent [][]control.Acknowledgement) {
	for _, c := range changes {
		for agent, acknowledged := range byAgent {
			if agent >= len(c.AcknowledgedAt) {
				break
			}
			i, _ := slices.BinarySearchFunc(acknowledged, c.Revision, func(a control.Acknowledgement, revision uint64) int {
				return cmp.Compare(a.Revision, revision)
			})
			if i == len(acknowledged) {
				continue
			}
			if c.AcknowledgedAt[agent] == 0 || acknowledged[i].At < c.AcknowledgedAt[agent] {
				c.AcknowledgedAt[agent] = acknowledged[i].At
			}
		}
	}
}
