package run

import (
	"slices"

	"example.org/ryeloft/internal/scale/result"
)

// worstWindowSeconds is the length of the worst stretch that budgets are held against.
const worstWindowSeconds = 6

// maxBytesPerSecond is the most bytes a second that are told apart.
const maxBytesPerSecond = 1e9

// worstWindowMean is the largest mean over worstWindowSeconds following bins, of a second each; over all where there are fewer.
func worstWindowMean(bins []float64) float64 {
	n := min(worstWindowSeconds, len(bins))
	if n == 0 {
		return 0
	}
	sum, most := 0.0, 0.0
	for i, v := range bins {
		sum += v
		if i >= n {
			sum -= bins[i-n]
		}
		if i >= n-1 {
			most = max(most, sum)
		}
	}
	return most / float64(n)
}

// rates sums up what some agents sent and received: the mean of each over the run's seconds, and each one's worst 6 s in
// and out together, in bytes a second.
func rates(in, out [][]int64, agents []int, seconds int) (meanIn, meanOut, worst6s result.Distribution) {
	if seconds <= 0 {
		return
	}
	hin, hout, hworst := result.NewHistogram(maxBytesPerSecond), result.NewHistogram(maxBytesPerSecond), result.NewHistogram(maxBytesPerSecond)
	for _, a := range agents {
		both := make([]float64, seconds)
		hin.Add(addBins(both, in, a) / float64(seconds))
		hout.Add(addBins(both, out, a) / float64(seconds))
		hworst.Add(worstWindowMean(both))
	}
	return hin.Distribution(), hout.Distribution(), hworst.Distribution()
}

// addBins adds an agent's bins to those of both ways and returns their sum; what is later than the run's seconds is left out.
func addBins(both []float64, all [][]int64, agent int) float64 {
	if agent >= len(all) {
		return 0
	}
	sum := 0.0
	for i, v := range all[agent][:min(len(both), len(all[agent]))] {
		both[i] += float64(v)
		sum += float64(v)
	}
	return sum
}

// bytesBetween is all agents' bytes in the seconds from one to before another.
func bytesBetween(from, to int, ways ...[][]int64) int64 {
	sum := int64(0)
	for _, way := range ways {
		for _, bins := range way {
			lo := min(max(from, 0), len(bins))
			for _, v := range bins[lo:max(lo, min(to, len(bins)))] {
				sum += v
			}
		}
	}
	return sum
}

// servedPercent is the share of calls at the root that were served in the seconds from one to before another, in percent; 0
// where there were none.
func servedPercent(windows []result.Window, from, to int) float64 {
	roots, ok := int64(0), int64(0)
	for _, w := range windows {
		if w.Second >= from && w.Second < to {
			roots, ok = roots+w.Roots, ok+w.Served
		}
	}
	if roots == 0 {
		return 0
	}
	return 100 * float64(ok) / float64(roots)
}

// recoveredAfter is how many seconds after an end nine tenths of a share are served again, in a second of its own; -1: not
// within the run.
func recoveredAfter(windows []result.Window, end int, before float64) float64 {
	sorted := slices.SortedFunc(slices.Values(windows), func(a, b result.Window) int { return a.Second - b.Second })
	for _, w := range sorted {
		if w.Second >= end && w.Roots > 0 && 100*float64(w.Served)/float64(w.Roots) >= 0.9*before {
			return float64(w.Second - end)
		}
	}
	return -1
}
