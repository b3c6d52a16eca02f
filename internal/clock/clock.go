// Package clock keeps the machine's two clocks apart. Intervals are measured on the monotonic clock alone, because the wall
// clock may be stepped by an hour either way while the process runs. What is read from the wall clock is for people and for
// other machines. The package holds no state that changes, so all of it but StepDetector is safe for concurrent use.
package clock

import "time"

// Anchored is Unix time as the wall clock had it once, advanced by the monotonic clock alone: it never runs backwards, and
// no later step of the wall clock shows in it.
type Anchored struct{ start time.Time }

// Anchor takes the present time.
func Anchor() Anchored { return Anchored{time.Now()} }

// Now returns the time since 1970.
func (a Anchored) Now() time.Duration { return time.Duration(a.start.UnixNano()) + a.Elapsed() }

// Elapsed returns the time since the anchor, on the monotonic clock.
func (a Anchored) Elapsed() time.Duration { return time.Since(a.start) }

// Wall returns the time since 1970 by the wall clock, for comparison with the monotonic clock only.
func Wall() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Phase returns where the wall clock is within a period that all machines count alike, such as three seconds. What they do
// at phases of their own is spread, as far as their clocks agree. A step of the wall clock moves the phase, so it must
// bound nothing.
func Phase(period time.Duration) time.Duration {
	return (Wall()%period + period) % period // not negative before 1970 either
}

// origin is what instants are counted from. It has a monotonic reading.
var origin = time.Now()

// Instant is a moment on the monotonic clock of this process. It is for atomic integers, which cannot hold a time.Time;
// Unix time in its place would measure intervals on the wall clock.
type Instant int64 // nanoseconds since the process started

// InstantOf returns the instant of a time that has a monotonic reading, as times from time.Now have.
func InstantOf(t time.Time) Instant { return Instant(t.Sub(origin)) }

// Time returns the instant as a time with a monotonic reading.
func (i Instant) Time() time.Time { return origin.Add(time.Duration(i)) }

// Past returns a deadline that has passed, for ending a read or an accept that is waiting.
func Past() time.Time { return origin.Add(-time.Hour) }
