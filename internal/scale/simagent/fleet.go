// Package simagent runs many hollow agents in one process. A hollow agent is the real thing but for the sockets towards its
// clients and servers: its client of discovery, with real HTTP on loopback; the reading of its configurations; its table
// of members; its decisions. Sending and answering requests, the counter servers and their applications are modelled.
//
// The model runs in a few shards, each an event engine with a part of the servers and the agents by which they call on,
// so that an application and its agent meet without locks. What happens in the model happens at its due time, however
// late it is handled: no modelled time is longer because the process is busy, and how late it was is told as the lag.
// What comes from discovery or the source of configuration happens when it comes.
package simagent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ryeloft/internal/clock"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/scale/world"
)

const (
	// mostShards is how many threads run the model; the rest of the machine is for control and the other parts.
	mostShards = 4
	// readyWait is how long Start waits for the agents to hold the list.
	readyWait = 60 * time.Second
	// atOnce is how many agents are started at a time.
	atOnce = 8
)

// Options say what runs. All up to Discovery have to be given.
type Options struct {
	World     *world.World
	Agents    []int      // those that are hollow, by their places in the world
	Discovery []string   // host and port, by agent of the world
	Relays    [][]string // host and port of each, by agent of the world; nil: none
	Begin     int64      // Unix ns before which no call begins at the root; 0: as soon as its agent has the list
	Known     []byte     // the list that the agents begin with, in discovery's form; nil: none
	Shards    int        // 0: by the machine's cores
	Log       *slog.Logger
	Clock     Clock // nil: the wall's

	// Text makes an agent's configuration; nil: World.Config.
	Text func(agent int, o world.ConfigOptions) []byte
}

// Fleet is hollow agents that run.
type Fleet struct {
	world     *world.World
	clock     Clock
	log       *slog.Logger
	text      func(agent int, o world.ConfigOptions) []byte
	discovery []string
	relays    [][]string // by agent of the world; nil: none
	rootsFrom time.Duration
	shards    []*shard
	servers   []*server // by place in the world
	agents    []*agent  // hollow ones, in their order
	byPlace   map[int]*agent
	byID      sync.Map // servers by the ids that lists have for them

	failing    atomic.Bool // the deepest service
	regionsCut atomic.Bool
	heard      atomic.Int64  // lives of agents that have heard a list
	someHeard  chan struct{} // holds one
	calls      callCounts

	ctx     context.Context
	stop    context.CancelFunc
	wait    sync.WaitGroup // lives and the source
	source  source
	measure measure
}

// callCounts are the calls that the agents' clients made since the measured part began.
type callCounts struct{ calls, failed, whole atomic.Int64 }

// Start starts the agents and waits until they all hold the list, for a minute at most; Stats tells how many do.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f, err := build(o)
	if err != nil {
		return nil, err
	}
	f.measure.base()
	for _, s := range f.shards {
		go s.run()
	}
	f.wait.Go(f.source.run)
	if err := f.each(f.agents, func(a *agent) error { return f.begin(a, o.Known) }); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	timeout := time.NewTimer(readyWait)
	defer timeout.Stop()
	for f.heard.Load() < int64(len(f.agents)) {
		select {
		case <-f.someHeard:
		case <-timeout.C:
			return f, nil
		case <-ctx.Done():
			return nil, errors.Join(ctx.Err(), f.Close())
		}
	}
	return f, nil
}

// build makes all that runs and starts nothing.
func build(o Options) (*Fleet, error) {
	w := o.World
	for _, place := range o.Agents {
		if place < 0 || place >= len(w.Agents) || place >= len(o.Discovery) {
			return nil, fmt.Errorf("hollow: agent %d of %d, with addresses for %d", place, len(w.Agents), len(o.Discovery))
		}
		if o.Relays != nil && place >= len(o.Relays) {
			return nil, fmt.Errorf("hollow: relays of agent %d: only %d agents have any", place, len(o.Relays))
		}
	}
	f := &Fleet{
		world: w, clock: o.Clock, log: o.Log, text: o.Text, discovery: o.Discovery, relays: o.Relays,
		rootsFrom: time.Duration(o.Begin), byPlace: map[int]*agent{}, someHeard: make(chan struct{}, 1),
	}
	if f.clock == nil {
		f.clock = wall{clock.Anchor()}
	}
	if f.log == nil {
		f.log = slog.New(slog.DiscardHandler)
	}
	if f.text == nil {
		f.text = w.Config
	}
	f.ctx, f.stop = context.WithCancel(context.Background())
	f.source = newSource(f)
	n := o.Shards
	if n <= 0 {
		n = min(max(runtime.GOMAXPROCS(0)/2, 1), mostShards)
	}
	for i := range n {
		f.shards = append(f.shards, newShard(f, i, n))
	}
	f.addServers()
	for _, place := range o.Agents {
		f.addAgent(place)
	}
	for i, s := range f.servers {
		s.agent = f.byPlace[w.AgentOf(i)]
	}
	return f, nil
}

