package balancer

// When the agent asks for the list of servers. All agents share one list service, which works through calls in
// turn, and each has to have a change by the time that the platform gives for it.

import (
	"cmp"
	"time"
)

const (
	// minPollInterval is the time between two agents' first calls for the list, where nothing tells how long the
	// service takes for one. It is also the shortest time between two calls of an agent.
	minPollInterval = 300 * time.Millisecond
	// pollReserve is what calls for the list need of the time that is left: one that is lost, and one more.
	pollReserve = 1500 * time.Millisecond
	// maxQuickPolls is how many calls in a row that were refused at once are followed by another one soon. Danger:
	// a service that is down refuses at once as well, and has to find its callers spread when it is back.
	maxQuickPolls = 2
)

// schedulePoll sets when to ask for the list next, after a call that failed [Left, Answer], a move of the
// service [Left, Answer], or a start with an old list. It replaces what was set before.
func (b *Balancer) schedulePoll(ev *Event) {
	switch ev.Update {
	case PollFailed:
		b.pollFailures++
		b.pollRejections++
		if ev.Outcome != OutcomeRejected {
			b.pollRejections = 0
		}
	case DiscoveryMigrated: // the service at the new place has not failed yet
		b.pollFailures, b.pollRejections = 1, 0
	}
	wait := b.firstPollDelay(ev)
	switch {
	case b.pollFailures <= 1:
	case ev.PollLatency <= 0:
		wait = b.nextPollDelay(ev)
	default:
		wait = b.pacedPollDelay(ev)
	}
	b.pollTimers++
	b.act(Action{Kind: ActionSetTimer, TimerID: b.pollTimerID(), Delay: wait})
}

// pollTimerID is the token of the timer that counts.
func (b *Balancer) pollTimerID() TimerID { return timerPoll | TimerID(b.pollTimers) }

// firstPollDelay is the wait for the first call after a start, a move or a success. Agents that start together or
// fail together and ask together fail again, so they ask in turn, by rank, in short turns: until then they use
// servers that may have gone.
func (b *Balancer) firstPollDelay(ev *Event) time.Duration {
	turns := max(minPollInterval, ev.PollLatency).Seconds() * float64(b.settings.Agents)
	turn := (float64(b.settings.Rank) + b.rng.Float64()) / float64(b.settings.Agents)
	return seconds(min(b.pollWindow(ev.Remaining).Seconds(), turns) * turn)
}

// nextPollDelay is the wait for a further call where nothing tells how long the service takes: a third of what is left
// at least.
func (b *Balancer) nextPollDelay(ev *Event) time.Duration {
	wait := b.pollWindow(ev.Remaining).Seconds() * (1 + 2*b.rng.Float64()) / 3
	return max(minPollInterval, seconds(wait))
}

// pacedPollDelay is the wait for a further call where it is known how long the service takes: half of a round to
// one and a half, a round being the time in which it can answer each agent once. Were calls much closer it would
// spend its time on those that come to nothing, and answer none in time. While there is time for more calls after
// the next one, the next comes sooner; sooner still after one or two calls that were refused at once, which have
// cost the service nothing.
func (b *Balancer) pacedPollDelay(ev *Event) time.Duration {
	round := ev.PollLatency * time.Duration(b.settings.Agents)
	wait := seconds(round.Seconds() * (0.5 + b.rng.Float64()))
	part := time.Duration(2)
	if b.pollRejections > 0 && b.pollRejections <= maxQuickPolls {
		part = 4
	}
	if spare := b.pollBound(ev.Remaining) - 2*ev.PollLatency; spare > 0 {
		wait = min(wait, max(spare/part, round/part))
	}
	return max(minPollInterval, min(wait, b.pollWindow(0)))
}

// pollBound is how long the agent may go without an answer, with so much time left; 0 is all of
// NotifyBoundAfterFailure.
func (b *Balancer) pollBound(left time.Duration) time.Duration {
	return min(cmp.Or(left, NotifyBoundAfterFailure), b.settings.MaxPollInterval)
}

// pollWindow is the part of it in which the next call has to begin.
func (b *Balancer) pollWindow(left time.Duration) time.Duration {
	return max(0, b.pollBound(left)-pollReserve)
}
