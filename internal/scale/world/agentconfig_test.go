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

// The agent's own reader takes every agent's configuration at the target, with the list, and each next revision of it.
func TestAgentsAcceptTheirConfigs(t *testing.T) {
	s, err := scenario.Load("../../../deploy/scale/target.toml")
	if err != nil {
		t.Fatal(err)
	}
	w := generate(t, s)
	w.AddEcho([]string{"127.0.0.1:1", "127.0.0.1:2"})
	known := listJSON(t, w.Members(measurementStart))
	if list, err := discovery.Parse(known); err != nil || len(list.Members) != s.Fleet.Servers+2 {
		t.Fatalf("%d members, %v", len(list.Members), err)
	}
	for i, a := range w.Agents {
		o := world.ConfigOptions{
			Listen: fmt.Sprintf("127.0.0.1:%d", 20000+i), Discovery: "127.64.0.1:8500", Echo: a.Real, Seed: uint64(i),
		}
		if a.Real {
			o.CachedEndpoints, o.Console = known, "127.0.0.1:1"
			known = nil // the others' would be the same list
		}
		first, err := config.Parse(w.Config(i, o))
		if err != nil {
			t.Fatalf("agent %d: %v", i, err)
		}
		if first.Name != a.Name || (o.CachedEndpoints != nil) != (len(first.CachedEndpoints.Members) > 0) {
			t.Errorf("agent %d: %s knows %d", i, first.Name, len(first.CachedEndpoints.Members))
		}
		o.Revision = 1
		if _, err := config.ParseReload(w.Config(i, o), first); err != nil {
			t.Errorf("agent %d, next revision: %v", i, err)
		}
	}
}

// listJSON words a whole list as discovery does.
func listJSON(t *testing.T, members []discovery.Member) []byte {
	t.Helper()
	lines := make([]map[string]any, len(members))
	for i, m := range members {
		lines[i] = map[string]any{
			"id": m.ID, "host_port": m.Address, "locality": m.Zone, "flavor": m.Kind, "cell": m.Cell,
			"phase": m.State, "size": m.Weight, "up_since_ms": m.StartedAtMillis,
		}
	}
	text, err := json.Marshal(map[string]any{"revision": 1, "complete": true, "members": lines})
	if err != nil {
		t.Fatal(err)
	}
	return text
}
