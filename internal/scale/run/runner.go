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

// parts are the processes of a run beside real agents and relays: this one, control and hollow.
const parts = 3

// firstRevision is the list's that control begins with.
const firstRevision = 1

// play is one run as it goes on.
type play struct {
	s      *scenario.Scenario
	o      Options
	fail   context.CancelCauseFunc // ends the run, for a reason
	result *result.Run

	world   *world.World
	echo    *realagent.EchoServers
	control *role.Child
	hollow  *role.Child
	real    *realagent.Fleet
	addrs   []string // control's, by agent, and behind them by relay
	relays  []*relayPart
	reals   []int // agents, by sort
	hollows []int

	relayDir string // of the relays' lists; empty if there are none

	begun    time.Time // of the measured part
	ended    time.Time
	spent    time.Duration // processor time of this process when it began
	members  map[string]discovery.Member
	affected map[int]int // by event
	silent   []int       // servers whose machines are away

	mu       sync.Mutex
	reach    *reach
	revision uint64
	changes  []change
	counters []counter
	pushes   []push
	waits    []wait // of the pushes, in their order
}

// change is a revision of the list that a step made.
type change struct {
	revision uint64
	event    int // -1: none
}

// counter is what the control side had counted when an event began, or a while after it.
type counter struct {
	event          int
	ends           bool
	whole, refused int64
}

// push is one configuration that the source handed out.
type push struct {
	revision int
	event    int
	due      time.Time // when the source should have begun
	begun    time.Time
}

// start starts everything, in the order in which each needs the other. All agents begin with the list, as the platform
// hands it to those that it starts one after another: what becomes of a fleet that comes back at once with none is an event
// of its own, agents-back.
func (p *play) start(ctx context.Context) error {
	if p.s.Fleet.Real > 0 {
		echo, err := realagent.Echo(echoServers)
		if err != nil {
			return err
		}
		p.echo = echo
	}
	if err := p.draw(); err != nil {
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
	if err := p.startReal(ctx); err != nil {
		return err
	}
	if err := p.measureAdded(ctx); err != nil {
		return err
	}
	return p.startHollow(ctx)
}

func (p *play) draw() error {
	w, err := world.Draw(p.s)
	if err != nil {
		return err
	}
	if p.echo != nil {
		w.AddEcho(p.echo.Addrs())
	}
	p.world, p.reach, p.revision = w, newReach(len(w.Agents)), firstRevision
	for i, a := range w.Agents {
		if a.Real {
			p.reals = append(p.reals, i)
		} else {
			p.hollows = append(p.hollows, i)
		}
	}
	p.members = map[string]discovery.Member{}
	for _, m := range w.Members(time.Now()) {
		p.members[m.ID] = m
	}
	return nil
}

// list is the list of the moment, by id.
func (p *play) list() []discovery.Member {
	var all []discovery.Member
	for _, m := range p.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b discovery.Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// startControl starts the stand-in, with an address for each agent.
func (p *play) startControl(ctx context.Context) (err error) {
	if p.control, err = p.part(ctx, "control"); err != nil {
		return err
	}
	args := control.StartArgs{Costs: p.s.Control, Members: p.list(), Revision: firstRevision}
	for _, a := range p.world.Agents {
		args.Agents = append(args.Agents, a.Name)
	}
	for k := range p.s.Relays.Count {
		args.Agents = append(args.Agents, fmt.Sprintf("relay%d", k+1))
	}
	// A port that is free at the first address may be taken at another, or be taken meanwhile.
	for try := range portTries {
		if args.Addrs, err = controlAddrs(0, len(args.Agents)); err != nil {
			return err
		}
		if err = p.control.Call(ctx, "Control.Start", args, &control.StartReply{}); err == nil {
			break
		}
		p.o.Log.Warn("control did not start", "try", try, "error", err)
	}
	p.addrs = args.Addrs
	return err
}

// portTries are how many ports are tried for control.
const portTries = 3

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

// part starts a part. It goes on after an interrupt, until its figures are gathered; close ends it.
func (p *play) part(ctx context.Context, name string) (*role.Child, error) {
	return role.Start(context.WithoutCancel(ctx), name, p.o.Stderr)
}

func (p *play) startHollow(ctx context.Context) (err error) {
	if p.hollow, err = p.part(ctx, "hollow"); err != nil {
		return err
	}
	args := simagent.StartArgs{Scenario: *p.s, Agents: p.hollows, Discovery: p.addrs, Relays: p.relaysOf(), Known: p.known(false)}
	if p.echo != nil {
		args.Echo = p.echo.Addrs()
	}
	p.o.Progress(fmt.Sprintf("starts %d hollow agents", len(p.hollows)))
	var reply simagent.StartReply
	if err := p.hollow.Call(ctx, "Hollow.Start", args, &reply); err != nil {
		return err
	}
	p.o.Log.Info("hollow agents started", "agents", len(p.hollows), "ready", reply.Ready)
	return nil
}

func (p *play) startReal(ctx context.Context) (err error) {
	if len(p.reals) == 0 {
		return nil
	}
	p.o.Progress(fmt.Sprintf("starts %d real agents", len(p.reals)))
	// Its processes outlive the context once they are up, until their figures are gathered.
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	up := context.AfterFunc(ctx, end)
	defer up()
	p.real, err = realagent.Start(life, realagent.Options{
		Config: p.world.Config, Agents: p.reals, Echo: p.echo.Addrs(), Bin: p.o.Bin, Discovery: p.addrs, Relays: p.relaysOf(),
		Known: p.known(false), Log: p.o.Log,
	})
	return err
}

// awaitList waits until every agent has heard of the list, as control knows by their next calls. For that it makes a
// revision in which one line is told again as it was.
func (p *play) awaitList(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, longestStart)
	defer stop()
	var reply control.ChangeReply
	if err := p.control.Call(ctx, "Control.Change", control.ChangeArgs{Members: p.list()[:1]}, &reply); err != nil {
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
		missing := p.unheard(stats)
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-look.C:
		case <-ctx.Done():
			if cause := context.Cause(ctx); cause != context.DeadlineExceeded {
				return cause
			}
			return fmt.Errorf("%d of %d agents had not heard the first list within %v: %s", len(missing), len(p.world.Agents), longestStart, few(missing))
		}
	}
}

