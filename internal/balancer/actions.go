package balancer

import "time"

// ActionKind is the kind of an Action. It determines which fields of the Action are set.
type ActionKind uint8

// The values of ActionKind. Brackets list the fields that are set.
const (
	// ActionSend starts the next attempt of a request; attempts count from 0
	// [Request, Server, Timeout, DispatchWithin].
	ActionSend ActionKind = iota
	// ActionReject is the final response to a request that the client may safely retry [Request, RetryAfter].
	ActionReject
	// ActionFail is the final response to a request that may have run and must not run again [Request].
	ActionFail
	// ActionCancel cancels an attempt [Request, Attempt].
	ActionCancel
	// ActionSetTimer requests an EventTimer after a delay [Delay, TimerID].
	ActionSetTimer
	// ActionHealthCheck requests a load report from a server [Server].
	ActionHealthCheck
	// ActionPollEndpoints requests the endpoint list and all later changes to it.
	ActionPollEndpoints
	// ActionLog writes a log line for the operators [Text].
	ActionLog
)

// Action is an instruction to the caller. Actions must be carried out immediately and in the order returned.
type Action struct {
	Kind    ActionKind
	Request RequestID
	// Server is the server that receives the attempt or the health check.
	Server ServerID
	// Attempt is the attempt to cancel; the attempts of a request count from 0.
	Attempt int
	// Timeout is how long an attempt may take.
	Timeout time.Duration
	// DispatchWithin is the time within which an attempt must reach the server; after it the attempt must not be sent.
	// 0 means no limit.
	DispatchWithin time.Duration
	// RetryAfter is the delay after which a rejected client may retry; 0 gives no advice.
	RetryAfter time.Duration
	// Delay is the time until a timer fires.
	Delay time.Duration
	// TimerID is the id that the EventTimer must carry.
	TimerID TimerID
	// Text is the log line.
	Text string
}
