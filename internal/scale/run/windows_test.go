package run

import (
	"math"
	"testing"

	"example.org/ryeloft/internal/scale/result"
)

func TestRates(t *testing.T) {
	in := [][]int64{{10, 20, 30, 99}, {60}, {1000, 1000, 1000}}
	out := [][]int64{{0, 0, 6}, {0, 3}}
	meanIn, meanOut, worst6s := rates(in, out, []int{0, 1}, 3)
	near := func(got, want float64) bool { return math.Abs(got-want) <= want/1000 } // the precision of histograms
	if !near(meanIn.Max, 20) || !near(meanOut.Max, 2) || !near(worst6s.Max, 22) || meanIn.N != 2 {
		t.Errorf("got in %+v, out %+v, worst %+v; want maxima 20, 2 and 22 of 2 agents", meanIn, meanOut, worst6s)
	}
	if got := bytesBetween(1, 3, in, out); got != 20+30+2000+6+3 {
		t.Errorf("between seconds 1 and 3: got %d bytes, want %d", got, 20+30+2000+6+3)
	}
	if got := bytesBetween(8, 20, in); got != 0 {
		t.Errorf("after the end: got %d bytes, want 0", got)
	}
}

func TestServedPercentAndRecoveredAfter(t *testing.T) {
	w := []result.Window{{Second: 0, Roots: 10, Served: 10}, {Second: 1, Roots: 10, Served: 2}, {Second: 2, Roots: 10, Served: 5}, {Second: 3, Roots: 10, Served: 9}}
	if got := servedPercent(w, 1, 3); got != 35 {
		t.Errorf("got served %g %%, want 35", got)
	}
	if got := recoveredAfter(w, 2, 100); got != 1 {
		t.Errorf("got recovery after %g s, want 1", got)
	}
	if got := recoveredAfter(w[:3], 1, 100); got != -1 {
		t.Errorf("got recovery after %g s, want -1 (never)", got)
	}
}
