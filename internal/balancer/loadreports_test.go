package balancer

import (
	"testing"
	"time"
)

// No request may wait for a health check, and a server with a pending health check is neither checked again nor
// skipped.
func TestHealthChecksDoNotDelayRequests(t *testing.T) {
	s := testSettings()
	s.HealthChecks, s.Reports = true, ReportsOnHealthCheck
	h := newHarness(t, s, readyEndpoints(2)...)
	checked := map[ServerID]int{}
	id := RequestID(0)
	request := func() Action {
		id++
		actions := h.request(id, idempotent)
		for _, a := range actions {
			if a.Kind == ActionHealthCheck {
				checked[a.Server]++
			}
		}
		return onlyAction(t, actions, ActionSend)
	}
	for range 40 { // no health check gets a response
		request()
		h.endAttempt(id, 0, OutcomeOK)
	}
	if checked[1] != 1 || checked[2] != 1 {
		t.Errorf("got health checks %v, want one per server", checked)
	}
	for server, inFlight := range map[ServerID]float64{1: 60, 2: 0} {
		h.handle(Event{Kind: EventHealthCheck, Server: server, Outcome: OutcomeOK,
			Load: LoadReport{Known: true, InFlight: inFlight, Queue: -1, ServiceTime: 50 * ms}})
	}
	sentTo := map[ServerID]int{}
	for range 2 {
		sentTo[request().Server]++
	}
	if sentTo[2] != 2 || checked[1] != 1 || checked[2] != 1 {
		t.Errorf("got requests on %v and health checks %v, want both requests on idle server 2 and no new health check", sentTo, checked)
	}
	h.now += time.Minute
	request()
	if checked[1]+checked[2] < 3 {
		t.Errorf("after a minute: got health checks %v, want a new one", checked)
	}
}

// If responses carry load reports there must be no health checks, however old the last report is. With many agents and
// few requests per agent every report is old, and there would be more health checks than requests.
func TestInlineReportsPreventHealthChecks(t *testing.T) {
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
