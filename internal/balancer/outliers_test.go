package balancer

import (
	"slices"
	"testing"
	"time"
)

// Errors return early: a failing server must be ejected, and the latency of errors must not make it look fast.
func TestErrorsEjectWithoutChangingSpeed(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(6)...)
	h.b.retryTimes = slices.Repeat(history{h.now}, 9) // the retry budget is spent
	bad := onlyAction(t, h.request(1, nonIdempotent), ActionSend).Server
	h.now += ms
	h.endAttempt(1, 0, OutcomeError)
	if s := h.b.serversByID[bad]; s.slowdown != 1 {
		t.Errorf("after an error: got slowdown %v, want 1", s.slowdown)
	}
	for id := range RequestID(60) {
		if a := onlyAction(t, h.request(10+id, nonIdempotent), ActionSend); a.Server == bad {
			t.Fatalf("got a request on the ejected server %d, want another server", bad)
		}
	}
	h.now += 6 * time.Second
	readmitted := false
	for id := range RequestID(60) {
		readmitted = readmitted || onlyAction(t, h.request(100+id, nonIdempotent), ActionSend).Server == bad
	}
	if !readmitted {
		t.Errorf("got no request on server %d after its ejection, want it readmitted", bad)
	}
}

// An error from a server without a recent response must eject it for all classes, or each class would have to fail
// there first. An error between other responses has a low weight, for its class only.
func TestErrorWithoutRecentResponseEjectsForAllClasses(t *testing.T) {
	for _, responded := range []bool{false, true} {
		h := newHarness(t, testSettings(), readyEndpoints(6)...)
		s, c := h.b.servers[0], h.b.classes[idempotent]
		h.b.recordOutcome(c, &attempt{server: s}, OutcomeOK, 0.1)
		if !responded {
			h.b.now += c.LatencyObjective
		}
		h.b.recordOutcome(c, &attempt{server: s}, OutcomeError, 0.1)
		for i := range s.health {
			if ejected := s.health[i].ejectedUntil > h.b.now; ejected == responded {
				t.Errorf("recent response %v, class %d: got ejected %v, want %v", responded, i, ejected, !responded)
			}
		}
	}
}

// When all servers seem to fail, the cause is overload or this agent's own network. Most servers must then stay in use.
func TestEjectionIsCapped(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(9)...)
	for _, s := range slices.Clone(h.b.servers) {
		h.pickPair()
		h.b.recordFailure(h.b.classes[idempotent], s, 5, "test")
	}
	h.pickPair()
	if n := len(h.candidates().servers); n != 7 {
		t.Errorf("got %d of 9 servers as candidates, want 7", n)
	}
}

// Incident i4fd1b4: a server that rejected requests immediately had few in flight and won every pair. It must be
// skipped for a while, and used again later.
func TestRejectingServerIsSkipped(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(2)...)
	for id := range RequestID(10) { // sets the mean latency
		h.request(id, idempotent)
		h.now += 100 * ms
		h.endAttempt(id, 0, OutcomeOK)
	}
	rejecting := onlyAction(t, h.request(100, idempotent), ActionSend).Server
	h.endAttempt(100, 0, OutcomeRejected)
	for id := range RequestID(20) {
		for _, a := range h.request(200+id, idempotent) {
			if a.Kind == ActionSend && a.Server == rejecting {
				t.Fatalf("got a request on the rejecting server %d, want it skipped", rejecting)
			}
		}
	}
	h.now += time.Second
	h.b.overload = 0
	for id := range RequestID(20) { // all other requests are in flight on the other server
		if a := onlyAction(t, h.request(300+id, idempotent), ActionSend); a.Server == rejecting {
			return
		}
	}
	t.Errorf("got no request on server %d after a second, want it used again", rejecting)
}

// A server that responds in between must not be ejected for single failures, nor for one slow request. Three failures
// in a row eject it, and so does silence on all requests.
func TestSingleFailuresDoNotEject(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeError, OutcomeReset} {
		h := newHarness(t, testSettings(), readyEndpoints(3)...)
		s, c := h.b.serversByID[1], h.b.classes[idempotent]
		for range 20 {
			h.b.recordOutcome(c, &attempt{server: s}, OutcomeOK, 0.1)
			h.b.recordOutcome(c, &attempt{server: s}, outcome, 0.1)
		}
		if s.health[idempotent].ejectedUntil > h.b.now {
			t.Errorf("outcome %d, single failures: got ejected, want not ejected", outcome)
		}
		for range 2 {
			h.b.recordOutcome(c, &attempt{server: s}, outcome, 0.1)
		}
		if s.health[idempotent].ejectedUntil <= h.b.now {
			t.Errorf("outcome %d, three failures in a row: got not ejected, want ejected", outcome)
		}
	}
	h := newHarness(t, testSettings(), readyEndpoints(3)...)
	sent := h.request(1, idempotent)
	s, timer := h.b.serversByID[onlyAction(t, sent, ActionSend).Server], onlyAction(t, sent, ActionSetTimer)
	h.now += timer.Delay / 2
	h.handle(Event{Kind: EventTimer}) // advances the Balancer's time
	h.b.recordOutcome(h.b.classes[idempotent], &attempt{server: s}, OutcomeOK, 0.1)
	h.now += timer.Delay / 2
	h.handle(Event{Kind: EventTimer, TimerID: timer.TimerID})
	if s.health[idempotent].failures > 0 {
		t.Errorf("one slow request: got failures %v, want 0", s.health[idempotent].failures)
	}
	h.now += time.Second
	for s.inFlight < 2 { // one more request without a response, and no other traffic
		id := RequestID(len(h.b.requests) + 2)
		sent = h.request(id, idempotent)
	}
	timer = onlyAction(t, sent, ActionSetTimer)
	for range 3 {
		h.now += timer.Delay
		h.handle(Event{Kind: EventTimer, TimerID: timer.TimerID})
	}
	if s.health[idempotent].ejectedUntil <= h.now {
		t.Error("silent on all requests: got not ejected, want ejected")
	}
}

