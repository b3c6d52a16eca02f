package agent

import (
	"context"
	"fmt"
	"time"
)

const (
	// acceptWhileLeaving is how long a process that shuts down without a replacement goes on accepting, because its clients
	// go on connecting.
	acceptWhileLeaving = 550 * time.Millisecond
	// The platform kills a process killMargin after the longest deadline has passed since SIGTERM; it counts that deadline
	// as maxKillDeadline at most.
	killMargin      = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
	// lastAnswerMargin is how long before the kill all open requests are answered as failed.
	lastAnswerMargin = 150 * time.Millisecond
	// maxShutdown bounds the end of a process that nobody kills.
	maxShutdown = 30 * time.Second
	// replacedLookInterval is how often to look whether another process takes the clients.
	replacedLookInterval = 20 * time.Millisecond
)

// shutDown drains the agent and returns when all open requests are answered, or the platform is about to kill the process.
// The end of the clients' server comes on served.
func (a *agent) shutDown(work context.Context, served <-chan error) error {
	begun := time.Now()
	lastAnswers := a.killedAfter() - lastAnswerMargin
	failOpen := time.AfterFunc(lastAnswers, a.clients.FailOpenRequests)
	defer failOpen.Stop()
	// After the last answers only downloads are open, which the platform may cut off.
	end, cancel := context.WithDeadline(work, begun.Add(maxShutdown))
	defer cancel()
	a.clients.StartShutdown(lastAnswers)
	open, idle := a.clients.Count()
	a.log.Info("graceful shutdown started", "still_open", open, "without_request", idle)
	for time.Since(begun) < acceptWhileLeaving && !a.peers.Leave() {
		select {
		case err := <-served:
			return fmt.Errorf("serving: %w", err)
		case <-time.After(replacedLookInterval):
		}
	}
	if a.peers.Leave() {
		a.log.Info("clients handed over to another process")
		a.clients.DrainAcceptQueue()
	} else {
		a.clients.CloseListener()
	}
	err := <-served // once the listener is closed and its queue is empty
	a.log.Debug("listener closed", "error", err)
	a.clients.AwaitEmpty(end)
	return nil
}

// killedAfter returns how long after SIGTERM the platform kills the process.
func (a *agent) killedAfter() time.Duration {
	longest := time.Duration(0)
	for _, class := range a.loop.Settings().Balancer.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxKillDeadline) + killMargin
}
