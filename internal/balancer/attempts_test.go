package balancer

import (
	"testing"
	"time"
)

// Whether a request is retried, rejected or failed depends on its class and the outcome of its attempt.
func TestIdempotency(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		outcome Outcome
		after   time.Duration
		want    ActionKind
	}{
		{"idempotent, error", idempotent, OutcomeError, 10 * ms, ActionSend},
		{"idempotent, timeout", idempotent, OutcomeTimeout, 1000 * ms, ActionReject},
		{"not idempotent, error", nonIdempotent, OutcomeError, 10 * ms, ActionFail},
		{"not idempotent, reset", nonIdempotent, OutcomeReset, 10 * ms, ActionFail},
		{"not idempotent, cancelled", nonIdempotent, OutcomeCancelled, 10 * ms, ActionFail},
		{"not idempotent, timeout", nonIdempotent, OutcomeTimeout, 1000 * ms, ActionFail},
		{"not idempotent, rejected", nonIdempotent, OutcomeRejected, 10 * ms, ActionSend},
		{"not idempotent, connect failed", nonIdempotent, OutcomeConnectFailed, 10 * ms, ActionSend},
		{"keyed by fleet, within the window", keyedByFleet, OutcomeError, 299 * ms, ActionSend},
		{"keyed by fleet, past the window", keyedByFleet, OutcomeError, 300 * ms, ActionFail},
		{"keyed by cell, no other server in it", keyedByCell, OutcomeError, 10 * ms, ActionFail},
		{"keyed by cell, never ran", keyedByCell, OutcomeRejected, 10 * ms, ActionSend},
		{"keyed by zone, no other server in it", keyedByZone, OutcomeError, 10 * ms, ActionFail},
		{"keyed by cell, timeout", keyedByCell, OutcomeTimeout, 1000 * ms, ActionFail},
	} {
		h := newHarness(t, testSettings(), readyEndpoints(6)...)
		first := onlyAction(t, h.request(1, c.class), ActionSend)
		h.now += c.after
		actions := h.endAttempt(1, 0, c.outcome)
		a := onlyAction(t, actions, c.want)
		if a.Request != 1 {
			t.Errorf("%s: %+v", c.name, a)
		}
		if c.want == ActionSend && c.outcome == OutcomeError && c.class >= keyedByCell && c.class != keyedByFleet && a.Server != first.Server {
			t.Errorf("%s: sent to another dedup scope", c.name)
		}
		noAction(t, h.endAttempt(1, 0, OutcomeOK), ActionSend, ActionReject, ActionFail)
	}
}

// A retry outside the cell that knows its key would run twice.
func TestKeyedRetryStaysInCell(t *testing.T) {
	list := readyEndpoints(8)
	for i := range list {
		list[i].Cell = i % 2
	}
	sent := 0
	for seed := range 60 {
		h := newHarness(t, testSettings(), list...)
		for range seed {
			h.b.rng.Float64()
		}
		first := onlyAction(t, h.request(1, keyedByCell), ActionSend)
		for _, a := range h.endAttempt(1, 0, OutcomeReset) {
			if a.Kind == ActionSend {
				sent++
				if (a.Server-first.Server)%2 != 0 {
					t.Fatalf("from server %d to %d", first.Server, a.Server)
				}
			}
		}
	}
	if sent < 10 {
		t.Errorf("only %d of 60 were retried", sent)
	}
}

// A request that was not sent since its server was draining has used no attempt: every class may go on to another server,
// within any retry budget, and the server is not at fault.
func TestUnsentAttemptDoesNotCount(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 1
	s.RetryBudgetWindow = time.Second
	s.RetryBudgetMin = 0
	s.RetryBudgetRatio = 0
	for class := range s.Classes {
		h := newHarness(t, s, readyEndpoints(8)...)
		a := onlyAction(t, h.request(1, class), ActionSend)
		for n := range 5 { // as one server after the other drains
			drained := a.Server
			h.handle(Event{Kind: EventDiscovery, Update: EndpointsChanged, Endpoints: []Endpoint{{ID: drained, State: Draining}}})
			a = onlyAction(t, h.endAttempt(1, n, OutcomeServerDraining), ActionSend)
			if a.Server == drained {
				t.Fatalf("class %d: sent to the draining server", class)
			}
			if health := h.b.serversByID[drained].health[class]; health.failures > 0 || h.b.serversByID[drained].skippedUntil > 0 {
				t.Errorf("class %d: the draining server counts as failing: %+v", class, health)
			}
		}
		if class == nonIdempotent {
			onlyAction(t, h.endAttempt(1, 5, OutcomeError), ActionFail)
		}
		if len(h.b.retryTimes) > 0 {
			t.Errorf("class %d: %d attempts count as retries", class, len(h.b.retryTimes))
		}
	}
}

