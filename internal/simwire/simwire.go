// Package simwire runs balancers for the simulator. It decodes batches of events from binary frames, passes each event
// to the balancer of its instance and encodes the resulting actions. It makes no decisions and uses only the clock in
// the batches. A single goroutine does all work and owns the instances.
package simwire

import "example.org/ryeloft/internal/balancer"

// eventCode is the code of an event in a batch.
type eventCode uint8

// The event codes. The comments give the names in the wire protocol.
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

// actionCode is the code of an action in a reply frame.
type actionCode uint8

// The action codes. The comments give the names in the wire protocol.
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

// outcomeByCode maps the outcome codes of the wire protocol to outcomes.
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
	batchHeaderBytes    = 20
	headerBytesInLength = 12 // part of the batch header that the length field includes: clock and record count
	replyHeaderBytes    = 8
	endpointBytes       = 21
	maxTextBytes        = 400 // longer texts are truncated
	maxEndpointLists    = 16  // list numbers are below this
	retryFlag           = 2   // request flag: the client marks the request as a retry
)

// Kind is the kind of a Record.
type Kind uint8

// The kinds of records.
const (
	Start   Kind = iota // start an instance with Seed and Settings
	Stop                // remove the instance
	Deliver             // pass Event to the instance
)

// Record is a decoded record for one instance.
type Record struct {
	Kind     Kind
	Instance uint32
	Seed     uint64
	Settings balancer.Settings
	Event    balancer.Event
}
