package simagent

import (
	"context"
	"errors"
	"fmt"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/config"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/lists"
	"example.org/ryeloft/internal/scale/world"
)

// unusedListenAddr is the listen address in the agents' configurations. Simulated agents do not listen for clients.
const unusedListenAddr = "127.0.0.1:1"

// process is one incarnation of an agent. It runs the discovery client on a goroutine that stopClient waits for.
type process struct {
	incarnation uint32 // the agent's incarnation, set by its shard
	ctx         context.Context
	stop        context.CancelFunc
	targets     chan discovery.Target
	done        chan struct{}
	conns       connSet
}

// startAgent starts or restarts an agent with a cached endpoint list in discovery's format, or without one if cached is
// nil.
func (f *Fleet) startAgent(a *agent, cached []byte) error {
	a.processMu.Lock()
	defer a.processMu.Unlock()
	a.stopClient()
	if f.ctx.Err() != nil {
		return nil
	}
	options := f.configOptions(a, f.configSource.newest())
	options.CachedEndpoints = cached
	cfg, err := config.Parse(f.configSource.render(a.position, options))
	if err != nil {
		return fmt.Errorf("starting simulated agent %d: %w", a.position, err)
	}
	lb, err := balancer.New(cfg.Settings.Balancer, cfg.Seed)
	if err != nil {
		return fmt.Errorf("starting simulated agent %d: %w", a.position, err)
	}
	p, client := f.newProcess(a, cfg, lb)
	a.config = cfg
	a.process = p
	if options.Revision > a.configRevision {
		a.configRevision = options.Revision
		f.configSource.recordInForce(a, a.configRevision)
	}
	f.background.Go(func() {
		defer close(p.done)
		client.Run(p.ctx, p.targets)
	})
	return nil
}

// newProcess starts a new process of an agent in its shard and creates the discovery client. The caller holds
// a.processMu.
func (f *Fleet) newProcess(a *agent, cfg *config.Config, lb *balancer.Balancer) (*process, *discovery.Client) {
	p := &process{targets: make(chan discovery.Target), done: make(chan struct{})}
	p.ctx, p.stop = context.WithCancel(f.ctx)
	client := discovery.New(discovery.Options{
		Addr: cfg.Discovery, Settings: a.settings.Load, Notify: func(ev discovery.WatchEvent) { f.onWatchEvent(a, p, ev) },
		OnPoll: f.countPoll, Log: f.log, Dial: p.conns.dial, Name: cfg.Name, Relays: cfg.Relays,
	})
	client.StartFrom(cfg.CachedEndpoints)
	a.shard.doSync(func() {
		a.startProcess(cfg, lb, client.Poll)
		p.incarnation = a.incarnation
		a.onWatchEvent(p.incarnation, discovery.WatchEvent{Update: balancer.EndpointsCached, Members: cfg.CachedEndpoints.Members})
	})
	return p, client
}

// configOptions returns the options of an agent's configuration at a revision, that is, its content besides the
// settings.
func (f *Fleet) configOptions(a *agent, revision int) world.ConfigOptions {
	o := world.ConfigOptions{
		Listen: unusedListenAddr, Discovery: f.discoveryAddrs[a.position], Revision: revision,
		Seed: f.world.Scenario.Seed + uint64(a.position),
	}
	if f.relayAddrs != nil {
		o.Relays = f.relayAddrs[a.position]
	}
	return o
}

// cachedEndpoints returns an agent's endpoint list as the platform would write it into the configuration, or nil if the
// agent has none.
func (f *Fleet) cachedEndpoints(a *agent) (text []byte) {
	var members []discovery.Member
	var revision uint64
	a.shard.doSync(func() {
		if a.endpoints != nil {
			members = a.endpoints.Members()
			revision = a.revision
		}
	})
	if len(members) == 0 {
		return nil
	}
	f.configSource.cpu.measure(func() {
		text = lists.Encode(revision, true, members)
	})
	return text
}

// stopAgent stops an agent's process, if it has one.
func (f *Fleet) stopAgent(a *agent) {
	a.processMu.Lock()
	defer a.processMu.Unlock()
	if a.process != nil {
		a.stopClient()
		a.shard.doSync(a.stopProcess)
	}
}

// stopClient stops the agent's discovery client and closes its connections. The caller holds a.processMu.
func (a *agent) stopClient() {
	p := a.process
	if p == nil {
		return
	}
	p.stop()
	<-p.done
	p.conns.close()
	a.process = nil
}

// onWatchEvent passes an event of a discovery client to the agent's shard without waiting, as a real agent does.
func (f *Fleet) onWatchEvent(a *agent, p *process, ev discovery.WatchEvent) {
	if ev.Update == balancer.EndpointsReplaced {
		f.polls.fullLists.Add(1)
	}
	a.shard.doAsync(func() { a.onWatchEvent(p.incarnation, ev) })
}

// countPoll counts a poll of a discovery client. A poll that the agent cancelled, because of a restart or a new
// discovery address, does not count as failed.
func (f *Fleet) countPoll(result discovery.PollResult) {
	f.polls.total.Add(1)
	if result.Err != nil && !errors.Is(result.Err, context.Canceled) {
		f.polls.failed.Add(1)
	}
}

// reloadAgent reloads an agent's configuration in the order of a real agent: first the settings, then the discovery
// address. A revision that arrives after a newer one is not applied and is recorded as in force.
func (f *Fleet) reloadAgent(a *agent, revision int, text []byte) {
	a.processMu.Lock()
	defer a.processMu.Unlock()
	if a.process == nil {
		return
	}
	if revision <= a.configRevision {
		f.configSource.recordInForce(a, revision)
		return
	}
	next, err := config.ParseReload(text, a.config)
	if err == nil {
		a.shard.doSync(func() { err = a.adoptSettings(&next.Settings) })
	}
	if err != nil {
		f.configSource.recordRejected(revision)
		f.log.Error("configuration reload rejected", "agent", a.position, "revision", revision, "error", err)
		return
	}
	a.config = next
	a.configRevision = revision
	f.configSource.recordInForce(a, revision)
	select {
	case a.process.targets <- discovery.Target{Addr: next.Discovery, Relays: next.Relays}:
	case <-a.process.ctx.Done():
	}
}
