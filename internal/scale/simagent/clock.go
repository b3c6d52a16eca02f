package simagent

import (
	"time"

	"example.org/ryeloft/internal/clock"
)

// Clock is the model's source of time.
type Clock interface {
	// Now returns the time since 1970. It never runs backwards.
	Now() time.Duration
	// Wait returns at the given time or when wake receives, whichever comes first.
	Wait(until time.Duration, wake <-chan struct{})
}

// wallClock is a Clock that starts at the wall clock's time and advances by the monotonic clock.
type wallClock struct{ clock.Anchored }

// Wait implements Clock.
func (w wallClock) Wait(until time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(until - w.Now())
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	}
}
