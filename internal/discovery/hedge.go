package discovery

import "time"

// rejectionState tracks rejections by a service that has more callers than it can answer. Such a service rejects some
// calls on arrival. A call that it accepts waits in a queue, but fails if a later call of the same agent is rejected,
// so a poll that may be queued must not be hedged. Polls of relays are not counted.
type rejectionState struct {
	seen      bool // a poll or watch was rejected since the last response
	endedPoll bool // a poll's hedge was rejected and its first call too
}

// recordRejection records that a poll or watch was rejected, and whether both the first call and its hedge were.
func (c *rejectionState) recordRejection(endedByHedge bool) {
	c.seen = true
	c.endedPoll = c.endedPoll || endedByHedge
}

// reset records that a call succeeded.
func (c *rejectionState) reset() { *c = rejectionState{} }

// hedgeDelay returns how long a poll waits for its first call before it sends a hedge: half of the remaining time, but
// at least half of the estimated poll time of the fleet, and after a rejection longer than an accepted call is queued.
// It returns false if the poll is not hedged: relays are called one after the other; in push mode calls cost the
// service nothing, so the poll is repeated instead; and after a timeout, or a poll that ended because its hedge was
// rejected, the service is more likely to be slow than to lose calls.
func (c *Client) hedgeDelay() (delay time.Duration, ok bool) {
	if c.route.atRelay() || !c.pollMode() || c.overload.timeouts > 0 || c.rejections.endedPoll {
		return 0, false
	}
	delay = pollTimeout / 2
	if c.deadline.pending() && !c.rejections.seen {
		delay = min(delay, c.deadline.remaining()/2)
	}
	return max(minHedgeDelay, delay, c.latency.fleetPollTime(c.agents())/2), true
}
