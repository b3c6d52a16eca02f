package balancer

// A TimerID holds the purpose of the timer in its upper byte. Below that a poll timer holds its number, and a silence
// timer the position of an attempt and the id of its request.
const (
	timerPurposeShift = 56
	timerAttemptShift = 32
	timerAttemptMask  = 0xff
)

// timerPurpose says what a timer is for.
type timerPurpose uint8

const (
	timerPoll    timerPurpose = 1
	timerSilence timerPurpose = 3
)

// newPollTimerID returns the id of the n-th poll timer.
func newPollTimerID(n uint64) TimerID { return TimerID(timerPoll)<<timerPurposeShift | TimerID(n) }

// newSilenceTimerID returns the id of the silence timer of an attempt, which is given by its position in the request.
func newSilenceTimerID(request RequestID, attempt int) TimerID {
	return TimerID(timerSilence)<<timerPurposeShift | TimerID(attempt)<<timerAttemptShift | TimerID(request)
}

// purpose returns what the timer is for.
func (id TimerID) purpose() timerPurpose { return timerPurpose(id >> timerPurposeShift) }

// attempt returns the request of a silence timer and the position of the attempt.
func (id TimerID) attempt() (request RequestID, attempt int) {
	return RequestID(id), int(id >> timerAttemptShift & timerAttemptMask)
}

// onTimer hands a timer that has fired to the concern that set it.
func (b *Balancer) onTimer(id TimerID) {
	switch id.purpose() {
	case timerPoll:
		b.onPollTimer(id)
	case timerSilence:
		b.onSilenceTimer(id)
	}
}
