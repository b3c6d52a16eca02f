package discovery

import (
	"context"
	"errors"
	"fmt"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/clock"
)

const (
	// defaultWatchWait is how long a watch waits for changes in push mode.
	defaultWatchWait = 2 * time.Second
	// watchCycle is the time in which the watches of all agents end once in poll mode, each in its agent's turn, or one cycle
	// later if that were within minWatchWait. A service that falls silent shows only then, while NotifyBoundAfterFailure counts from
	// the watch's begin; what is left of it is for the polls that make up for the watch.
	watchCycle   = balancer.NotifyBoundAfterFailure / 2
	minWatchWait = watchCycle / 6
	// watchGrace is how long an answer may come after a watch's wait.
	watchGrace = balancer.NotifyBoundAfterFailure / 15
)

// callRecord is how the last poll or watch ran.
type callRecord struct {
	began         time.Time
	ended         time.Time
	sincePrevious time.Duration // from the end of the call before it to its begin; 0 for the first
	hedged        bool
	endedByHedge  bool // the hedge was rejected, and so was the first call
}

func (t *callRecord) begin(now time.Time) {
	t.began = now
	t.hedged = false
	t.endedByHedge = false
	if !t.ended.IsZero() {
		t.sincePrevious = now.Sub(t.ended)
	}
}

func (t *callRecord) end(now time.Time) { t.ended = now }

func (t *callRecord) duration() time.Duration { return t.ended.Sub(t.began) }

// watch polls the list and then watches it, each call right after the last, until one fails. The first call does not wait, so
// that it shows at once whether it is answered.
func (c *Client) watch(ctx, targetCtx context.Context) error {
	first := true
	for wait := time.Duration(0); ; wait = c.watchWait() {
		list, err := c.call(ctx, targetCtx, wait)
		if err != nil {
			c.recordFailure(wait, err)
			return err
		}
		c.deliver(list, first)
		c.recordSuccess(list, wait)
		first = false
		if targetCtx.Err() != nil {
			return targetCtx.Err()
		}
		if c.route.recordResponse(time.Now()) {
			return errReturnToPreferred
		}
	}
}

// watchWait is how long the next watch is to wait. A change ends the watches of all agents together; were the next ones equally
// long, all would end, or be lost, together. Each ends in its agent's turn instead.
func (c *Client) watchWait() time.Duration {
	if c.route.atRelay() {
		return relayWatchWait
	}
	if !c.pollMode() {
		return c.pushWatchWait
	}
	set := &c.settings().Balancer
	turn := time.Duration((float64(set.Rank) + 0.5) / float64(set.Agents) * float64(watchCycle))
	wait := (turn - clock.Phase(watchCycle) + watchCycle) % watchCycle
	if wait < minWatchWait {
		wait += watchCycle
	}
	return wait
}

// call makes a poll, or a watch if it has a wait, and returns a list that can be used.
func (c *Client) call(ctx, targetCtx context.Context, wait time.Duration) (EndpointList, error) {
	c.lastCall.begin(time.Now())
	list, err := c.pollOrWatch(ctx, targetCtx, wait)
	c.lastCall.end(time.Now())
	c.onPoll(PollResult{
		Wait: wait, Duration: c.lastCall.duration(), Err: err, Rejected: isRejection(err),
		Hedged: c.lastCall.hedged, EndedByHedge: c.lastCall.endedByHedge,
	})
	if err != nil {
		return EndpointList{}, err
	}
	if wait > 0 && targetCtx.Err() != nil {
		return EndpointList{}, targetCtx.Err() // what a migration crossed comes again, as the full list
	}
	if !list.Complete && (c.revision == nil || *list.Revision < *c.revision) {
		return EndpointList{}, fmt.Errorf("%w: changes up to %d do not follow the list held", ErrMalformedList, *list.Revision)
	}
	return list, nil
}

func (c *Client) pollOrWatch(ctx, targetCtx context.Context, wait time.Duration) (EndpointList, error) {
	if wait == 0 {
		return c.poll(ctx, targetCtx)
	}
	return c.send(targetCtx, c.newRequest(wait))
}

// deliver notifies the owner of an answer. The first one is notified also if it brings no changes, since the owner then learns that
// calls are answered again.
func (c *Client) deliver(list EndpointList, first bool) {
	if first { // until now the agent used an older list
		c.log.Info("endpoint list updated", "from", c.route.addr(), "revision", *list.Revision, "complete", list.Complete,
			"members", len(list.Members), "failures", c.failures, "duration", time.Since(c.lastCall.began), "since_start", time.Since(c.startedAt))
	}
	switch {
	case list.Complete:
		c.notify(WatchEvent{Update: balancer.EndpointsReplaced, Members: list.Members, Revision: *list.Revision})
	case len(list.Members) > 0 || first:
		c.notify(WatchEvent{Update: balancer.EndpointsChanged, Members: list.Members, Revision: *list.Revision})
	}
}

// recordSuccess notes that a call was answered and its result notified.
func (c *Client) recordSuccess(list EndpointList, wait time.Duration) {
	c.revision = list.Revision
	c.failures = 0
	c.deadline.recordSync()
	c.overload.reset()
	c.rejections.reset()
	c.latency.clearTimeouts()
	if wait == 0 && !c.route.atRelay() {
		c.latency.recordResponse(time.Since(c.lastCall.began))
	}
	c.endFirstRound()
	if c.onAnswer != nil {
		c.onAnswer(c.lastCall.began, *list.Revision)
	}
}

// recordFailure notes that the last call failed, and what it has missed.
func (c *Client) recordFailure(wait time.Duration, err error) {
	if errors.Is(err, ErrMalformedList) {
		c.revision = nil
	}
	took := time.Since(c.lastCall.began)
	c.rejectedImmediately = wait == 0 && took < min(minTimeout, c.latency.latency)
	relayed := c.route.atRelay()
	if !relayed {
		c.recordDiscoveryFailure(wait, took, err)
	}
	syncedUntil := c.lastCall.began
	if wait > 0 && !errors.Is(err, ErrTruncatedList) {
		syncedUntil = time.Now() // until now the watch would have brought it
	}
	if relayed {
		syncedUntil = syncedUntil.Add(-RelayMaxStaleness)
	}
	c.recordMissed(syncedUntil.Add(balancer.NotifyBoundAfterFailure))
}

// recordDiscoveryFailure notes what the failure of a call tells of discovery itself.
func (c *Client) recordDiscoveryFailure(wait, took time.Duration, err error) {
	if isRejection(err) {
		c.rejections.recordRejection(c.lastCall.endedByHedge)
	}
	if wait == 0 && took >= minTimeout {
		c.latency.recordTimeout(took)
		c.overload.recordTimeout(c.lastCall.began)
		return
	}
	c.overload.reset()
}
