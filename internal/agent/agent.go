// Package agent wires the parts of the agent: clients' connections (inbound), the event loop (dispatch), connections to
// servers (upstream), discovery, the console (admin) and the handover between processes. It starts them, puts reloaded
// configurations in force and shuts them down. The parts own all other state.
package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"example.org/ryeloft/internal/admin"
	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/config"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/dispatch"
	"example.org/ryeloft/internal/handover"
	"example.org/ryeloft/internal/inbound"
	"example.org/ryeloft/internal/metrics"
	"example.org/ryeloft/internal/stream"
	"example.org/ryeloft/internal/upstream"
)

// maxFirstRound bounds the wait for the first calls of discovery. An agent has to be ready in 6 s whatever becomes of them, and
// one that replaces another process waits for endpoints besides.
const maxFirstRoundWait = 4 * time.Second

// Run serves until the context ends, then finishes its open requests and returns nil. Of a reloaded configuration it applies
// the settings and the addresses of discovery and its relays.
func Run(ctx context.Context, cfg *config.Config, reloads <-chan config.ReloadResult, log *slog.Logger) error {
	return run(ctx, cfg, reloads, log, func() (*net.TCPListener, error) {
		return listen(ctx, cfg.Listen, cfg.AdminAddr != "")
	})
}

// run does so with the listener that listening opens once the agent is ready for clients.
func run(ctx context.Context, cfg *config.Config, reloads <-chan config.ReloadResult, log *slog.Logger, openListener func() (*net.TCPListener, error)) error {
	// The parts outlive the context, because open requests are finished.
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	a, err := newAgent(workCtx, cfg, log)
	if err != nil {
		return err
	}
	if cfg.AdminAddr != "" {
		console, err := admin.Listen(ctx, cfg.AdminAddr, a.commands())
		if err != nil {
			return err
		}
		defer console.Close()
		go console.Serve() // ends when the console closes
		a.peers = handover.Join(handover.SocketPath(cfg.Name), a.quotas, a.loop.RequestIDs(), log)
		defer a.peers.Close()
		// When the handover closes, the peers assume that this process holds no connection any more.
		defer a.pool.Resize(0)
	}
	a.start(workCtx, reloads)
	return a.serveClients(ctx, workCtx, openListener)
}

// serveClients accepts clients until the context ends, and then shuts the agent down. The parts run with the context work.
func (a *agent) serveClients(ctx, workCtx context.Context, openListener func() (*net.TCPListener, error)) error {
	a.awaitFirstRound(ctx)
	if a.peers != nil {
		a.loop.AwaitEndpoints(ctx)
	}
	tcp, err := openListener()
	if err != nil {
		return err
	}
	defer a.clients.Close()
	served := a.clients.Serve(tcp)
	if a.peers != nil { // before the console reports ready, on which operators end the other process
		if err := a.peers.Announce(); err != nil {
			a.log.Warn("handover socket unavailable", "error", err)
		}
	}
	a.clients.SetAccepting()
	select {
	case err := <-served:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	return a.shutDown(workCtx, served)
}

// awaitFirstRound waits until discovery has been called once. The list that the agent starts from may be so old that changes
// count as notified which it lacks, and a request could be sent to a server that was removed.
func (a *agent) awaitFirstRound(ctx context.Context) {
	limit := time.NewTimer(maxFirstRoundWait)
	defer limit.Stop()
	select {
	case <-a.discovery.FirstRound():
	case <-limit.C:
	case <-ctx.Done():
	}
}

// agent is the parts of one process.
type agent struct {
	cfg       *config.Config
	log       *slog.Logger
	metrics   *metrics.Metrics
	pool      *upstream.Pool
	loop      *dispatch.Loop
	discovery *discovery.Client
	clients   *inbound.Server
	quotas    *handover.Quotas
	peers     *handover.Handover // nil if the process has no others
}

// newAgent makes the parts, none of which runs yet. The context is the one that they will run with.
func newAgent(workCtx context.Context, cfg *config.Config, log *slog.Logger) (*agent, error) {
	limits := handover.LimitsFor(cfg, 1)
	a := &agent{cfg: cfg, log: log, metrics: &metrics.Metrics{}}
	a.pool = upstream.NewPool(&cfg.Settings, limits.ServerConns, a.metrics)
	var err error
	a.loop, err = dispatch.New(dispatch.Options{
		Settings: &cfg.Settings, Seed: cfg.Seed, Pool: a.pool, Metrics: a.metrics, Log: log,
		PublishGauges: cfg.AdminAddr != "", PollEndpoints: func() { a.discovery.Poll() },
		ClaimID: func(hash uint64) bool { return a.peers.Claim(hash) },
	})
	if err != nil {
		return nil, err
	}
	a.discovery = discovery.New(discovery.Options{
		Addr: cfg.Discovery, Settings: a.loop.Settings, Notify: a.loop.NotifyEndpoints, OnPoll: a.metrics.PollEnded, Log: log,
		Name: cfg.Name, Relays: cfg.Relays,
	})
	a.discovery.StartFrom(cfg.CachedEndpoints)
	a.clients = inbound.New(inbound.Options{
		Dispatcher: a.loop, Metrics: a.metrics, Buffers: stream.NewBuffers(limits.StreamBytes),
		MaxRequests: limits.ActiveClientConns - limits.ActiveClientConns/8, Log: log, Done: workCtx.Done(),
	})
	a.quotas = handover.NewQuotas(cfg, a.clients.Listener(), a.pool)
	return a, nil
}

// start runs the loop, discovery and the reloads until the context ends. Nobody waits for them then: the process ends, and
// they hold nothing that outlives it.
func (a *agent) start(workCtx context.Context, reloads <-chan config.ReloadResult) {
	targets := make(chan discovery.Target)
	reload := &reloader{loop: a.loop, metrics: a.metrics, targets: targets, log: a.log}
	go a.loop.Run(workCtx)
	a.loop.NotifyEndpoints(discovery.WatchEvent{Update: balancer.EndpointsCached, Members: a.cfg.CachedEndpoints.Members})
	go a.discovery.Run(workCtx, targets)
	go reload.run(workCtx, reloads)
}
