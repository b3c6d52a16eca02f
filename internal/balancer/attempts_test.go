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
		{"pure error", pure, OutcomeError, 10 * ms, ActionSend},
		{"pure time-out", pure, OutcomeTimeout, 1000 * ms, ActionReject},
		{"unsafe error", unsafe, OutcomeError, 10 * ms, ActionFail},
		{"unsafe reset", unsafe, OutcomeReset, 10 * ms, ActionFail},
		{"unsafe cancelled", unsafe, OutcomeCancelled, 10 * ms, ActionFail},
		{"unsafe time-out", unsafe, OutcomeTimeout, 1000 * ms, ActionFail},
		{"unsafe full", unsafe, OutcomeRejected, 10 * ms, ActionSend},
		{"unsafe not connected", unsafe, OutcomeConnectFailed, 10 * ms, ActionSend},
		{"keyed everywhere, inside the window", byAll, OutcomeError, 299 * ms, ActionSend},
		{"keyed everywhere, past it", byAll, OutcomeError, 300 * ms, ActionFail},
		{"keyed by cell, no other server in it", byCell, OutcomeError, 10 * ms, ActionFail},
		{"keyed by cell, never ran", byCell, OutcomeRejected, 10 * ms, ActionSend},
		{"keyed by zone, no other server in it", byZone, OutcomeError, 10 * ms, ActionFail},
		{"keyed by cell, time-out", byCell, OutcomeTimeout, 1000 * ms, ActionFail},
	} {
		x := start(t, settings(), fleet(6)...)
		first := one(t, x.ask(1, c.class), ActionSend)
		x.now += c.after
		acts := x.ends(1, 0, c.how)
		a := one(t, acts, c.want)
		if a.Request != 1 {
			t.Errorf("%s: %+v", c.name, a)
		}
		if c.want == ActionSend && c.how == OutcomeError && c.class >= byCell && c.class != byAll && a.Server != first.Server {
			t.Errorf("%s: sent to another group", c.name)
		}
		none(t, x.ends(1, 0, OutcomeOK), ActionSend, ActionReject, ActionFail)
	}
}

