package balancer

import (
	"cmp"
	"time"
)

// When the agent polls the endpoint list. All agents share one discovery service, which answers polls in turn, and each
// agent has to hear of a change within the time that the platform allows.

const (
	// minPollInterval is the least time between two polls of an agent. It is also the turn of each agent in a first
	// poll where the latency of the service is not known.
	minPollInterval = 300 * time.Millisecond
	// startPollWindow is the time in which all agents poll once that start together. No client is served before, so it is
	// no longer than a service needs that can answer all agents in time.
	startPollWindow = NotifyBoundAfterFailure / 2
	// pollReserve is the part of the remaining time that is kept for a poll that is lost and for another one.
	pollReserve = 1500 * time.Millisecond
	// maxQuickPolls is how many rejected polls in a row are followed by another one soon. A service that is down
	// rejects as well, and has to find its callers spread when it is back.
	maxQuickPolls = 2
)

// schedulePoll sets the timer for the next poll, after a poll that failed, a migration, or a start with a cached
// list. It replaces the timer that was set before.
func (b *Balancer) schedulePoll(ev *Event) {
	b.countPollFailure(ev)
	// The first delay is computed in any case: it consumes a random number, and decisions follow their sequence.
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

// countPollFailure counts a failed poll. A migration counts as the first failure, since the service at the new place
// has not failed yet.
func (b *Balancer) countPollFailure(ev *Event) {
	switch ev.Update {
	case PollFailed:
		b.pollFailures++
		b.pollRejections++
		if ev.Outcome != OutcomeRejected {
			b.pollRejections = 0
		}
	case DiscoveryMigrated:
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

// firstPollDelay returns the wait for the first poll after a start, a migration or a success. Agents that start or fail
// together take turns by rank, or their polls would fail together again; the turns are short, since until then requests
// are sent to servers that may have been removed.
func (b *Balancer) firstPollDelay(ev *Event) time.Duration {
	allTurns := max(minPollInterval, ev.PollLatency).Seconds() * float64(b.settings.Agents)
	turn := (float64(b.settings.Rank) + b.rng.Float64()) / float64(b.settings.Agents)
	window := b.pollWindow(ev.Remaining)
	if ev.Update == EndpointsCached { // nothing tells the age of the list, and clients wait
		window = min(window, startPollWindow)
	}
	return seconds(min(window.Seconds(), allTurns) * turn)
}

// nextPollDelay returns the wait for a further poll where the latency of the service is not known: a third of the
// remaining time at least.
func (b *Balancer) nextPollDelay(ev *Event) time.Duration {
	delay := b.pollWindow(ev.Remaining).Seconds() * (1 + 2*b.rng.Float64()) / 3
	return max(minPollInterval, seconds(delay))
}

// pacedPollDelay returns the wait for a further poll where the latency of the service is known: half of a round to
// one and a half, a round being the time in which the service answers each agent once. Polls that came much faster
// would keep it busy with polls that are given up. A poll that leaves time for another one comes sooner, and sooner
// still after one or two rejections, which have cost the service nothing. The bound may count from the begin of the
// failed poll: one that hangs and a full wait would outlast it together.
func (b *Balancer) pacedPollDelay(ev *Event) time.Duration {
	round := ev.PollLatency * time.Duration(b.settings.Agents)
	delay := seconds(round.Seconds() * (0.5 + b.rng.Float64()))
	divisor := time.Duration(2)
	if b.pollRejections > 0 && b.pollRejections <= maxQuickPolls {
		divisor = 4
	}
	unused := b.pollBound(ev.Remaining) - 2*ev.PollLatency
	if unused > 0 {
		delay = min(delay, max(unused/divisor, round/divisor))
	}
	return max(minPollInterval, min(delay, b.pollWindow(0)-ev.PollElapsed))
}

// pollBound returns how long the agent may go without an answer when so much time remains; 0 stands for all of
// NotifyBoundAfterFailure.
func (b *Balancer) pollBound(remaining time.Duration) time.Duration {
	return min(cmp.Or(remaining, NotifyBoundAfterFailure), b.settings.MaxPollInterval)
}

// pollWindow returns the part of pollBound within which the next poll has to start.
func (b *Balancer) pollWindow(remaining time.Duration) time.Duration {
	return max(0, b.pollBound(remaining)-pollReserve)
}
