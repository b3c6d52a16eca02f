package balancer

import (
	"slices"
	"time"
)

// maxHistoryLength limits the length of a history. A full history drops its older half, so counts are reliable only up
// to half of the limit.
const maxHistoryLength = 4096

// prefixSums are prefix sums of weights, for weighted picks in logarithmic time.
type prefixSums []float64

// add appends a weight.
func (s prefixSums) add(weight float64) prefixSums { return append(s, s.rangeSum(0, len(s))+weight) }

// rangeSum returns the sum of the weights i to j-1; indexes out of range count as 0.
func (s prefixSums) rangeSum(i, j int) float64 { return s.prefixSum(j) - s.prefixSum(i) }

// prefixSum returns the sum of the first n weights.
func (s prefixSums) prefixSum(n int) float64 {
	n = min(n, len(s))
	if n <= 0 {
		return 0
	}
	return s[n-1]
}

// pick returns an index with a probability proportional to its weight; u is uniform in [0, 1).
func (s prefixSums) pick(u float64) int {
	i, _ := slices.BinarySearch(s, u*s[len(s)-1])
	return min(i, len(s)-1)
}

// movingAverage is an exponentially weighted moving average (EWMA) that starts at its first sample.
type movingAverage struct {
	value float64
	known bool
}

// add updates the average with a sample of the given weight.
func (m *movingAverage) add(sample, weight float64) {
	if !m.known {
		m.value = sample
		m.known = true
	}
	m.value += weight * (sample - m.value)
}

// history contains the times of past events, oldest first.
type history []time.Duration

// add appends a time. It first drops the older half if the history is full.
func (h *history) add(at time.Duration) {
	if len(*h) >= maxHistoryLength {
		*h = append((*h)[:0], (*h)[maxHistoryLength/2:]...)
	}
	*h = append(*h, at)
}

// countSince returns the number of events at the given time or later.
func (h history) countSince(from time.Duration) int {
	i, _ := slices.BinarySearch(h, from)
	return len(h) - i
}
