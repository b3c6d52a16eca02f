// Package agent is the real agent: it carries what happens on sockets to the decision module as events, and
// carries out the module's actions.
package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"time"

	"example.org/ryeloft/internal/admin"
	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/config"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/dispatch"
	"example.org/ryeloft/internal/handover"
	"example.org/ryeloft/internal/metrics"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/stream"
	"example.org/ryeloft/internal/upstream"
)

const (
	// headTimeout is how long a client may take to send a request's head, from its first byte, or from when it
	// connected: 2 s, and what a busy core may add.
	headTimeout = 2600 * time.Millisecond
	// idleTimeout is how long a client's connection may be without a request: what the terms give it, and what an answer
	// takes to its client. Danger: clients that ask once and keep their connection would use up the sockets.
	idleTimeout = idleGrace + 100*time.Millisecond
	// acceptWhileLeaving is how long an agent that is to stop, and that no other process follows, goes on accepting: its client
	// goes on connecting.
	acceptWhileLeaving = 550 * time.Millisecond
	// newConnGrace is how long a connection that has just come may take to bring its first request.
	newConnGrace = 250 * time.Millisecond
	// killMargin is when the platform kills a process that was told to stop, beyond the longest deadline, which it
	// counts as maxKillDeadline at most.
	killMargin      = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
	// lastAnswerMargin is how long before that what is still open is answered as failed, or it would be lost.
	lastAnswerMargin = 150 * time.Millisecond
	pollInterval     = 20 * time.Millisecond
	maxShutdown      = 30 * time.Second // of a process that nobody kills
)

// Run serves until the context ends, then finishes what it has taken and returns nil. Of a configuration that is
// reloaded it takes the settings and the addresses of discovery and its relays.
func Run(ctx context.Context, cfg *config.Config, reloads <-chan config.ReloadResult, log *slog.Logger) error {
	return serve(ctx, cfg, reloads, func() (*net.TCPListener, error) {
		return listen(ctx, cfg.Listen, cfg.AdminAddr != "")
	}, log)
}

// soReusePort is Linux's SO_REUSEPORT, which package syscall leaves out.
const soReusePort = 0xf

// listen opens the clients' address; a shared one, beside another process that shares it.
func listen(ctx context.Context, addr string, shared bool) (*net.TCPListener, error) {
	var lc net.ListenConfig
	if shared {
		lc.Control = func(_, _ string, raw syscall.RawConn) (err error) {
			if cerr := raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
			}); cerr != nil {
				return cerr
			}
			return err
		}
	}
	l, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	return l.(*net.TCPListener), nil
}

func serve(ctx context.Context, cfg *config.Config, reloads <-chan config.ReloadResult, listening func() (*net.TCPListener, error), log *slog.Logger) error {
	own := handover.LimitsFor(cfg, 1)
	counters := &metrics.Metrics{}
	pool := upstream.NewPool(&cfg.Settings, own.ServerConns, counters)
	var d *discovery.Client
	l, err := dispatch.New(dispatch.Options{
		Settings: &cfg.Settings, Seed: cfg.Seed, Pool: pool, Metrics: counters, Log: log, PublishGauges: cfg.AdminAddr != "",
		PollEndpoints: func() { d.Poll() },
	})
	if err != nil {
		return err
	}
	// What the agent has taken it finishes, so its workers outlive the context.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	d = discovery.New(discovery.Options{
		Addr: cfg.Discovery, Settings: l.Settings, Notify: l.NotifyEndpoints, OnPoll: counters.PollEnded, Log: log,
		Name: cfg.Name, Relays: cfg.Relays,
	})
	d.StartFrom(cfg.CachedEndpoints)
	clients := &Listener{metrics: counters, released: make(chan struct{}, 1)}
	handler := &clientHandler{
		dispatcher: l, metrics: counters, listener: clients, maxRequests: int64(own.ActiveClientConns - own.ActiveClientConns/8),
		drain: &drainer{listener: clients, done: work.Done(), log: log}, hurry: make(chan struct{}), buffers: stream.NewBuffers(own.StreamBytes),
	}
	shares := handover.NewQuotas(cfg, clients, pool)
	var beside *handover.Handover
	if cfg.AdminAddr != "" {
		c, err := admin.Listen(ctx, cfg.AdminAddr, handler.calls())
		if err != nil {
			return err
		}
		defer c.Close()
		go c.Serve()
		beside = handover.Join(handover.SocketPath(cfg.Name), shares, log)
		defer beside.Close()
		defer pool.Resize(0) // before that: the other process takes the link's end for the end of all that this one holds
	}
	moves := make(chan discovery.Target)
	go l.Run(work)
	l.NotifyEndpoints(discovery.WatchEvent{Update: balancer.EndpointsCached, Members: cfg.CachedEndpoints.Members})
	go d.Run(work, moves)
	go (&reloader{loop: l, metrics: counters, moves: moves, log: log}).run(work, reloads)

	if beside != nil {
		l.AwaitEndpoints(ctx)
	}
	if clients.TCPListener, err = listening(); err != nil {
		return err
	}
	srv := &http.Server{
		Handler: handler, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: protocol.MaxHeadBytes,
		ConnContext: withConn, ConnState: clients.connState,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	defer srv.Close()
	defer clients.Abort()
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(clients) }()
	if beside != nil { // before anybody is told yes, on which the other process is told to go
		if err := beside.Announce(); err != nil {
			log.Warn("a process that replaces this one will not find it", "error", err)
		}
	}
	handler.ready.Store(true)
	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	return handler.leave(work, beside, failed, log)
}

// leave sends clients away and returns when all that was taken is answered, or the platform is about to kill the process.
// What serves reports its end on failed.
func (s *clientHandler) leave(work context.Context, beside *handover.Handover, failed <-chan error, log *slog.Logger) error {
	begun := time.Now()
	longest := time.Duration(0)
	for _, c := range s.dispatcher.Settings().Balancer.Classes {
		longest = max(longest, c.Deadline)
	}
	last := min(longest, maxKillDeadline) + killMargin - lastAnswerMargin
	hurry := time.AfterFunc(last, func() { close(s.hurry) })
	defer hurry.Stop()
	// Then only long answers are left, and they are the platform's to cut off.
	end, cancel := context.WithDeadline(work, begun.Add(maxShutdown))
	defer cancel()
	s.drain.shutDown(last)
	open, silent := s.listener.Count()
	log.Info("leaving", "still_open", open, "without_request", silent)
	for time.Since(begun) < acceptWhileLeaving && !beside.Leave() {
		select {
		case err := <-failed:
			return fmt.Errorf("serving: %w", err)
		case <-time.After(pollInterval):
		}
	}
	// Danger: http.Server.Shutdown would close a connection whose next request has just been read. The admission decides
	// which came first, the request or the end.
	if beside.Leave() {
		log.Info("another process takes the clients")
		s.drain.closeIdleAfter(idleGrace)
		s.listener.FinishQueue()
	} else {
		s.drain.closeIdleAfter(newConnGrace)
		s.listener.TCPListener.Close()
	}
	<-failed // at the end of the listener, and of its queue
	s.listener.AwaitEmpty(end)
	return nil
}
