package result

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Distribution sums up measurements in the unit that the name of its field gives. N is 0 where nothing was measured.
type Distribution struct {
	N    int64   `json:"n"`
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
}

// stepsPerUnit is a Histogram's resolution: values from a thousandth on have three significant digits.
const stepsPerUnit = 1000

// Histogram collects values not below 0, to three significant digits, in bounded memory. It belongs to one goroutine.
type Histogram struct{ h *hdrhistogram.Histogram }

// NewHistogram returns an empty histogram for values up to the largest one; values above count as that.
func NewHistogram(largest float64) *Histogram {
	return &Histogram{hdrhistogram.New(1, int64(largest*stepsPerUnit)+1, 3)}
}

// Add adds one value.
func (h *Histogram) Add(v float64) {
	n := min(max(int64(v*stepsPerUnit), 0), h.h.HighestTrackableValue())
	_ = h.h.RecordValue(n) // it is within the bounds
}

// AddDuration adds a time, in milliseconds.
func (h *Histogram) AddDuration(d time.Duration) { h.Add(float64(d) / float64(time.Millisecond)) }

// Merge adds all values of another histogram.
func (h *Histogram) Merge(o *Histogram) { h.h.Merge(o.h) }

// Distribution sums up the values.
func (h *Histogram) Distribution() Distribution {
	if h.h.TotalCount() == 0 {
		return Distribution{}
	}
	return Distribution{
		N: h.h.TotalCount(), Mean: h.h.Mean() / stepsPerUnit,
		P50: float64(h.h.ValueAtQuantile(50)) / stepsPerUnit,
		P99: float64(h.h.ValueAtQuantile(99)) / stepsPerUnit,
		Max: float64(h.h.Max()) / stepsPerUnit,
	}
}
