// Package daemon runs a program that serves until a signal stops it. It sets up the log, handles signals and sets the
// exit status. It owns signal handling and nothing else.
package daemon

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// Main calls run with a logger on standard error. If run returns an error, Main logs it with the message failure and
// exits with status 1. SIGTERM and SIGINT cancel the context of run. SIGHUP is sent to hangups.
func Main(failure string, run func(ctx context.Context, hangups <-chan os.Signal, log *slog.Logger) error) {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	// SIGHUP is caught before anything else, because by default it terminates the process.
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
