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
	// defaultWatchWait is the default of Options.WatchWait.
	defaultWatchWait = 2 * time.Second
	// watchCycle is the period in poll mode over which the ends of the watches of all agents are spread by rank. A
	// watch that would be shorter than minWatchWait ends one cycle later. An unresponsive service is detected only at
	// the end of a watch, while NotifyBoundAfterFailure counts from its start; the remaining time is for the polls that
	// recover missed changes.
	watchCycle   = balancer.NotifyBoundAfterFailure / 2
	minWatchWait = watchCycle / 6
	// watchGrace is how long after a watch's wait the response may arrive.
	watchGrace = balancer.NotifyBoundAfterFailure / 15
)

// callRecord describes the last poll or watch.
type callRecord struct {
	began         time.Time
	ended         time.Time
	sincePrevious time.Duration // from the end of the previous call to the start of this one; 0 for the first
	hedged        bool
	endedByHedge  bool // both the hedge and the first call were rejected
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

// watch polls the list and then watches it, each call immediately after the previous one, until one fails. The first
// call does not wait for changes, so that a failure shows without delay.
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

// watchWait returns how long the next watch waits for changes. A change ends the watches of all agents together. If the
// next watches were equally long, all would end, or be lost, together, so in poll mode their ends are spread by rank.
func (c *Client) watchWait() time.Duration {
	if c.route.atRelay() {
		return relayWatchWait
	}
	if !c.pollMode() {
		return c.pushWatchWait
	}
	set := &c.settings().Balancer
	offset := time.Duration((float64(set.Rank) + 0.5) / float64(set.Agents) * float64(watchCycle))
	wait := (offset - clock.Phase(watchCycle) + watchCycle) % watchCycle
	if wait < minWatchWait {
		wait += watchCycle
	}
	return wait
}

// call performs a poll, or a watch if wait is positive, and returns a list that follows the held revision or is
// complete.
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
		return EndpointList{}, targetCtx.Err() // a change that arrives during a migration is in the full list too
	}
	if !list.Complete && (c.revision == nil || *list.Revision < *c.revision) {
		return EndpointList{}, fmt.Errorf("%w: changes up to revision %d do not follow the held list", ErrMalformedList, *list.Revision)
	}
	return list, nil
}

func (c *Client) pollOrWatch(ctx, targetCtx context.Context, wait time.Duration) (EndpointList, error) {
	if wait == 0 {
		return c.poll(ctx, targetCtx)
	}
	return c.send(targetCtx, c.newRequest(wait))
}

// deliver notifies the owner of a response. The first response of Client.watch is delivered even if it has no changes,
// so that the owner learns that calls succeed again.
func (c *Client) deliver(list EndpointList, first bool) {
	if first { // until now the agent used an older list
		c.log.Info("endpoint list updated", "from", c.route.addr(), "revision", *list.Revision, "complete", list.Complete,
			"members", len(list.Members), "failures", c.failures, "duration", time.Since(c.lastCall.began), "since_start", time.Since(c.startedAt))
	}
	switch {
	case list.Complete:
		c.notify(WatchEvent{Update: balancer.EndpointsReplaced, Members: list.Members, Revision: *list.Revision, Source: c.target.Addr})
	case len(list.Members) > 0 || first:
		c.notify(WatchEvent{Update: balancer.EndpointsChanged, Members: list.Members, Revision: *list.Revision, Source: c.target.Addr})
	}
}

// recordSuccess records that a call succeeded and the owner was notified of its result.
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
	if c.onResponse != nil {
		c.onResponse(c.lastCall.began, *list.Revision)
	}
}

// recordFailure records that the last call failed and since when updates may have been missed.
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
		syncedUntil = time.Now() // the watch has delivered everything until now
	}
	if relayed {
		syncedUntil = syncedUntil.Add(-RelayMaxStaleness)
	}
	c.recordMissed(syncedUntil.Add(balancer.NotifyBoundAfterFailure))
}

// recordDiscoveryFailure updates what is known of the load of the discovery service after a failed call to it.
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
