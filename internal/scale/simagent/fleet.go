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
	// maxShards is how many threads run the model; the rest of the machine is for control and the other parts.
	maxShards = 4
	// readyTimeout is how long Start waits for the agents to hold the list.
	readyTimeout = 60 * time.Second
	// startConcurrency is how many agents are started at a time.
	startConcurrency = 8
)

// Options say what runs. All up to Discovery have to be given.
type Options struct {
	World           *world.World
	Agents          []int      // those that are hollow, by their places in the world
	Discovery       []string   // host and port, by agent of the world
	Relays          [][]string // host and port of each, by agent of the world; nil: none
	RootCallsFrom   int64      // Unix ns before which no call begins at the root; 0: as soon as its agent has the list
	CachedEndpoints []byte     // the list that the agents begin with, in discovery's form; nil: none
	Shards          int        // 0: by the machine's cores
	Log             *slog.Logger
	Clock           Clock // nil: the wall's

	// ConfigText makes an agent's configuration; nil: World.Config.
	ConfigText func(agent int, o world.ConfigOptions) []byte
}

// Fleet is hollow agents that run.
type Fleet struct {
	world            *world.World
	clock            Clock
	log              *slog.Logger
	configText       func(agent int, o world.ConfigOptions) []byte
	discoveryAddrs   []string
	relayAddrs       [][]string // by agent of the world; nil: none
	rootCallsFrom    time.Duration
	shards           []*shard
	servers          []*server // by place in the world
	agents           []*agent  // hollow ones, in their order
	agentsByPosition map[int]*agent
	serversByID      sync.Map // servers by the ids that lists have for them

	deepestFailing     atomic.Bool // the deepest service
	regionsPartitioned atomic.Bool
	syncedProcesses    atomic.Int64  // lives of agents that have heard a list
	syncedSignal       chan struct{} // holds one
	polls              pollCounts

	ctx          context.Context
	stop         context.CancelFunc
	background   sync.WaitGroup // lives and the source
	configSource configSource
	measurement  measurement
}

// pollCounts are the calls that the agents' clients made since the measured part began.
type pollCounts struct{ total, failed, fullLists atomic.Int64 }

// Start starts the agents and waits until they all hold the list, for a minute at most; Stats tells how many do.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f, err := newFleet(o)
	if err != nil {
		return nil, err
	}
	f.measurement.recordBaseline()
	for _, s := range f.shards {
		go s.run()
	}
	f.background.Go(f.configSource.run)
	if err := f.forEachAgent(f.agents, func(a *agent) error { return f.startAgent(a, o.CachedEndpoints) }); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	timeout := time.NewTimer(readyTimeout)
	defer timeout.Stop()
	for f.syncedProcesses.Load() < int64(len(f.agents)) {
		select {
		case <-f.syncedSignal:
		case <-timeout.C:
			return f, nil
		case <-ctx.Done():
			return nil, errors.Join(ctx.Err(), f.Close())
		}
	}
	return f, nil
}

// newFleet makes all that runs and starts nothing.
func newFleet(o Options) (*Fleet, error) {
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
		world: w, clock: o.Clock, log: o.Log, configText: o.ConfigText, discoveryAddrs: o.Discovery, relayAddrs: o.Relays,
		rootCallsFrom: time.Duration(o.RootCallsFrom), agentsByPosition: map[int]*agent{}, syncedSignal: make(chan struct{}, 1),
	}
	if f.clock == nil {
		f.clock = wallClock{clock.Anchor()}
	}
	if f.log == nil {
		f.log = slog.New(slog.DiscardHandler)
	}
	if f.configText == nil {
		f.configText = w.Config
	}
	f.ctx, f.stop = context.WithCancel(context.Background())
	f.configSource = newConfigSource(f)
	n := o.Shards
	if n <= 0 {
		n = min(max(runtime.GOMAXPROCS(0)/2, 1), maxShards)
	}
	for i := range n {
		f.shards = append(f.shards, newShard(f, i, n))
	}
	f.addServers()
	for _, place := range o.Agents {
		f.addAgent(place)
	}
	for i, s := range f.servers {
		s.agent = f.agentsByPosition[w.CallingAgent(i)]
	}
	return f, nil
}

