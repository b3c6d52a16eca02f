package upstream

import (
	"testing"
	"time"
)

// Connections that servers drop early and in silence are no longer used once a few requests were lost on them;
// younger ones are, and after a while the old ones are tried again.
func TestIdleLimitIsLearnt(t *testing.T) {
	for _, c := range []struct {
		name   string
		breaks func(idle time.Duration, n int) bool
		limit  time.Duration // 0: none is learnt
	}{
		{"all is well", func(time.Duration, int) bool { return false }, 0},
		{"one in twenty breaks at any age", func(_ time.Duration, n int) bool { return n%20 == 7 }, 0},
		{"two in five break from 128 ms on", func(idle time.Duration, n int) bool {
			return n%20 == 7 || idle >= 128*time.Millisecond && n%5 < 2
		}, 128 * time.Millisecond},
		{"all break from a second on", func(idle time.Duration, _ int) bool { return idle >= 1024*time.Millisecond },
			1024 * time.Millisecond},
	} {
		var l idleAgeStats
		idles := []time.Duration{0, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
			150 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second}
		for n := range 40 {
			for _, idle := range idles {
				l.record(idle, c.breaks(idle, n))
			}
		}
		for _, idle := range idles {
			if want := c.limit == 0 || idle < c.limit; l.allows(idle) != want {
				t.Errorf("%s: a connection idle for %v: allowed %v", c.name, idle, !want)
			}
		}
		for range 120 { // sweeps, one a second
			l.decay()
		}
		if !l.allows(2 * time.Second) {
			t.Errorf("%s: old connections are never tried again", c.name)
		}
	}
}
