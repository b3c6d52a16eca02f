package run

import (
	"strings"
	"testing"

	"example.org/ryeloft/internal/scale/scenario"
)

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name         string
		real, relays int
		want         string
	}{
		{"as many as may be", 200, 47, ""},
		{"too many processes", 200, 48, "fleet.real"},
		{"more than there are", 301, 0, "fleet.real"},
	} {
		s := &scenario.Scenario{}
		s.Fleet.Servers, s.Fleet.Real, s.Relays.Count = 300, c.real, c.relays
		err := Check(s)
		if (err == nil) != (c.want == "") || err != nil && !strings.HasPrefix(err.Error(), c.want+":") {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
}

// The causes of a failed run are printed.
func TestErrorTexts(t *testing.T) {
	for want, err := range map[string]error{
		"the part control died": ProcessDiedError{"control"},
		"all processes together hold 11264 MB, they may hold 10240": MemoryError{HeldBytes: 11 << 30, LimitBytes: maxMemoryBytes},
	} {
		if err.Error() != want {
			t.Errorf("%q, want %q", err, want)
		}
	}
}
