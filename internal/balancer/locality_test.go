package balancer

import (
	"testing"
	"time"
)

// trafficShares counts how much of 4000 requests goes to zone 1, whose servers say that so many wait, and to others.
func (h *harness) trafficShares(waiting float64) (near, far float64) {
	for id := range RequestID(4000) {
		for _, a := range h.request(id, idempotent) {
			if a.Kind != ActionSend {
				continue
			}
			load := LoadReport{Known: true, InFlight: -1, Queue: waiting, ServiceTime: 10 * ms}
			if h.b.serversByID[a.Server].Zone != 1 {
				far += 1.0 / 4000
				load.Queue = 0
			} else {
				near += 1.0 / 4000
			}
			h.handle(Event{Kind: EventOutcome, Request: id, Outcome: OutcomeOK, Answered: true, Load: load})
		}
	}
	return near, far
}

// Servers in the agent's own zone are drawn before others until more waits there than elsewhere; an agent that is not
// told its zone draws all alike.
func TestLocalServersArePreferred(t *testing.T) {
	for _, c := range []struct {
		zone        int
		near        float64 // that waits at the servers of zone 1, nothing at the others
		least, most float64
	}{{1, 0, 0.02, 0.4}, {1, 6, 0.45, 1}, {-1, 0, 0.4, 0.6}, {0, 0, 0.6, 0.98}} {
		s := testSettings()
		s.Zone = c.zone
		list := readyEndpoints(8)
		for i := range list {
			list[i].Zone = i % 2
		}
		h := newHarness(t, s, list...)
		if _, got := h.trafficShares(c.near); got < c.least || got > c.most {
			t.Errorf("zone %d with %v waiting in zone 1: %v went elsewhere, want %v to %v", c.zone, c.near, got, c.least, c.most)
		}
	}
}

// Agents of a zone that draw its servers first keep a cold one's budget all the same, which all agents share.
func TestLocalServerKeepsSlowStartBudget(t *testing.T) {
	s := testSettings()
	s.Zone = 1
	list := readyEndpoints(8)
	list[0].Zone, list[7].Zone, list[7].Start = 2, 1, time.Hour
	h := newHarness(t, s, list...)
	budget := slowStartMargin * s.OverloadFactor * s.SlowStartMinWeight / 8
	if got, _ := h.trafficShares(0); got > 1.2*budget || got < 0.2*budget {
		t.Errorf("a near cold server got %v of the traffic, its budget is %v", got, budget)
	}
}
