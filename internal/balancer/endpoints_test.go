package balancer

import (
	"slices"
	"testing"
)

// The order of the other servers does not change when a server comes or goes.
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

// Whichever update says that a server drains or is removed, nothing more is sent to it.
func TestRemovedAndDrainingServersAreNotUsed(t *testing.T) {
	for name, list := range map[string]Event{
		"change":   {Kind: EventDiscovery, Update: EndpointsChanged, Endpoints: []Endpoint{{ID: 1, State: Draining, Weight: 1}}},
		"removed":  {Kind: EventDiscovery, Update: EndpointsChanged, Endpoints: []Endpoint{{ID: 1, State: Removed}}},
		"draining": {Kind: EventDiscovery, Update: EndpointsReplaced, Endpoints: []Endpoint{{ID: 1, State: Draining}, readyEndpoint(2, 1)}},
		"absent":   {Kind: EventDiscovery, Update: EndpointsReplaced, Endpoints: []Endpoint{readyEndpoint(2, 1)}},
		"cached":   {Kind: EventDiscovery, Update: EndpointsCached, Endpoints: []Endpoint{readyEndpoint(2, 1)}},
	} {
		h := newHarness(t, testSettings(), readyEndpoints(2)...)
		used := map[ServerID]bool{}
		for id := range RequestID(40) {
			used[onlyAction(t, h.request(id, idempotent), ActionSend).Server] = true
		}
		if !used[1] || !used[2] {
			t.Fatalf("%s: before the drain only %v were used", name, used)
		}
		h.handle(list)
		for id := range RequestID(40) {
			if a := onlyAction(t, h.request(100+id, idempotent), ActionSend); a.Server != 2 {
				t.Fatalf("%s: sent to server %d", name, a.Server)
			}
		}
	}
}
