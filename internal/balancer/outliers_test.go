package balancer

import (
	"slices"
	"testing"
	"time"
)

// Errors return early: they eject a server, and their latency teaches no speed.
func TestErrorsEjectAndTeachNoSpeed(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(6)...)
	h.b.retryTimes = slices.Repeat(history{h.now}, 9) // the retry budget is spent
	bad := onlyAction(t, h.request(1, nonIdempotent), ActionSend).Server
	h.now += ms
	h.endAttempt(1, 0, OutcomeError)
	if s := h.b.serversByID[bad]; s.slowdown != 1 {
		t.Errorf("an error taught that the server is %v times slower", s.slowdown)
	}
	for id := range RequestID(60) {
		if a := onlyAction(t, h.request(10+id, nonIdempotent), ActionSend); a.Server == bad {
			t.Fatal("sent to the ejected server")
		}
	}
	h.now += 6 * time.Second
	readmitted := false
	for id := range RequestID(60) {
		readmitted = readmitted || onlyAction(t, h.request(100+id, nonIdempotent), ActionSend).Server == bad
	}
	if !readmitted {
		t.Error("never readmitted")
	}
}

// An error of a server that has answered nothing of late ejects it for all classes: each class would have to fail there
// otherwise. One amid answers counts for its class alone, and little.
func TestErrorWithoutAnswersEjectsForAllClasses(t *testing.T) {
	for _, answered := range []bool{false, true} {
		h := newHarness(t, testSettings(), readyEndpoints(6)...)
		s, c := h.b.servers[0], h.b.classes[idempotent]
		h.b.recordOutcome(c, &attempt{server: s}, OutcomeOK, 0.1)
		if !answered {
			h.b.now += c.LatencyObjective
		}
		h.b.recordOutcome(c, &attempt{server: s}, OutcomeError, 0.1)
		for i := range s.health {
			if out := s.health[i].ejectedUntil > h.b.now; out == answered {
				t.Errorf("answered a moment ago: %v, class %d ejected: %v", answered, i, out)
			}
		}
	}
}

// When all servers look bad the cause is overload or this agent's own network; most must stay in use.
func TestEjectionIsCapped(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(9)...)
	for _, s := range slices.Clone(h.b.servers) {
		h.pickPair()
		h.b.recordFailure(h.b.classes[idempotent], s, 5, "test")
	}
	h.pickPair()
	if n := len(h.candidates().servers); n != 7 {
		t.Errorf("%d of 9 servers are candidates, want 7", n)
	}
}

// Incident i4fd1b4: a server that rejects requests at once had few in flight and won every pair.
func TestRejectingServerIsSkipped(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(2)...)
	for id := range RequestID(10) { // teach the mean latency
		h.request(id, idempotent)
		h.now += 100 * ms
		h.endAttempt(id, 0, OutcomeOK)
	}
	rejecting := onlyAction(t, h.request(100, idempotent), ActionSend).Server
	h.endAttempt(100, 0, OutcomeRejected)
	for id := range RequestID(20) {
		for _, a := range h.request(200+id, idempotent) {
			if a.Kind == ActionSend && a.Server == rejecting {
				t.Fatal("sent to the server that rejects")
			}
		}
	}
	h.now += time.Second
	h.b.overload = 0
	for id := range RequestID(20) { // the other has all the rest in flight
		if a := onlyAction(t, h.request(300+id, idempotent), ActionSend); a.Server == rejecting {
			return
		}
	}
	t.Error("never used again")
}

// A server that answers in between is not ejected for single failures, nor for one costly request. Three failures in a row
// eject it, and so does silence towards all requests.
func TestBusyServerSurvivesSingleFailures(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeError, OutcomeReset} {
		h := newHarness(t, testSettings(), readyEndpoints(3)...)
		s, c := h.b.serversByID[1], h.b.classes[idempotent]
		for range 20 {
			h.b.recordOutcome(c, &attempt{server: s}, OutcomeOK, 0.1)
			h.b.recordOutcome(c, &attempt{server: s}, outcome, 0.1)
		}
		if s.health[idempotent].ejectedUntil > h.b.now {
			t.Errorf("outcome %d: ejected for single failures", outcome)
		}
		for range 2 {
			h.b.recordOutcome(c, &attempt{server: s}, outcome, 0.1)
		}
		if s.health[idempotent].ejectedUntil <= h.b.now {
			t.Errorf("outcome %d: three failures in a row did not eject", outcome)
		}
	}
	h := newHarness(t, testSettings(), readyEndpoints(3)...)
	sent := h.request(1, idempotent)
	s, check := h.b.serversByID[onlyAction(t, sent, ActionSend).Server], onlyAction(t, sent, ActionSetTimer)
	h.now += check.Delay / 2
	h.handle(Event{Kind: EventTimer}) // brings the Balancer's time up to date
	h.b.recordOutcome(h.b.classes[idempotent], &attempt{server: s}, OutcomeOK, 0.1)
	h.now += check.Delay / 2
	h.handle(Event{Kind: EventTimer, TimerID: check.TimerID})
	if s.health[idempotent].failures > 0 {
		t.Errorf("failures %v for a costly request", s.health[idempotent].failures)
	}
	h.now += time.Second
	for s.inFlight < 2 { // one request that it does not answer, and nothing else
		id := RequestID(len(h.b.requests) + 2)
		sent = h.request(id, idempotent)
	}
	check = onlyAction(t, sent, ActionSetTimer)
	for range 3 {
		h.now += check.Delay
		h.handle(Event{Kind: EventTimer, TimerID: check.TimerID})
	}
	if s.health[idempotent].ejectedUntil <= h.now {
		t.Error("a server that has fallen silent was not ejected")
	}
}

