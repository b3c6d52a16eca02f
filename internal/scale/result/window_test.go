package result

import "testing"

func TestWorstWindow(t *testing.T) {
	for _, c := range []struct {
		name string
		bins []float64
		want float64
	}{
		{"nothing", nil, 0},
		{"shorter than the window", []float64{2, 4}, 3},
		{"a burst", []float64{0, 0, 0, 60, 0, 0, 0, 0, 0}, 10},
		{"the end", []float64{0, 0, 0, 6, 6, 6, 6, 6, 6}, 6},
	} {
		if got := WorstWindow(c.bins); got != c.want {
			t.Errorf("%s: got %g, want %g", c.name, got, c.want)
		}
	}
}
