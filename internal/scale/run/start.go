package run

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"example.org/ryeloft/internal/scale/control"
	"example.org/ryeloft/internal/scale/realagent"
	"example.org/ryeloft/internal/scale/role"
	"example.org/ryeloft/internal/scale/simagent"
)

// startProcesses starts all processes in the order of their dependencies. All agents start with the list, because the
// platform gives it to the agents that it starts one after another.
func (r *runner) startProcesses(ctx context.Context) error {
	if r.scenario.Fleet.Real > 0 {
		echo, err := realagent.StartEchoServers(echoServers)
		if err != nil {
			return err
		}
		r.echo = echo
	}
	if err := r.generateWorld(); err != nil {
		return err
	}
	if err := r.startControl(ctx); err != nil {
		return err
	}
	if err := r.startRelays(ctx); err != nil {
		return err
	}
	// The added latency is measured before the simulated agents start, as they would compete for the same cores.
	if err := r.startRealAgents(ctx); err != nil {
		return err
	}
	if err := r.measureAddedLatency(ctx); err != nil {
		return err
	}
	return r.startSimulatedAgents(ctx)
}

// startProcess starts a process with the given role. An interrupt does not end it, because it must still report; close
// ends it.
func (r *runner) startProcess(ctx context.Context, name string) (*role.Child, error) {
	return role.Start(context.WithoutCancel(ctx), name, r.options.Stderr)
}

// startControl starts control, with a separate address for each agent and relay.
func (r *runner) startControl(ctx context.Context) (err error) {
	r.controlProcess, err = r.startProcess(ctx, role.Control)
	if err != nil {
		return err
	}
	args := control.StartArgs{Costs: r.scenario.Control, Members: r.currentList(), Revision: firstRevision}
	for _, a := range r.world.Agents {
		args.Agents = append(args.Agents, a.Name)
	}
	for k := range r.scenario.Relays.Count {
		args.Agents = append(args.Agents, relayName(k))
	}
	// A port that is free on the first address may be in use on another one, or another process may take it first.
	for attempt := range portAttempts {
		args.Addrs, err = controlAddrs(0, len(args.Agents))
		if err != nil {
			return err
		}
		err = r.controlProcess.Call(ctx, control.MethodStart, args, &control.StartReply{})
		if err == nil {
			break
		}
		r.options.Log.Warn("control start failed", "attempt", attempt, "error", err)
	}
	r.discoveryAddrs = args.Addrs
	return err
}

// portAttempts is how many ports are tried for control or a relay.
const portAttempts = 3

// controlAddrs returns the addresses on which control or a relay listens, by agent. Each agent has a separate address,
// which identifies it, and all addresses share one port that is currently free.
func controlAddrs(machine, agents int) ([]string, error) {
	host := func(agent int) string { return fmt.Sprintf("127.%d.%d.%d", 64+machine, agent/250, agent%250+1) }
	l, err := net.Listen("tcp4", host(0)+":0")
	if err != nil {
		return nil, fmt.Errorf("finding a port for control: %w", err)
	}
	defer l.Close()
	port := strconv.Itoa(l.Addr().(*net.TCPAddr).Port)
	addrs := make([]string, agents)
	for i := range addrs {
		addrs[i] = net.JoinHostPort(host(i), port)
	}
	return addrs, nil
}

func (r *runner) startSimulatedAgents(ctx context.Context) (err error) {
	r.simulatedProcess, err = r.startProcess(ctx, role.SimulatedAgents)
	if err != nil {
		return err
	}
	args := simagent.StartArgs{
		Scenario: *r.scenario, Agents: r.simulatedPositions, Discovery: r.discoveryAddrs, Relays: r.relayAddrs(),
		CachedEndpoints: r.cachedEndpoints(false),
	}
	if r.echo != nil {
		args.Echo = r.echo.Addrs()
	}
	r.options.Progress(fmt.Sprintf("starts %d %s agents", len(r.simulatedPositions), role.SimulatedAgents))
	var reply simagent.StartReply
	if err := r.simulatedProcess.Call(ctx, simagent.MethodStart, args, &reply); err != nil {
		return err
	}
	r.options.Log.Info("simulated agents started", "agents", len(r.simulatedPositions), "ready", reply.Ready)
	return nil
}

