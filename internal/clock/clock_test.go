package clock

import (
	"strings"
	"testing"
	"time"
)

// A step is reported once, by its size and direction; time that passes on both clocks alike is none.
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
			t.Errorf("observation %d: a step of %v, want %v", i, got, c.want)
		}
	}
}

// An instant gives the time back that it was made of, to the nanosecond and with its monotonic reading.
func TestInstant(t *testing.T) {
	now := time.Now()
	got := InstantOf(now.Add(-time.Minute)).Time()
	if span := now.Sub(got); span != time.Minute {
		t.Errorf("%v away, want a minute", span)
	}
	if !strings.Contains(got.String(), " m=") {
		t.Errorf("%v has no monotonic reading", got)
	}
}
