// Command relay runs a relay of the endpoint list. It loads the configuration file named by RELAY_CONFIG, reloads it at
// SIGHUP and exits at SIGTERM or SIGINT. The exit status is 1 if it cannot start or serve.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"example.org/ryeloft/internal/daemon"
	"example.org/ryeloft/internal/relay"
)

// metricsTimeout limits how long a client of the metrics server may take to send a request and to receive the response,
// and how long its connection may be idle.
const metricsTimeout = 2 * time.Second

func main() { daemon.Main("relay failed", run) }

// run serves until the context ends. A reload with an invalid configuration changes nothing.
func run(ctx context.Context, hangups <-chan os.Signal, log *slog.Logger) error {
	path := os.Getenv("RELAY_CONFIG")
	if path == "" {
		return errors.New("RELAY_CONFIG is not set; it must name the configuration file")
	}
	cfg, err := relay.LoadConfig(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20)
	log = log.With("relay", cfg.Name)
	r, err := relay.New(relay.Options{
		Name:               cfg.Name,
		Discovery:          cfg.Discovery,
		State:              cfg.State,
		FullListsPerSecond: cfg.Limits.FullListsPerSecond,
		MaxCallers:         cfg.Limits.MaxCallers,
		Log:                log,
	})
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	closeMetrics, err := serveMetrics(cfg.MetricsAddr, r, log)
	if err != nil {
		l.Close()
		return err
	}
	defer closeMetrics()
	if err := serve(ctx, l, r, func(ctx context.Context) { reload(ctx, path, cfg, hangups, r, log) }); err != nil {
		return fmt.Errorf("serving: %w", err)
	}
	log.Info("relay stopped", "revision", r.Metrics().Revision)
	return nil
}

// serve runs the relay, its reloads and its HTTP server on a listener, until the context ends or the listener fails.
func serve(ctx context.Context, l net.Listener, r *relay.Relay, reloads func(context.Context)) error {
	ctx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { r.Run(ctx) })
	running.Go(func() { reloads(ctx) })
	err := r.Serve(ctx, l)
	stop()
	running.Wait()
	return err
}

// reload reloads the configuration at each SIGHUP, until the context ends.
func reload(
	ctx context.Context, path string, current *relay.Config, hangups <-chan os.Signal, r *relay.Relay, log *slog.Logger,
) {
	for {
		select {
		case <-hangups:
		case <-ctx.Done():
			return
		}
		next, err := loadReload(path, current)
		if err != nil {
			log.Error("configuration reload rejected", "error", err)
			continue
		}
		r.Migrate(ctx, next.Discovery, next.Limits.FullListsPerSecond)
		current = next
		log.Info("configuration reloaded", "discovery", next.Discovery, "lists_per_second", next.Limits.FullListsPerSecond)
	}
}

// loadReload loads a configuration and checks that it can replace the current one in a running process.
func loadReload(path string, current *relay.Config) (*relay.Config, error) {
	next, err := relay.LoadConfig(path)
	if err != nil {
		return nil, err
	}
	return next, next.CheckReload(current)
}

// serveMetrics serves the metrics at an address until the returned function is called. It does nothing if the address
// is empty.
func serveMetrics(addr string, r *relay.Relay, log *slog.Logger) (stop func(), err error) {
	if addr == "" {
		return func() {}, nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("figures: %w", err) // the address's key in the configuration
	}
	server := &http.Server{
		Handler:      http.HandlerFunc(r.ServeMetrics),
		ReadTimeout:  metricsTimeout,
		WriteTimeout: metricsTimeout,
		IdleTimeout:  metricsTimeout,
		ErrorLog:     slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Error("serving metrics failed", "error", err)
		}
	})
	return func() {
		_ = server.Close() // the process is exiting
		serving.Wait()
	}, nil
}
