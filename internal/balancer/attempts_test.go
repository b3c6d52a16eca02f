package balancer

import (
	"testing"
	"time"
)

// A request must not be retried, or rejected as safe to retry, if it could run twice: its class and the outcome of its
// attempt decide whether it is retried, rejected or failed.
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
			t.Errorf("%s: got an action for request %d, want 1", c.name, a.Request)
		}
		if c.want == ActionSend && c.outcome == OutcomeError && c.class >= keyedByCell && c.class != keyedByFleet && a.Server != first.Server {
			t.Errorf("%s: got a retry outside the dedup scope, on server %d, want server %d", c.name, a.Server, first.Server)
		}
		noAction(t, h.endAttempt(1, 0, OutcomeOK), ActionSend, ActionReject, ActionFail)
	}
}

// A keyed retry outside the cell that recognizes its key would run twice.
func TestKeyedRetryStaysInCell(t *testing.T) {
	list := readyEndpoints(8)
	for i := range list {
		list[i].Cell = i % 2
	}
	retried := 0
	for seed := range 60 {
		h := newHarness(t, testSettings(), list...)
		for range seed {
			h.b.rng.Float64()
		}
		first := onlyAction(t, h.request(1, keyedByCell), ActionSend)
		for _, a := range h.endAttempt(1, 0, OutcomeReset) {
			if a.Kind == ActionSend {
				retried++
				if (a.Server-first.Server)%2 != 0 {
					t.Fatalf("got a retry from server %d to server %d, want the same cell", first.Server, a.Server)
				}
			}
		}
	}
	if retried < 10 {
		t.Errorf("got %d retries of 60 requests, want at least 10", retried)
	}
}

// An attempt that was not sent because its server was draining does not count: requests of every class may be sent to
// another server without using MaxAttempts or the retry budget, and no failure is recorded for the server.
func TestUnsentAttemptDoesNotCount(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 1
	s.RetryBudgetWindow = time.Second
	s.RetryBudgetMin = 0
	s.RetryBudgetRatio = 0
	for class := range s.Classes {
		h := newHarness(t, s, readyEndpoints(8)...)
		a := onlyAction(t, h.request(1, class), ActionSend)
		for n := range 5 { // one server after another drains
			drained := a.Server
			h.handle(Event{Kind: EventDiscovery, Update: EndpointsChanged, Endpoints: []Endpoint{{ID: drained, State: Draining}}})
			a = onlyAction(t, h.endAttempt(1, n, OutcomeServerDraining), ActionSend)
			if a.Server == drained {
				t.Fatalf("class %d: got a request on the draining server %d, want another server", class, drained)
			}
			if health := h.b.serversByID[drained].health[class]; health.failures > 0 || h.b.serversByID[drained].skippedUntil > 0 {
				t.Errorf("class %d: got failures or a skip of the draining server, want none: %+v", class, health)
			}
		}
		if class == nonIdempotent {
			onlyAction(t, h.endAttempt(1, 5, OutcomeError), ActionFail)
		}
		if len(h.b.retryTimes) > 0 {
			t.Errorf("class %d: got %d retries, want 0", class, len(h.b.retryTimes))
		}
	}
}

// A request gets at most MaxAttempts attempts, and the retries of all requests stay within the default retry budget.
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
	if retried < 10 || retried > 24 { // defaultRetryBudgetRatio of the requests, and defaultRetryBudgetMin
		t.Errorf("got %d retries for 100 requests, want 10 to 24", retried)
	}
}

// When a client closes its connection, its attempt is cancelled once and it gets no response. No state is left after the
// attempt ends.
func TestClientClosedCancelsOnce(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(3)...)
	onlyAction(t, h.request(1, nonIdempotent), ActionSend)
	if a := onlyAction(t, h.handle(Event{Kind: EventClientClosed, Request: 1}), ActionCancel); a.Attempt != 0 {
		t.Errorf("got attempt %d cancelled, want 0", a.Attempt)
	}
	noAction(t, h.endAttempt(1, 0, OutcomeCancelled), ActionSend, ActionReject, ActionFail)
	if len(h.b.requests) != 0 {
		t.Errorf("got %d open requests, want 0", len(h.b.requests))
	}
	for _, s := range h.b.servers {
		if s.inFlight != 0 {
			t.Errorf("server %d: got %d in flight, want 0", s.ID, s.inFlight)
		}
	}
}

// Without Hedging, a request must not have two attempts in flight.
func TestOnlyHedgingAllowsSecondAttemptInFlight(t *testing.T) {
	for _, hedging := range []bool{false, true} {
		s := testSettings()
		s.Hedging = hedging
		h := newHarness(t, s, readyEndpoints(2)...)
		onlyAction(t, h.request(1, idempotent), ActionSend)
		if got := h.b.canSend(h.b.requests[1], h.b.servers[0]); got != hedging {
			t.Errorf("Hedging %v: got canSend %v with an attempt in flight, want %v", hedging, got, hedging)
		}
	}
}

// In any window, including its edges, retries must not exceed RetryBudgetMin plus RetryBudgetRatio times the requests.
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
			t.Errorf("step %d at %v: got retried %v, want %v", i, c.at, got, c.want)
		}
	}
}

