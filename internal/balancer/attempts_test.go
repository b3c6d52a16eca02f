package balancer

import (
	"testing"
	"time"
)

// What may be sent again, and how a request ends, by class and outcome.
func TestIdempotency(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		how   Outcome
		after time.Duration
		want  ActionKind
	}{
		{"pure error", idempotent, OutcomeError, 10 * ms, ActionSend},
		{"pure time-out", idempotent, OutcomeTimeout, 1000 * ms, ActionReject},
		{"unsafe error", nonIdempotent, OutcomeError, 10 * ms, ActionFail},
		{"unsafe reset", nonIdempotent, OutcomeReset, 10 * ms, ActionFail},
		{"unsafe cancelled", nonIdempotent, OutcomeCancelled, 10 * ms, ActionFail},
		{"unsafe time-out", nonIdempotent, OutcomeTimeout, 1000 * ms, ActionFail},
		{"unsafe full", nonIdempotent, OutcomeRejected, 10 * ms, ActionSend},
		{"unsafe not connected", nonIdempotent, OutcomeConnectFailed, 10 * ms, ActionSend},
		{"keyed everywhere, inside the window", keyedByFleet, OutcomeError, 299 * ms, ActionSend},
		{"keyed everywhere, past it", keyedByFleet, OutcomeError, 300 * ms, ActionFail},
		{"keyed by cell, no other server in it", keyedByCell, OutcomeError, 10 * ms, ActionFail},
		{"keyed by cell, never ran", keyedByCell, OutcomeRejected, 10 * ms, ActionSend},
		{"keyed by zone, no other server in it", keyedByZone, OutcomeError, 10 * ms, ActionFail},
		{"keyed by cell, time-out", keyedByCell, OutcomeTimeout, 1000 * ms, ActionFail},
	} {
		h := newHarness(t, testSettings(), readyEndpoints(6)...)
		first := onlyAction(t, h.request(1, c.class), ActionSend)
		h.now += c.after
		acts := h.endAttempt(1, 0, c.how)
		a := onlyAction(t, acts, c.want)
		if a.Request != 1 {
			t.Errorf("%s: %+v", c.name, a)
		}
		if c.want == ActionSend && c.how == OutcomeError && c.class >= keyedByCell && c.class != keyedByFleet && a.Server != first.Server {
			t.Errorf("%s: sent to another group", c.name)
		}
		noAction(t, h.endAttempt(1, 0, OutcomeOK), ActionSend, ActionReject, ActionFail)
	}
}

// Danger: a keyed retry outside its cell runs twice. In a fleet of one cell it may go anywhere.
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
		t.Errorf("only %d of 60 were sent again", sent)
	}
}

// What was not sent as its server had begun to leave is no attempt: every class may go on to another server, within any
// budget, and nobody is blamed.
func TestUnsentAttemptDoesNotCount(t *testing.T) {
	s := testSettings()
	s.MaxAttempts, s.RetryBudgetWindow, s.RetryBudgetMin, s.RetryBudgetRatio = 1, time.Second, 0, 0
	for class := range s.Classes {
		h := newHarness(t, s, readyEndpoints(8)...)
		a := onlyAction(t, h.request(1, class), ActionSend)
		for n := range 5 { // as each server leaves in turn
			left := a.Server
			h.handle(Event{Kind: EventDiscovery, Update: EndpointsChanged, Endpoints: []Endpoint{{ID: left, State: Draining}}})
			if a = onlyAction(t, h.endAttempt(1, n, OutcomeServerDraining), ActionSend); a.Server == left {
				t.Fatalf("class %d: sent to the leaving server", class)
			}
			if health := h.b.serversByID[left].health[class]; health.failures > 0 || h.b.serversByID[left].skippedUntil > 0 {
				t.Errorf("class %d: the leaving server is blamed: %+v", class, health)
			}
		}
		if class == nonIdempotent {
			onlyAction(t, h.endAttempt(1, 5, OutcomeError), ActionFail)
		}
		if len(h.b.retryTimes) > 0 {
			t.Errorf("class %d: %d attempts count as further ones", class, len(h.b.retryTimes))
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
	again := 0
	for id := range RequestID(100) {
		h.request(id, idempotent)
		for _, a := range h.endAttempt(id, 0, OutcomeConnectFailed) {
			if a.Kind == ActionSend {
				again++
			}
		}
	}
	if again < 10 || again > 24 { // danger: a retry storm; a fifth of the requests and the burst
		t.Errorf("%d retries for 100 requests", again)
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
			t.Errorf("second copies %v: may send again %v while one is out", second, got)
		}
	}
}

// Rule 6: in any window, edges included, further attempts stay within floor plus ratio times the requests taken.
func TestRetryBudget(t *testing.T) {
	s := testSettings()
	s.RetryBudgetWindow, s.RetryBudgetMin, s.RetryBudgetRatio = time.Second, 2, 0.5
	h := newHarness(t, s, readyEndpoints(20)...)
	again := func(id RequestID) bool {
		h.b.overload = 0
		onlyAction(t, h.request(id, idempotent), ActionSend)
		acts := h.endAttempt(id, 0, OutcomeRejected)
		return len(acts) > 0 && acts[0].Kind == ActionSend
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
		{1000 * ms, false}, // the four first attempts still count, the requests beside them do not: 6 of 2 + 1
		{1001 * ms, true},  // 2 of 2 + 1.5
	} {
		h.now = begin + c.at
		if got := again(RequestID(i)); got != c.want {
			t.Errorf("step %d at %v: sent again %v, want %v", i, c.at, got, c.want)
		}
	}
}

// Danger: a client's last try has all the rest of its deadline, longer than a first one. First tries must not
// look late for that, or they are refused without hope.
func TestFirstRequestsAreNotTakenForRetries(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(4)...)
	late := 0
	for id := range RequestID(60) {
		h.now += 10 * ms
		h.b.overload = 0
		left := 550 * ms // a first try: a share of the deadline of a second
		if id%3 == 2 {
			left = 850 * ms // a last try
		}
		for _, a := range h.handle(Event{Kind: EventRequest, Request: id, Class: idempotent, Remaining: left, Retry: id%3 == 2}) {
			if a.Kind == ActionReject {
				late++
			} else if r := h.b.requests[id]; a.Kind == ActionSend && id%3 == 2 && r.objective != h.now+250*ms {
				t.Fatalf("a last try's aim is in %v, want 250ms", r.objective-h.now)
			}
		}
		h.endAttempt(id, 0, OutcomeOK)
	}
	if late > 0 {
		t.Errorf("%d tries refused as hopeless", late)
	}
}

