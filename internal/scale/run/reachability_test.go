package run

import (
	"testing"
	"time"
)

func TestReachability(t *testing.T) {
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	r := newReachability(2)
	r.beginOutage([]int{0, 1}, at(10)) // control is down
	r.beginOutage([]int{1}, at(12))    // and the region is partitioned
	r.endOutage([]int{0, 1}, at(20))
	r.endOutage([]int{1}, at(25))
	r.beginOutage([]int{1}, at(40))
	for _, c := range []struct {
		agent    int
		at, want int64
	}{
		{0, 5, 5}, {0, 10, 20}, {0, 19, 20}, {0, 20, 20}, {1, 11, 25}, {1, 22, 25}, {1, 30, 30}, {1, 41, -1},
	} {
		want := c.want * int64(time.Second)
		if c.want < 0 {
			want = never
		}
		if got := r.reachableFrom(c.agent, at(c.at).UnixNano()); got != want {
			t.Errorf("agent %d, change at %d s: got reachable from %d, want %d", c.agent, c.at, got, want)
		}
	}
	s := func(n int64) int64 { return n * int64(time.Second) }
	changes := []delivery{{publishedAt: s(5), receivedAt: []int64{s(6), 0}}, {publishedAt: s(15), receivedAt: []int64{s(22), s(24)}}, {publishedAt: s(50), receivedAt: []int64{0, 0}}}
	d, undelivered := summarizeDeliveries(changes, []int{0, 1}, r, s(55), 6*time.Second)
	if d.N != 3 || d.Max < 1999 || d.Max > 2002 || undelivered != 1 {
		t.Errorf("got %+v, undelivered %d; want 1 s, 2 s, 0 s (received while recorded as unreachable) and 1 undelivered (the last change had not timed out)", d, undelivered)
	}
}
