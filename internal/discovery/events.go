package discovery

import (
	"time"

	"example.org/ryeloft/internal/balancer"
)

// WatchEvent is what the owner of a client is notified of: the list, changes of it, or that a poll or watch failed and how long
// there is to make up for it.
type WatchEvent struct {
	Update              balancer.DiscoveryUpdate
	Members             []Member
	Remaining           time.Duration // of PollFailed: until what was missed counts as notified; 0 if that is not known
	RejectedImmediately bool          // of PollFailed: the service rejected the poll at once, without work
	PollLatency         time.Duration // of PollFailed: that the service takes for a poll; 0 if that is not known
	PollElapsed         time.Duration // of PollFailed: since its begin, if the next poll is not to wait for the service's sake; else 0
	Revision            uint64        // of the list, or up to which the changes go; 0 for PollFailed
}

// Event is the watch event as an input of the balancer, with the members as the owner has numbered them.
func (e WatchEvent) Event(endpoints []balancer.Endpoint) balancer.Event {
	event := balancer.Event{
		Kind:        balancer.EventDiscovery,
		Update:      e.Update,
		Remaining:   e.Remaining,
		PollLatency: e.PollLatency,
		PollElapsed: e.PollElapsed,
		Endpoints:   endpoints,
	}
	if e.RejectedImmediately {
		event.Outcome = balancer.OutcomeRejected
	}
	return event
}

// PollResult is one poll or watch, as it is counted.
type PollResult struct {
	Wait         time.Duration // how long it was to wait for changes; 0 for a poll
	Duration     time.Duration // all in all
	Err          error         // why it brought no list that can be read
	Rejected     bool          // Err is a rejection
	Hedged       bool
	EndedByHedge bool // the hedge was rejected, and so was the first call
}
