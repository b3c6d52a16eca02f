package simagent

import (
	"time"

	"example.org/ryeloft/internal/balancer"
)

// eventKind is the kind of an event. The comments at the kinds list in brackets the fields of event that each one uses.
type eventKind uint8

const (
	eventFunc             eventKind = iota // [run]
	eventRootCall                          // an agent's next root call [agent, incarnation]
	eventAttemptArrived                    // at its server [attempt]
	eventAttemptCancelled                  // at its server: the caller closed the connection [attempt]
	eventWorkDone                          // at its server: the server's own work is done [attempt, incarnation: the server's]
	eventCallDone                          // at its server: a call that the attempt made has ended [attempt, ok]
	eventOutcome                           // of an attempt, at its caller [attempt, outcome, report]
	eventTimeout                           // of an attempt, at its caller [attempt]
	eventTimer                             // an ActionSetTimer [agent, incarnation, token, controlPlane]
	eventHealthCheck                       // at its server [agent, incarnation, server, token]
	eventHealthCheckDone                   // at its caller [agent, incarnation, token, report, ok]
)

// event is an event in a shard's queue.
type event struct {
	due          time.Duration
	seq          uint64 // set by the queue: events due at the same time are handled in queueing order
	kind         eventKind
	ok           bool
	controlPlane bool // counts as control plane work
	outcome      balancer.Outcome
	incarnation  uint32
	report       loadReport
	agent        *agent
	server       *server
	attempt      *attempt
	token        uint64
	run          func()
}

func (e *event) before(o *event) bool {
	return e.due < o.due || e.due == o.due && e.seq < o.seq
}

// dispatch passes an event to its handler.
func (s *shard) dispatch(ev *event) {
	switch ev.kind {
	case eventFunc:
		ev.run()
	case eventRootCall:
		ev.agent.startRootCall(ev.incarnation)
	case eventAttemptArrived:
		ev.attempt.server.receive(ev.attempt)
	case eventAttemptCancelled:
		ev.attempt.server.cancel(ev.attempt)
	case eventWorkDone:
		ev.attempt.server.onWorkDone(ev.attempt, ev.incarnation)
	case eventCallDone:
		ev.attempt.server.onCallDone(ev.attempt, ev.ok)
	case eventOutcome:
		ev.attempt.call.agent.onAttemptDone(ev.attempt, ev.outcome, ev.report)
	case eventTimeout:
		ev.attempt.call.agent.onAttemptTimeout(ev.attempt)
	case eventTimer:
		ev.agent.onTimer(ev)
	case eventHealthCheck:
		ev.server.onHealthCheck(ev)
	case eventHealthCheckDone:
		ev.agent.onHealthCheckDone(ev)
	}
}
