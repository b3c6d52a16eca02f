package settings

import "testing"

// An agent that is not told its zone takes none for its own.
func TestZone(t *testing.T) {
	for text, want := range map[string]int{`{}`: -1, `{"zone":0}`: 0, `{"zone":3}`: 3} {
		s, err := Parse([]byte(text))
		if err != nil || s.Balancer.Zone != want {
			t.Errorf("%s: zone %d, error %v, want %d", text, s.Balancer.Zone, err, want)
		}
	}
}
