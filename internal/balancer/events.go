package balancer

import "time"

// RequestID identifies one request of a client. Ids are not reused while a request is open.
type RequestID uint32

// TimerID identifies a timer. The Balancer chooses it; the caller hands it back when the timer fires.
type TimerID uint64

// Outcome says how an attempt or a health check ended.
type Outcome uint8

// The values of Outcome. OutcomeRejected, OutcomeConnectFailed, OutcomeExpired and OutcomeServerDraining prove that the
// attempt never ran.
const (
	// OutcomeOK is an answer.
	OutcomeOK Outcome = iota
	// OutcomeError is an answer that says that the request failed.
	OutcomeError
	// OutcomeRejected says that the server has refused the request for lack of capacity.
	OutcomeRejected
	// OutcomeTimeout says that no answer came within Action.Timeout.
	OutcomeTimeout
	// OutcomeConnectFailed says that no connection could be made.
	OutcomeConnectFailed
	// OutcomeReset says that the connection broke before the answer was complete.
	OutcomeReset
	// OutcomeCancelled says that the agent cancelled the attempt.
	OutcomeCancelled
	// OutcomeExpired says that the attempt was no longer wanted before anything was sent.
	OutcomeExpired
	// OutcomeServerDraining says that the server had begun to drain before anything was sent. It counts as no attempt.
	OutcomeServerDraining
)

// neverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) neverRan() bool {
	switch o {
	case OutcomeRejected, OutcomeConnectFailed, OutcomeExpired, OutcomeServerDraining:
		return true
	}
	return false
}

// After these times the platform treats an agent as notified of a change of the endpoint list, whether or not the
// change has arrived.
const (
	// NotifyBoundAfterFailure counts from when a failed poll or a silent watch could first have brought the change.
	NotifyBoundAfterFailure = 6 * time.Second
	// NotifyBoundAfterMigration counts from a reload that moves discovery.
	NotifyBoundAfterMigration = 4 * time.Second
)

// DiscoveryUpdate says what discovery brought.
type DiscoveryUpdate uint8

// The values of DiscoveryUpdate.
const (
	// EndpointsChanged brings the entries that have changed.
	EndpointsChanged DiscoveryUpdate = iota
	// EndpointsReplaced brings the complete list: servers that are not in it are removed.
	EndpointsReplaced
	// EndpointsCached brings the complete list as it was last known; it may be stale.
	EndpointsCached
	// PollFailed says that a poll brought no list; the endpoints stay [Remaining, PollLatency, PollElapsed, Outcome].
	PollFailed
	// DiscoveryMigrated says that the list has to be polled anew elsewhere; the endpoints stay [Remaining, PollLatency].
	DiscoveryMigrated
)

// KeepsEndpoints reports whether an update brings no endpoints, so that those known stay.
func (u DiscoveryUpdate) KeepsEndpoints() bool { return u >= PollFailed }

// EventKind tells which fields of an Event count.
type EventKind uint8

// The values of EventKind. The fields that count stand in brackets.
const (
	// EventDiscovery brings a change of the endpoint list or the failure of a poll [Update, Endpoints, and as the
	// update says].
	EventDiscovery EventKind = iota
	// EventRequest brings a request, which is owed one answer [Request, Class, Tenant, Remaining, Retry].
	EventRequest
	// EventStreaming says that the request's body or answer flows, so that it cannot be retried [Request].
	EventStreaming
	// EventOutcome says how an attempt ended [Request, Attempt, Server, Outcome, Answered, Load].
	EventOutcome
	// EventClientClosed says that the client has closed its connection and is owed nothing more [Request].
	EventClientClosed
	// EventTimer says that a timer fired [TimerID].
	EventTimer
	// EventHealthCheck says how a health check ended [Server, Outcome, Load].
	EventHealthCheck
)

// Event is one thing that happened to the agent. The Balancer keeps no slice of it after Handle returns.
type Event struct {
	Kind    EventKind
	Request RequestID
	// Server is the server of an attempt or a health check.
	Server ServerID
	// Attempt counts the attempts of a request from 0.
	Attempt int
	// Class and Tenant are positions in the settings.
	Class  int
	Tenant int
	// Remaining is the time until the client gives up, or until the platform treats the agent as notified of what a poll
	// missed; there 0 stands for all of NotifyBoundAfterFailure.
	Remaining time.Duration
	// PollLatency is the time that discovery takes for a poll; 0 if that is not known.
	PollLatency time.Duration
	// PollElapsed is how long ago the failed poll began if that counts towards the wait for the next one, else 0.
	PollElapsed time.Duration
	// Retry says that the client marks the request as a retry.
	Retry bool
	// Outcome is that of an attempt, a health check or a poll.
	Outcome Outcome
	// Answered says that the request has its final answer, by this outcome or before.
	Answered bool
	// Load is what the server reported with its answer.
	Load LoadReport
	// TimerID is that of the ActionSetTimer.
	TimerID TimerID
	Update  DiscoveryUpdate
	// Endpoints are the entries that have changed, or all of them, as Update says.
	Endpoints []Endpoint
}
