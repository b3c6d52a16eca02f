package balancer

import (
	"testing"
	"time"
)

// trafficShares returns the parts of 4000 requests that go to zone 1, whose servers report a queue, and to other zones,
// whose servers report none.
func (h *harness) trafficShares(waiting float64) (local, remote float64) {
	for id := range RequestID(4000) {
		for _, a := range h.request(id, idempotent) {
			if a.Kind != ActionSend {
				continue
			}
			load := LoadReport{Known: true, InFlight: -1, Queue: waiting, ServiceTime: 10 * ms}
			if h.b.serversByID[a.Server].Zone != 1 {
				remote += 1.0 / 4000
				load.Queue = 0
			} else {
				local += 1.0 / 4000
			}
			h.handle(Event{Kind: EventOutcome, Request: id, Outcome: OutcomeOK, Answered: true, Load: load})
		}
	}
	return local, remote
}

// Servers in the agent's own zone are preferred until they have longer queues than others. An agent that does not know its
// zone prefers none.
func TestLocalServersArePreferred(t *testing.T) {
	for _, c := range []struct {
		zone        int
		local       float64 // reported queue of the servers of zone 1; the others have none
		least, most float64
	}{{1, 0, 0.02, 0.4}, {1, 6, 0.45, 1}, {-1, 0, 0.4, 0.6}, {0, 0, 0.6, 0.98}} {
		s := testSettings()
		s.Zone = c.zone
		list := readyEndpoints(8)
		for i := range list {
			list[i].Zone = i % 2
		}
		h := newHarness(t, s, list...)
		if _, got := h.trafficShares(c.local); got < c.least || got > c.most {
			t.Errorf("zone %d with a queue of %v in zone 1: %v went elsewhere, want %v to %v", c.zone, c.local, got, c.least, c.most)
		}
	}
}

// Agents that prefer the servers of their zone keep the slow-start budget, which all agents share.
func TestLocalServerKeepsSlowStartBudget(t *testing.T) {
	s := testSettings()
	s.Zone = 1
	list := readyEndpoints(8)
	list[0].Zone = 2
	list[7].Zone = 1
	list[7].Start = time.Hour
	h := newHarness(t, s, list...)
	budget := slowStartMargin * s.OverloadFactor * s.SlowStartMinWeight / 8
	if got, _ := h.trafficShares(0); got > 1.2*budget || got < 0.2*budget {
		t.Errorf("a local server that warms up got %v of the traffic, its budget is %v", got, budget)
	}
}