// A client's last retry may use all of the remaining deadline, which is longer than the timeout of a first request.
// First requests must not be taken for late retries because of it, or all of them would be rejected.
func TestFirstRequestsAreNotRejectedAsLate(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(4)...)
	rejected := 0
	for id := range RequestID(60) {
		h.now += 10 * ms
		h.b.overload = 0
		remaining := 550 * ms // the timeout of a first request, part of the deadline of 1 s
		if id%3 == 2 {
			remaining = 850 * ms // a last retry has the entire remaining deadline
		}
		for _, a := range h.handle(Event{Kind: EventRequest, Request: id, Class: idempotent, Remaining: remaining, Retry: id%3 == 2}) {
			if a.Kind == ActionReject {
				rejected++
			} else if r := h.b.requests[id]; a.Kind == ActionSend && id%3 == 2 && r.objective != h.now+250*ms {
				t.Fatalf("last retry: got its objective in %v, want 250ms", r.objective-h.now)
			}
		}
		h.endAttempt(id, 0, OutcomeOK)
	}
	if rejected > 0 {
		t.Errorf("got %d requests rejected as late, want 0", rejected)
	}
}

// A retry with the timeout of a first request came soon after a rejection: its objective is reduced by half of the
// possible elapsed time. With another timeout the objective is reduced by all of it. Otherwise early retries are
// rejected as late.
func TestEarlyRetryLosesHalfOfElapsedTime(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(3)...)
	for id := range RequestID(10) {
		h.handle(Event{Kind: EventRequest, Request: id + 1, Class: idempotent, Remaining: 600 * ms})
	}
	for id, remaining := range map[RequestID]time.Duration{20: 600 * ms, 21: 700 * ms} {
		h.handle(Event{Kind: EventRequest, Request: id, Class: idempotent, Remaining: remaining, Retry: true})
	}
	if early, late := h.b.requests[20].objective-h.now, h.b.requests[21].objective-h.now; early != 200*ms || late != 100*ms {
		t.Errorf("got objectives in %v and %v, want 200ms and 100ms", early, late)
	}
}

// A silent request is hedged once, on another server and in time, if its class and the settings allow it. This happens
// at the second expiry of its silence timer, or at the first if the server's report shows that the request is lost.
func TestSilentRequestsAreHedged(t *testing.T) {
	for _, c := range []struct {
		class   int
		hedging bool
		report  float64 // reported in flight before the timer expires; negative means no report
		after   time.Duration
		want    [3]bool // whether each expiry of the timer hedges it
	}{
		{keyedByFleet, true, -1, 0, [3]bool{1: true}},
		{idempotent, true, 0, 0, [3]bool{0: true}},
		{keyedByFleet, true, 1, 0, [3]bool{1: true}},
		{keyedByFleet, true, -1, 300 * ms, [3]bool{}}, // too late
		{keyedByCell, true, -1, 0, [3]bool{}},         // each server has its own cell
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
			} else if hedge := onlyAction(t, actions, ActionSend); hedge.Server == first {
				t.Errorf("%+v: expiry %d: got a hedge on the same server %d, want another one", c, expiry, first)
			}
		}
	}
}

// A retry with an idempotency key that reaches its server after the dedup window would run twice. If the first attempt
// never ran, there is no such limit.
func TestKeyedRetriesHaveDispatchLimit(t *testing.T) {
	for outcome, want := range map[Outcome]time.Duration{OutcomeError: 200 * ms, OutcomeRejected: 0} {
		h := newHarness(t, testSettings(), readyEndpoints(6)...)
		if first := onlyAction(t, h.request(1, keyedByFleet), ActionSend); first.DispatchWithin != 0 {
			t.Errorf("first attempt: got DispatchWithin %v, want 0", first.DispatchWithin)
		}
		h.now += 100 * ms
		if retried := onlyAction(t, h.endAttempt(1, 0, outcome), ActionSend); retried.DispatchWithin != want {
			t.Errorf("retry after outcome %d: got DispatchWithin %v, want %v", outcome, retried.DispatchWithin, want)
		}
	}
}

// A request whose body or response is streaming is not retried, its silence is no failure of the server, and its
// latency, which includes time that the client took, does not change any average.
func TestStreamingRequests(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeRejected, OutcomeConnectFailed, OutcomeReset, OutcomeError, OutcomeExpired} {
		h := newHarness(t, testSettings(), readyEndpoints(3)...)
		h.request(1, idempotent)
		h.handle(Event{Kind: EventStreaming, Request: 1})
		actions := h.endAttempt(1, 0, outcome)
		noAction(t, actions, ActionSend)
		if onlyAction(t, actions, ActionReject).Request != 1 || len(h.b.requests) > 0 {
			t.Errorf("outcome %d: got actions %+v and %d open requests, want a rejection of request 1 and 0", outcome, actions, len(h.b.requests))
		}
	}
	h := newHarness(t, testSettings(), readyEndpoints(3)...)
	actions := h.request(1, idempotent)
	s, timer := h.b.serversByID[onlyAction(t, actions, ActionSend).Server], onlyAction(t, actions, ActionSetTimer)
	meanLatency := h.b.classes[idempotent].latencySeconds
	h.handle(Event{Kind: EventStreaming, Request: 1})
	h.now += 20 * time.Second
	noAction(t, h.handle(Event{Kind: EventTimer, TimerID: timer.TimerID}), ActionSend, ActionSetTimer)
	h.endAttempt(1, 0, OutcomeOK)
	if s.health[idempotent].failures > 0 || h.b.classes[idempotent].latencySeconds != meanLatency || h.b.queueDepth.known || len(h.b.requests) > 0 {
		t.Errorf("got failures %v, mean latency %v, queue depth %v and %d open requests, want failures 0, mean latency %v and no others",
			s.health[idempotent].failures, h.b.classes[idempotent].latencySeconds, h.b.queueDepth, len(h.b.requests), meanLatency)
	}
}
