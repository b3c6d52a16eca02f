// Package simagent runs many simulated agents in one process. A simulated agent is the real thing but for the sockets
// towards its clients and servers: it has a discovery client with HTTP on loopback, parses its configurations, keeps the
// table of endpoints and decides by the balancer. Requests, counter servers and their applications are modelled.
//
// The model runs in shards, each an event loop on a goroutine and thread of its own, which alone touches its servers and
// the agents by which they call on. Other goroutines reach that state only through shard.doSync and shard.doAsync; an
// agent's process, which discovery clients and reloads share, is guarded by the agent's processMu.
//
// An event takes effect at its due time however late it is handled, so that a busy machine lengthens no modelled time; the
// delay is reported as the model's lag. What comes from discovery or the configuration source takes effect when it comes.
// The package never decides by itself what an agent does: that is the balancer's.
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
	// maxShards leaves cores to control and the other parts of a run.
	maxShards = 4
	// readyTimeout is how long Start waits for the agents to hold the endpoint list.
	readyTimeout = 60 * time.Second
	// startConcurrency is how many agents are started or restarted at once.
	startConcurrency = 8
)

// Options configure a Fleet. World, Agents and Discovery are required.
type Options struct {
	World           *world.World
	Agents          []int      // positions in the world of the simulated agents
	Discovery       []string   // host and port, by agent of the world
	Relays          [][]string // host and port of each, by agent of the world; nil: none
	RootCallsFrom   int64      // Unix ns before which no root call begins; 0: as soon as its agent has the list
	CachedEndpoints []byte     // the list that the agents start with, in discovery's form; nil: none
	Shards          int        // 0: by the machine's cores
	Log             *slog.Logger
	Clock           Clock // nil: the wall clock

	// ConfigText makes an agent's configuration; nil: World.Config.
	ConfigText func(agent int, o world.ConfigOptions) []byte
}

// validate reports agents for which the world or the options have no place.
func (o *Options) validate() error {
	for _, position := range o.Agents {
		if position < 0 || position >= len(o.World.Agents) || position >= len(o.Discovery) {
			return fmt.Errorf("simulated agents: agent %d of %d, with addresses for %d", position, len(o.World.Agents), len(o.Discovery))
		}
		if o.Relays != nil && position >= len(o.Relays) {
			return fmt.Errorf("simulated agents: relays of agent %d: only %d agents have any", position, len(o.Relays))
		}
	}
	return nil
}

// Fleet is a set of running simulated agents with the modelled servers of their world.
type Fleet struct {
	world            *world.World
	clock            Clock
	log              *slog.Logger
	configText       func(agent int, o world.ConfigOptions) []byte
	discoveryAddrs   []string
	relayAddrs       [][]string // by agent of the world; nil: none
	rootCallsFrom    time.Duration
	shards           []*shard
	servers          []*server // by position in the world
	agents           []*agent  // in the order of Options.Agents
	agentsByPosition map[int]*agent
	serversByID      sync.Map // string to *server, by the ids that lists have for them

	deepestFailing     atomic.Bool // the deepest service answers errors
	regionsPartitioned atomic.Bool
	syncedProcesses    atomic.Int64  // incarnations of agents that have got the list from discovery
	syncedSignal       chan struct{} // holds one
	polls              pollCounts

	ctx          context.Context
	stop         context.CancelFunc
	background   sync.WaitGroup // discovery clients, reloads and the configuration source
	configSource configSource
	measurement  measurement
}

// pollCounts counts the polls of the agents' discovery clients since the measured part began.
type pollCounts struct{ total, failed, fullLists atomic.Int64 }

// Start starts the agents and waits until all hold the endpoint list, for a minute at most; Stats reports how many do.
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

// Close ends the agents and the model and returns when none of their goroutines runs any more.
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

// newFleet makes all parts of a fleet and starts nothing.
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

// addServers makes the servers. One whose requests call on by the agent beside another server is in that one's shard.
func (f *Fleet) addServers() {
	for i, drawn := range f.world.Servers {
		home := i
		if a := f.world.CallingAgent(i); a >= 0 {
			home = f.world.Agents[a].Server
		}
		s := &server{
			shard: f.shards[home%len(f.shards)], position: i, service: drawn.Service, region: drawn.Region, zone: drawn.Zone,
			startedAt: drawn.Start, slots: drawn.Slots, inProgress: map[*attempt]struct{}{},
		}
		f.servers = append(f.servers, s)
		f.serversByID.Store(drawn.ID, s)
	}
}

func (f *Fleet) addAgent(position int) {
	drawn := f.world.Agents[position]
	beside := f.servers[drawn.Server]
	a := &agent{shard: beside.shard, position: position, server: beside, rootCallsPerSecond: drawn.RootCallsPerSecond}
	f.agents = append(f.agents, a)
	f.agentsByPosition[position] = a
}

// serverOf finds the modelled server behind a member of a list, whatever generation its id is of; nil if there is none.
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

// recordSynced counts an incarnation of an agent that has got the list from discovery.
func (f *Fleet) recordSynced() {
	f.syncedProcesses.Add(1)
	select {
	case f.syncedSignal <- struct{}{}:
	default:
	}
}