// A repeat with a first try's share of the deadline came soon and keeps half of what may have passed; one with less
// has been long, and is late by all of it.
func TestEarlyRetriesKeepHalfOfObjective(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(3)...)
	for id := range RequestID(10) {
		h.handle(Event{Kind: EventRequest, Request: id + 1, Class: idempotent, Remaining: 600 * ms})
	}
	for id, left := range map[RequestID]time.Duration{20: 600 * ms, 21: 700 * ms} {
		h.handle(Event{Kind: EventRequest, Request: id, Class: idempotent, Remaining: left, Retry: true})
	}
	if early, late := h.b.requests[20].objective-h.now, h.b.requests[21].objective-h.now; early != 200*ms || late != 100*ms {
		t.Errorf("aims in %v and %v, want 200ms and 100ms", early, late)
	}
}

// A silent request is sent again once, elsewhere and in time, if its class may be and second copies are allowed: at
// the second look, or at the first if its server has reported since and no longer holds it.
func TestSilentRequestsAreHedged(t *testing.T) {
	for _, c := range []struct {
		class  int
		copies bool
		report float64 // what the server says it holds before the first look, if not negative
		after  time.Duration
		want   [3]bool // whether a copy goes out at each look
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
		s.Hedging = c.copies
		h := newHarness(t, s, readyEndpoints(3)...)
		acts := h.request(1, c.class)
		first, timer := onlyAction(t, acts, ActionSend).Server, onlyAction(t, acts, ActionSetTimer)
		if h.now += ms; c.report >= 0 {
			h.handle(Event{Kind: EventHealthCheck, Server: first, Load: LoadReport{Known: true, InFlight: c.report, Queue: -1, ServiceTime: -1}})
		}
		h.now += c.after
		for look, want := range c.want {
			acts := h.handle(Event{Kind: EventTimer, TimerID: timer.TimerID})
			if !want {
				noAction(t, acts, ActionSend)
			} else if again := onlyAction(t, acts, ActionSend); again.Server == first {
				t.Errorf("%+v: sent again to the same server at look %d", c, look)
			}
		}
	}
}

// A keyed repeat says until when it may reach a server; what cannot be repeated or has not run does not.
func TestKeyedRetriesHaveDispatchLimit(t *testing.T) {
	for how, want := range map[Outcome]time.Duration{OutcomeError: 200 * ms, OutcomeRejected: 0} {
		h := newHarness(t, testSettings(), readyEndpoints(6)...)
		if first := onlyAction(t, h.request(1, keyedByFleet), ActionSend); first.DispatchWithin != 0 {
			t.Errorf("the first attempt is bound to %v", first.DispatchWithin)
		}
		h.now += 100 * ms
		if again := onlyAction(t, h.endAttempt(1, 0, how), ActionSend); again.DispatchWithin != want {
			t.Errorf("after outcome %d: within %v, want %v", how, again.DispatchWithin, want)
		}
	}
}

// A request whose body or answer flows cannot be had again: nothing repeats it, its silence blames nobody, and the time
// that its client took teaches no speed.
func TestStreamingRequests(t *testing.T) {
	for _, how := range []Outcome{OutcomeRejected, OutcomeConnectFailed, OutcomeReset, OutcomeError, OutcomeExpired} {
		h := newHarness(t, testSettings(), readyEndpoints(3)...)
		h.request(1, idempotent)
		h.handle(Event{Kind: EventStreaming, Request: 1})
		acts := h.endAttempt(1, 0, how)
		if noAction(t, acts, ActionSend); onlyAction(t, acts, ActionReject).Request != 1 || len(h.b.requests) > 0 {
			t.Errorf("outcome %d: %+v", how, acts)
		}
	}
	h := newHarness(t, testSettings(), readyEndpoints(3)...)
	acts := h.request(1, idempotent)
	s, check := h.b.serversByID[onlyAction(t, acts, ActionSend).Server], onlyAction(t, acts, ActionSetTimer)
	usual := h.b.classes[idempotent].latencySeconds
	h.handle(Event{Kind: EventStreaming, Request: 1})
	h.now += 20 * time.Second
	noAction(t, h.handle(Event{Kind: EventTimer, TimerID: check.TimerID}), ActionSend, ActionSetTimer)
	h.endAttempt(1, 0, OutcomeOK)
	if s.health[idempotent].failures > 0 || h.b.classes[idempotent].latencySeconds != usual || h.b.queueDepth.known || len(h.b.requests) > 0 {
		t.Errorf("blamed %v, usual answer %v, was %v", s.health[idempotent].failures, h.b.classes[idempotent].latencySeconds, usual)
	}
}
