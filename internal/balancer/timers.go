package balancer

// The upper bits of a TimerID say what the timer is for; of timerCheck the lower ones hold an attempt and its request.
const (
	timerPoll  TimerID = 1 << 56
	timerCheck TimerID = 3 << 56
)

func (b *Balancer) onTimer(token TimerID) {
	switch token >> 56 << 56 {
	case timerPoll:
		if token == b.listTimer() {
			b.act(Action{Kind: ActionPollEndpoints})
		}
	case timerCheck:
		n := int(token >> 32 & 0xff)
		if r := b.open[RequestID(token)]; r != nil && !r.begun && n < len(r.attempts) && r.attempts[n].out {
			// Danger: a costly request, or one on a connection that has gone dead, is no silence of its server,
			// which answers others meanwhile.
			a, answers := &r.attempts[n], r.attempts[n].server.used > r.attempts[n].sent
			much := a.blamed
			if !answers {
				much = min(much+0.5*b.doubt(r.class, a.server), 1)
			}
			b.silent(r.class, a, much)
			if a.checks == 0 {
				a.server.silent++
			}
			if a.checks++; a.blamed < 1 && (!answers || a.checks < 2) {
				b.act(Action{Kind: ActionSetTimer, TimerID: token, Delay: r.class.patient()})
			}
			if a.checks > 1 || a.lost() {
				b.again(r)
			}
		}
	}
}
