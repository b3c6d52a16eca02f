package run

import (
	"slices"

	"example.org/ryeloft/internal/scale/result"
)

// maxBytesPerSecond is the upper bound of the histograms of rates.
const maxBytesPerSecond = 1e9

// recoveredShare is the fraction of the served share before an event that counts as recovered.
const recoveredShare = 0.9

// rates summarizes the bytes that the given agents received and sent, in bytes per second: the distributions of each
// agent's mean over the run, and of its worst window of both directions together.
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

// addBins adds an agent's bins to both and returns their sum. Bins after the last second of both are ignored.
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

// bytesBetween returns the bytes of all agents in the seconds [from, to), summed over the given directions.
func bytesBetween(from, to int, directions ...[][]int64) int64 {
	sum := int64(0)
	for _, direction := range directions {
		for _, bins := range direction {
			first := min(max(from, 0), len(bins))
			end := max(first, min(to, len(bins)))
			for _, v := range bins[first:end] {
				sum += v
			}
		}
	}
	return sum
}

// servedPercent returns the percentage of root calls in the seconds [from, to) that were served, or 0 if there were
// none.
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

// recoveredAfter returns the seconds from end until the served percentage first reaches recoveredShare of before, or -1
// if it does not within the run.
func recoveredAfter(windows []result.Window, end int, before float64) float64 {
	sorted := slices.SortedFunc(slices.Values(windows), func(a, b result.Window) int { return a.Second - b.Second })
	for _, w := range sorted {
		if w.Second >= end && w.Roots > 0 && 100*float64(w.Served)/float64(w.Roots) >= recoveredShare*before {
			return float64(w.Second - end)
		}
	}
	return -1
}
