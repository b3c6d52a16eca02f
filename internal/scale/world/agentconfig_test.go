package world_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"example.org/ryeloft/internal/config"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/scale/scenario"
	"example.org/ryeloft/internal/scale/world"
)

// TestAgentsAcceptTheirConfigs checks that the agent's own parser accepts every configuration of the target scenario, a
// cached list, and a reload with the next revision.
func TestAgentsAcceptTheirConfigs(t *testing.T) {
	s, err := scenario.Load("../../../deploy/scale/target.toml")
	if err != nil {
		t.Fatal(err)
	}
	w := generate(t, s)
	w.AddEcho([]string{"127.0.0.1:1", "127.0.0.1:2"})
	cached := listJSON(t, w.Members(measurementStart))
	if list, err := discovery.Parse(cached); err != nil || len(list.Members) != s.Fleet.Servers+2 {
		t.Fatalf("got %d members, %v, want %d", len(list.Members), err, s.Fleet.Servers+2)
	}
	for i, a := range w.Agents {
		o := world.ConfigOptions{
			Listen: fmt.Sprintf("127.0.0.1:%d", 20000+i), Discovery: "127.64.0.1:8500", Echo: a.Real, Seed: uint64(i),
		}
		if a.Real {
			o.CachedEndpoints, o.Console = cached, "127.0.0.1:1"
			cached = nil // one agent suffices: the list is the same for all
		}
		first, err := config.Parse(w.Config(i, o))
		if err != nil {
			t.Fatalf("agent %d: %v", i, err)
		}
		if first.Name != a.Name || (o.CachedEndpoints != nil) != (len(first.CachedEndpoints.Members) > 0) {
			t.Errorf("agent %d: got name %s and %d cached endpoints, want name %s and cached endpoints: %v",
				i, first.Name, len(first.CachedEndpoints.Members), a.Name, o.CachedEndpoints != nil)
		}
		o.Revision = 1
		if _, err := config.ParseReload(w.Config(i, o), first); err != nil {
			t.Errorf("agent %d, next revision: %v", i, err)
		}
	}
}

// listJSON returns a full list in the discovery service's format.
func listJSON(t *testing.T, members []discovery.Member) []byte {
	t.Helper()
	entries := make([]map[string]any, len(members))
	for i, m := range members {
		entries[i] = map[string]any{
			"id": m.ID, "host_port": m.Address, "locality": m.Zone, "flavor": m.Kind, "cell": m.Cell,
			"phase": m.State, "size": m.Weight, "up_since_ms": m.StartedAtMillis,
		}
	}
	text, err := json.Marshal(map[string]any{"revision": 1, "complete": true, "members": entries})
	if err != nil {
		t.Fatal(err)
	}
	return text
}
