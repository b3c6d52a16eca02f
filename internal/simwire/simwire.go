// Package simwire hosts balancers behind the simulator's binary frames: it decodes batches of events, hands them to the balancer of
// their instance and encodes its actions. It makes no decisions and reads no clock but that of the batches. One goroutine does
// all of it and owns the instances.
package simwire

import "example.org/ryeloft/internal/balancer"

// eventCode is the code of an event in a batch.
type eventCode uint8

// The codes of events, with the names that the wire gives them.
const (
	eventStart        eventCode = 10  // Create
	eventDiscovery    eventCode = 20  // View
	eventRequest      eventCode = 30  // Ask
	eventStreaming    eventCode = 40  // Begun
	eventOutcome      eventCode = 50  // Reply
	eventClientClosed eventCode = 60  // Hangup
	eventTimer        eventCode = 70  // Timer
	eventHealthCheck  eventCode = 80  // CheckResult
	eventPeerMessage  eventCode = 90  // Datagram
	eventStop         eventCode = 100 // Detach
	eventEndpointList eventCode = 110 // Manifest
)

// actionCode is the code of an action in a reply.
type actionCode uint8

// The codes of actions, with the names that the wire gives them.
const (
	actionReject        actionCode = 10  // Refuse
	actionLog           actionCode = 20  // Log
	actionInternalError actionCode = 30  // InternalError
	actionPollEndpoints actionCode = 40  // Follow
	actionCancel        actionCode = 60  // UndoSend
	actionSend          actionCode = 70  // PassOn
	actionFail          actionCode = 90  // EndFailed
	actionSetTimer      actionCode = 100 // SetAlarm
	actionHealthCheck   actionCode = 110 // Probe
)

// outcomeByCode maps the codes of outcomes.
var outcomeByCode = map[uint8]balancer.Outcome{
	10: balancer.OutcomeOK,
	20: balancer.OutcomeError,
	30: balancer.OutcomeRejected,
	40: balancer.OutcomeTimeout,
	50: balancer.OutcomeConnectFailed,
	60: balancer.OutcomeReset,
	70: balancer.OutcomeCancelled,
	80: balancer.OutcomeExpired,
}

const (
	batchHeaderBytes   = 20
	countedHeaderBytes = 12 // of the batch header that its length field counts: clock and number of records
	replyHeaderBytes   = 8
	endpointBytes      = 21
	maxTextBytes       = 400 // a longer text is cut
	endpointLists      = 16  // numbers that a list may have
	retryFlag          = 2   // of a request: the client marks it as a retry
)

// Kind tells what a Record asks of the adapter.
type Kind uint8

// The kinds of records.
const (
	Start   Kind = iota // start an instance with Seed and Settings
	Stop                // drop the instance
	Deliver             // hand Event to the instance
)

// Record is one event for one instance.
type Record struct {
	Kind     Kind
	Instance uint32
	Seed     uint64
	Settings balancer.Settings
	Event    balancer.Event
}
