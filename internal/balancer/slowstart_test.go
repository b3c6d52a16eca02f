package balancer

import (
	"testing"
	"time"
)

// A server that is warming up must get no more than its current share of the traffic, even if it wins every pair.
func TestSlowStartBudget(t *testing.T) {
	list := readyEndpoints(4)
	list[3].Start = time.Hour
	h := newHarness(t, testSettings(), list...)
	count := func(n int) (warming float64) {
		for id := range RequestID(n) {
			h.b.overload = 0
			for _, a := range h.request(id, idempotent) {
				if a.Kind == ActionSend {
					if a.Server == 4 {
						warming++
					}
					h.endAttempt(id, 0, OutcomeOK)
				}
			}
		}
		return warming / float64(n)
	}
	if got := count(4000); got < 0.01 || got > slowStartMargin*2.5*0.2/4*1.2 {
		t.Errorf("one of 4 servers, at a fifth of its capacity: got a traffic share of %v, want 0.01 to %v", got, slowStartMargin*2.5*0.2/4*1.2)
	}
	h.now += 10 * time.Second
	if got := count(4000); got < 0.15 {
		t.Errorf("after warming up: got a traffic share of %v, want at least 0.15", got)
	}
	for i := range list {
		list[i].Start = h.now
	}
	h.handle(Event{Kind: EventDiscovery, Update: EndpointsReplaced, Endpoints: list})
	sent := 0
	for id := range RequestID(4000) {
		h.b.overload = 0
		for _, a := range h.request(id, idempotent) {
			if a.Kind == ActionSend {
				sent++
				h.endAttempt(id, 0, OutcomeOK)
			}
		}
	}
	if share := float64(sent) / 4000; share > slowStartMargin*2.5*0.2 || share < 0.1 {
		t.Errorf("all servers warming up: got a share of %v sent, want 0.1 to %v", share, slowStartMargin*2.5*0.2)
	}
}

// If most servers are warming up, they must be picked by their expected warmup factor, and the send probability must
// account for the repeated picks of withheld requests only, not of all requests: the few warm servers cannot handle the
// remaining traffic.
func TestWarmingFleetIsUsed(t *testing.T) {
	list := readyEndpoints(10)
	for i := range 6 {
		list[i].Start = time.Hour
	}
	h := newHarness(t, testSettings(), list...)
	h.now += testSettings().SlowStartDuration / 2
	warming := 0.0
	for id := range RequestID(4000) {
		for _, a := range h.request(id, idempotent) {
			if a.Kind == ActionSend {
				if a.Server <= 6 {
					warming += 1.0 / 4000
				}
				h.endAttempt(id, 0, OutcomeOK)
			}
		}
	}
	if warming < 0.32 || warming > 0.6 {
		t.Errorf("six of ten servers halfway through slow start: got a traffic share of %v, want 0.32 to 0.6", warming)
	}
}

// Two processes of one agent that share its traffic must together send a server that is warming up no more than one
// process with all of the traffic. The slow-start budget is therefore a share of the traffic.
func TestSlowStartBudgetOfTwoProcesses(t *testing.T) {
	sent := func(processes int) (n int) {
		settings := testSettings()
		settings.Agents = 4
		var all []*harness
		for range processes {
			list := readyEndpoints(10)
			list[0].Start = time.Hour - ms // it has just started
			all = append(all, newHarness(t, settings, list...))
		}
		for id := range RequestID(8000) {
			h := all[int(id)%processes]
			for _, a := range h.request(id+1, idempotent) {
				if a.Kind == ActionSend && a.Server == 1 {
					n++
				}
			}
			h.endAttempt(id+1, 0, OutcomeOK)
		}
		return n
	}
	if one, two := sent(1), sent(2); two > one+one/4 {
		t.Errorf("got %d requests to the warming server from two processes, want at most %d", two, one+one/4)
	}
}