func TestAttemptsAndRetriesAreLimited(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 2
	h := newHarness(t, s, readyEndpoints(20)...)
	onlyAction(t, h.request(1, idempotent), ActionSend)
	onlyAction(t, h.endAttempt(1, 0, OutcomeError), ActionSend)
	onlyAction(t, h.endAttempt(1, 1, OutcomeError), ActionReject)
	h = newHarness(t, testSettings(), readyEndpoints(200)...)
	retried := 0
	for id := range RequestID(100) {
		h.request(id, idempotent)
		for _, a := range h.endAttempt(id, 0, OutcomeConnectFailed) {
			if a.Kind == ActionSend {
				retried++
			}
		}
	}
	if retried < 10 || retried > 24 { // a fifth of the requests and RetryBudgetMin
		t.Errorf("%d retries for 100 requests", retried)
	}
}

func TestClientClosedCancelsOnce(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(3)...)
	onlyAction(t, h.request(1, nonIdempotent), ActionSend)
	if a := onlyAction(t, h.handle(Event{Kind: EventClientClosed, Request: 1}), ActionCancel); a.Attempt != 0 {
		t.Errorf("cancelled %+v", a)
	}
	noAction(t, h.endAttempt(1, 0, OutcomeCancelled), ActionSend, ActionReject, ActionFail)
	if len(h.b.requests) != 0 {
		t.Error("the request is still known")
	}
	for _, s := range h.b.servers {
		if s.inFlight != 0 {
			t.Errorf("server %d still has %d in flight", s.ID, s.inFlight)
		}
	}
}

func TestCanSendOneAttemptAtATime(t *testing.T) {
	for _, second := range []bool{false, true} {
		s := testSettings()
		s.Hedging = second
		h := newHarness(t, s, readyEndpoints(2)...)
		onlyAction(t, h.request(1, idempotent), ActionSend)
		if got := h.b.canSend(h.b.requests[1], h.b.servers[0]); got != second {
			t.Errorf("hedging %v: may send again %v while an attempt is in flight", second, got)
		}
	}
}

// In any window, edges included, retries stay within RetryBudgetMin plus RetryBudgetRatio times the requests.
func TestRetryBudget(t *testing.T) {
	s := testSettings()
	s.RetryBudgetWindow = time.Second
	s.RetryBudgetMin = 2
	s.RetryBudgetRatio = 0.5
	h := newHarness(t, s, readyEndpoints(20)...)
	retried := func(id RequestID) bool {
		h.b.overload = 0
		onlyAction(t, h.request(id, idempotent), ActionSend)
		actions := h.endAttempt(id, 0, OutcomeRejected)
		return len(actions) > 0 && actions[0].Kind == ActionSend
	}
	begin := h.now
	for i, c := range []struct {
		at   time.Duration
		want bool
	}{
		{0, true},          // 1 of 2 + 0.5
		{0, true},          // 2 of 2 + 1
		{0, true},          // 3 of 2 + 1.5
		{0, true},          // 4 of 2 + 2
		{0, false},         // 5 of 2 + 2.5
		{500 * ms, true},   // 5 of 2 + 3
		{1000 * ms, false}, // the first four retries still count, their requests do not: 6 of 2 + 1
		{1001 * ms, true},  // 2 of 2 + 1.5
	} {
		h.now = begin + c.at
		if got := retried(RequestID(i)); got != c.want {
			t.Errorf("step %d at %v: retried %v, want %v", i, c.at, got, c.want)
		}
	}
}

// A client's last retry has all the rest of its deadline, which is longer than the timeout of a first request. First
// requests must not count as late for that, or all of them would be rejected.
func TestFirstRequestsAreNotTakenForRetries(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(4)...)
	late := 0
	for id := range RequestID(60) {
		h.now += 10 * ms
		h.b.overload = 0
		remaining := 550 * ms // a first request has a part of the deadline of a second
		if id%3 == 2 {
			remaining = 850 * ms // a last retry has all the rest
		}
		for _, a := range h.handle(Event{Kind: EventRequest, Request: id, Class: idempotent, Remaining: remaining, Retry: id%3 == 2}) {
			if a.Kind == ActionReject {
				late++
			} else if r := h.b.requests[id]; a.Kind == ActionSend && id%3 == 2 && r.objective != h.now+250*ms {
				t.Fatalf("a last retry's objective is in %v, want 250ms", r.objective-h.now)
			}
		}
		h.endAttempt(id, 0, OutcomeOK)
	}
	if late > 0 {
		t.Errorf("%d requests rejected as late", late)
	}
}

