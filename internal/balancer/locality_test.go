package balancer

import (
	"testing"
	"time"
)

// trafficShares returns the shares of 4000 requests that are sent to zone 1, whose servers report the given queue
// length, and to other zones, whose servers report an empty queue.
func (h *harness) trafficShares(queue float64) (local, remote float64) {
	for id := range RequestID(4000) {
		for _, a := range h.request(id, idempotent) {
			if a.Kind != ActionSend {
				continue
			}
			load := LoadReport{Known: true, InFlight: -1, Queue: queue, ServiceTime: 10 * ms}
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

// An agent must prefer servers in its own zone only until they have longer queues than others: a zone may have more
// traffic than its servers can handle. An agent that does not know its zone prefers none.
func TestLocalServersArePreferred(t *testing.T) {
	for _, c := range []struct {
		zone        int
		queue       float64 // reported by the servers of zone 1; the others report 0
		least, most float64
	}{{1, 0, 0.02, 0.4}, {1, 6, 0.45, 1}, {-1, 0, 0.4, 0.6}, {0, 0, 0.6, 0.98}} {
		s := testSettings()
		s.Zone = c.zone
		list := readyEndpoints(8)
		for i := range list {
			list[i].Zone = i % 2
		}
		h := newHarness(t, s, list...)
		if _, got := h.trafficShares(c.queue); got < c.least || got > c.most {
			t.Errorf("agent in zone %d, queue of %v in zone 1: got a share of %v in other zones, want %v to %v", c.zone, c.queue, got, c.least, c.most)
		}
	}
}

// Agents that prefer the servers of their zone must still keep the slow-start budget, which all agents share.
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
		t.Errorf("local server that is warming up: got a traffic share of %v, want %v to %v", got, 0.2*budget, 1.2*budget)
	}
}
