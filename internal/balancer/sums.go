package balancer

import (
	"slices"
	"time"
)

// maxHistoryLength bounds a history. A full one drops its older half, so no count may be relied on beyond the other
// half.
const maxHistoryLength = 4096

// prefixSums are running sums of weights, for picks by weight in logarithmic time.
type prefixSums []float64

// add appends a weight.
func (s prefixSums) add(weight float64) prefixSums { return append(s, s.rangeSum(0, len(s))+weight) }

// rangeSum returns the sum of the weights i to j-1; positions that do not exist count as 0.
func (s prefixSums) rangeSum(i, j int) float64 { return s.prefixSum(j) - s.prefixSum(i) }

// prefixSum returns the sum of the first n weights.
func (s prefixSums) prefixSum(n int) float64 {
	n = min(n, len(s))
	if n <= 0 {
		return 0
	}
	return s[n-1]
}

// pick returns an index by weight; u is uniform in [0, 1).
func (s prefixSums) pick(u float64) int {
	i, _ := slices.BinarySearch(s, u*s[len(s)-1])
	return min(i, len(s)-1)
}

// movingAverage is an exponentially weighted moving average; it starts at its first sample.
type movingAverage struct {
	value float64
	known bool
}

// add takes in a sample.
func (m *movingAverage) add(sample, weight float64) {
	if !m.known {
		m.value = sample
		m.known = true
	}
	m.value += weight * (sample - m.value)
}

// history holds the times of past events, oldest first.
type history []time.Duration

// add appends a time, and drops the older half when the history is full.
func (h *history) add(at time.Duration) {
	if len(*h) >= maxHistoryLength {
		*h = append((*h)[:0], (*h)[maxHistoryLength/2:]...)
	}
	*h = append(*h, at)
}

// countSince counts the events at a time or later.
func (h history) countSince(from time.Duration) int {
	i, _ := slices.BinarySearch(h, from)
	return len(h) - i
}
