package balancer

// The upper bits of a TimerID say what the timer is for; of timerCheck the lower ones hold an attempt and its request.
const (
	timerPoll  TimerID = 1 << 56
	timerCheck TimerID = 3 << 56
)

func (b *Balancer) onTimer(token TimerID) {
	switch token >> 56 << 56 {
	case timerPoll:
		if token == b.pollTimerID() {
			b.act(Action{Kind: ActionPollEndpoints})
		}
	case timerCheck:
		n := int(token >> 32 & 0xff)
		if r := b.requests[RequestID(token)]; r != nil && !r.streaming && n < len(r.attempts) && r.attempts[n].inFlight {
			// Danger: a costly request, or one on a connection that has gone dead, is no silence of its server,
			// which answers others meanwhile.
			a, answers := &r.attempts[n], r.attempts[n].server.lastAnswer > r.attempts[n].sentAt
			much := a.silenceWeight
			if !answers {
				much = min(much+0.5*b.failureWeight(r.class, a.server), 1)
			}
			b.recordSilence(r.class, a, much)
			if a.silenceChecks == 0 {
				a.server.silentAttempts++
			}
			if a.silenceChecks++; a.silenceWeight < 1 && (!answers || a.silenceChecks < 2) {
				b.act(Action{Kind: ActionSetTimer, TimerID: token, Delay: r.class.silenceTimeout()})
			}
			if a.silenceChecks > 1 || a.isLost() {
				b.hedge(r)
			}
		}
	}
}