func (p *play) controlStats(ctx context.Context) (*control.StatsReply, error) {
	stats, _, err := p.controlSide(ctx)
	return stats, err
}

// unheard names the agents that have not heard of the revision that awaitList makes.
func (p *play) unheard(stats *control.StatsReply) (names []string) {
	for i, a := range p.world.Agents {
		if len(stats.Changes) == 0 || at(stats.Changes[0].Heard, i) == 0 {
			names = append(names, a.Name)
		}
	}
	return names
}

// few is the first of many names.
func few(names []string) string {
	const most = 8
	if len(names) > most {
		return strings.Join(names[:most], ", ") + ", ..."
	}
	return strings.Join(names, ", ")
}

// measureAdded measures what real agents add to a call, before anything else goes on: of the run's parts only control, the
// relays and the real agents are there, and nothing changes.
func (p *play) measureAdded(ctx context.Context) error {
	n := p.s.Budgets.AddedSamples
	if p.real == nil || n == 0 {
		return nil
	}
	p.o.Progress(fmt.Sprintf("measures the time added, %d calls each way", n))
	ctx, stop := context.WithTimeout(ctx, longestAdded)
	defer stop()
	var err error
	p.result.Added, err = p.real.Added(ctx, n, addedGap)
	return err
}

// begin begins the measured part everywhere.
func (p *play) begin(ctx context.Context) error {
	if err := p.control.Call(ctx, "Control.Begin", struct{}{}, &struct{}{}); err != nil {
		return err
	}
	if err := p.beginRelays(ctx); err != nil {
		return err
	}
	if err := p.hollow.Call(ctx, "Hollow.Begin", struct{}{}, &struct{}{}); err != nil {
		return err
	}
	if p.real != nil {
		p.real.Begin()
	}
	p.begun, p.spent = time.Now(), processorTime()
	return nil
}

// close ends all processes.
func (p *play) close() error {
	var errs []error
	if p.real != nil {
		errs = append(errs, p.real.Close())
	}
	parts := []*role.Child{p.hollow}
	for _, r := range p.relays {
		parts = append(parts, r.child)
	}
	for _, c := range append(parts, p.control) {
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