// Danger: a keyed retry outside its cell runs twice. In a fleet of one cell it may go anywhere.
func TestKeyedRetryStaysInCell(t *testing.T) {
	list := fleet(8)
	for i := range list {
		list[i].Cell = i % 2
	}
	sent := 0
	for seed := range 60 {
		x := start(t, settings(), list...)
		for range seed {
			x.b.rng.Float64()
		}
		first := one(t, x.ask(1, byCell), ActionSend)
		for _, a := range x.ends(1, 0, OutcomeReset) {
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
	s := settings()
	s.MaxAttempts, s.RetryBudgetWindow, s.RetryBudgetMin, s.RetryBudgetRatio = 1, time.Second, 0, 0
	for class := range s.Classes {
		x := start(t, s, fleet(8)...)
		a := one(t, x.ask(1, class), ActionSend)
		for n := range 5 { // as each server leaves in turn
			left := a.Server
			x.on(Event{Kind: EventDiscovery, Update: EndpointsChanged, Endpoints: []Endpoint{{ID: left, State: Draining}}})
			if a = one(t, x.ends(1, n, OutcomeServerDraining), ActionSend); a.Server == left {
				t.Fatalf("class %d: sent to the leaving server", class)
			}
			if health := x.b.serversByID[left].health[class]; health.failures > 0 || x.b.serversByID[left].skippedUntil > 0 {
				t.Errorf("class %d: the leaving server is blamed: %+v", class, health)
			}
		}
		if class == unsafe {
			one(t, x.ends(1, 5, OutcomeError), ActionFail)
		}
		if len(x.b.retryTimes) > 0 {
			t.Errorf("class %d: %d attempts count as further ones", class, len(x.b.retryTimes))
		}
	}
}

func TestAttemptsAndRetriesAreLimited(t *testing.T) {
	s := settings()
	s.MaxAttempts = 2
	x := start(t, s, fleet(20)...)
	one(t, x.ask(1, pure), ActionSend)
	one(t, x.ends(1, 0, OutcomeError), ActionSend)
	one(t, x.ends(1, 1, OutcomeError), ActionReject)
	x = start(t, settings(), fleet(200)...)
	again := 0
	for id := range RequestID(100) {
		x.ask(id, pure)
		for _, a := range x.ends(id, 0, OutcomeConnectFailed) {
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
	x := start(t, settings(), fleet(3)...)
	one(t, x.ask(1, unsafe), ActionSend)
	if a := one(t, x.on(Event{Kind: EventClientClosed, Request: 1}), ActionCancel); a.Attempt != 0 {
		t.Errorf("cancelled %+v", a)
	}
	none(t, x.ends(1, 0, OutcomeCancelled), ActionSend, ActionReject, ActionFail)
	if len(x.b.requests) != 0 {
		t.Error("the request is still known")
	}
	for _, s := range x.b.servers {
		if s.inFlight != 0 {
			t.Errorf("server %d still has %d in flight", s.ID, s.inFlight)
		}
	}
}

func TestCanSendOneAttemptAtATime(t *testing.T) {
	for _, second := range []bool{false, true} {
		s := settings()
		s.Hedging = second
		x := start(t, s, fleet(2)...)
		one(t, x.ask(1, pure), ActionSend)
		if got := x.b.canSend(x.b.requests[1], x.b.servers[0]); got != second {
			t.Errorf("second copies %v: may send again %v while one is out", second, got)
		}
	}
}

// Rule 6: in any window, edges included, further attempts stay within floor plus ratio times the requests taken.
func TestRetryBudget(t *testing.T) {
	s := settings()
	s.RetryBudgetWindow, s.RetryBudgetMin, s.RetryBudgetRatio = time.Second, 2, 0.5
	x := start(t, s, fleet(20)...)
	again := func(id RequestID) bool {
		x.b.overload = 0
		one(t, x.ask(id, pure), ActionSend)
		acts := x.ends(id, 0, OutcomeRejected)
		return len(acts) > 0 && acts[0].Kind == ActionSend
	}
	begin := x.now
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
		x.now = begin + c.at
		if got := again(RequestID(i)); got != c.want {
			t.Errorf("step %d at %v: sent again %v, want %v", i, c.at, got, c.want)
		}
	}
}

// Danger: a client's last try has all the rest of its deadline, longer than a first one. First tries must not
// look late for that, or they are refused without hope.
func TestFirstRequestsAreNotTakenForRetries(t *testing.T) {
	x := start(t, settings(), fleet(4)...)
	late := 0
	for id := range RequestID(60) {
		x.now += 10 * ms
		x.b.overload = 0
		left := 550 * ms // a first try: a share of the deadline of a second
		if id%3 == 2 {
			left = 850 * ms // a last try
		}
		for _, a := range x.on(Event{Kind: EventRequest, Request: id, Class: pure, Remaining: left, Retry: id%3 == 2}) {
			if a.Kind == ActionReject {
				late++
			} else if r := x.b.requests[id]; a.Kind == ActionSend && id%3 == 2 && r.objective != x.now+250*ms {
				t.Fatalf("a last try's aim is in %v, want 250ms", r.objective-x.now)
			}
		}
		x.ends(id, 0, OutcomeOK)
	}
	if late > 0 {
		t.Errorf("%d tries refused as hopeless", late)
	}
}

// A repeat with a first try's share of the deadline came soon and keeps half of what may have passed; one with less
// has been long, and is late by all of it.
func TestEarlyRetriesKeepHalfOfObjective(t *testing.T) {
	x := start(t, settings(), fleet(3)...)
	for id := range RequestID(10) {
		x.on(Event{Kind: EventRequest, Request: id + 1, Class: pure, Remaining: 600 * ms})
	}
	for id, left := range map[RequestID]time.Duration{20: 600 * ms, 21: 700 * ms} {
		x.on(Event{Kind: EventRequest, Request: id, Class: pure, Remaining: left, Retry: true})
	}
	if early, late := x.b.requests[20].objective-x.now, x.b.requests[21].objective-x.now; early != 200*ms || late != 100*ms {
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
		{byAll, true, -1, 0, [3]bool{1: true}},
		{pure, true, 0, 0, [3]bool{0: true}},
		{byAll, true, 1, 0, [3]bool{1: true}},
		{byAll, true, -1, 300 * ms, [3]bool{}}, // too late
		{byCell, true, -1, 0, [3]bool{}},       // each server is a cell of its own
		{unsafe, true, 0, 0, [3]bool{}},
		{byAll, false, 0, 0, [3]bool{}},
	} {
		s := settings()
		s.Hedging = c.copies
		x := start(t, s, fleet(3)...)
		acts := x.ask(1, c.class)
		first, timer := one(t, acts, ActionSend).Server, one(t, acts, ActionSetTimer)
		if x.now += ms; c.report >= 0 {
			x.on(Event{Kind: EventHealthCheck, Server: first, Load: LoadReport{Known: true, InFlight: c.report, Queue: -1, ServiceTime: -1}})
		}
		x.now += c.after
		for look, want := range c.want {
			acts := x.on(Event{Kind: EventTimer, TimerID: timer.TimerID})
			if !want {
				none(t, acts, ActionSend)
			} else if again := one(t, acts, ActionSend); again.Server == first {
				t.Errorf("%+v: sent again to the same server at look %d", c, look)
			}
		}
	}
}

// A keyed repeat says until when it may reach a server; what cannot be repeated or has not run does not.
func TestKeyedRetriesHaveDispatchLimit(t *testing.T) {
	for how, want := range map[Outcome]time.Duration{OutcomeError: 200 * ms, OutcomeRejected: 0} {
		x := start(t, settings(), fleet(6)...)
		if first := one(t, x.ask(1, byAll), ActionSend); first.DispatchWithin != 0 {
			t.Errorf("the first attempt is bound to %v", first.DispatchWithin)
		}
		x.now += 100 * ms
		if again := one(t, x.ends(1, 0, how), ActionSend); again.DispatchWithin != want {
			t.Errorf("after outcome %d: within %v, want %v", how, again.DispatchWithin, want)
		}
	}
}

// A request whose body or answer flows cannot be had again: nothing repeats it, its silence blames nobody, and the time
// that its client took teaches no speed.
func TestStreamingRequests(t *testing.T) {
	for _, how := range []Outcome{OutcomeRejected, OutcomeConnectFailed, OutcomeReset, OutcomeError, OutcomeExpired} {
		x := start(t, settings(), fleet(3)...)
		x.ask(1, pure)
		x.on(Event{Kind: EventStreaming, Request: 1})
		acts := x.ends(1, 0, how)
		if none(t, acts, ActionSend); one(t, acts, ActionReject).Request != 1 || len(x.b.requests) > 0 {
			t.Errorf("outcome %d: %+v", how, acts)
		}
	}
	x := start(t, settings(), fleet(3)...)
	acts := x.ask(1, pure)
	s, check := x.b.serversByID[one(t, acts, ActionSend).Server], one(t, acts, ActionSetTimer)
	usual := x.b.classes[pure].latencySeconds
	x.on(Event{Kind: EventStreaming, Request: 1})
	x.now += 20 * time.Second
	none(t, x.on(Event{Kind: EventTimer, TimerID: check.TimerID}), ActionSend, ActionSetTimer)
	x.ends(1, 0, OutcomeOK)
	if s.health[pure].failures > 0 || x.b.classes[pure].latencySeconds != usual || x.b.queueDepth.known || len(x.b.requests) > 0 {
		t.Errorf("blamed %v, usual answer %v, was %v", s.health[pure].failures, x.b.classes[pure].latencySeconds, usual)
	}
}
