package discovery

import "time"

// rejectionState is what polls in a row tell of a service that has more callers than it can answer. It rejects some calls as they come; one that
// it takes waits for its turn, and ends if a later call of the same agent is rejected. So a poll that may be waiting is not to be
// hedged. Polls of relays say nothing about it.
type rejectionState struct {
	any       bool // a poll or watch, since the last answer
	endedPoll bool // a rejected hedge was followed by the rejection of its poll's first call
}

// recordRejection notes that a poll or watch was rejected, and whether its first call was so after its hedge.
func (c *rejectionState) recordRejection(endedByHedge bool) {
	c.any = true
	c.endedPoll = c.endedPoll || endedByHedge
}

// reset notes that a call was answered.
func (c *rejectionState) reset() { *c = rejectionState{} }

// hedgeDelay is how long a poll waits for its first call before it hedges it: half of the remaining time, but half of a round at
// least, and after a rejection longer than a call that was taken waits for its turn. It returns false if the poll is not hedged:
// relays are called one after the other, pushed lists cost the service nothing, so that the poll is repeated instead, and after a
// timeout, or a poll that its hedge has ended, the service is more likely to be slow than to lose calls.
func (c *Client) hedgeDelay() (delay time.Duration, ok bool) {
	if c.route.atRelay() || !c.pollMode() || c.overload.timeouts > 0 || c.rejections.endedPoll {
		return 0, false
	}
	longest := pollTimeout / 2
	if c.deadline.pending() && !c.rejections.any {
		longest = min(longest, c.deadline.remaining()/2)
	}
	return max(minHedgeDelay, longest, c.latency.fleetPollTime(c.agents())/2), true
}