// A retry with the timeout of a first request came soon, and loses half of the time that may have passed; one with another
// timeout loses all of it.
func TestEarlyRetriesKeepHalfOfObjective(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(3)...)
	for id := range RequestID(10) {
		h.handle(Event{Kind: EventRequest, Request: id + 1, Class: idempotent, Remaining: 600 * ms})
	}
	for id, remaining := range map[RequestID]time.Duration{20: 600 * ms, 21: 700 * ms} {
		h.handle(Event{Kind: EventRequest, Request: id, Class: idempotent, Remaining: remaining, Retry: true})
	}
	if early, late := h.b.requests[20].objective-h.now, h.b.requests[21].objective-h.now; early != 200*ms || late != 100*ms {
		t.Errorf("objectives in %v and %v, want 200ms and 100ms", early, late)
	}
}

// A silent request is hedged once, on another server and in time, if its class and the settings allow it: when its silence
// timer fires for the second time, or for the first if its server has reported since and no longer holds it.
func TestSilentRequestsAreHedged(t *testing.T) {
	for _, c := range []struct {
		class   int
		hedging bool
		report  float64 // what the server reports as in flight before the timer fires, if not negative
		after   time.Duration
		want    [3]bool // whether it is hedged each time the timer fires
	}{
		{keyedByFleet, true, -1, 0, [3]bool{1: true}},
		{idempotent, true, 0, 0, [3]bool{0: true}},
		{keyedByFleet, true, 1, 0, [3]bool{1: true}},
		{keyedByFleet, true, -1, 300 * ms, [3]bool{}}, // too late
		{keyedByCell, true, -1, 0, [3]bool{}},         // each server is a cell of its own
		{nonIdempotent, true, 0, 0, [3]bool{}},
		{keyedByFleet, false, 0, 0, [3]bool{}},
	} {
		s := testSettings()
		s.Hedging = c.hedging
		h := newHarness(t, s, readyEndpoints(3)...)
		actions := h.request(1, c.class)
		first, timer := onlyAction(t, actions, ActionSend).Server, onlyAction(t, actions, ActionSetTimer)
		h.now += ms
		if c.report >= 0 {
			h.handle(Event{Kind: EventHealthCheck, Server: first, Load: LoadReport{Known: true, InFlight: c.report, Queue: -1, ServiceTime: -1}})
		}
		h.now += c.after
		for expiry, want := range c.want {
			actions := h.handle(Event{Kind: EventTimer, TimerID: timer.TimerID})
			if !want {
				noAction(t, actions, ActionSend)
			} else if retried := onlyAction(t, actions, ActionSend); retried.Server == first {
				t.Errorf("%+v: hedged on the same server when the timer fired for time %d", c, expiry)
			}
		}
	}
}

// A retry with an idempotency key has to reach its server within the dedup window; one whose attempt never ran need not.
func TestKeyedRetriesHaveDispatchLimit(t *testing.T) {
	for outcome, want := range map[Outcome]time.Duration{OutcomeError: 200 * ms, OutcomeRejected: 0} {
		h := newHarness(t, testSettings(), readyEndpoints(6)...)
		if first := onlyAction(t, h.request(1, keyedByFleet), ActionSend); first.DispatchWithin != 0 {
			t.Errorf("the first attempt has to be dispatched within %v", first.DispatchWithin)
		}
		h.now += 100 * ms
		if retried := onlyAction(t, h.endAttempt(1, 0, outcome), ActionSend); retried.DispatchWithin != want {
			t.Errorf("after outcome %d: within %v, want %v", outcome, retried.DispatchWithin, want)
		}
	}
}

// A request whose body or answer flows is not retried, its silence is no failure of its server, and its latency, a part of
// which is the client's, teaches no speed.
func TestStreamingRequests(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeRejected, OutcomeConnectFailed, OutcomeReset, OutcomeError, OutcomeExpired} {
		h := newHarness(t, testSettings(), readyEndpoints(3)...)
		h.request(1, idempotent)
		h.handle(Event{Kind: EventStreaming, Request: 1})
		actions := h.endAttempt(1, 0, outcome)
		noAction(t, actions, ActionSend)
		if onlyAction(t, actions, ActionReject).Request != 1 || len(h.b.requests) > 0 {
			t.Errorf("outcome %d: %+v", outcome, actions)
		}
	}
	h := newHarness(t, testSettings(), readyEndpoints(3)...)
	actions := h.request(1, idempotent)
	s, check := h.b.serversByID[onlyAction(t, actions, ActionSend).Server], onlyAction(t, actions, ActionSetTimer)
	meanLatency := h.b.classes[idempotent].latencySeconds
	h.handle(Event{Kind: EventStreaming, Request: 1})
	h.now += 20 * time.Second
	noAction(t, h.handle(Event{Kind: EventTimer, TimerID: check.TimerID}), ActionSend, ActionSetTimer)
	h.endAttempt(1, 0, OutcomeOK)
	if s.health[idempotent].failures > 0 || h.b.classes[idempotent].latencySeconds != meanLatency || h.b.queueDepth.known || len(h.b.requests) > 0 {
		t.Errorf("failures %v, mean latency %v, was %v", s.health[idempotent].failures, h.b.classes[idempotent].latencySeconds, meanLatency)
	}
}
