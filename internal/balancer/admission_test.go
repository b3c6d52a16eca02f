package balancer

import (
	"testing"
	"time"
)

// Under overload, requests of a tenant over its quota must be shed before those of other tenants.
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
		t.Errorf("got share %v rejected for the tenant over its quota and %v for the other, want at least 0.9 and at most 0.1", over, under)
	}
}

// Incident i4d2661: under high overload only 4% of the requests were admitted, too few for responses to show that
// servers were idle again. The overload must therefore also decay over time.
func TestOverloadDecays(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(4)...)
	h.b.overloadDecayedAt = h.now
	h.b.overload = maxOverload
	h.now += seconds(4 * overloadHalfLifeObjectives * 0.4) // four half-lives
	h.request(1, idempotent)
	if got := h.b.overload; got > maxOverload/15 || got <= 0 {
		t.Errorf("after four half-lives: got overload %v, want above 0 and at most %v", got, maxOverload/15)
	}
}

// Overload must not sustain itself: reports of idle servers lower it even when few responses arrive, and picking a
// skipped pair does not raise it. Picking an overloaded pair does.
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
		t.Errorf("after reports of idle servers only: got overload %v, want 0", h.b.overload)
	}
	for _, s := range h.b.servers {
		s.skippedUntil = h.now + time.Second
	}
	onlyAction(t, h.request(1, idempotent), ActionReject)
	if h.b.overload > 0 {
		t.Errorf("after picking a skipped pair: got overload %v, want 0", h.b.overload)
	}
	for _, s := range h.b.servers {
		s.skippedUntil = 0
	}
	report(40)
	h.b.overload = 0
	onlyAction(t, h.request(2, idempotent), ActionReject)
	if h.b.overload == 0 {
		t.Error("after picking an overloaded pair: got overload 0, want more")
	}
}

// Incidents i6871ee, ie92136: if other responses are late too, the silence of healthy servers counts as overload. If
// other responses are quick, the silent servers are at fault.
func TestSilenceCountsAsOverloadWhenResponsesAreLate(t *testing.T) {
	for usage, want := range map[float64]bool{0.1: false, 0.9: true} {
		h := newHarness(t, testSettings(), readyEndpoints(9)...)
		for range 20 {
			h.b.objectiveUsage.add(usage, sampleWeight)
		}
		for i := range 4 {
			h.b.recordSilence(h.b.classes[idempotent], &attempt{server: h.b.servers[i]}, 0.5)
		}
		if got := h.b.overload > toleratedOverload; got != want {
			t.Errorf("responses take %v of their objective, four servers are silent: got overload %v, want above %v to be %v",
				usage, h.b.overload, toleratedOverload, want)
		}
	}
}

// A rejection tells the client when to retry. The delay is longer under overload, at most MaxRetryAfter, and 0 if the
// settings allow no advice.
func TestRejectionsSetRetryAfter(t *testing.T) {
	s := testSettings()
	s.AdviseRetryAfter = true
	h := newHarness(t, s)
	unloaded := onlyAction(t, h.request(1, idempotent), ActionReject).RetryAfter
	h.b.overload = 1
	if overloaded := onlyAction(t, h.request(2, nonIdempotent), ActionReject).RetryAfter; unloaded <= 0 || overloaded <= unloaded {
		t.Errorf("got Retry-After %v, under overload %v, want more than 0, and more under overload", unloaded, overloaded)
	}
	h.b.settings.MaxRetryAfter = unloaded / 2
	if a := onlyAction(t, h.request(3, idempotent), ActionReject); a.RetryAfter != unloaded/2 {
		t.Errorf("with MaxRetryAfter: got Retry-After %v, want %v", a.RetryAfter, unloaded/2)
	}
	h.b.settings.AdviseRetryAfter = false
	if a := onlyAction(t, h.request(4, idempotent), ActionReject); a.RetryAfter != 0 {
		t.Errorf("without AdviseRetryAfter: got Retry-After %v, want 0", a.RetryAfter)
	}
}
