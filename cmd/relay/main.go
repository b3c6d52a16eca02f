// Command relay hands discovery's list of servers on to agents.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"example.org/ryeloft/internal/relay"
)

// figuresGrace is how long a reader of the figures may take.
const figuresGrace = 2 * time.Second

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	// Danger: a signal that nobody waits for ends the program.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := run(ctx, hangups, log)
	stop()
	if err != nil {
		log.Error("relay ends", "error", err)
		os.Exit(1)
	}
}

// run serves until the context ends. What a hangup brings is taken whole or not at all.
func run(ctx context.Context, hangups <-chan os.Signal, log *slog.Logger) error {
	path := os.Getenv("RELAY_CONFIG")
	if path == "" {
		return errors.New("RELAY_CONFIG is not set: it names the configuration file")
	}
	cfg, err := relay.LoadConfig(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20)
	log = log.With("relay", cfg.Name)
	r, err := relay.New(relay.Options{
		Name: cfg.Name, Discovery: cfg.Discovery, State: cfg.State, FullListsPerSecond: cfg.Limits.FullListsPerSecond, MaxCallers: cfg.Limits.MaxCallers, Log: log,
	})
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	closeFigures, err := serveFigures(cfg.MetricsAddr, r, log)
	if err != nil {
		l.Close()
		return err
	}
	defer closeFigures()

	ctx, stop := context.WithCancel(ctx) // at the end of either
	var running sync.WaitGroup
	running.Go(func() { r.Run(ctx) })
	running.Go(func() { reload(ctx, path, cfg, hangups, r, log) })
	err = r.Serve(ctx, l)
	stop()
	running.Wait()
	if err != nil {
		return fmt.Errorf("serving: %w", err)
	}
	log.Info("relay ends", "revision", r.Metrics().Revision)
	return nil
}

// reload takes the configuration anew at each hangup, until the context ends.
func reload(ctx context.Context, path string, present *relay.Config, hangups <-chan os.Signal, r *relay.Relay, log *slog.Logger) {
	for {
		select {
		case <-hangups:
		case <-ctx.Done():
			return
		}
		next, err := relay.LoadConfig(path)
		if err == nil {
			err = next.CheckReload(present)
		}
		if err != nil {
			log.Error("not reloaded, the old configuration stays", "error", err)
			continue
		}
		r.Migrate(ctx, next.Discovery, next.Limits.FullListsPerSecond)
		present = next
		log.Info("reloaded", "discovery", next.Discovery, "lists_per_second", next.Limits.FullListsPerSecond)
	}
}

// serveFigures shows the figures at an address, if there is one, until what it returns is called.
func serveFigures(addr string, r *relay.Relay, log *slog.Logger) (func(), error) {
	if addr == "" {
		return func() {}, nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("figures: %w", err)
	}
	s := &http.Server{
		Handler: http.HandlerFunc(r.ServeMetrics), ReadTimeout: figuresGrace, WriteTimeout: figuresGrace, IdleTimeout: figuresGrace,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	go s.Serve(l)
	return func() { s.Close() }, nil
}
