package balancer

// When the agent asks for the list of servers. All agents share one list service, which works through calls in
// turn, and each has to have a change by the time that the platform gives for it.

import (
	"cmp"
	"time"
)

const (
	// firstCallSlot is the time between two agents' first calls for the list, where nothing tells how long the
	// service takes for one. It is also the shortest time between two calls of an agent.
	firstCallSlot = 300 * time.Millisecond
	// listCallReserve is what calls for the list need of the time that is left: one that is lost, and one more.
	listCallReserve = 1500 * time.Millisecond
	// quickListCalls is how many calls in a row that were refused at once are followed by another one soon. Danger:
	// a service that is down refuses at once as well, and has to find its callers spread when it is back.
	quickListCalls = 2
)

// scheduleListCall sets when to ask for the list next, after a call that failed [Left, Answer], a move of the
// service [Left, Answer], or a start with an old list. It replaces what was set before.
func (b *Balancer) scheduleListCall(ev *Event) {
	switch ev.Update {
	case PollFailed:
		b.listFailures++
		b.listRefusals++
		if ev.Outcome != OutcomeRejected {
			b.listRefusals = 0
		}
	case DiscoveryMigrated: // the service at the new place has not failed yet
		b.listFailures, b.listRefusals = 1, 0
	}
	wait := b.firstListCall(ev)
	switch {
	case b.listFailures <= 1:
	case ev.PollLatency <= 0:
		wait = b.nextListCall(ev)
	default:
		wait = b.pacedListCall(ev)
	}
	b.listTimers++
	b.act(Action{Kind: ActionSetTimer, TimerID: b.listTimer(), Delay: wait})
}

// listTimer is the token of the timer that counts.
func (b *Balancer) listTimer() TimerID { return timerPoll | TimerID(b.listTimers) }

// firstListCall is the wait for the first call after a start, a move or a success. Agents that start together or
// fail together and ask together fail again, so they ask in turn, by rank, in short turns: until then they use
// servers that may have gone.
func (b *Balancer) firstListCall(ev *Event) time.Duration {
	turns := max(firstCallSlot, ev.PollLatency).Seconds() * float64(b.set.Agents)
	turn := (float64(b.set.Rank) + b.rng.Float64()) / float64(b.set.Agents)
	return seconds(min(b.listCallSpan(ev.Remaining).Seconds(), turns) * turn)
}

// nextListCall is the wait for a further call where nothing tells how long the service takes: a third of what is left
// at least.
func (b *Balancer) nextListCall(ev *Event) time.Duration {
	wait := b.listCallSpan(ev.Remaining).Seconds() * (1 + 2*b.rng.Float64()) / 3
	return max(firstCallSlot, seconds(wait))
}

// pacedListCall is the wait for a further call where it is known how long the service takes: half of a round to
// one and a half, a round being the time in which it can answer each agent once. Were calls much closer it would
// spend its time on those that come to nothing, and answer none in time. While there is time for more calls after
// the next one, the next comes sooner; sooner still after one or two calls that were refused at once, which have
// cost the service nothing.
func (b *Balancer) pacedListCall(ev *Event) time.Duration {
	round := ev.PollLatency * time.Duration(b.set.Agents)
	wait := seconds(round.Seconds() * (0.5 + b.rng.Float64()))
	part := time.Duration(2)
	if b.listRefusals > 0 && b.listRefusals <= quickListCalls {
		part = 4
	}
	if spare := b.listCallBound(ev.Remaining) - 2*ev.PollLatency; spare > 0 {
		wait = min(wait, max(spare/part, round/part))
	}
	return max(firstCallSlot, min(wait, b.listCallSpan(0)))
}

// listCallBound is how long the agent may go without an answer, with so much time left; 0 is all of
// NotifyBoundAfterFailure.
func (b *Balancer) listCallBound(left time.Duration) time.Duration {
	return min(cmp.Or(left, NotifyBoundAfterFailure), b.set.MaxPollInterval)
}

// listCallSpan is the part of it in which the next call has to begin.
func (b *Balancer) listCallSpan(left time.Duration) time.Duration {
	return max(0, b.listCallBound(left)-listCallReserve)
}
