// Package clock keeps the machine's two clocks apart. Spans are measured on the monotonic clock alone: the wall clock may be
// stepped by an hour either way while the process runs. What is read from the wall clock is for people and for other
// machines.
package clock

import "time"

// MinStep is the smallest difference between the two clocks that StepDetector takes for a step. Slewing, by which
// clocks are corrected without a step, stays under 0.5 ms a second on Linux.
const MinStep = 100 * time.Millisecond

// StepDetector notices steps of the wall clock by comparing it with the monotonic clock. The zero value is ready for use. It
// is not safe for concurrent use.
type StepDetector struct {
	offset time.Duration // of the wall clock against the monotonic one, at the last observation
	begun  bool
}

// Observe takes readings of both clocks, made at the same moment: Unix time, and the monotonic clock since any fixed
// start. It returns by how much the wall clock has been stepped since the last call, forwards if positive; 0 at the first
// call and for anything under MinStep.
func (d *StepDetector) Observe(wall, monotonic time.Duration) time.Duration {
	step := wall - monotonic - d.offset
	d.offset += step
	if !d.begun {
		d.begun = true
		return 0
	}
	if step.Abs() < MinStep {
		return 0
	}
	return step
}

// Anchored is Unix time as the wall clock had it once, moved on by the monotonic clock alone: it never runs backwards, and
// no later step of the wall clock shows in it.
type Anchored struct{ start time.Time }

// Anchor takes the present time.
func Anchor() Anchored { return Anchored{time.Now()} }

// Wall is the time since 1970 by the wall clock, for comparison with the monotonic clock only.
func Wall() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Now is the time since 1970.
func (a Anchored) Now() time.Duration { return time.Duration(a.start.UnixNano()) + a.Elapsed() }

// Elapsed is the time since the anchor, on the monotonic clock.
func (a Anchored) Elapsed() time.Duration { return time.Since(a.start) }

// origin is what instants are counted from; with its monotonic reading.
var origin = time.Now()

// Instant is a moment on the monotonic clock of this process. It is for atomic integers, which hold no time.Time: Unix time
// in its place would make each span a span of the wall clock.
type Instant int64 // nanoseconds since the process began

// InstantOf is the instant of a time that has a monotonic reading, as times from time.Now have.
func InstantOf(t time.Time) Instant { return Instant(t.Sub(origin)) }

// Time is the instant as a time with a monotonic reading.
func (i Instant) Time() time.Time { return origin.Add(time.Duration(i)) }

// Phase is where the wall clock is within a period that all machines count alike, such as three seconds: what they do at phases
// of their own is spread, as far as their clocks agree. A step only moves the phase; it must bound nothing.
func Phase(period time.Duration) time.Duration {
	return (Wall()%period + period) % period // before 1970 too
}

// Past is a deadline that is over, by which a read or an accept that waits is broken off.
func Past() time.Time { return origin.Add(-time.Hour) }
