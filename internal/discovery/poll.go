package discovery

import (
	"context"
	"errors"
	"time"

	"example.org/ryeloft/internal/balancer"
)

const (
	// oldTargetGrace is how long a poll goes on after a migration: the platform lets the old address close open connections
	// after so long.
	oldTargetGrace = 1500 * time.Millisecond
	// maxParallelCalls is how many calls a poll has open at a time: the first and a hedge.
	maxParallelCalls = 2
	// minHedgeDelay is how long the first call is out at least before it is hedged.
	minHedgeDelay = balancer.NotifyBoundAfterFailure / 20
)

// callResult is how one call of a poll ended.
type callResult struct {
	list EndpointList
	err  error
}

// poll gets the list, or its changes, without waiting for one. A call that is not answered for a while is hedged, and the first
// answer counts: nothing tells a call that is lost from one that waits for its turn, and one that is given up keeps the service as
// busy as one that is answered.
//
// An answer that cannot be used ends the poll, as it counts as notified; other errors do once no call is open. When discovery
// migrates, which ends targetCtx, the open calls have as long as the old target answers: were they given up, a series of migrations
// would leave the agent without a list for as long as it goes on.
func (c *Client) poll(ctx, targetCtx context.Context) (EndpointList, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Nothing waits for calls that are still open at the end: their context has ended, and there is room for their results.
	results := make(chan callResult, maxParallelCalls)
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
			grace := time.AfterFunc(oldTargetGrace, cancel)
			defer grace.Stop()
		}
	}
}

// endsPoll says whether a call ends its poll though another one may be open.
func endsPoll(err error) bool {
	return err == nil || errors.Is(err, ErrMalformedList) || errors.Is(err, ErrTruncatedList)
}
