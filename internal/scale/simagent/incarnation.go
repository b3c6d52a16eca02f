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

// unusedListenAddr is the address in the agents' configurations at which a real one would listen for clients.
const unusedListenAddr = "127.0.0.1:1"

// process is one incarnation of an agent: its discovery client, with a goroutine that stopClient waits for.
type process struct {
	incarnation uint32 // as the shard counts
	ctx         context.Context
	stop        context.CancelFunc
	targets     chan discovery.Target
	done        chan struct{}
	conns       connSet
}

// startAgent starts or restarts an agent with a cached endpoint list, in discovery's form; nil if it is to have none.
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

// newProcess starts an agent's new process in its shard and makes its discovery client. processMu is held.
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

// configOptions are what an agent's configuration of a revision says beside the settings.
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

// cachedEndpoints is the list that an agent holds, as the platform would write it into its configuration; nil if none.
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

// stopAgent ends an agent's process, if it has one.
func (f *Fleet) stopAgent(a *agent) {
	a.processMu.Lock()
	defer a.processMu.Unlock()
	if a.process != nil {
		a.stopClient()
		a.shard.doSync(a.stopProcess)
	}
}

// stopClient ends the agent's discovery client and closes its connections. processMu is held.
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

// onWatchEvent hands an event of a discovery client to the agent's shard without waiting for it, as a real client does.
func (f *Fleet) onWatchEvent(a *agent, p *process, ev discovery.WatchEvent) {
	if ev.Update == balancer.EndpointsReplaced {
		f.polls.fullLists.Add(1)
	}
	a.shard.doAsync(func() { a.onWatchEvent(p.incarnation, ev) })
}

// countPoll counts a poll of a discovery client. One that the agent cancelled, to restart or to migrate, has not failed.
func (f *Fleet) countPoll(result discovery.PollResult) {
	f.polls.total.Add(1)
	if result.Err != nil && !errors.Is(result.Err, context.Canceled) {
		f.polls.failed.Add(1)
	}
}

// reloadAgent has an agent reload its configuration in the order of a real one: first its settings, then where discovery
// is. A revision that comes after a newer one has been in force since that.
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
