package protocol

import (
	"errors"
	"testing"
	"time"
)

// ParseBudget must accept budgets in either unit, including those from FormatBudget. For any other text it must return
// ErrBadBudget.
func TestBudget(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"480m": 480 * time.Millisecond, "350000u": 350 * time.Millisecond, "0.5m": 500 * time.Microsecond, "3600000m": time.Hour,
		FormatBudget(1500 * time.Millisecond): 1500 * time.Millisecond, FormatBudget(-time.Second): time.Microsecond,
	} {
		if got, err := ParseBudget(text); got != want || err != nil {
			t.Errorf("%s: got %v, error %v, want %v", text, got, err, want)
		}
	}
	for _, text := range []string{"", "480", "m", "u", "NaNm", "Infm", "-3m", "0m", "3600001m", "1mu"} {
		if got, err := ParseBudget(text); !errors.Is(err, ErrBadBudget) {
			t.Errorf("%q: got %v, error %v, want ErrBadBudget", text, got, err)
		}
	}
}
