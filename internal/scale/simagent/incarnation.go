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

// life is one process of an agent: its client of discovery.
type life struct {
	number uint32 // as the shard counts
	ctx    context.Context
	stop   context.CancelFunc
	moves  chan discovery.Target
	ended  chan struct{}
	conns  conns
}

// begin starts an agent, or starts it again, with the list that it is known to have held, as the platform would hand it;
// nil if it is to forget that.
func (f *Fleet) begin(a *agent, known []byte) error {
	a.process.Lock()
	defer a.process.Unlock()
	a.disconnect()
	if f.ctx.Err() != nil {
		return nil
	}
	o := f.options(a, f.source.newest())
	o.Known = known
	cfg, err := config.Parse(f.source.make(a.place, o))
	if err != nil {
		return fmt.Errorf("hollow agent %d: %w", a.place, err)
	}
	decisions, err := balancer.New(cfg.Settings.Balancer, cfg.Seed)
	if err != nil {
		return fmt.Errorf("hollow agent %d: %w", a.place, err)
	}
	l := &life{moves: make(chan discovery.Target), ended: make(chan struct{})}
	l.ctx, l.stop = context.WithCancel(f.ctx)
	client := discovery.New(discovery.Options{
		Addr: cfg.Discovery, Settings: a.set.Load, Notify: func(n discovery.WatchEvent) { f.tell(a, l, n) }, OnPoll: f.count,
		Log: f.log, Dial: l.conns.dial, Name: cfg.Name, Relays: cfg.Relays,
	})
	client.StartFrom(cfg.CachedEndpoints)
	a.shard.do(func() {
		a.begin(cfg, decisions, client.Poll)
		l.number = a.life
		a.told(l.number, discovery.WatchEvent{Update: balancer.EndpointsCached, Members: cfg.CachedEndpoints.Members})
	})
	a.cfg, a.running = cfg, l
	if o.Revision > a.conf {
		a.conf = o.Revision
		f.source.inForce(a, a.conf)
	}
	f.wait.Go(func() {
		defer close(l.ended)
		client.Run(l.ctx, l.moves)
	})
	return nil
}

// options are what an agent's configuration says of a revision.
func (f *Fleet) options(a *agent, revision int) world.ConfigOptions {
	o := world.ConfigOptions{
		Listen: listenNowhere, Discovery: f.discovery[a.place], Revision: revision, Seed: f.world.Scenario.Seed + uint64(a.place),
	}
	if f.relays != nil {
		o.Relays = f.relays[a.place]
	}
	return o
}

// known is the list that an agent holds, as the platform would write it into its configuration; nil if it holds none.
func (f *Fleet) known(a *agent) (text []byte) {
	var members []discovery.Member
	var revision uint64
	a.shard.do(func() {
		if a.servers != nil {
			members, revision = a.servers.Members(), a.revision
		}
	})
	if len(members) == 0 {
		return nil
	}
	f.source.cpu.do(func() {
		text = lists.Encode(revision, true, members)
	})
	return text
}

// halt ends an agent's process, if it has one.
func (f *Fleet) halt(a *agent) {
	a.process.Lock()
	defer a.process.Unlock()
	if a.running != nil {
		a.disconnect()
		a.shard.do(a.end)
	}
}

// disconnect ends the agent's client and closes its connections.
func (a *agent) disconnect() {
	l := a.running
	if l == nil {
		return
	}
	l.stop()
	<-l.ended
	l.conns.close()
	a.running = nil
}

// tell hands news to the agent's shard. It does not wait until they are handled, as a real agent's client does not.
func (f *Fleet) tell(a *agent, l *life, n discovery.WatchEvent) {
	if n.Update == balancer.EndpointsReplaced {
		f.calls.whole.Add(1)
	}
	a.shard.soon(func() { a.told(l.number, n) })
}

// count counts a call of a client. One that the agent itself ended, to start again or to call another service, has not
// failed.
func (f *Fleet) count(c discovery.PollResult) {
	f.calls.calls.Add(1)
	if c.Err != nil && !errors.Is(c.Err, context.Canceled) {
		f.calls.failed.Add(1)
	}
}

// reload has an agent take a configuration in as its file read again, and puts it in force as the real agent does: its
// settings first and then where the list is to be had. One that comes after a newer one has been in force since that.
func (f *Fleet) reload(a *agent, revision int, text []byte) {
	a.process.Lock()
	defer a.process.Unlock()
	switch {
	case a.running == nil:
		return
	case revision <= a.conf:
		f.source.inForce(a, revision)
		return
	}
	next, err := config.ParseReload(text, a.cfg)
	if err == nil {
		a.shard.do(func() { err = a.adopt(&next.Settings) })
	}
	if err != nil {
		f.source.reject(revision)
		f.log.Error("not reloaded, the old configuration stays", "agent", a.place, "error", err)
		return
	}
	a.cfg, a.conf = next, revision
	f.source.inForce(a, revision)
	select {
	case a.running.moves <- discovery.Target{Addr: next.Discovery, Relays: next.Relays}:
	case <-a.running.ctx.Done():
	}
}

// conns are the connections of one client, which end with its process.
type conns struct {
	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

// conn is a connection that its owner forgets when it is closed.
type conn struct {
	net.Conn
	of *conns
}

func (c *conn) Close() error {
	c.of.mu.Lock()
	delete(c.of.open, c)
	c.of.mu.Unlock()
	return c.Conn.Close()
}

func (s *conns) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	plain, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &conn{plain, s}
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

func (s *conns) close() {
	s.mu.Lock()
	open := s.open
	s.open, s.closed = nil, true
	s.mu.Unlock()
	for c := range open {
		c.Close()
	}
}

// otherCPU is processor time of other goroutines than the shards' that is not control's.
type otherCPU struct{ spent atomic.Int64 }

// do runs something and counts its processor time.
func (o *otherCPU) do(work func()) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	begun := cpuTime(threadClock)
	work()
	o.spent.Add(int64(cpuTime(threadClock) - begun))
}
