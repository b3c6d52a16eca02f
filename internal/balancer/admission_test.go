package balancer

import (
	"testing"
	"time"
)

// Under overload requests of tenants over their quota are shed first.
func TestShedsTenantsOverQuota(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Quota: 0.5}, {Quota: 0.5}}
	h := newHarness(t, s, readyEndpoints(6)...)
	var rejected [2]int
	for id := range RequestID(2000) {
		h.b.overload = toleratedOverload + 0.35
		tenant := 0
		if id%10 == 0 {
			tenant = 1
		}
		for _, a := range h.handle(Event{Kind: EventRequest, Request: id, Tenant: tenant, Remaining: 1000 * ms}) {
			if a.Kind == ActionReject {
				rejected[tenant]++
			}
			if a.Kind == ActionSend {
				h.endAttempt(id, 0, OutcomeOK)
			}
		}
	}
	if over, under := float64(rejected[0])/1800, float64(rejected[1])/200; over < 0.9 || under > 0.1 {
		t.Errorf("rejected %v of the tenant over its quota, %v of the other", over, under)
	}
}

// Incident i4d2661: under high overload only 4% was admitted, too little to show that servers were idle again.
func TestOverloadDecays(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(4)...)
	h.b.overloadDecayedAt = h.now
	h.b.overload = maxOverload
	h.now += seconds(4 * overloadHalfLifeObjectives * 0.4) // four half-lives
	h.request(1, idempotent)
	if got := h.b.overload; got > maxOverload/15 || got <= 0 {
		t.Errorf("overload %v after four half-lives", got)
	}
}

// Overload does not sustain itself: reports of idle servers lower it though few answers come, and a pair that is skipped
// does not raise it. A pair that is overloaded does.
func TestOverloadFollowsReports(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(2)...)
	report := func(inFlight float64) {
		for _, s := range h.b.servers {
			h.b.recordReport(s, LoadReport{Known: true, InFlight: -1, Queue: inFlight, ServiceTime: 20 * ms})
		}
	}
	for range 20 {
		report(2)
	}
	h.b.overload = maxOverload
	for range 12 {
		report(0)
	}
	if h.b.overload > 0 {
		t.Errorf("overload %v, though all reports tell of idle servers", h.b.overload)
	}
	for _, s := range h.b.servers {
		s.skippedUntil = h.now + time.Second
	}
	onlyAction(t, h.request(1, idempotent), ActionReject)
	if h.b.overload > 0 {
		t.Errorf("overload %v for a pair that is skipped", h.b.overload)
	}
	for _, s := range h.b.servers {
		s.skippedUntil = 0
	}
	report(40)
	h.b.overload = 0
	onlyAction(t, h.request(2, idempotent), ActionReject)
	if h.b.overload == 0 {
		t.Error("no overload for a pair that is overloaded")
	}
}

// Incidents i6871ee, ie92136: the silence of healthy servers counts as overload where other answers are late too. Where
// they are quick, the silent servers are at fault.
func TestSilenceIsOverloadWhereAnswersAreLate(t *testing.T) {
	for part, want := range map[float64]bool{0.1: false, 0.9: true} {
		h := newHarness(t, testSettings(), readyEndpoints(9)...)
		for range 20 {
			h.b.objectiveUsage.add(part, sampleWeight)
		}
		for i := range 4 {
			h.b.recordSilence(h.b.classes[idempotent], &attempt{server: h.b.servers[i]}, 0.5)
		}
		if got := h.b.overload > toleratedOverload; got != want {
			t.Errorf("answers take %v of their objectives: overload %v after four servers fell silent", part, h.b.overload)
		}
	}
}

// A rejection says when to retry, later under overload.
func TestRejectionsCarryRetryAfter(t *testing.T) {
	s := testSettings()
	s.AdviseRetryAfter = true
	h := newHarness(t, s)
	calm := onlyAction(t, h.request(1, idempotent), ActionReject).RetryAfter
	h.b.overload = 1
	if busy := onlyAction(t, h.request(2, nonIdempotent), ActionReject).RetryAfter; calm <= 0 || busy <= calm {
		t.Errorf("Retry-After %v, under overload %v", calm, busy)
	}
	h.b.settings.MaxRetryAfter = calm / 2
	if a := onlyAction(t, h.request(3, idempotent), ActionReject); a.RetryAfter != calm/2 {
		t.Errorf("Retry-After %v where MaxRetryAfter is %v", a.RetryAfter, calm/2)
	}
	h.b.settings.AdviseRetryAfter = false
	if a := onlyAction(t, h.request(4, idempotent), ActionReject); a.RetryAfter != 0 {
		t.Errorf("Retry-After %v where the settings allow none", a.RetryAfter)
	}
}
