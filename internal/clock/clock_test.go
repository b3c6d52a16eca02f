package clock

import (
	"strings"
	"testing"
	"time"
)

// A step must be reported once, with its size and direction. Time that passes on both clocks is no step.
func TestStepDetector(t *testing.T) {
	var d StepDetector
	wall, monotonic := time.Duration(time.Now().UnixNano()), time.Duration(0)
	for i, c := range []struct {
		passed, step, want time.Duration
	}{
		{0, 0, 0},
		{5 * time.Second, 0, 0},
		{5 * time.Second, 2 * time.Millisecond, 0}, // slewing
		{5 * time.Second, -time.Hour, -time.Hour},
		{5 * time.Second, 0, 0},
		{0, 400 * time.Second, 400 * time.Second},
	} {
		monotonic += c.passed
		wall += c.passed + c.step
		if got := d.Observe(wall, monotonic); got != c.want {
			t.Errorf("observation %d: got a step of %v, want %v", i, got, c.want)
		}
	}
}

// An instant must convert back to its time, to the nanosecond and with a monotonic reading.
func TestInstant(t *testing.T) {
	now := time.Now()
	got := InstantOf(now.Add(-time.Minute)).Time()
	if span := now.Sub(got); span != time.Minute {
		t.Errorf("got a time %v ago, want a minute", span)
	}
	if !strings.Contains(got.String(), " m=") {
		t.Errorf("%v has no monotonic reading", got)
	}
}
