// Command agent is the load balancer that runs beside one client process. GW_CONFIG names its configuration file.
// SIGHUP reloads the file. SIGTERM and SIGINT start a graceful shutdown, after which the agent exits with status 0.
// After an error it exits with status 1.
package main

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"os"
	"runtime"

	"example.org/ryeloft/internal/agent"
	"example.org/ryeloft/internal/config"
	"example.org/ryeloft/internal/daemon"
)

func main() { daemon.Main("agent failed", run) }

// run serves until the context ends and the requests accepted before that have been answered.
func run(ctx context.Context, hangups <-chan os.Signal, log *slog.Logger) error {
	path := os.Getenv("GW_CONFIG")
	if path == "" {
		return errors.New("GW_CONFIG is not set; it must name the configuration file")
	}
	cfg, err := config.Load(path)
	if err != nil {
		return err
	}
	log = log.With("agent", cfg.Name)
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))

	// The file is also watched during the shutdown, so that requests that are accepted during it use new settings. run
	// does not wait for the watcher: a file whose read never ends must not keep the process from exiting.
	watching, stopWatching := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWatching()
	reloads := make(chan config.ReloadResult)
	go config.Watch(watching, path, cfg, hangups, reloads)
	return agent.Run(ctx, cfg, reloads, log)
}
