package run

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/scale/control"
	"example.org/ryeloft/internal/scale/realagent"
	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/role"
	"example.org/ryeloft/internal/scale/scenario"
	"example.org/ryeloft/internal/scale/simagent"
	"example.org/ryeloft/internal/scale/world"
)

// fixedProcesses are the processes of a run beside real agents and relays: this one, control and hollow.
const fixedProcesses = 3

// firstRevision is the list's that control begins with.
const firstRevision = 1

// runner is one run as it goes on.
type runner struct {
	scenario *scenario.Scenario
	options  Options
	fail     context.CancelCauseFunc // ends the run, for a reason
	result   *result.Run

	world              *world.World
	echo               *realagent.EchoServers
	controlPart        *role.Child
	simulatedPart      *role.Child
	realAgents         *realagent.Fleet
	discoveryAddrs     []string // control's, by agent, and behind them by relay
	relays             []*relayProcess
	realPositions      []int // agents, by sort
	simulatedPositions []int

	relayDir string // of the relays' lists; empty if there are none

	startedAt          time.Time // of the measured part
	endedAt            time.Time
	cpuAtStart         time.Duration // processor time of this process when it began
	members            map[string]discovery.Member
	affectedByEvent    map[int]int // by event
	unreachableServers []int       // servers whose machines are away

	mu             sync.Mutex
	reachability   *reachability
	revision       uint64
	listChanges    []listChange
	snapshots      []countersSnapshot
	configRollouts []configRollout
	rolloutTimings []taskTiming // of the pushes, in their order
}

// listChange is a revision of the list that a step made.
type listChange struct {
	revision uint64
	event    int // -1: none
}

// countersSnapshot is what the control side had counted when an event began, or a while after it.
type countersSnapshot struct {
	event               int
	atEnd               bool
	fullLists, rejected int64
}

// configRollout is one configuration that the source handed out.
type configRollout struct {
	revision  int
	event     int
	due       time.Time // when the source should have begun
	startedAt time.Time
}

// startParts starts everything, in the order in which each needs the other. All agents begin with the list, as the platform
// hands it to those that it starts one after another: what becomes of a fleet that comes back at once with none is an event
// of its own, agents-back.
func (p *runner) startParts(ctx context.Context) error {
	if p.scenario.Fleet.Real > 0 {
		echo, err := realagent.Echo(echoServers)
		if err != nil {
			return err
		}
		p.echo = echo
	}
	if err := p.drawWorld(); err != nil {
		return err
	}
	if err := p.startControl(ctx); err != nil {
		return err
	}
	if err := p.startRelays(ctx); err != nil {
		return err
	}
	// What real agents add to a call is measured before the hollow ones are there: in the fleet none of these would take
	// turns with them on the same cores.
	if err := p.startRealAgents(ctx); err != nil {
		return err
	}
	if err := p.measureAddedLatency(ctx); err != nil {
		return err
	}
	return p.startSimulatedAgents(ctx)
}

func (p *runner) drawWorld() error {
	w, err := world.Draw(p.scenario)
	if err != nil {
		return err
	}
	if p.echo != nil {
		w.AddEcho(p.echo.Addrs())
	}
	p.world, p.reachability, p.revision = w, newReachability(len(w.Agents)), firstRevision
	for i, a := range w.Agents {
		if a.Real {
			p.realPositions = append(p.realPositions, i)
		} else {
			p.simulatedPositions = append(p.simulatedPositions, i)
		}
	}
	p.members = map[string]discovery.Member{}
	for _, m := range w.Members(time.Now()) {
		p.members[m.ID] = m
	}
	return nil
}

