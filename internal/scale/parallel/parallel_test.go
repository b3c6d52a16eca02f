package parallel

import (
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

func TestForEach(t *testing.T) {
	errOdd := errors.New("odd")
	for _, c := range []struct {
		name         string
		items, limit int
		took         time.Duration
		want         string
	}{
		{"none", 0, 2, 0, ""},
		{"fewer than the limit", 2, 8, time.Second, "1: odd"},
		{"more than the limit", 5, 2, 3 * time.Second, "1: odd\n3: odd"},
		{"one at a time", 3, 1, 3 * time.Second, "1: odd"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				items := make([]int, c.items)
				for i := range items {
					items[i] = i
				}
				var running, calls atomic.Int64
				begun := time.Now()
				err := ForEach(items, c.limit, func(i int) error {
					if n := running.Add(1); n > int64(c.limit) {
						t.Errorf("got %d calls at a time, want at most %d", n, c.limit)
					}
					defer running.Add(-1)
					calls.Add(1)
					time.Sleep(time.Second)
					if i%2 == 1 {
						return fmt.Errorf("%d: %w", i, errOdd)
					}
					return nil
				})
				if calls.Load() != int64(c.items) || time.Since(begun) != c.took {
					t.Errorf("got %d calls in %v, want %d in %v", calls.Load(), time.Since(begun), c.items, c.took)
				}
				if (c.want == "") != (err == nil) || err != nil && (err.Error() != c.want || !errors.Is(err, errOdd)) {
					t.Errorf("got error %v, want %q", err, c.want)
				}
			})
		})
	}
}
