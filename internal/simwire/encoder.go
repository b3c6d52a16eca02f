package simwire

import (
	"encoding/binary"
	"math"
	"time"

	"example.org/ryeloft/internal/balancer"
)

// Encoder encodes one reply at a time.
type Encoder struct{ buf []byte }

// Begin starts the reply to a batch.
func (e *Encoder) Begin(batch uint32) {
	var header [replyHeaderBytes]byte
	binary.BigEndian.PutUint32(header[:], batch)
	e.buf = append(e.buf[:0], header[:]...)
}

// Finish returns the complete reply. It is valid until the next call of Begin.
func (e *Encoder) Finish() []byte {
	binary.BigEndian.PutUint32(e.buf[4:], uint32(len(e.buf)-replyHeaderBytes))
	return e.buf
}

// InternalError writes an action that reports a failure of an instance's balancer.
func (e *Encoder) InternalError(instance uint32, text string) {
	e.begin(actionInternalError, instance)
	e.text(text)
}

// Action writes one action of an instance.
func (e *Encoder) Action(instance uint32, a *balancer.Action) {
	switch a.Kind {
	case balancer.ActionSend:
		e.begin(actionSend, instance)
		e.u32(uint32(a.Request))
		e.u32(uint32(a.Server))
		e.duration(a.Timeout)
	case balancer.ActionReject:
		e.begin(actionReject, instance)
		e.u32(uint32(a.Request))
		e.duration(a.RetryAfter)
	case balancer.ActionFail:
		e.begin(actionFail, instance)
		e.u32(uint32(a.Request))
	case balancer.ActionCancel:
		e.begin(actionCancel, instance)
		e.u32(uint32(a.Request))
		e.u8(uint8(a.Attempt))
	case balancer.ActionSetTimer:
		e.begin(actionSetTimer, instance)
		e.duration(a.Delay)
		e.u64(uint64(a.TimerID))
	case balancer.ActionHealthCheck:
		e.begin(actionHealthCheck, instance)
		e.u32(uint32(a.Server))
	case balancer.ActionPollEndpoints:
		e.begin(actionPollEndpoints, instance)
		e.u8(1) // on; the balancer never turns it off
	case balancer.ActionLog:
		e.begin(actionLog, instance)
		e.text(a.Text)
	}
}

func (e *Encoder) begin(code actionCode, instance uint32) {
	e.u8(uint8(code))
	e.u32(instance)
}

func (e *Encoder) u8(v uint8)   { e.buf = append(e.buf, v) }
func (e *Encoder) u32(v uint32) { e.buf = binary.BigEndian.AppendUint32(e.buf, v) }
func (e *Encoder) u64(v uint64) { e.buf = binary.BigEndian.AppendUint64(e.buf, v) }

func (e *Encoder) duration(d time.Duration) {
	milliseconds := float64(d) / float64(time.Millisecond)
	e.u64(math.Float64bits(milliseconds))
}

func (e *Encoder) text(s string) {
	s = s[:min(len(s), maxTextBytes)]
	e.buf = binary.BigEndian.AppendUint16(e.buf, uint16(len(s)))
	e.buf = append(e.buf, s...)
}
