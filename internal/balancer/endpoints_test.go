package balancer

import (
	"slices"
	"testing"
)

// The order of those who stay does not change when a server joins or leaves.
func TestServerOrderIsStable(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(9)...)
	h.pickPair()
	order := func() (ids []ServerID) {
		for _, s := range h.candidates().servers {
			if s.ID != 5 && s.ID != 50 {
				ids = append(ids, s.ID)
			}
		}
		return ids
	}
	before := order()
	h.handle(Event{Kind: EventDiscovery, Endpoints: []Endpoint{{ID: 5, State: Removed}, readyEndpoint(50, 1)}})
	h.pickPair()
	if after := order(); !slices.Equal(before, after) || len(after) != 8 {
		t.Errorf("order %v became %v", before, after)
	}
}

// Danger: a drain learnt in any of the list's ways must stop sends at once.
func TestRemovedAndDrainingServersAreNotUsed(t *testing.T) {
	for name, list := range map[string]Event{
		"delta":  {Kind: EventDiscovery, Update: EndpointsChanged, Endpoints: []Endpoint{{ID: 1, State: Draining, Weight: 1}}},
		"gone":   {Kind: EventDiscovery, Update: EndpointsChanged, Endpoints: []Endpoint{{ID: 1, State: Removed}}},
		"full":   {Kind: EventDiscovery, Update: EndpointsReplaced, Endpoints: []Endpoint{{ID: 1, State: Draining}, readyEndpoint(2, 1)}},
		"absent": {Kind: EventDiscovery, Update: EndpointsReplaced, Endpoints: []Endpoint{readyEndpoint(2, 1)}},
		"cached": {Kind: EventDiscovery, Update: EndpointsCached, Endpoints: []Endpoint{readyEndpoint(2, 1)}},
	} {
		h := newHarness(t, testSettings(), readyEndpoints(2)...)
		met := map[ServerID]bool{}
		for id := range RequestID(40) {
			met[onlyAction(t, h.request(id, idempotent), ActionSend).Server] = true
		}
		if !met[1] || !met[2] {
			t.Fatalf("%s: before the drain only %v were used", name, met)
		}
		h.handle(list)
		for id := range RequestID(40) {
			if a := onlyAction(t, h.request(100+id, idempotent), ActionSend); a.Server != 2 {
				t.Fatalf("%s: sent to server %d", name, a.Server)
			}
		}
	}
}
