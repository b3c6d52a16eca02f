// Package simagent runs many simulated agents in one process. A simulated agent runs the code of a real agent except
// for the sockets to its clients and servers: it has a discovery client that uses HTTP on loopback, parses
// configurations, maintains the endpoint table and runs the balancer. Requests, counter servers and their applications
// are modelled.
//
// The model is divided into shards. Each shard is an event loop on its own goroutine and thread, and only that
// goroutine accesses the shard's servers and the agents that make their calls. Other goroutines access that state only
// through shard.doSync and shard.doAsync. An agent's process is shared by discovery clients and reloads and guarded by
// the agent's processMu.
//
// An event takes effect at its due time even if it is handled later, so a busy machine does not lengthen modelled
// times. The delay is reported as the model's lag. Input from discovery and the configuration source takes effect on
// arrival. All decisions of an agent are made by the balancer, none by this package.
package simagent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ryeloft/internal/clock"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/scale/parallel"
	"example.org/ryeloft/internal/scale/world"
)

const (
	// maxShards leaves cores for the discovery service and the other processes of a run.
	maxShards = 4
	// readyTimeout is how long Start waits for the agents to receive the endpoint list.
	readyTimeout = 60 * time.Second
	// startConcurrency is the number of agents that are started or restarted concurrently.
	startConcurrency = 8
)

// Options configure a Fleet. World, Agents and Discovery are required.
type Options struct {
	World           *world.World
	Agents          []int      // the simulated agents, as indexes into the world's agents
	Discovery       []string   // host and port, indexed by agent of the world
	Relays          [][]string // host and port of each relay, indexed by agent of the world; nil: none
	RootCallsFrom   int64      // Unix ns before which no root call begins; 0: as soon as the agent has the list
	CachedEndpoints []byte     // the list that the agents start with, in discovery's format; nil: none
	Shards          int        // 0: chosen by the number of cores
	Log             *slog.Logger
	Clock           Clock // nil: the wall clock

	// ConfigText returns the text of an agent's configuration; nil: World.Config.
	ConfigText func(agent int, o world.ConfigOptions) []byte
}

// validate returns an error for an agent that the world does not contain or that has no addresses in the options.
func (o *Options) validate() error {
	for _, position := range o.Agents {
		if position < 0 || position >= len(o.World.Agents) || position >= len(o.Discovery) {
			return fmt.Errorf("simulated agents: agent %d is out of range: the world has %d agents and Discovery has %d addresses",
				position, len(o.World.Agents), len(o.Discovery))
		}
		if o.Relays != nil && position >= len(o.Relays) {
			return fmt.Errorf("simulated agents: no relays for agent %d: Relays has %d entries", position, len(o.Relays))
		}
	}
	return nil
}

// Fleet is a set of running simulated agents and the modelled servers of their world.
type Fleet struct {
	world            *world.World
	clock            Clock
	log              *slog.Logger
	configText       func(agent int, o world.ConfigOptions) []byte
	discoveryAddrs   []string
	relayAddrs       [][]string // indexed by agent of the world; nil: none
	rootCallsFrom    time.Duration
	shards           []*shard
	servers          []*server // indexed by position in the world
	agents           []*agent  // in the order of Options.Agents
	agentsByPosition map[int]*agent
	serversByID      sync.Map // string to *server, keyed by id in the endpoint list

	deepestFailing     atomic.Bool // the deepest service responds with errors
	regionsPartitioned atomic.Bool
	syncedProcesses    atomic.Int64  // incarnations of agents that have received the list from discovery
	syncedSignal       chan struct{} // capacity 1
	polls              pollCounts

	ctx          context.Context
	stop         context.CancelFunc
	background   sync.WaitGroup // discovery clients, reloads and the configuration source
	configSource configSource
	measurement  measurement
}

// pollCounts counts the polls of the agents' discovery clients since the measurement period began.
type pollCounts struct{ total, failed, fullLists atomic.Int64 }

// Start starts the agents and waits up to a minute until all have the endpoint list. Stats reports how many have it.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f, err := newFleet(o)
	if err != nil {
		return nil, err
	}
	f.measurement.recordBaseline()
	for _, s := range f.shards {
		go s.run() // Close waits for it
	}
	f.background.Go(f.configSource.run)
	start := func(a *agent) error { return f.startAgent(a, o.CachedEndpoints) }
	if err := parallel.ForEach(f.agents, startConcurrency, start); err != nil {
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

// Close stops the agents and the model and waits for all their goroutines to end.
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

// newFleet creates a fleet without starting anything.
func newFleet(o Options) (*Fleet, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	f := &Fleet{
		world: o.World, clock: o.Clock, log: o.Log, configText: o.ConfigText, discoveryAddrs: o.Discovery, relayAddrs: o.Relays,
		rootCallsFrom: time.Duration(o.RootCallsFrom), agentsByPosition: map[int]*agent{}, syncedSignal: make(chan struct{}, 1),
	}
	if f.clock == nil {
		f.clock = wallClock{clock.Anchor()}
	}
	if f.log == nil {
		f.log = slog.New(slog.DiscardHandler)
	}
	if f.configText == nil {
		f.configText = o.World.Config
	}
	f.ctx, f.stop = context.WithCancel(context.Background())
	f.configSource = newConfigSource(f)
	shards := o.Shards
	if shards <= 0 {
		shards = min(max(runtime.GOMAXPROCS(0)/2, 1), maxShards)
	}
	for i := range shards {
		f.shards = append(f.shards, newShard(f, i, shards))
	}
	f.addServers()
	for _, position := range o.Agents {
		f.addAgent(position)
	}
	for i, s := range f.servers {
		s.agent = f.agentsByPosition[f.world.CallingAgent(i)]
	}
	return f, nil
}

// addServers creates the servers. A server whose calls are made by the agent colocated with another server is in that
// server's shard.
func (f *Fleet) addServers() {
	for i, spec := range f.world.Servers {
		colocated := i
		if a := f.world.CallingAgent(i); a >= 0 {
			colocated = f.world.Agents[a].Server
		}
		s := &server{
			shard: f.shards[colocated%len(f.shards)], position: i, service: spec.Service, region: spec.Region, zone: spec.Zone,
			startedAt: spec.Start, slots: spec.Slots, inProgress: map[*attempt]struct{}{},
		}
		f.servers = append(f.servers, s)
		f.serversByID.Store(spec.ID, s)
	}
}

func (f *Fleet) addAgent(position int) {
	spec := f.world.Agents[position]
	s := f.servers[spec.Server]
	a := &agent{shard: s.shard, position: position, server: s, rootCallsPerSecond: spec.RootCallsPerSecond}
	f.agents = append(f.agents, a)
	f.agentsByPosition[position] = a
}

// serverOf returns the modelled server behind a list member, also for the ids of its replacements, or nil if there is
// none.
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

// recordSynced counts an incarnation of an agent that has received the list from discovery.
func (f *Fleet) recordSynced() {
	f.syncedProcesses.Add(1)
	select {
	case f.syncedSignal <- struct{}{}:
	default:
	}
}
