package balancer

// A TimerID has the purpose of the timer in its upper byte. The bits below are a sequence number for a poll timer, and
// the attempt's index (8 bits) and the request id (32 bits) for a silence timer.
const (
	timerPurposeShift = 56
	timerAttemptShift = 32
	timerAttemptMask  = 0xff
)

// timerPurpose is the purpose of a timer.
type timerPurpose uint8

const (
	timerPoll    timerPurpose = 1
	timerSilence timerPurpose = 3
)

// newPollTimerID returns the id of the n-th poll timer.
func newPollTimerID(n uint64) TimerID { return TimerID(timerPoll)<<timerPurposeShift | TimerID(n) }

// newSilenceTimerID returns the id of the silence timer of an attempt, given by its index in the request.
func newSilenceTimerID(request RequestID, attempt int) TimerID {
	return TimerID(timerSilence)<<timerPurposeShift | TimerID(attempt)<<timerAttemptShift | TimerID(request)
}

// purpose returns the purpose of the timer.
func (id TimerID) purpose() timerPurpose { return timerPurpose(id >> timerPurposeShift) }

// attempt returns the request of a silence timer and the index of the attempt.
func (id TimerID) attempt() (request RequestID, attempt int) {
	return RequestID(id), int(id >> timerAttemptShift & timerAttemptMask)
}

// onTimer dispatches an expired timer by its purpose.
func (b *Balancer) onTimer(id TimerID) {
	switch id.purpose() {
	case timerPoll:
		b.onPollTimer(id)
	case timerSilence:
		b.onSilenceTimer(id)
	}
}

// TimerPending reports whether an EventTimer with the given id would have an effect.
func (b *Balancer) TimerPending(id TimerID) bool {
	if id.purpose() == timerPoll {
		return id == newPollTimerID(b.pollTimers)
	}
	requestID, index := id.attempt()
	r := b.requests[requestID]
	return r != nil && !r.streaming && r.isInFlight(index)
}
