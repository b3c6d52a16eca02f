package result

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Distribution summarizes measurements, in the unit stated in the name of the field that contains it. N is 0 if nothing
// was measured.
type Distribution struct {
	N    int64   `json:"n"`
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
}

// stepsPerUnit is the resolution of a Histogram. Values are recorded in thousandths, with three significant digits.
const stepsPerUnit = 1000

// Histogram collects non-negative values with three significant digits, in bounded memory. It is not safe for
// concurrent use.
type Histogram struct{ h *hdrhistogram.Histogram }

// NewHistogram returns an empty histogram for values up to largest. Larger values are counted as largest.
func NewHistogram(largest float64) *Histogram {
	return &Histogram{hdrhistogram.New(1, int64(largest*stepsPerUnit)+1, 3)}
}

// Add adds one value.
func (h *Histogram) Add(v float64) {
	n := min(max(int64(v*stepsPerUnit), 0), h.h.HighestTrackableValue())
	_ = h.h.RecordValue(n) // n is within the bounds
}

// AddDuration adds a duration, in milliseconds.
func (h *Histogram) AddDuration(d time.Duration) { h.Add(float64(d) / float64(time.Millisecond)) }

// Merge adds all values of another histogram.
func (h *Histogram) Merge(o *Histogram) { h.h.Merge(o.h) }

// Distribution returns a summary of the values.
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