// addServers makes the servers. One whose requests call on by the agent beside another is in that one's shard.
func (f *Fleet) addServers() {
	for i, s := range f.world.Servers {
		root := i
		if a := f.world.CallingAgent(i); a >= 0 {
			root = f.world.Agents[a].Server
		}
		m := &server{
			shard: f.shards[root%len(f.shards)], position: i, service: s.Service, region: s.Region, zone: s.Zone,
			startedAt: s.Start, slots: s.Slots, inProgress: map[*attempt]struct{}{},
		}
		f.servers = append(f.servers, m)
		f.serversByID.Store(s.ID, m)
	}
}

func (f *Fleet) addAgent(place int) {
	of := f.world.Agents[place]
	a := &agent{shard: f.servers[of.Server].shard, position: place, server: f.servers[of.Server], rootCallsPerSecond: of.RootCallsPerSecond}
	f.agents, f.agentsByPosition[place] = append(f.agents, a), a
}

// serverOf finds the modelled server behind a member of a list, in whatever generation its id is; nil if there is none.
func (f *Fleet) serverOf(m discovery.Member) *server {
	if s, known := f.serversByID.Load(m.ID); known {
		return s.(*server)
	}
	i, known := f.world.ServerPosition(m.ID)
	if !known {
		return nil
	}
	f.serversByID.Store(m.ID, f.servers[i])
	return f.servers[i]
}

// noteSynced notes that an agent holds the list.
func (f *Fleet) noteSynced() {
	f.syncedProcesses.Add(1)
	select {
	case f.syncedSignal <- struct{}{}:
	default:
	}
}

// networkDelay is how long something takes from one server's place to another's.
func (f *Fleet) networkDelay(from, to *server) time.Duration {
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
	case s.counts.startedAt == 0:
		return phaseBefore
	case s.fleet.deepestFailing.Load():
		return phaseFailing
	}
	return phaseHealthy
}

// forEachAgent does something for agents, a few at a time.
func (f *Fleet) forEachAgent(agents []*agent, do func(*agent) error) error {
	var wait sync.WaitGroup
	next, errs := make(chan *agent), make([]error, startConcurrency)
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
	f.applyFlags(st)
	if st.Silent {
		for _, a := range f.agentsBeside(st.Down) {
			f.stopAgent(a)
		}
	}
	for _, i := range st.Down {
		s := f.servers[i]
		s.shard.doSync(func() { s.takeDown(downState(st)) })
	}
	for _, i := range st.Up {
		s := f.servers[i]
		s.shard.doSync(func() { s.restart(st.Cold) })
	}
	return f.forEachAgent(f.agentsAt(st.Restart), func(a *agent) error {
		if st.Forget {
			return f.startAgent(a, nil)
		}
		return f.startAgent(a, f.cachedEndpoints(a))
	})
}

// applyFlags plays what a step says of the whole fleet.
func (f *Fleet) applyFlags(st world.Step) {
	if st.Fail != nil {
		f.deepestFailing.Store(*st.Fail)
	}
	if st.CutRegions != nil {
		f.regionsPartitioned.Store(*st.CutRegions)
	}
}

// downState is what becomes of the servers that a step takes down.
func downState(st world.Step) serverState {
	if st.Silent {
		return serverUnreachable
	}
	return serverCrashed
}

// agentsBeside returns the agents beside servers.
func (f *Fleet) agentsBeside(servers []int) (out []*agent) {
	if len(servers) == 0 {
		return nil
	}
	for _, a := range f.agents {
		if slices.Contains(servers, a.server.position) {
			out = append(out, a)
		}
	}
	return out
}

// agentsAt returns the hollow ones among agents.
func (f *Fleet) agentsAt(places []int) (out []*agent) {
	for _, i := range places {
		if a := f.agentsByPosition[i]; a != nil {
			out = append(out, a)
		}
	}
	return out
}

// Close ends the agents and the model and returns when nothing of them runs any more.
func (f *Fleet) Close() error {
	f.stop()
	for _, a := range f.agents {
		f.stopAgent(a)
	}
	f.background.Wait()
	for _, s := range f.shards {
		s.doAsync(func() { s.stopped = true })
		<-s.done
	}
	return nil
}
