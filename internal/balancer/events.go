package balancer

import "time"

// RequestID identifies one request of a client. An id is not reused while its request is open.
type RequestID uint32

// TimerID identifies a timer. The Balancer chooses it; the caller returns it in the EventTimer when the timer fires.
type TimerID uint64

// Outcome is the result of an attempt, a health check or a poll.
type Outcome uint8

// The values of Outcome. OutcomeRejected, OutcomeConnectFailed, OutcomeExpired and OutcomeServerDraining prove that the
// attempt never ran.
const (
	// OutcomeOK means that the server responded.
	OutcomeOK Outcome = iota
	// OutcomeError means that the server responded that the request failed.
	OutcomeError
	// OutcomeRejected means that the server rejected the request for lack of capacity.
	OutcomeRejected
	// OutcomeTimeout means that no response arrived within Action.Timeout.
	OutcomeTimeout
	// OutcomeConnectFailed means that no connection could be established.
	OutcomeConnectFailed
	// OutcomeReset means that the connection broke before the response was complete.
	OutcomeReset
	// OutcomeCancelled means that the agent cancelled the attempt.
	OutcomeCancelled
	// OutcomeExpired means that the agent abandoned the attempt before anything was sent.
	OutcomeExpired
	// OutcomeServerDraining means that the server began to drain before anything was sent. It does not count as an
	// attempt.
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

// After these times the platform treats an agent as notified of an endpoint list change, whether or not the change has
// arrived.
const (
	// NotifyBoundAfterFailure counts from the earliest time at which a failed poll or an unresponsive watch could have
	// delivered the change.
	NotifyBoundAfterFailure = 6 * time.Second
	// NotifyBoundAfterMigration counts from a configuration reload that moves discovery to another address.
	NotifyBoundAfterMigration = 4 * time.Second
)

// DiscoveryUpdate is the kind of an EventDiscovery.
type DiscoveryUpdate uint8

// The values of DiscoveryUpdate.
const (
	// EndpointsChanged carries the changed entries.
	EndpointsChanged DiscoveryUpdate = iota
	// EndpointsReplaced carries the complete list: servers that are absent from it are removed.
	EndpointsReplaced
	// EndpointsCached carries the complete list as last known; it may be stale.
	EndpointsCached
	// PollFailed means that a poll returned no list; the endpoints are kept
	// [Remaining, PollLatency, PollElapsed, Outcome].
	PollFailed
	// DiscoveryMigrated means that the list must be polled again from another discovery service; the endpoints are kept
	// [Remaining, PollLatency].
	DiscoveryMigrated
)

// KeepsEndpoints reports whether an update carries no endpoints, so that the known ones are kept.
func (u DiscoveryUpdate) KeepsEndpoints() bool { return u >= PollFailed }

// EventKind is the kind of an Event. It determines which fields of the Event are set.
type EventKind uint8

// The values of EventKind. Brackets list the fields that are set.
const (
	// EventDiscovery reports an endpoint list change, a failed poll or a discovery migration [Update, Endpoints, and
	// the fields listed for the DiscoveryUpdate].
	EventDiscovery EventKind = iota
	// EventRequest reports a new request, which gets exactly one final response
	// [Request, Class, Tenant, Remaining, Retry].
	EventRequest
	// EventStreaming reports that the request's body or response has started to stream, so that the request cannot be
	// retried [Request].
	EventStreaming
	// EventOutcome reports the end of an attempt [Request, Attempt, Server, Outcome, Answered, Load].
	EventOutcome
	// EventClientClosed reports that the client closed its connection and needs no response [Request].
	EventClientClosed
	// EventTimer reports that a timer fired [TimerID].
	EventTimer
	// EventHealthCheck reports the end of a health check [Server, Outcome, Load].
	EventHealthCheck
)

// Event is an input to Handle. The Balancer does not retain any slice of it after Handle returns.
type Event struct {
	Kind    EventKind
	Request RequestID
	// Server is the server of an attempt or a health check.
	Server ServerID
	// Attempt counts the attempts of a request from 0.
	Attempt int
	// Class and Tenant are indexes into Settings.Classes and Settings.Tenants.
	Class  int
	Tenant int
	// Remaining is the time until the client gives up (EventRequest), or until the platform treats the agent as notified
	// of the changes that a poll missed (EventDiscovery); there 0 means all of NotifyBoundAfterFailure.
	Remaining time.Duration
	// PollLatency is the time that the discovery service needs for a poll; 0 if unknown.
	PollLatency time.Duration
	// PollElapsed is the part of the time since the failed poll began that counts towards the delay of the next one.
	PollElapsed time.Duration
	// Retry means that the client marked the request as a retry.
	Retry bool
	// Outcome is the result of an attempt, a health check or a poll.
	Outcome Outcome
	// Answered means that the client has its final response, from this attempt or from an earlier one.
	Answered bool
	// Load is the server's report from its response or health check.
	Load LoadReport
	// TimerID is the id from the ActionSetTimer.
	TimerID TimerID
	Update  DiscoveryUpdate
	// Endpoints are the changed entries or the complete list, depending on Update.
	Endpoints []Endpoint
}
