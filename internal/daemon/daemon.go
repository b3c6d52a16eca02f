// Package daemon is the frame of a program that serves until it is told to end: its log, its signals and its exit status.
// It owns the handling of signals and nothing else.
package daemon

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// Main runs a program with a log on standard error and exits with status 1 if run fails, which it logs as failure. The
// context ends at SIGTERM or SIGINT; each SIGHUP is sent to hangups.
func Main(failure string, run func(ctx context.Context, hangups <-chan os.Signal, log *slog.Logger) error) {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	// SIGHUP is caught before anything else, because it would end the process by default.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := run(ctx, hangups, log)
	stop()
	if err != nil {
		log.Error(failure, "error", err)
		os.Exit(1)
	}
}
