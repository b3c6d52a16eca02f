package simagent

import (
	"time"

	"example.org/ryeloft/internal/clock"
)

// Clock is the time that the model runs by.
type Clock interface {
	Now() time.Duration                             // since 1970; never runs backwards
	Wait(until time.Duration, wake <-chan struct{}) // until then, or until woken
}

// wallClock is the wall clock's time at the start and what has passed since.
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
