package upstream

import (
	"testing"
	"time"
)

// If a server silently drops connections after some idle time, they are no longer reused after a few lost requests.
// Connections with a shorter idle time are still reused, and the longer ones are tried again later.
func TestIdleAgeLimit(t *testing.T) {
	for _, c := range []struct {
		name  string
		lost  func(idle time.Duration, n int) bool
		limit time.Duration // 0: no limit is found
	}{
		{"no losses", func(time.Duration, int) bool { return false }, 0},
		{"one in twenty lost at any age", func(_ time.Duration, n int) bool { return n%20 == 7 }, 0},
		{"two in five lost from 128 ms on", func(idle time.Duration, n int) bool {
			return n%20 == 7 || idle >= 128*time.Millisecond && n%5 < 2
		}, 128 * time.Millisecond},
		{"all lost from one second on", func(idle time.Duration, _ int) bool { return idle >= 1024*time.Millisecond },
			1024 * time.Millisecond},
	} {
		var stats idleAgeStats
		idles := []time.Duration{0, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
			150 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second}
		for n := range 40 {
			for _, idle := range idles {
				stats.record(idle, c.lost(idle, n))
			}
		}
		for _, idle := range idles {
			if want := c.limit == 0 || idle < c.limit; stats.allows(idle) != want {
				t.Errorf("%s: connection idle for %v: got allowed %v, want %v", c.name, idle, !want, want)
			}
		}
		for range 120 { // one sweep per second
			stats.decay()
		}
		if !stats.allows(2 * time.Second) {
			t.Errorf("%s: connections idle for 2 s are not retried after 120 sweeps", c.name)
		}
	}
}