// A server that refuses connections while it responds on others, or that rejects requests, lacks capacity. It must be
// skipped for a while but not ejected, and if it reports its load this must not raise the overload.
func TestServerWithoutCapacityIsSkipped(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeConnectFailed, OutcomeRejected} {
		h := newHarness(t, testSettings(), readyEndpoints(3)...)
		s, c := h.b.serversByID[1], h.b.classes[idempotent]
		h.b.recordReport(s, LoadReport{Known: true, InFlight: 2, Queue: -1, ServiceTime: 10 * ms})
		h.b.recordOutcome(c, &attempt{server: s}, OutcomeOK, 0.1)
		h.b.latencySeconds.add(0.01, 1)
		for range 5 {
			h.b.recordOutcome(c, &attempt{server: s, sentAt: h.b.now}, outcome, 0.1)
			if s.skippedUntil <= h.b.now {
				t.Errorf("outcome %d: got not skipped, want skipped", outcome)
			}
			h.b.now, s.lastResponse = s.skippedUntil, s.skippedUntil // it has responded to others
		}
		if s.health[idempotent].ejectedUntil > h.b.now || h.b.overload > 0 {
			t.Errorf("outcome %d: got ejectedUntil %v at %v and overload %v, want no ejection and overload 0", outcome,
				s.health[idempotent].ejectedUntil, h.b.now, h.b.overload)
		}
	}
}

// A server that fails one class and serves the others well must be ejected for that class only, and responses to the
// others must not readmit it. Once it fails two classes or refuses connections, it is ejected for all.
func TestHealthIsPerClass(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(8)...)
	isCandidate := func(class int, id ServerID) bool {
		c := h.b.classes[class]
		h.b.pickPair(c)
		return slices.Contains(c.candidates.servers, h.b.serversByID[id])
	}
	bad := onlyAction(t, h.request(1, nonIdempotent), ActionSend).Server
	h.now += 900 * ms
	h.endAttempt(1, 0, OutcomeTimeout)
	if isCandidate(nonIdempotent, bad) || !isCandidate(idempotent, bad) {
		t.Fatalf("after a silent request: got ejected %v for its class and %v for another class, want true and false",
			!isCandidate(nonIdempotent, bad), !isCandidate(idempotent, bad))
	}
	for range 20 {
		h.b.recordOutcome(h.b.classes[idempotent], &attempt{server: h.b.serversByID[bad]}, OutcomeOK, 0.1)
	}
	if isCandidate(nonIdempotent, bad) {
		t.Error("after responses to another class: got readmitted, want still ejected")
	}
	h.b.now += 500 * ms // no response for a while
	h.b.recordOutcome(h.b.classes[idempotent], &attempt{server: h.b.serversByID[bad]}, OutcomeError, 0.1)
	for class := range h.b.classes {
		if isCandidate(class, bad) {
			t.Errorf("after failures of two classes: got a candidate for class %d, want ejected", class)
		}
	}
	other := h.b.servers[0].ID
	if other == bad {
		other = h.b.servers[1].ID
	}
	h.b.recordOutcome(h.b.classes[idempotent], &attempt{server: h.b.serversByID[other]}, OutcomeConnectFailed, 0.1)
	if isCandidate(nonIdempotent, other) {
		t.Error("after a refused connection: got a candidate, want ejected for all classes")
	}
}

