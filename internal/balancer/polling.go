package balancer

import (
	"cmp"
	"time"
)

// This file decides when the agent polls the endpoint list. All agents share one discovery service, which processes
// polls one after the other, and each agent must learn of a change within the time that the platform allows.

const (
	// minPollInterval is the minimum time between two polls of an agent. It is also the time slot of each agent in a
	// round of first polls if the latency of the service is unknown.
	minPollInterval = 300 * time.Millisecond
	// startPollWindow is the time within which all agents that start together poll once. An agent serves no client
	// before its first poll, so the window is no longer than needed by a service that can respond to all agents in time.
	startPollWindow = NotifyBoundAfterFailure / 2
	// migrationPollWindow is the least time within which the agents poll once after a migration, even if less remains of
	// the bound of what they had missed before: at a service that they all called at once, those whose calls wait too long
	// would be later still. It applies to the first migration since the last list, or a series of migrations would put
	// the poll off for as long as it lasts.
	migrationPollWindow = 4 * minPollInterval
	// pollReserve is the part of the remaining time that is reserved for a lost poll and one more poll.
	pollReserve = 1500 * time.Millisecond
	// maxQuickPolls is how many consecutive rejected polls are followed by an early poll. A service that is down also
	// rejects polls, and the agents' polls must be spread out when it recovers.
	maxQuickPolls = 6
)

// schedulePoll sets the timer for the next poll after a failed poll, a migration, or a start with a cached list. It
// replaces any earlier poll timer.
func (b *Balancer) schedulePoll(ev *Event) {
	b.countPollFailure(ev)
	// firstPollDelay is always called: it draws a random number, and decisions depend on the sequence of draws.
	delay := b.firstPollDelay(ev)
	if b.pollFailures > 1 {
		if ev.PollLatency > 0 {
			delay = b.pacedPollDelay(ev)
		} else {
			delay = b.nextPollDelay(ev)
		}
	}
	b.pollTimers++
	b.emit(Action{Kind: ActionSetTimer, TimerID: newPollTimerID(b.pollTimers), Delay: delay})
}

// countPollFailure counts a failed poll. A migration discards earlier failures, since the new discovery service has not
// failed yet, and counts as the first failure.
func (b *Balancer) countPollFailure(ev *Event) {
	switch ev.Update {
	case PollFailed:
		b.pollFailures++
		b.pollRejections++
		if ev.Outcome != OutcomeRejected {
			b.pollRejections = 0
		}
	case DiscoveryMigrated:
		b.migrations++
		b.pollFailures = 1
		b.pollRejections = 0
	}
}

// onPollTimer polls the endpoint list if the timer is the latest one.
func (b *Balancer) onPollTimer(id TimerID) {
	if id == newPollTimerID(b.pollTimers) {
		b.emit(Action{Kind: ActionPollEndpoints})
	}
}

// firstPollDelay returns the delay of the next poll after a start, a migration or a first failure. Agents that start or
// fail together poll in time slots by rank, or their polls would fail together again. The slots are short, since
// requests may go to removed servers until the poll succeeds.
func (b *Balancer) firstPollDelay(ev *Event) time.Duration {
	roundSeconds := max(minPollInterval, ev.PollLatency).Seconds() * float64(b.settings.Agents)
	slot := (float64(b.settings.Rank) + b.rng.Float64()) / float64(b.settings.Agents)
	window := b.pollWindow(ev.Remaining)
	if ev.Update == DiscoveryMigrated && b.migrations == 1 {
		window = max(window, migrationPollWindow)
	}
	if ev.Update == EndpointsCached { // the age of the list is unknown, and clients wait
		window = min(window, startPollWindow)
	}
	return seconds(min(window.Seconds(), roundSeconds) * slot)
}

// nextPollDelay returns the delay of a further poll if the latency of the service is unknown: a random time between a
// third and all of pollWindow.
func (b *Balancer) nextPollDelay(ev *Event) time.Duration {
	delay := b.pollWindow(ev.Remaining).Seconds() * (1 + 2*b.rng.Float64()) / 3
	return max(minPollInterval, seconds(delay))
}

// pacedPollDelay returns the delay of a further poll if the latency of the service is known: 0.5 to 1.5 rounds, where a
// round is the time in which the service responds to each agent once. Much faster polls would keep the service busy
// with polls that the agents have already abandoned. The delay is shorter if time remains for another poll afterwards,
// and shorter still after a few rejections, even if no time remains: they cost the service nothing, and what the agent
// has missed may count as notified already. The bound may count from the start of the failed poll, so PollElapsed is
// subtracted: a poll that hangs plus a full delay would exceed the bound.
func (b *Balancer) pacedPollDelay(ev *Event) time.Duration {
	round := ev.PollLatency * time.Duration(b.settings.Agents)
	delay := seconds(round.Seconds() * (0.5 + b.rng.Float64()))
	slack := b.pollBound(ev.Remaining) - 2*ev.PollLatency
	switch {
	case b.pollRejections > 0 && b.pollRejections <= maxQuickPolls:
		delay = min(delay, max(slack, round)/4)
	case slack > 0:
		delay = min(delay, max(slack, round)/2)
	}
	return max(minPollInterval, min(delay, b.pollWindow(0)-ev.PollElapsed))
}

// pollBound returns how long the agent may go without a response, given the remaining time until it counts as notified;
// 0 means all of NotifyBoundAfterFailure. MaxPollInterval limits the result.
func (b *Balancer) pollBound(remaining time.Duration) time.Duration {
	return min(cmp.Or(remaining, NotifyBoundAfterFailure), b.settings.MaxPollInterval)
}

// pollWindow returns the time within which the next poll must start: pollBound less pollReserve.
func (b *Balancer) pollWindow(remaining time.Duration) time.Duration {
	return max(0, b.pollBound(remaining)-pollReserve)
}
