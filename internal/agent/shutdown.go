package agent

import (
	"context"
	"fmt"
	"time"
)

const (
	// acceptDuringShutdown is how long a process without a replacement keeps accepting after the shutdown started,
	// because its clients keep connecting.
	acceptDuringShutdown = 550 * time.Millisecond
	// The platform kills a process min(longest class deadline, maxKillDeadline) + killMargin after SIGTERM.
	killMargin      = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
	// finalResponseMargin is how long before the kill all open requests are answered as failed.
	finalResponseMargin = 150 * time.Millisecond
	// maxShutdown bounds the shutdown of a process that is not killed.
	maxShutdown = 30 * time.Second
	// replacementCheckInterval is how often shutDown checks whether another process accepts the clients.
	replacementCheckInterval = 20 * time.Millisecond
)

// shutDown drains the agent. Shortly before the platform kills the process, it answers the requests still open as
// failed. It returns when all client connections have ended or maxShutdown has passed. served is the channel that
// a.clients.Serve returned.
func (a *agent) shutDown(workCtx context.Context, served <-chan error) error {
	started := time.Now()
	failOpenAfter := a.killDelay() - finalResponseMargin
	failOpen := time.AfterFunc(failOpenAfter, a.clients.FailOpenRequests)
	defer failOpen.Stop()
	// After failOpenAfter only downloads are still open, and the platform may cut those off.
	shutdownCtx, cancel := context.WithDeadline(workCtx, started.Add(maxShutdown))
	defer cancel()
	a.clients.StartShutdown(failOpenAfter)
	open, idle := a.clients.Count()
	a.log.Info("graceful shutdown started", "still_open", open, "without_request", idle)
	for time.Since(started) < acceptDuringShutdown && !a.peers.Leave() {
		select {
		case err := <-served:
			return fmt.Errorf("serving: %w", err)
		case <-time.After(replacementCheckInterval):
		}
	}
	if a.peers.Leave() {
		a.log.Info("clients handed over to another process")
		a.clients.DrainAcceptQueue()
	} else {
		a.clients.CloseListener()
	}
	err := <-served // arrives once the listener is closed and its queue is empty
	a.log.Debug("listener closed", "error", err)
	a.clients.AwaitEmpty(shutdownCtx)
	return nil
}

// killDelay returns how long after SIGTERM the platform kills the process.
func (a *agent) killDelay() time.Duration {
	longest := time.Duration(0)
	for _, class := range a.loop.Settings().Balancer.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxKillDeadline) + killMargin
}
