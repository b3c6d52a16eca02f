package balancer

import "time"

// ActionKind tells which fields of an Action count.
type ActionKind uint8

// The values of ActionKind. The fields that count stand in brackets.
const (
	// ActionSend starts the request's next attempt, counted from 0 [Request, Server, Timeout, DispatchWithin].
	ActionSend ActionKind = iota
	// ActionReject is the final answer to a request that has not run, so that a retry is harmless [Request, RetryAfter].
	ActionReject
	// ActionFail is the final answer to a request that may have run [Request].
	ActionFail
	// ActionCancel gives up an attempt [Request, Attempt].
	ActionCancel
	// ActionSetTimer asks for an EventTimer [Delay, TimerID].
	ActionSetTimer
	// ActionHealthCheck asks a server for its load [Server].
	ActionHealthCheck
	// ActionPollEndpoints asks for the endpoint list and for all later changes of it.
	ActionPollEndpoints
	// ActionLog is a line for the operators [Text].
	ActionLog
)

// Action is one thing that the caller must do, at once and in the order returned.
type Action struct {
	Kind    ActionKind
	Request RequestID
	// Server is whom to send the attempt to, or whose load to check.
	Server ServerID
	// Attempt is the attempt to cancel; the attempts of a request count from 0.
	Attempt int
	// Timeout is how long an attempt may take.
	Timeout time.Duration
	// DispatchWithin is the time within which an attempt has to reach the server, or else must not be sent; 0 is no limit.
	DispatchWithin time.Duration
	// RetryAfter is when a rejected client may retry; 0 gives no advice.
	RetryAfter time.Duration
	// Delay is the time until a timer fires.
	Delay time.Duration
	// TimerID is to be handed back in the EventTimer.
	TimerID TimerID
	// Text is the log line.
	Text string
}
