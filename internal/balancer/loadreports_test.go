package balancer

import (
	"testing"
	"time"
)

// No request waits for a health check, and a server whose health check is pending is neither checked again nor skipped.
func TestHealthChecksDelayNothing(t *testing.T) {
	s := testSettings()
	s.HealthChecks, s.Reports = true, ReportsOnHealthCheck
	h := newHarness(t, s, readyEndpoints(2)...)
	checked := map[ServerID]int{}
	id := RequestID(0)
	ask := func() Action {
		id++
		actions := h.request(id, idempotent)
		for _, a := range actions {
			if a.Kind == ActionHealthCheck {
				checked[a.Server]++
			}
		}
		return onlyAction(t, actions, ActionSend)
	}
	for range 40 { // no health check is answered
		ask()
		h.endAttempt(id, 0, OutcomeOK)
	}
	if checked[1] != 1 || checked[2] != 1 {
		t.Errorf("pending health checks: %v, want one of each server", checked)
	}
	for server, inFlight := range map[ServerID]float64{1: 60, 2: 0} {
		h.handle(Event{Kind: EventHealthCheck, Server: server, Outcome: OutcomeOK,
			Load: LoadReport{Known: true, InFlight: inFlight, Queue: -1, ServiceTime: 50 * ms}})
	}
	sentTo := map[ServerID]int{}
	for range 2 {
		sentTo[ask().Server]++
	}
	if sentTo[2] != 2 || checked[1] != 1 || checked[2] != 1 {
		t.Errorf("sent to %v, 1 holding 60 and 2 nothing; checked %v though the reports are fresh", sentTo, checked)
	}
	h.now += time.Minute
	ask()
	if checked[1]+checked[2] < 3 {
		t.Error("old reports lead to no health check")
	}
}

// Where answers carry reports there are no health checks, however old the last report is: among many agents that see few
// requests each every report is old, and all of them together would check more often than they send.
func TestInlineReportsNeedNoHealthChecks(t *testing.T) {
	s := testSettings()
	s.HealthChecks = true
	s.Reports = ReportsInline
	s.Agents = 80
	h := newHarness(t, s, readyEndpoints(22)...)
	for id := RequestID(1); id <= 200; id++ {
		noAction(t, h.request(id, idempotent), ActionHealthCheck)
		h.endAttempt(id, 0, OutcomeOK)
		h.now += time.Second
	}
}
