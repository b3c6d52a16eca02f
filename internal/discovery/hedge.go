package discovery

import "time"

// hedgeDelay is how long a poll waits for its first call before it hedges it: half of the remaining time, but half of a round at
// least. It returns false if the poll is not hedged: relays are called one after the other, pushed lists cost the service nothing, so
// that the poll is repeated instead, and after a timeout the service is more likely to be slow than to lose calls.
func (c *Client) hedgeDelay() (delay time.Duration, ok bool) {
	if c.route.relayed() || !c.pollMode() || c.overload.timeouts > 0 {
		return 0, false
	}
	longest := pollTimeout / 2
	if c.deadline.pending() {
		longest = min(longest, c.deadline.remaining()/2)
	}
	return max(minHedgeDelay, longest, c.latency.round(c.agents())/2), true
}