func (r *runner) startRealAgents(ctx context.Context) (err error) {
	if len(r.realPositions) == 0 {
		return nil
	}
	r.options.Progress(fmt.Sprintf("starts %d real agents", len(r.realPositions)))
	// Once they are up, the processes outlive ctx, because they must still report.
	processCtx, kill := context.WithCancel(context.WithoutCancel(ctx))
	cancelKill := context.AfterFunc(ctx, kill)
	defer cancelKill()
	r.realAgents, err = realagent.Start(processCtx, realagent.Options{
		Config: r.world.Config, Agents: r.realPositions, Echo: r.echo.Addrs(), Program: r.options.AgentProgram,
		Discovery: r.discoveryAddrs, Relays: r.relayAddrs(), CachedEndpoints: r.cachedEndpoints(false), Log: r.options.Log,
	})
	return err
}

// measureAddedLatency measures the latency that real agents add to a call, while only control, the relays and the real
// agents run and nothing changes.
func (r *runner) measureAddedLatency(ctx context.Context) error {
	samples := r.scenario.Budgets.AddedSamples
	if r.realAgents == nil || samples == 0 {
		return nil
	}
	r.options.Progress(fmt.Sprintf("measures the added latency, %d calls each way", samples))
	ctx, stop := context.WithTimeout(ctx, addedLatencyTimeout)
	defer stop()
	added, err := r.realAgents.MeasureAdded(ctx, samples, addedCallGap)
	r.result.Added = added
	return err
}

// awaitFirstList publishes a revision without changes and waits until every agent has acknowledged it.
func (r *runner) awaitFirstList(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, startTimeout)
	defer stop()
	var reply control.ChangeReply
	if err := r.controlProcess.Call(ctx, control.MethodChange, control.ChangeArgs{Members: r.currentList()[:1]}, &reply); err != nil {
		return err
	}
	r.revision = reply.Revision
	poll := time.NewTicker(100 * time.Millisecond)
	defer poll.Stop()
	for {
		stats, _, err := r.collectControlSide(ctx)
		if err != nil {
			return err
		}
		missing := r.agentsWithoutFirstList(stats)
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			cause := context.Cause(ctx)
			if !errors.Is(cause, context.DeadlineExceeded) {
				return cause
			}
			return fmt.Errorf("%d of %d agents had not acknowledged the first list within %v: %s",
				len(missing), len(r.world.Agents), startTimeout, firstNames(missing))
		}
	}
}

// agentsWithoutFirstList returns the names of the agents that have not acknowledged the revision of awaitFirstList.
func (r *runner) agentsWithoutFirstList(stats *control.StatsReply) (names []string) {
	for i, a := range r.world.Agents {
		if len(stats.Changes) == 0 || timeAt(stats.Changes[0].AcknowledgedAt, i) == 0 {
			names = append(names, a.Name)
		}
	}
	return names
}

// firstNames joins the first names of a list that may be long.
func firstNames(names []string) string {
	const maxNames = 8
	if len(names) > maxNames {
		return strings.Join(names[:maxNames], ", ") + ", ..."
	}
	return strings.Join(names, ", ")
}

// beginMeasurement starts the measurement period in all processes.
func (r *runner) beginMeasurement(ctx context.Context) error {
	if err := r.controlProcess.Call(ctx, control.MethodBegin, struct{}{}, &struct{}{}); err != nil {
		return err
	}
	if err := r.beginRelayMeasurement(ctx); err != nil {
		return err
	}
	if err := r.simulatedProcess.Call(ctx, simagent.MethodBegin, struct{}{}, &struct{}{}); err != nil {
		return err
	}
	if r.realAgents != nil {
		r.realAgents.Begin()
	}
	r.startedAt = time.Now()
	r.cpuAtStart = ownCPU()
	return nil
}