// addServers makes the servers. One whose requests call on by the agent beside another is in that one's shard.
func (f *Fleet) addServers() {
	for i, s := range f.world.Servers {
		root := i
		if a := f.world.AgentOf(i); a >= 0 {
			root = f.world.Agents[a].Server
		}
		m := &server{
			shard: f.shards[root%len(f.shards)], place: i, service: s.Service, region: s.Region, zone: s.Zone,
			start: s.Start, slots: s.Slots, open: map[*job]struct{}{},
		}
		f.servers = append(f.servers, m)
		f.byID.Store(s.ID, m)
	}
}

func (f *Fleet) addAgent(place int) {
	of := f.world.Agents[place]
	a := &agent{shard: f.servers[of.Server].shard, place: place, server: f.servers[of.Server], roots: of.Roots}
	f.agents, f.byPlace[place] = append(f.agents, a), a
}

// at finds the modelled server behind a member of a list, in whatever generation its id is; nil if there is none.
func (f *Fleet) at(m discovery.Member) *server {
	if s, known := f.byID.Load(m.ID); known {
		return s.(*server)
	}
	i, known := f.world.Position(m.ID)
	if !known {
		return nil
	}
	f.byID.Store(m.ID, f.servers[i])
	return f.servers[i]
}

// readied notes that an agent holds the list.
func (f *Fleet) readied() {
	f.heard.Add(1)
	select {
	case f.someHeard <- struct{}{}:
	default:
	}
}

// delay is how long something takes from one server's place to another's.
func (f *Fleet) delay(from, to *server) time.Duration {
	fleet, ms := &f.world.Scenario.Fleet, 0.0
	switch {
	case from == to:
	case from.region != to.region:
		ms = fleet.RegionMS
	case from.zone != to.zone:
		ms = fleet.CrossMS
	default:
		ms = fleet.NetworkMS
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// phase says where a call counts that begins at the root now.
func (s *shard) phase() phase {
	switch {
	case s.counts.From == 0:
		return before
	case s.fleet.failing.Load():
		return failing
	}
	return peace
}

// each does something for agents, a few at a time.
func (f *Fleet) each(agents []*agent, do func(*agent) error) error {
	var wait sync.WaitGroup
	next, errs := make(chan *agent), make([]error, atOnce)
	for i := range errs {
		wait.Go(func() {
			for a := range next {
				errs[i] = errors.Join(errs[i], do(a))
			}
		})
	}
	for _, a := range agents {
		next <- a
	}
	close(next)
	wait.Wait()
	return errors.Join(errs...)
}

// Step plays one step of the world's events: on servers first, then on the agents that it starts again. It returns when
// these are up, not when they hold the list.
func (f *Fleet) Step(st world.Step) error {
	f.flags(st)
	if st.Silent {
		for _, a := range f.beside(st.Down) {
			f.halt(a)
		}
	}
	for _, i := range st.Down {
		s := f.servers[i]
		s.shard.do(func() { s.goDown(gone(st)) })
	}
	for _, i := range st.Up {
		s := f.servers[i]
		s.shard.do(func() { s.comeUp(st.Cold) })
	}
	return f.each(f.named(st.Restart), func(a *agent) error {
		if st.Forget {
			return f.begin(a, nil)
		}
		return f.begin(a, f.known(a))
	})
}

// flags plays what a step says of the whole fleet.
func (f *Fleet) flags(st world.Step) {
	if st.Fail != nil {
		f.failing.Store(*st.Fail)
	}
	if st.CutRegions != nil {
		f.regionsCut.Store(*st.CutRegions)
	}
}

// gone is what becomes of the servers that a step takes down.
func gone(st world.Step) state {
	if st.Silent {
		return silent
	}
	return dead
}

// beside returns the agents beside servers.
func (f *Fleet) beside(servers []int) (out []*agent) {
	if len(servers) == 0 {
		return nil
	}
	for _, a := range f.agents {
		if slices.Contains(servers, a.server.place) {
			out = append(out, a)
		}
	}
	return out
}

// named returns the hollow ones among agents.
func (f *Fleet) named(places []int) (out []*agent) {
	for _, i := range places {
		if a := f.byPlace[i]; a != nil {
			out = append(out, a)
		}
	}
	return out
}

// Close ends the agents and the model and returns when nothing of them runs any more.
func (f *Fleet) Close() error {
	f.stop()
	for _, a := range f.agents {
		f.halt(a)
	}
	f.wait.Wait()
	for _, s := range f.shards {
		s.soon(func() { s.stop = true })
		<-s.ended
	}
	return nil
}
