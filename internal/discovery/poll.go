package discovery

import (
	"context"
	"errors"
	"time"

	"example.org/ryeloft/internal/balancer"
)

const (
	// oldTargetGrace is how long a poll may last if discovery migrates meanwhile. The platform allows the old address to
	// close open connections this time after the migration.
	oldTargetGrace = 1500 * time.Millisecond
	// maxParallelCalls is the number of calls of one poll that can be in flight: the first and a hedge.
	maxParallelCalls = 2
	// minHedgeDelay is the minimum time that the first call is in flight before it is hedged.
	minHedgeDelay = balancer.NotifyBoundAfterFailure / 20
)

// callResult is the result of one call of a poll.
type callResult struct {
	list EndpointList
	err  error
}

// poll requests the list, or its changes, without waiting for a change. A call that gets no response for hedgeDelay is
// hedged, and the first response is used. The first call is not cancelled, because a lost call cannot be told from a
// queued one, and a cancelled call costs the service as much as an answered one.
//
// An unusable response ends the poll, since it counts as notified; any other error ends it once no call is in flight.
// When discovery migrates, which ends targetCtx, calls in flight may continue until the poll has lasted for
// oldTargetGrace. If they were cancelled immediately, a series of migrations would leave the agent without a list for as
// long as the series lasts; a poll that has lasted for longer is probably at a service that hangs.
func (c *Client) poll(ctx, targetCtx context.Context) (EndpointList, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Nothing waits for calls that are still in flight at the end: their context is cancelled, and the channel has room
	// for their results.
	results := make(chan callResult, maxParallelCalls)
	began := time.Now()
	open := 0
	rejected := 0
	start := func() {
		open++
		request := c.newRequest(0)
		go func() {
			list, err := c.send(ctx, request)
			results <- callResult{list, err}
		}()
	}
	start()
	var hedge <-chan time.Time
	if delay, ok := c.hedgeDelay(); ok {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		hedge = timer.C
	}
	migrated := targetCtx.Done()
	for {
		select {
		case result := <-results:
			open--
			if isRejection(result.err) {
				rejected++
				c.lastCall.endedByHedge = rejected == maxParallelCalls
			}
			if open == 0 || endsPoll(result.err) {
				return result.list, result.err
			}
		case <-hedge:
			c.lastCall.hedged = true
			start()
		case <-migrated:
			migrated = nil
			hedge = nil
			grace := time.AfterFunc(oldTargetGrace-time.Since(began), cancel)
			defer grace.Stop()
		}
	}
}

// endsPoll reports whether the result of a call ends its poll even if another call is in flight.
func endsPoll(err error) bool {
	return err == nil || errors.Is(err, ErrMalformedList) || errors.Is(err, ErrTruncatedList)
}
