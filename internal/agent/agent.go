// Package agent wires the components of the agent: client connections (inbound), the event loop (dispatch), connections
// to servers (upstream), discovery, the console (admin) and the handover between processes. It starts them, applies
// reloaded configurations and shuts them down. The components own all other state.
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
	"example.org/ryeloft/internal/fairshare"
	"example.org/ryeloft/internal/handover"
	"example.org/ryeloft/internal/inbound"
	"example.org/ryeloft/internal/metrics"
	"example.org/ryeloft/internal/stream"
	"example.org/ryeloft/internal/upstream"
)

// maxFirstRoundWait bounds the wait for the first round of discovery calls. An agent must be ready within 6 s whatever
// their outcome, and one that replaces another process additionally waits for endpoints.
const maxFirstRoundWait = 4 * time.Second

// Run serves clients until ctx is done, then finishes the open requests and returns nil. From a reloaded configuration
// it applies only the settings and the addresses of discovery and its relays.
func Run(ctx context.Context, cfg *config.Config, reloads <-chan config.ReloadResult, log *slog.Logger) error {
	return run(ctx, cfg, reloads, log, func() (*net.TCPListener, error) {
		return listen(ctx, cfg.Listen, cfg.AdminAddr != "")
	})
}

// run is Run with the listener that openListener returns. It calls openListener once the agent is ready for clients.
func run(ctx context.Context, cfg *config.Config, reloads <-chan config.ReloadResult, log *slog.Logger, openListener func() (*net.TCPListener, error)) error {
	// The components outlive ctx, because open requests are finished.
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	a, err := newAgent(workCtx, cfg, log)
	if err != nil {
		return err
	}
	if cfg.AdminAddr != "" {
		console, err := admin.Listen(ctx, cfg.AdminAddr, a.commands(), a.scheduler)
		if err != nil {
			return err
		}
		defer console.Close()
		go console.Serve() // returns when the console is closed
		a.peers = handover.Join(handover.SocketPath(cfg.Name), a.quotas, a.loop.RequestIDs(), a.scheduler, log)
		defer a.peers.Close()
		// Once the handover is closed, the peers assume that this process has no server connections left.
		defer a.pool.Resize(0)
	}
	a.start(workCtx, reloads)
	return a.serveClients(ctx, workCtx, openListener)
}

// serveClients accepts clients until ctx is done, and then shuts the agent down. The components run with workCtx.
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
	if a.peers != nil { // before the console reports ready, since operators then stop the other process
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

// awaitFirstRound waits for the first round of discovery calls, at most maxFirstRoundWait. The cached list that the
// agent starts from may lack changes that already count as notified, so a request could be sent to a removed server.
func (a *agent) awaitFirstRound(ctx context.Context) {
	limit := time.NewTimer(maxFirstRoundWait)
	defer limit.Stop()
	select {
	case <-a.discovery.FirstRound():
	case <-limit.C:
	case <-ctx.Done():
	}
}

// agent holds the components of one process.
type agent struct {
	cfg       *config.Config
	log       *slog.Logger
	metrics   *metrics.Metrics
	scheduler *fairshare.Scheduler
	pool      *upstream.Pool
	loop      *dispatch.Loop
	discovery *discovery.Client
	clients   *inbound.Server
	quotas    *handover.Quotas
	peers     *handover.Handover // nil if the agent has no console, and so no other processes
}

// newAgent creates the components without starting any. They will run with workCtx.
func newAgent(workCtx context.Context, cfg *config.Config, log *slog.Logger) (*agent, error) {
	limits := handover.LimitsFor(cfg, 1)
	a := &agent{cfg: cfg, log: log, metrics: &metrics.Metrics{}}
	buffered := stream.NewMemory(limits.BufferedBytes, a.metrics.BufferedBytesChanged)
	a.scheduler = fairshare.New(cfg.Cores, func(wait time.Duration) { a.metrics.HopTook(metrics.HopProcessor, wait) })
	a.pool = upstream.NewPool(&cfg.Settings, limits.ServerConns, buffered, a.metrics)
	a.pool.ShareProcessor(a.scheduler)
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
		Name: cfg.Name, Relays: cfg.Relays, Scheduler: a.scheduler,
	})
	a.discovery.StartFrom(cfg.CachedEndpoints)
	a.clients = inbound.New(inbound.Options{
		Dispatcher: a.loop, Metrics: a.metrics, Buffers: stream.NewBuffers(limits.StreamBytes), Memory: buffered,
		MaxRequests: limits.MaxRequests(), MaxEvicted: handover.MaxEvictedConns, Scheduler: a.scheduler, Log: log, Done: workCtx.Done(),
	})
	a.quotas = handover.NewQuotas(cfg, a.clients.Listener(), a.pool, buffered, a.loop)
	return a, nil
}

// start starts the loop, the discovery client and the reloader, which run until workCtx is done. Nothing waits for them
// to return, because the process then exits and they own nothing that outlives it.
func (a *agent) start(workCtx context.Context, reloads <-chan config.ReloadResult) {
	targets := make(chan discovery.Target)
	reload := &reloader{loop: a.loop, metrics: a.metrics, targets: targets, log: a.log}
	go a.loop.Run(workCtx)
	a.loop.NotifyEndpoints(discovery.WatchEvent{Update: balancer.EndpointsCached, Members: a.cfg.CachedEndpoints.Members})
	go a.discovery.Run(workCtx, targets)
	go reload.run(workCtx, reloads)
}
