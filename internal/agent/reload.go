package agent

import (
	"context"
	"errors"
	"log/slog"

	"example.org/ryeloft/internal/config"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/dispatch"
	"example.org/ryeloft/internal/metrics"
)

// reloader applies reloaded configurations: first the settings, then the addresses of discovery and its relays.
type reloader struct {
	loop    *dispatch.Loop
	metrics *metrics.Metrics
	targets chan<- discovery.Target
	log     *slog.Logger
}

// run applies each reloaded configuration until ctx is done.
func (r *reloader) run(ctx context.Context, reloads <-chan config.ReloadResult) {
	for {
		select {
		case next := <-reloads:
			r.reload(ctx, next)
		case <-ctx.Done():
			return
		}
	}
}

// reload applies a configuration, or counts it as rejected.
func (r *reloader) reload(ctx context.Context, next config.ReloadResult) {
	err := next.Err
	if err == nil {
		err = r.loop.Adopt(ctx, &next.Config.Settings)
		if ended := ctx.Err(); ended != nil && errors.Is(err, ended) {
			return
		}
	}
	if err != nil {
		r.metrics.ConfigRejected()
		r.log.Error("configuration reload rejected", "error", err)
		return
	}
	r.metrics.ConfigApplied()
	r.log.Info("configuration reloaded",
		"discovery", next.Config.Discovery, "relays", len(next.Config.Relays), "classes", next.Config.Settings.ClassNames,
		"max_attempts", next.Config.Settings.Balancer.MaxAttempts)
	select {
	case r.targets <- discovery.Target{Addr: next.Config.Discovery, Relays: next.Config.Relays}:
	case <-ctx.Done():
	}
}
