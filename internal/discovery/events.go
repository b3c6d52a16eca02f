package discovery

import (
	"time"

	"example.org/ryeloft/internal/balancer"
)

// WatchEvent is a notification to the owner of a client: the full list, changes to it, or that the list must be polled
// again, after a failed poll or watch (PollFailed) or at another target (DiscoveryMigrated). Remaining and PollLatency
// apply to both of these, RejectedImmediately and PollElapsed to PollFailed only.
type WatchEvent struct {
	Update              balancer.DiscoveryUpdate
	Members             []Member
	Remaining           time.Duration // until what was missed counts as notified; 0 if unknown
	RejectedImmediately bool          // the poll failed immediately, without costing the service work
	PollLatency         time.Duration // estimated time that the service takes for one poll; 0 if unknown
	PollElapsed         time.Duration // the part of the failed poll's duration that counts towards the wait for the next
	Revision            uint64        // of the list, or of the last change; 0 if the list must be polled again
	Source              string        // address of the service whose list it is, also if a relay sent it; empty for a failure
}

// Event converts the watch event to an input of the balancer. The endpoints are the members with the IDs that the owner
// assigned.
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

// PollResult describes one poll or watch, for metrics.
type PollResult struct {
	Wait         time.Duration // requested wait for changes; 0 for a poll
	Duration     time.Duration // in total
	Err          error         // why it returned no valid list
	Rejected     bool          // Err is a rejection
	Hedged       bool
	EndedByHedge bool // both the hedge and the first call were rejected
}
