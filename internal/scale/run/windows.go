package run

import (
	"slices"

	"example.org/ryeloft/internal/scale/result"
)

// maxBytesPerSecond bounds the rates that are distinguished.
const maxBytesPerSecond = 1e9

// recoveredShare is the share of what was served before an event that counts as recovered.
const recoveredShare = 0.9

// rates sums up what some agents sent and received: the mean of each over the run's seconds, and each one's worst window
// of both together, in bytes a second.
func rates(in, out [][]int64, agents []int, seconds int) (meanIn, meanOut, worst result.Distribution) {
	if seconds <= 0 {
		return
	}
	histIn := result.NewHistogram(maxBytesPerSecond)
	histOut := result.NewHistogram(maxBytesPerSecond)
	histWorst := result.NewHistogram(maxBytesPerSecond)
	for _, a := range agents {
		both := make([]float64, seconds)
		histIn.Add(addBins(both, in, a) / float64(seconds))
		histOut.Add(addBins(both, out, a) / float64(seconds))
		histWorst.Add(result.WorstWindow(both))
	}
	return histIn.Distribution(), histOut.Distribution(), histWorst.Distribution()
}

// addBins adds an agent's bins to those of both ways and returns their sum, without what is later than the run's seconds.
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

// bytesBetween is all agents' bytes in the seconds [from, to).
func bytesBetween(from, to int, ways ...[][]int64) int64 {
	sum := int64(0)
	for _, way := range ways {
		for _, bins := range way {
			first := min(max(from, 0), len(bins))
			end := max(first, min(to, len(bins)))
			for _, v := range bins[first:end] {
				sum += v
			}
		}
	}
	return sum
}

// servedPercent is the share of root calls that were served in the seconds [from, to); 0 where there were none.
func servedPercent(windows []result.Window, from, to int) float64 {
	var roots, served int64
	for _, w := range windows {
		if w.Second >= from && w.Second < to {
			roots += w.Roots
			served += w.Served
		}
	}
	if roots == 0 {
		return 0
	}
	return 100 * float64(served) / float64(roots)
}

// recoveredAfter is how many seconds after an end the served share first is recoveredShare of before; -1: not in the run.
func recoveredAfter(windows []result.Window, end int, before float64) float64 {
	sorted := slices.SortedFunc(slices.Values(windows), func(a, b result.Window) int { return a.Second - b.Second })
	for _, w := range sorted {
		if w.Second >= end && w.Roots > 0 && 100*float64(w.Served)/float64(w.Roots) >= recoveredShare*before {
			return float64(w.Second - end)
		}
	}
	return -1
}
