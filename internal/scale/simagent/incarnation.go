package simagent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/config"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/lists"
	"example.org/ryeloft/internal/scale/world"
)

// dialTimeout is the one that the client has where it dials by itself.
const dialTimeout = time.Second

// listenNowhere is the address in the agents' configurations at which a real one would listen for clients.
const listenNowhere = "127.0.0.1:1"

// process is one process of an agent: its client of discovery.
type process struct {
	incarnation uint32 // as the shard counts
	ctx         context.Context
	stop        context.CancelFunc
	targets     chan discovery.Target
	done        chan struct{}
	conns       connSet
}

// startAgent starts an agent, or starts it again, with the list that it is known to have held, as the platform would hand it;
// nil if it is to forget that.
func (f *Fleet) startAgent(a *agent, known []byte) error {
	a.processMu.Lock()
	defer a.processMu.Unlock()
	a.stopClient()
	if f.ctx.Err() != nil {
		return nil
	}
	o := f.configOptions(a, f.configSource.newest())
	o.CachedEndpoints = known
	cfg, err := config.Parse(f.configSource.render(a.position, o))
	if err != nil {
		return fmt.Errorf("hollow agent %d: %w", a.position, err)
	}
	decisions, err := balancer.New(cfg.Settings.Balancer, cfg.Seed)
	if err != nil {
		return fmt.Errorf("hollow agent %d: %w", a.position, err)
	}
	l := &process{targets: make(chan discovery.Target), done: make(chan struct{})}
	l.ctx, l.stop = context.WithCancel(f.ctx)
	client := discovery.New(discovery.Options{
		Addr: cfg.Discovery, Settings: a.settings.Load, Notify: func(n discovery.WatchEvent) { f.onWatchEvent(a, l, n) }, OnPoll: f.countPoll,
		Log: f.log, Dial: l.conns.dial, Name: cfg.Name, Relays: cfg.Relays,
	})
	client.StartFrom(cfg.CachedEndpoints)
	a.shard.doSync(func() {
		a.startProcess(cfg, decisions, client.Poll)
		l.incarnation = a.incarnation
		a.onWatchEvent(l.incarnation, discovery.WatchEvent{Update: balancer.EndpointsCached, Members: cfg.CachedEndpoints.Members})
	})
	a.cfg, a.process = cfg, l
	if o.Revision > a.configRevision {
		a.configRevision = o.Revision
		f.configSource.recordInForce(a, a.configRevision)
	}
	f.background.Go(func() {
		defer close(l.done)
		client.Run(l.ctx, l.targets)
	})
	return nil
}

// configOptions are what an agent's configuration says of a revision.
func (f *Fleet) configOptions(a *agent, revision int) world.ConfigOptions {
	o := world.ConfigOptions{
		Listen: listenNowhere, Discovery: f.discoveryAddrs[a.position], Revision: revision, Seed: f.world.Scenario.Seed + uint64(a.position),
	}
	if f.relayAddrs != nil {
		o.Relays = f.relayAddrs[a.position]
	}
	return o
}

// cachedEndpoints is the list that an agent holds, as the platform would write it into its configuration; nil if it holds none.
func (f *Fleet) cachedEndpoints(a *agent) (text []byte) {
	var members []discovery.Member
	var revision uint64
	a.shard.doSync(func() {
		if a.endpoints != nil {
			members, revision = a.endpoints.Members(), a.revision
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

// stopClient ends the agent's client and closes its connections.
func (a *agent) stopClient() {
	l := a.process
	if l == nil {
		return
	}
	l.stop()
	<-l.done
	l.conns.close()
	a.process = nil
}

// onWatchEvent hands news to the agent's shard. It does not wait until they are handled, as a real agent's client does not.
func (f *Fleet) onWatchEvent(a *agent, l *process, n discovery.WatchEvent) {
	if n.Update == balancer.EndpointsReplaced {
		f.polls.fullLists.Add(1)
	}
	a.shard.doAsync(func() { a.onWatchEvent(l.incarnation, n) })
}

// countPoll counts a call of a client. One that the agent itself ended, to start again or to call another service, has not
// failed.
func (f *Fleet) countPoll(c discovery.PollResult) {
	f.polls.total.Add(1)
	if c.Err != nil && !errors.Is(c.Err, context.Canceled) {
		f.polls.failed.Add(1)
	}
}

// reloadAgent has an agent take a configuration in as its file read again, and puts it in force as the real agent does: its
// settings first and then where the list is to be had. One that comes after a newer one has been in force since that.
func (f *Fleet) reloadAgent(a *agent, revision int, text []byte) {
	a.processMu.Lock()
	defer a.processMu.Unlock()
	switch {
	case a.process == nil:
		return
	case revision <= a.configRevision:
		f.configSource.recordInForce(a, revision)
		return
	}
	next, err := config.ParseReload(text, a.cfg)
	if err == nil {
		a.shard.doSync(func() { err = a.adoptSettings(&next.Settings) })
	}
	if err != nil {
		f.configSource.recordRejected(revision)
		f.log.Error("not reloaded, the old configuration stays", "agent", a.position, "error", err)
		return
	}
	a.cfg, a.configRevision = next, revision
	f.configSource.recordInForce(a, revision)
	select {
	case a.process.targets <- discovery.Target{Addr: next.Discovery, Relays: next.Relays}:
	case <-a.process.ctx.Done():
	}
}

// connSet are the connections of one client, which end with its process.
type connSet struct {
	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

// trackedConn is a connection that its owner forgets when it is closed.
type trackedConn struct {
	net.Conn
	owner *connSet
}

func (c *trackedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

func (s *connSet) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	plain, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &trackedConn{plain, s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		plain.Close()
		return nil, net.ErrClosed
	}
	if s.open == nil {
		s.open = map[net.Conn]struct{}{}
	}
	s.open[c] = struct{}{}
	return c, nil
}

func (s *connSet) close() {
	s.mu.Lock()
	open := s.open
	s.open, s.closed = nil, true
	s.mu.Unlock()
	for c := range open {
		c.Close()
	}
}

// cpuCounter is processor time of other goroutines than the shards' that is not control's.
type cpuCounter struct{ spent atomic.Int64 }

// measure runs something and counts its processor time.
func (o *cpuCounter) measure(work func()) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	begun := cpuTime(threadCPUClock)
	work()
	o.spent.Add(int64(cpuTime(threadCPUClock) - begun))
}
