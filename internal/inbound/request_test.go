package inbound

import (
	"testing"
	"time"
)

// The margin must leave most of a short budget.
func TestResponseMargin(t *testing.T) {
	for budget, want := range map[time.Duration]time.Duration{
		2 * time.Second: MaxResponseMargin, 480 * time.Millisecond: MaxResponseMargin, 100 * time.Millisecond: 10 * time.Millisecond,
	} {
		if got := responseMargin(budget); got != want {
			t.Errorf("budget %v: got margin %v, want %v", budget, got, want)
		}
	}
}
