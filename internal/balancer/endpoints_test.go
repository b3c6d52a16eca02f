package balancer

import (
	"slices"
	"testing"
)

// Adding or removing a server must not reorder the other servers.
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
		t.Errorf("got order %v, want %v", after, before)
	}
}

// No request may be sent to a server after any kind of discovery update has removed it or marked it as draining.
func TestRemovedAndDrainingServersAreNotUsed(t *testing.T) {
	for name, update := range map[string]Event{
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
			t.Fatalf("%s: before the update: got requests on %v only, want servers 1 and 2", name, used)
		}
		h.handle(update)
		for id := range RequestID(40) {
			if a := onlyAction(t, h.request(100+id, idempotent), ActionSend); a.Server != 2 {
				t.Fatalf("%s: got a request on server %d, want 2", name, a.Server)
			}
		}
	}
}
