// Package clock separates the machine's two clocks. Intervals are measured only on the monotonic clock, because the
// wall clock may be stepped by an hour in either direction while the process runs. Readings of the wall clock are for
// people and other machines. The package has no mutable state, so everything except StepDetector is safe for concurrent
// use.
package clock

import "time"

// Anchored is Unix time that was read from the wall clock once and is advanced by the monotonic clock: it never runs
// backwards and does not follow later steps of the wall clock.
type Anchored struct{ start time.Time }

// Anchor returns an Anchored that starts at the current time.
func Anchor() Anchored { return Anchored{time.Now()} }

// Now returns the time since 1970.
func (a Anchored) Now() time.Duration { return time.Duration(a.start.UnixNano()) + a.Elapsed() }

// Elapsed returns the time since the anchor, on the monotonic clock.
func (a Anchored) Elapsed() time.Duration { return time.Since(a.start) }

// Wall returns the time since 1970 by the wall clock, for comparison with the monotonic clock only.
func Wall() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Phase returns the position of the wall clock within a period that is aligned on all machines, such as three seconds.
// Machines that act at different phases spread their load, as far as their clocks agree. A step of the wall clock moves
// the phase, so it must not be used as a bound.
func Phase(period time.Duration) time.Duration {
	return (Wall()%period + period) % period // not negative before 1970 either
}

// origin is the zero point of instants. It has a monotonic reading.
var origin = time.Now()

// Instant is a time on the monotonic clock of this process. It is for atomic integers, which cannot hold a time.Time;
// intervals between Unix times would be measured on the wall clock.
type Instant int64 // nanoseconds since the process started

// InstantOf returns the instant of a time that has a monotonic reading, as times from time.Now have.
func InstantOf(t time.Time) Instant { return Instant(t.Sub(origin)) }

// Time returns the instant as a time with a monotonic reading.
func (i Instant) Time() time.Time { return origin.Add(time.Duration(i)) }

// Past returns a deadline that has passed, which ends a blocked read or accept.
func Past() time.Time { return origin.Add(-time.Hour) }
