package clock

import "time"

// MinStep is the smallest difference between the two clocks that StepDetector reports as a step. Slewing, by which
// clocks are corrected without a step, stays below 0.5 ms per second on Linux.
const MinStep = 100 * time.Millisecond

// StepDetector detects steps of the wall clock by comparing it with the monotonic clock. The zero value is ready for
// use. It is not safe for concurrent use.
type StepDetector struct {
	offset  time.Duration // of the wall clock from the monotonic one, at the last observation
	started bool
}

// Observe takes readings of both clocks at the same moment: Unix time, and the monotonic clock since any fixed start.
// It returns by how much the wall clock was stepped since the last call, forwards if positive. It returns 0 for the
// first call and for differences below MinStep.
func (d *StepDetector) Observe(wall, monotonic time.Duration) time.Duration {
	offset := wall - monotonic
	step := offset - d.offset
	d.offset = offset
	if !d.started {
		d.started = true
		return 0
	}
	if step.Abs() < MinStep {
		return 0
	}
	return step
}
