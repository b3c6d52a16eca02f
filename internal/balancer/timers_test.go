package balancer

import "testing"

// Timer ids leave the package as numbers, so their layout must not change.
func TestTimerIDs(t *testing.T) {
	if id := newPollTimerID(9); id != 1<<56+9 || id.purpose() != timerPoll {
		t.Errorf("poll timer 9: got id %#x and purpose %d, want %#x and %d", uint64(id), id.purpose(), uint64(1<<56+9), timerPoll)
	}
	id := newSilenceTimerID(0xfffffffe, 0xab)
	if id != 3<<56+0xab<<32+0xfffffffe || id.purpose() != timerSilence {
		t.Errorf("silence timer: got id %#x and purpose %d, want %#x and %d", uint64(id), id.purpose(),
			uint64(3<<56+0xab<<32+0xfffffffe), timerSilence)
	}
	if request, attempt := id.attempt(); request != 0xfffffffe || attempt != 0xab {
		t.Errorf("silence timer %#x: got request %#x and attempt %#x, want 0xfffffffe and 0xab", uint64(id), request, attempt)
	}
}
