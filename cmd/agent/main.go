// Command agent is the load balancer that runs beside one client process. Its configuration file is named by GW_CONFIG. SIGHUP
// has it read the file again; SIGTERM and SIGINT have it shut down gracefully and exit with 0. It exits with 1 at an error.
package main

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"

	"example.org/ryeloft/internal/agent"
	"example.org/ryeloft/internal/config"
)

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	// SIGHUP is caught before anything else, because it would end the process by default.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := run(ctx, hangups, log)
	stop()
	if err != nil {
		log.Error("agent failed", "error", err)
		os.Exit(1)
	}
}

// run serves until the context ends and what was taken by then is answered.
func run(ctx context.Context, hangups <-chan os.Signal, log *slog.Logger) error {
	path := os.Getenv("GW_CONFIG")
	if path == "" {
		return errors.New("GW_CONFIG is not set: it names the configuration file")
	}
	cfg, err := config.Load(path)
	if err != nil {
		return err
	}
	log = log.With("agent", cfg.Name)
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))

	// The file is watched during the shutdown too: requests that are still taken then follow the new settings.
	watching, stopWatching := context.WithCancel(context.WithoutCancel(ctx))
	reloads := make(chan config.ReloadResult)
	var watcher sync.WaitGroup
	watcher.Go(func() { config.Watch(watching, path, cfg, hangups, reloads) })
	defer watcher.Wait()
	defer stopWatching()
	return agent.Run(ctx, cfg, reloads, log)
}