// A server that refuses connections while it answers over others, or rejects requests, is skipped for a while and not
// ejected. If it reports its load, that is no overload either.
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
				t.Errorf("outcome %d: not skipped", outcome)
			}
			h.b.now, s.lastResponse = s.skippedUntil, s.skippedUntil // it has answered others
		}
		if s.health[idempotent].ejectedUntil > h.b.now || h.b.overload > 0 {
			t.Errorf("outcome %d: ejected until %v, overload %v", outcome, s.health[idempotent].ejectedUntil, h.b.overload)
		}
	}
}

// A server that fails one class and serves the others well is ejected for that class alone, and answers to the others do
// not readmit it. Once it fails two, or its connections break, it is ejected for all.
func TestHealthIsByClass(t *testing.T) {
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
		t.Fatalf("after a silent request: ejected for its class %v, for another class %v", !isCandidate(nonIdempotent, bad), !isCandidate(idempotent, bad))
	}
	for range 20 {
		h.b.recordOutcome(h.b.classes[idempotent], &attempt{server: h.b.serversByID[bad]}, OutcomeOK, 0.1)
	}
	if isCandidate(nonIdempotent, bad) {
		t.Error("answers to another class readmitted it")
	}
	h.b.now += 500 * ms // and it has not answered for a while
	h.b.recordOutcome(h.b.classes[idempotent], &attempt{server: h.b.serversByID[bad]}, OutcomeError, 0.1)
	for class := range h.b.classes {
		if isCandidate(class, bad) {
			t.Errorf("failed two classes, but serves class %d", class)
		}
	}
	other := h.b.servers[0].ID
	if other == bad {
		other = h.b.servers[1].ID
	}
	h.b.recordOutcome(h.b.classes[idempotent], &attempt{server: h.b.serversByID[other]}, OutcomeConnectFailed, 0.1)
	if isCandidate(nonIdempotent, other) {
		t.Error("it takes no connections, but is still a candidate")
	}
}

// A single reset does not eject, however long ago the server answered last: networks reset connections to healthy servers.
// Several in a row do.
func TestSingleResetDoesNotEject(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(8)...)
	s := h.b.servers[0]
	for _, quiet := range []time.Duration{0, 100 * ms, 5 * time.Second} {
		h.b.recordOutcome(h.b.classes[idempotent], &attempt{server: s}, OutcomeOK, 0.1)
		h.b.now += quiet
		h.b.recordOutcome(h.b.classes[idempotent], &attempt{server: s}, OutcomeReset, 0.1)
		for class := range h.b.classes {
			if s.health[class].ejectedUntil > h.b.now {
				t.Errorf("ejected for class %d by one reset, %v after an answer", class, quiet)
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
			t.Error("not ejected by three resets in a row, or one and a refused connection")
		}
	}
}

// A server that is busy with one costly request, and answers nothing until its objective, is not ejected for it.
func TestCostlyRequestDoesNotEject(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(8)...)
	for i := range h.b.classes {
		h.b.classes[i].latencySeconds = movingAverage{0.02, true} // other requests are quick
	}
	sent := h.request(1, idempotent)
	s, check := h.b.serversByID[onlyAction(t, sent, ActionSend).Server], onlyAction(t, sent, ActionSetTimer)
	objective := h.b.classes[idempotent].LatencyObjective
	for h.now += check.Delay; h.now <= time.Hour+objective; h.now += check.Delay {
		h.handle(Event{Kind: EventTimer, TimerID: check.TimerID})
	}
	if s.health[idempotent].ejectedUntil > h.now {
		t.Error("ejected within the objective")
	}
}

// A silent attempt counts half when its timer first fires and fully the second time; its timeout adds nothing.
func TestSilenceIsCountedOnce(t *testing.T) {
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
			t.Fatalf("after silence of weight %v: ejected %v", want, ejected)
		}
	}
	health.ejectedUntil, health.failures = 0, 0
	h.endAttempt(1, 0, OutcomeTimeout)
	if health.failures != 0 {
		t.Errorf("the timeout added %v", health.failures)
	}
}

// A server that answers other classes and never one is ejected for that one by its timeouts.
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
		t.Error("not ejected for the class that it never answers")
	}
	if s.health[idempotent].ejectedUntil > h.b.now {
		t.Error("ejected for a class that it answers")
	}
}

// A server counts while it is ejected for all classes, and only while it is listed.
func TestEjectedEndpoints(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(5)...)
	s := h.b.serversByID[1]
	h.b.now = h.now
	h.b.recordFailure(h.b.classes[idempotent], s, 1, "test")
	if n := h.b.EjectedEndpoints(h.now); n != 0 {
		t.Errorf("ejected for one class: %d counted", n)
	}
	h.b.recordFailure(h.b.classes[nonIdempotent], s, 1, "test") // the second class ejects it for all
	if n := h.b.EjectedEndpoints(h.now); n != 1 {
		t.Errorf("ejected for all classes: %d counted", n)
	}
	if n := h.b.EjectedEndpoints(s.health[idempotent].ejectedUntil + time.Hour); n != 0 {
		t.Errorf("when it is over: %d counted", n)
	}
	s.State = Removed
	if n := h.b.EjectedEndpoints(h.now); n != 0 {
		t.Errorf("removed: %d counted", n)
	}
}
