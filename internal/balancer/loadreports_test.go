package balancer

import (
	"testing"
	"time"
)

// No request waits for a probe, and a server whose probe is out is neither probed again nor passed by for it.
func TestHealthChecksDelayNothing(t *testing.T) {
	s := testSettings()
	s.HealthChecks, s.Reports = true, ReportsOnHealthCheck
	h := newHarness(t, s, readyEndpoints(2)...)
	asked := map[ServerID]int{}
	id := RequestID(0)
	ask := func() Action {
		id++
		acts := h.request(id, idempotent)
		for _, a := range acts {
			if a.Kind == ActionHealthCheck {
				asked[a.Server]++
			}
		}
		return onlyAction(t, acts, ActionSend)
	}
	for range 40 { // no probe is answered
		ask()
		h.endAttempt(id, 0, OutcomeOK)
	}
	if asked[1] != 1 || asked[2] != 1 {
		t.Errorf("probes out: %v, want one to each", asked)
	}
	for server, held := range map[ServerID]float64{1: 60, 2: 0} {
		h.handle(Event{Kind: EventHealthCheck, Server: server, Outcome: OutcomeOK,
			Load: LoadReport{Known: true, InFlight: held, Queue: -1, ServiceTime: 50 * ms}})
	}
	joined := map[ServerID]int{}
	for range 2 {
		joined[ask().Server]++
	}
	if joined[2] != 2 || asked[1] != 1 || asked[2] != 1 {
		t.Errorf("joined %v, 1 holding 60 and 2 nothing; probed %v though the reports are fresh", joined, asked)
	}
	if h.now += time.Minute; len(joined) > 0 {
		ask()
	}
	if asked[1]+asked[2] < 3 {
		t.Error("old reports are not asked for again")
	}
}

// Where answers carry reports nothing is probed, however old the last report is: among many agents that see few
// requests each every report is old, and all of them together would probe more than they send.
func TestInlineReportsNeedNoHealthChecks(t *testing.T) {
	s := testSettings()
	s.HealthChecks, s.Reports, s.Agents = true, ReportsInline, 80
	h := newHarness(t, s, readyEndpoints(22)...)
	for id := RequestID(1); id <= 200; id++ {
		noAction(t, h.request(id, idempotent), ActionHealthCheck)
		h.endAttempt(id, 0, OutcomeOK)
		h.now += time.Second
	}
}
