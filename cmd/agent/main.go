// Command agent is the load balancer that runs beside one client process. Its configuration file is named by GW_CONFIG. SIGHUP
// has it read the file again; SIGTERM and SIGINT have it shut down gracefully and exit with 0. It exits with 1 at an error.
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

	// The file is watched during the shutdown too: requests that are still accepted then follow the new settings. The watcher
	// is not waited for, because a file that cannot be read to its end must not keep the process from ending.
	watching, stopWatching := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWatching()
	reloads := make(chan config.ReloadResult)
	go config.Watch(watching, path, cfg, hangups, reloads)
	return agent.Run(ctx, cfg, reloads, log)
}