// A single reset must not eject a server, however old its last response is: networks also reset connections to healthy
// servers. Several in a row eject it.
func TestSingleResetDoesNotEject(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(8)...)
	s := h.b.servers[0]
	for _, quiet := range []time.Duration{0, 100 * ms, 5 * time.Second} {
		h.b.recordOutcome(h.b.classes[idempotent], &attempt{server: s}, OutcomeOK, 0.1)
		h.b.now += quiet
		h.b.recordOutcome(h.b.classes[idempotent], &attempt{server: s}, OutcomeReset, 0.1)
		for class := range h.b.classes {
			if s.health[class].ejectedUntil > h.b.now {
				t.Errorf("one reset %v after a response: got ejected for class %d, want not ejected", quiet, class)
			}
		}
	}
	dead := h.b.servers[1]
	for _, outcome := range []Outcome{OutcomeReset, OutcomeConnectFailed} { // its process is dead
		h.b.recordOutcome(h.b.classes[idempotent], &attempt{server: s}, OutcomeReset, 0.1)
		h.b.recordOutcome(h.b.classes[idempotent], &attempt{server: dead, sentAt: h.b.now}, outcome, 0.1)
	}
	for _, s := range []*server{s, dead} {
		if s.health[nonIdempotent].ejectedUntil <= h.b.now {
			t.Errorf("server %d, three resets in a row or one and a refused connection: got not ejected, want ejected", s.ID)
		}
	}
}

// A single slow request must not eject its server, even if no response arrives within the latency objective.
func TestSlowRequestDoesNotEject(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(8)...)
	for i := range h.b.classes {
		h.b.classes[i].latencySeconds = movingAverage{0.02, true} // other requests are quick
	}
	sent := h.request(1, idempotent)
	s, timer := h.b.serversByID[onlyAction(t, sent, ActionSend).Server], onlyAction(t, sent, ActionSetTimer)
	objective := h.b.classes[idempotent].LatencyObjective
	for h.now += timer.Delay; h.now <= time.Hour+objective; h.now += timer.Delay {
		h.handle(Event{Kind: EventTimer, TimerID: timer.TimerID})
	}
	if s.health[idempotent].ejectedUntil > h.now {
		t.Error("within the objective: got ejected, want not ejected")
	}
}

// The failure weight of a silent attempt must be 0.5 after the first expiry of its timer and 1 after the second. Its
// timeout must add nothing, or one attempt would count twice.
func TestTimeoutAfterSilenceAddsNoFailure(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(6)...)
	actions := h.request(1, nonIdempotent)
	s := h.b.serversByID[onlyAction(t, actions, ActionSend).Server]
	health := &s.health[nonIdempotent]
	for _, want := range []float64{0.5, 1} {
		a := onlyAction(t, actions, ActionSetTimer)
		h.now += a.Delay
		before := health.ejectedUntil
		actions = h.handle(Event{Kind: EventTimer, TimerID: a.TimerID})
		if ejected := health.ejectedUntil > before; ejected != (want == 1) {
			t.Fatalf("silence of weight %v: got ejected %v, want %v", want, ejected, want == 1)
		}
	}
	health.ejectedUntil, health.failures = 0, 0
	h.endAttempt(1, 0, OutcomeTimeout)
	if health.failures != 0 {
		t.Errorf("timeout after silence: got failures %v, want 0", health.failures)
	}
}

// A server that never responds to one class must be ejected for it by timeouts, although it responds to other classes.
func TestTimeoutsOfOneClassEject(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(8)...)
	s, c := h.b.servers[0], h.b.classes[nonIdempotent]
	h.b.recordOutcome(c, &attempt{server: s}, OutcomeOK, 0.1)
	for range 3 {
		a := attempt{server: s, sentAt: h.b.now}
		h.b.now += time.Second
		h.b.recordOutcome(h.b.classes[idempotent], &attempt{server: s}, OutcomeOK, 0.1)
		h.b.recordOutcome(c, &a, OutcomeTimeout, 1)
	}
	if s.health[nonIdempotent].ejectedUntil <= h.b.now {
		t.Error("class without responses: got not ejected, want ejected")
	}
	if s.health[idempotent].ejectedUntil > h.b.now {
		t.Error("class with responses: got ejected, want not ejected")
	}
}

// EjectedEndpoints must count a server only while it is ejected for all classes and listed.
func TestEjectedEndpoints(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(5)...)
	s := h.b.serversByID[1]
	h.b.now = h.now
	h.b.recordFailure(h.b.classes[idempotent], s, 1, "test")
	if n := h.b.EjectedEndpoints(h.now); n != 0 {
		t.Errorf("ejected for one class: got %d ejected endpoints, want 0", n)
	}
	h.b.recordFailure(h.b.classes[nonIdempotent], s, 1, "test") // the second class ejects it for all
	if n := h.b.EjectedEndpoints(h.now); n != 1 {
		t.Errorf("ejected for all classes: got %d ejected endpoints, want 1", n)
	}
	if n := h.b.EjectedEndpoints(s.health[idempotent].ejectedUntil + time.Hour); n != 0 {
		t.Errorf("after the ejection: got %d ejected endpoints, want 0", n)
	}
	s.State = Removed
	if n := h.b.EjectedEndpoints(h.now); n != 0 {
		t.Errorf("removed: got %d ejected endpoints, want 0", n)
	}
}