// currentList is the list of the moment, by id.
func (p *runner) currentList() []discovery.Member {
	var all []discovery.Member
	for _, m := range p.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b discovery.Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// startControl starts the stand-in, with an address for each agent.
func (p *runner) startControl(ctx context.Context) (err error) {
	if p.controlPart, err = p.startPart(ctx, "control"); err != nil {
		return err
	}
	args := control.StartArgs{Costs: p.scenario.Control, Members: p.currentList(), Revision: firstRevision}
	for _, a := range p.world.Agents {
		args.Agents = append(args.Agents, a.Name)
	}
	for k := range p.scenario.Relays.Count {
		args.Agents = append(args.Agents, fmt.Sprintf("relay%d", k+1))
	}
	// A port that is free at the first address may be taken at another, or be taken meanwhile.
	for try := range portAttempts {
		if args.Addrs, err = controlAddrs(0, len(args.Agents)); err != nil {
			return err
		}
		if err = p.controlPart.Call(ctx, "Control.Start", args, &control.StartReply{}); err == nil {
			break
		}
		p.options.Log.Warn("control did not start", "try", try, "error", err)
	}
	p.discoveryAddrs = args.Addrs
	return err
}

// portAttempts are how many ports are tried for control.
const portAttempts = 3

// controlAddrs are where a machine of the control side listens, by agent: each has an address of its own, by which the
// machine can tell who calls, at one port that is free now.
func controlAddrs(machine, agents int) ([]string, error) {
	host := func(agent int) string { return fmt.Sprintf("127.%d.%d.%d", 64+machine, agent/250, agent%250+1) }
	l, err := net.Listen("tcp4", host(0)+":0")
	if err != nil {
		return nil, fmt.Errorf("a port for control: %w", err)
	}
	defer l.Close()
	port := l.Addr().(*net.TCPAddr).Port
	addrs := make([]string, agents)
	for i := range addrs {
		addrs[i] = net.JoinHostPort(host(i), strconv.Itoa(port))
	}
	return addrs, nil
}

// startPart starts a part. It goes on after an interrupt, until its figures are gathered; close ends it.
func (p *runner) startPart(ctx context.Context, name string) (*role.Child, error) {
	return role.Start(context.WithoutCancel(ctx), name, p.options.Stderr)
}

func (p *runner) startSimulatedAgents(ctx context.Context) (err error) {
	if p.simulatedPart, err = p.startPart(ctx, "hollow"); err != nil {
		return err
	}
	args := simagent.StartArgs{Scenario: *p.scenario, Agents: p.simulatedPositions, Discovery: p.discoveryAddrs, Relays: p.relayAddrs(), Known: p.cachedEndpoints(false)}
	if p.echo != nil {
		args.Echo = p.echo.Addrs()
	}
	p.options.Progress(fmt.Sprintf("starts %d hollow agents", len(p.simulatedPositions)))
	var reply simagent.StartReply
	if err := p.simulatedPart.Call(ctx, "Hollow.Start", args, &reply); err != nil {
		return err
	}
	p.options.Log.Info("hollow agents started", "agents", len(p.simulatedPositions), "ready", reply.Ready)
	return nil
}

func (p *runner) startRealAgents(ctx context.Context) (err error) {
	if len(p.realPositions) == 0 {
		return nil
	}
	p.options.Progress(fmt.Sprintf("starts %d real agents", len(p.realPositions)))
	// Its processes outlive the context once they are up, until their figures are gathered.
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	up := context.AfterFunc(ctx, end)
	defer up()
	p.realAgents, err = realagent.Start(life, realagent.Options{
		Config: p.world.Config, Agents: p.realPositions, Echo: p.echo.Addrs(), Program: p.options.AgentProgram, Discovery: p.discoveryAddrs, Relays: p.relayAddrs(),
		CachedEndpoints: p.cachedEndpoints(false), Log: p.options.Log,
	})
	return err
}

// awaitFirstList waits until every agent has heard of the list, as control knows by their next calls. For that it makes a
// revision in which one line is told again as it was.
func (p *runner) awaitFirstList(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, startTimeout)
	defer stop()
	var reply control.ChangeReply
	if err := p.controlPart.Call(ctx, "Control.Change", control.ChangeArgs{Members: p.currentList()[:1]}, &reply); err != nil {
		return err
	}
	p.revision = reply.Revision
	look := time.NewTicker(100 * time.Millisecond)
	defer look.Stop()
	for {
		stats, err := p.controlStats(ctx)
		if err != nil {
			return err
		}
		missing := p.agentsWithoutFirstList(stats)
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-look.C:
		case <-ctx.Done():
			if cause := context.Cause(ctx); cause != context.DeadlineExceeded {
				return cause
			}
			return fmt.Errorf("%d of %d agents had not heard the first list within %v: %s", len(missing), len(p.world.Agents), startTimeout, firstNames(missing))
		}
	}
}

func (p *runner) controlStats(ctx context.Context) (*control.StatsReply, error) {
	stats, _, err := p.collectControlSide(ctx)
	return stats, err
}

// agentsWithoutFirstList names the agents that have not heard of the revision that awaitFirstList makes.
func (p *runner) agentsWithoutFirstList(stats *control.StatsReply) (names []string) {
	for i, a := range p.world.Agents {
		if len(stats.Changes) == 0 || timeAt(stats.Changes[0].Heard, i) == 0 {
			names = append(names, a.Name)
		}
	}
	return names
}

// firstNames is the first of many names.
func firstNames(names []string) string {
	const most = 8
	if len(names) > most {
		return strings.Join(names[:most], ", ") + ", ..."
	}
	return strings.Join(names, ", ")
}

// measureAddedLatency measures what real agents add to a call, before anything else goes on: of the run's parts only control, the
// relays and the real agents are there, and nothing changes.
func (p *runner) measureAddedLatency(ctx context.Context) error {
	n := p.scenario.Budgets.AddedSamples
	if p.realAgents == nil || n == 0 {
		return nil
	}
	p.options.Progress(fmt.Sprintf("measures the time added, %d calls each way", n))
	ctx, stop := context.WithTimeout(ctx, addedLatencyTimeout)
	defer stop()
	var err error
	p.result.Added, err = p.realAgents.MeasureAdded(ctx, n, addedCallGap)
	return err
}

// beginMeasurement begins the measured part everywhere.
func (p *runner) beginMeasurement(ctx context.Context) error {
	if err := p.controlPart.Call(ctx, "Control.Begin", struct{}{}, &struct{}{}); err != nil {
		return err
	}
	if err := p.beginRelayMeasurement(ctx); err != nil {
		return err
	}
	if err := p.simulatedPart.Call(ctx, "Hollow.Begin", struct{}{}, &struct{}{}); err != nil {
		return err
	}
	if p.realAgents != nil {
		p.realAgents.Begin()
	}
	p.startedAt, p.cpuAtStart = time.Now(), processCPU()
	return nil
}

// close ends all processes.
func (p *runner) close() error {
	var errs []error
	if p.realAgents != nil {
		errs = append(errs, p.realAgents.Close())
	}
	parts := []*role.Child{p.simulatedPart}
	for _, r := range p.relays {
		parts = append(parts, r.process)
	}
	for _, c := range append(parts, p.controlPart) {
		if c != nil {
			errs = append(errs, c.Close())
		}
	}
	if p.relayDir != "" {
		errs = append(errs, os.RemoveAll(p.relayDir))
	}
	if p.echo != nil {
		errs = append(errs, p.echo.Close())
	}
	return errors.Join(errs...)
}
