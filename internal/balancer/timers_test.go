package balancer

import "testing"

// The ids of timers are handed out and back as numbers, which stay what they are.
func TestTimerIDs(t *testing.T) {
	if id := newPollTimerID(9); id != 1<<56+9 || id.purpose() != timerPoll {
		t.Errorf("poll timer 9 has id %#x and purpose %d", uint64(id), id.purpose())
	}
	id := newSilenceTimerID(0xfffffffe, 0xab)
	if id != 3<<56+0xab<<32+0xfffffffe || id.purpose() != timerSilence {
		t.Errorf("a silence timer has id %#x and purpose %d", uint64(id), id.purpose())
	}
	if request, attempt := id.attempt(); request != 0xfffffffe || attempt != 0xab {
		t.Errorf("silence timer %#x is for attempt %d of request %d", uint64(id), attempt, request)
	}
}
