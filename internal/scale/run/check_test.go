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
		{"maximum number of processes", 200, 47, ""},
		{"too many processes", 200, 48, "fleet.real"},
		{"more real agents than agents", 301, 0, "fleet.real"},
	} {
		s := &scenario.Scenario{}
		s.Fleet.Servers, s.Fleet.Real, s.Relays.Count = 300, c.real, c.relays
		err := Check(s)
		if (err == nil) != (c.want == "") || err != nil && !strings.HasPrefix(err.Error(), c.want+":") {
			t.Errorf("%s: got error %v, want prefix %q", c.name, err, c.want)
		}
	}
}

// TestErrorTexts checks the texts of the causes of a failed run, which are printed.
func TestErrorTexts(t *testing.T) {
	for want, err := range map[string]error{
		"process control died": ProcessDiedError{"control"},
		"all processes together use 11264 MB of memory, the limit is 10240 MB": MemoryError{ResidentBytes: 11 << 30, LimitBytes: maxMemoryBytes},
	} {
		if err.Error() != want {
			t.Errorf("got %q, want %q", err, want)
		}
	}
}
