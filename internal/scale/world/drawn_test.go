package world_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	"example.org/ryeloft/internal/scale/scenario"
	"example.org/ryeloft/internal/scale/world"
)

// TestGeneratedWorldIsStable guards against changes to what a seed generates, which would make measurements of
// different days incomparable because their fleets, events and configurations differ.
func TestGeneratedWorldIsStable(t *testing.T) {
	for _, c := range []struct{ file, want string }{
		{"small", "e0abf3c3a457f4edac02318089332f3ddc0a3d2d394c09865b971ca8b6f7dbb4"},
		{"target", "e9d21f1446746d469cbad7288d19de2e49c92fa151d009052ca617e16468b3fc"},
	} {
		t.Run(c.file, func(t *testing.T) {
			s, err := scenario.Load("../../../deploy/scale/" + c.file + ".toml")
			if err != nil {
				t.Fatal(err)
			}
			w := generate(t, s)
			w.AddEcho([]string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"})
			if got := worldHash(w); got != c.want {
				t.Errorf("world of %s: got hash %s, want %s", c.file, got, c.want)
			}
		})
	}
}

// worldHash returns a hash of all values of a world and of all values derived from it, in order. The names of fields do
// not affect it.
func worldHash(w *world.World) string {
	h := sha256.New()
	fmt.Fprintln(h, w.Zones, w.Deepest)
	for _, s := range w.Services {
		fmt.Fprintln(h, s.Name, s.Class, s.Layer, s.Servers, s.Calls, s.Work)
	}
	for i, s := range w.Servers {
		fmt.Fprintln(h, s.ID, s.Addr, s.Service, s.Region, s.Zone, s.Rack, s.Speed, s.Slots, s.Start, w.CallingAgent(i))
	}
	for i, a := range w.Agents {
		fmt.Fprintln(h, a.Name, a.Server, a.RootCallsPerSecond, a.Real)
		o := world.ConfigOptions{
			Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2", Console: "127.0.0.1:3", Relays: []string{"127.0.0.1:4"},
			Revision: i % 3, CachedEndpoints: []byte(`{}`), Echo: a.Real, Seed: uint64(i),
		}
		fmt.Fprintln(h, string(w.Config(i, o)))
	}
	fmt.Fprintln(h, w.ServiceRates(), w.LayerRates())
	fmt.Fprintln(h, w.Members(measurementStart))
	for _, s := range w.Steps(measurementStart) {
		fmt.Fprintln(h, s.At, s.Event, s.Changes, s.Down, s.Silent, s.Up, s.Cold, s.Restart, s.Forget)
		for _, b := range []*bool{s.PartitionRegions, s.Fail, s.ControlDown} {
			if b != nil {
				fmt.Fprintln(h, *b)
			} else {
				fmt.Fprintln(h, "-")
			}
		}
		fmt.Fprintln(h, s.Config, s.KillRelay, s.StartRelay, s.Begins, s.Ends)
	}
	return hex.EncodeToString(h.Sum(nil))
}
