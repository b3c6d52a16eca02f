package balancer

import (
	"slices"
	"testing"
	"time"
)

// Danger: quick errors look like quick, idle servers. One that errs leaves the line; it learns no speed.
func TestErrorsEjectAndTeachNoSpeed(t *testing.T) {
	x := start(t, settings(), fleet(6)...)
	x.b.retryTimes = slices.Repeat(history{x.now}, 9) // none left in the retry budget
	bad := one(t, x.ask(1, unsafe), ActionSend).Server
	x.now += ms
	x.ends(1, 0, OutcomeError)
	if s := x.b.serversByID[bad]; s.slowdown != 1 {
		t.Errorf("an error taught that the server is %v times slower", s.slowdown)
	}
	for id := range RequestID(60) {
		if a := one(t, x.ask(10+id, unsafe), ActionSend); a.Server == bad {
			t.Fatal("sent to the ejected server")
		}
	}
	x.now += 6 * time.Second
	back := false
	for id := range RequestID(60) {
		back = back || one(t, x.ask(100+id, unsafe), ActionSend).Server == bad
	}
	if !back {
		t.Error("never readmitted")
	}
}

// An error of a server that has answered nothing of late speaks for all classes: at few requests an agent each class
// would pay for the lesson. One amid answers speaks for its class alone, and not loudly.
func TestErrorWithoutAnswersEjectsForAllClasses(t *testing.T) {
	for _, answered := range []bool{false, true} {
		x := start(t, settings(), fleet(6)...)
		s, c := x.b.servers[0], x.b.classes[pure]
		x.b.recordOutcome(c, &attempt{server: s}, OutcomeOK, 0.1)
		if !answered {
			x.b.now += c.LatencyObjective
		}
		x.b.recordOutcome(c, &attempt{server: s}, OutcomeError, 0.1)
		for i := range s.health {
			if out := s.health[i].ejectedUntil > x.b.now; out == answered {
				t.Errorf("answered a moment ago: %v, class %d ejected: %v", answered, i, out)
			}
		}
	}
}

// Danger: when all servers look bad it is overload or our own blindness; a quarter must stay in use.
func TestEjectionIsCapped(t *testing.T) {
	x := start(t, settings(), fleet(9)...)
	for _, s := range slices.Clone(x.b.servers) {
		x.draw()
		x.b.recordFailure(x.b.classes[pure], s, 5, "test")
	}
	x.draw()
	if n := len(x.line().servers); n != 7 {
		t.Errorf("%d of 9 servers left on the line, want 7", n)
	}
}

// Incident i4fd1b4: a server that turns requests away at once has few in flight and won every pair.
func TestRejectingServerIsSkipped(t *testing.T) {
	x := start(t, settings(), fleet(2)...)
	for id := range RequestID(10) { // teach the usual time
		x.ask(id, pure)
		x.now += 100 * ms
		x.ends(id, 0, OutcomeOK)
	}
	full := one(t, x.ask(100, pure), ActionSend).Server
	x.ends(100, 0, OutcomeRejected)
	for id := range RequestID(20) {
		for _, a := range x.ask(200+id, pure) {
			if a.Kind == ActionSend && a.Server == full {
				t.Fatal("sent to the server that was full")
			}
		}
	}
	x.now += time.Second
	x.b.overload = 0
	for id := range RequestID(20) { // the other has all the rest in flight
		if a := one(t, x.ask(300+id, pure), ActionSend); a.Server == full {
			return
		}
	}
	t.Error("never used again")
}

// A server that answers in between is not ejected for single failures, nor for one costly request; three failures in
// a row are too many, and so is silence towards all.
func TestBusyServerSurvivesSingleFailures(t *testing.T) {
	for _, how := range []Outcome{OutcomeError, OutcomeReset} {
		x := start(t, settings(), fleet(3)...)
		s, c := x.b.serversByID[1], x.b.classes[pure]
		for range 20 {
			x.b.recordOutcome(c, &attempt{server: s}, OutcomeOK, 0.1)
			x.b.recordOutcome(c, &attempt{server: s}, how, 0.1)
		}
		if s.health[pure].ejectedUntil > x.b.now {
			t.Errorf("outcome %d: ejected for single failures", how)
		}
		for range 2 {
			x.b.recordOutcome(c, &attempt{server: s}, how, 0.1)
		}
		if s.health[pure].ejectedUntil <= x.b.now {
			t.Errorf("outcome %d: three failures in a row did not eject", how)
		}
	}
	x := start(t, settings(), fleet(3)...)
	sent := x.ask(1, pure)
	s, check := x.b.serversByID[one(t, sent, ActionSend).Server], one(t, sent, ActionSetTimer)
	x.now += check.Delay / 2
	x.on(Event{Kind: EventTimer}) // brings the module's clock up to date
	x.b.recordOutcome(x.b.classes[pure], &attempt{server: s}, OutcomeOK, 0.1)
	x.now += check.Delay / 2
	if x.on(Event{Kind: EventTimer, TimerID: check.TimerID}); s.health[pure].failures > 0 {
		t.Errorf("blamed %v for a costly request", s.health[pure].failures)
	}
	x.now += time.Second
	for s.inFlight < 2 { // one that it does not answer, and nothing else
		id := RequestID(len(x.b.requests) + 2)
		sent = x.ask(id, pure)
	}
	check = one(t, sent, ActionSetTimer)
	for range 3 {
		x.now += check.Delay
		x.on(Event{Kind: EventTimer, TimerID: check.TimerID})
	}
	if s.health[pure].ejectedUntil <= x.now {
		t.Error("a server that has fallen silent was not ejected")
	}
}

// A server that takes no more connections while it answers over others, or turns requests away, is passed by for a
// while and stays in; only one that is loaded says that there is a crowd.
func TestServerWithoutCapacityIsSkipped(t *testing.T) {
	for _, how := range []Outcome{OutcomeConnectFailed, OutcomeRejected} {
		x := start(t, settings(), fleet(3)...)
		s, c := x.b.serversByID[1], x.b.classes[pure]
		x.b.recordReport(s, LoadReport{Known: true, InFlight: 2, Queue: -1, ServiceTime: 10 * ms})
		x.b.recordOutcome(c, &attempt{server: s}, OutcomeOK, 0.1)
		x.b.latencySeconds.add(0.01, 1)
		for range 5 {
			x.b.recordOutcome(c, &attempt{server: s, sentAt: x.b.now}, how, 0.1)
			if s.skippedUntil <= x.b.now {
				t.Errorf("outcome %d: not passed by", how)
			}
			x.b.now, s.lastAnswer = s.skippedUntil, s.skippedUntil // it has answered others
		}
		if s.health[pure].ejectedUntil > x.b.now || x.b.overload > 0 {
			t.Errorf("outcome %d: ejected until %v, pressure %v", how, s.health[pure].ejectedUntil, x.b.overload)
		}
	}
}

// Danger: a server that fails one class and serves the others well is out for that class alone, and their good
// answers do not bring it back. Once it fails two, or its connections break, it is out for all.
func TestHealthIsByClass(t *testing.T) {
	x := start(t, settings(), fleet(8)...)
	on := func(class int, id ServerID) bool {
		c := x.b.classes[class]
		x.b.pickPair(c)
		return slices.Contains(c.candidates.servers, x.b.serversByID[id])
	}
	bad := one(t, x.ask(1, unsafe), ActionSend).Server
	x.now += 900 * ms
	x.ends(1, 0, OutcomeTimeout)
	if on(unsafe, bad) || !on(pure, bad) {
		t.Fatalf("after a silent unsafe request: out for unsafe %v, for pure %v", !on(unsafe, bad), !on(pure, bad))
	}
	for range 20 {
		x.b.recordOutcome(x.b.classes[pure], &attempt{server: x.b.serversByID[bad]}, OutcomeOK, 0.1)
	}
	if on(unsafe, bad) {
		t.Error("good answers of another class brought it back")
	}
	x.b.now += 500 * ms // and it has not answered for a while
	x.b.recordOutcome(x.b.classes[pure], &attempt{server: x.b.serversByID[bad]}, OutcomeError, 0.1)
	for class := range x.b.classes {
		if on(class, bad) {
			t.Errorf("failed two classes, but serves class %d", class)
		}
	}
	other := x.b.servers[0].ID
	if other == bad {
		other = x.b.servers[1].ID
	}
	x.b.recordOutcome(x.b.classes[pure], &attempt{server: x.b.serversByID[other]}, OutcomeConnectFailed, 0.1)
	if on(unsafe, other) {
		t.Error("it takes no connections, but it is still sent unsafe requests")
	}
}

// One reset tells of one connection, however long ago the server answered last: a network that cuts one in ten must
// not have healthy servers ejected. Several in a row eject.
func TestSingleResetDoesNotEject(t *testing.T) {
	x := start(t, settings(), fleet(8)...)
	s := x.b.servers[0]
	for _, quiet := range []time.Duration{0, 100 * ms, 5 * time.Second} {
		x.b.recordOutcome(x.b.classes[pure], &attempt{server: s}, OutcomeOK, 0.1)
		x.b.now += quiet
		x.b.recordOutcome(x.b.classes[pure], &attempt{server: s}, OutcomeReset, 0.1)
		for class := range x.b.classes {
			if s.health[class].ejectedUntil > x.b.now {
				t.Errorf("ejected for class %d by one reset, %v after an answer", class, quiet)
			}
		}
	}
	dead := x.b.servers[1]
	for _, how := range []Outcome{OutcomeReset, OutcomeConnectFailed} { // its process has died
		x.b.recordOutcome(x.b.classes[pure], &attempt{server: s}, OutcomeReset, 0.1)
		x.b.recordOutcome(x.b.classes[pure], &attempt{server: dead, sentAt: x.b.now}, how, 0.1)
	}
	for _, s := range []*server{s, dead} {
		if s.health[unsafe].ejectedUntil <= x.b.now {
			t.Error("not ejected by three resets in a row, or one and a refused connection")
		}
	}
}

// A server that is busy with one costly request, and answers nothing for half an aim, is not ejected for it.
func TestCostlyRequestDoesNotEject(t *testing.T) {
	x := start(t, settings(), fleet(8)...)
	for i := range x.b.classes {
		x.b.classes[i].latencySeconds = mean{0.02, true} // the others are quick
	}
	sent := x.ask(1, pure)
	s, check := x.b.serversByID[one(t, sent, ActionSend).Server], one(t, sent, ActionSetTimer)
	aim := x.b.classes[pure].LatencyObjective
	for x.now += check.Delay; x.now <= time.Hour+aim; x.now += check.Delay {
		x.on(Event{Kind: EventTimer, TimerID: check.TimerID})
	}
	if s.health[pure].ejectedUntil > x.now {
		t.Error("ejected within the aim")
	}
}

// A silent attempt counts half at three usual times and whole at six, and its time-out adds nothing.
func TestSilenceIsCountedOnce(t *testing.T) {
	x := start(t, settings(), fleet(6)...)
	acts := x.ask(1, unsafe)
	s := x.b.serversByID[one(t, acts, ActionSend).Server]
	h := &s.health[unsafe]
	for _, want := range []float64{0.5, 1} {
		a := one(t, acts, ActionSetTimer)
		x.now += a.Delay
		before := h.ejectedUntil
		acts = x.on(Event{Kind: EventTimer, TimerID: a.TimerID})
		if ejected := h.ejectedUntil > before; ejected != (want == 1) {
			t.Fatalf("after silence worth %v: ejected %v", want, ejected)
		}
	}
	h.ejectedUntil, h.failures = 0, 0
	x.ends(1, 0, OutcomeTimeout)
	if h.failures != 0 {
		t.Errorf("the time-out counted %v again", h.failures)
	}
}

// A server that answers other classes and swallows one is ejected for that one by its time-outs.
func TestTimeoutsOfOneClassEject(t *testing.T) {
	x := start(t, settings(), fleet(8)...)
	s, c := x.b.servers[0], x.b.classes[unsafe]
	x.b.recordOutcome(c, &attempt{server: s}, OutcomeOK, 0.1)
	for range 3 {
		a := attempt{server: s, sentAt: x.b.now}
		x.b.now += time.Second
		x.b.recordOutcome(x.b.classes[pure], &attempt{server: s}, OutcomeOK, 0.1)
		x.b.recordOutcome(c, &a, OutcomeTimeout, 1)
	}
	if s.health[unsafe].ejectedUntil <= x.b.now {
		t.Error("not ejected for the class that it swallows")
	}
	if s.health[pure].ejectedUntil > x.b.now {
		t.Error("ejected for a class that it answers")
	}
}

// A server counts as avoided while it is ejected for all classes, and only while it is in the list.
func TestEjectedEndpoints(t *testing.T) {
	x := start(t, settings(), fleet(5)...)
	s := x.b.serversByID[1]
	x.b.now = x.now
	x.b.recordFailure(x.b.classes[pure], s, 1, "test")
	if n := x.b.EjectedEndpoints(x.now); n != 0 {
		t.Errorf("ejected for one class: %d avoided", n)
	}
	x.b.recordFailure(x.b.classes[unsafe], s, 1, "test") // the second class has all eject it
	if n := x.b.EjectedEndpoints(x.now); n != 1 {
		t.Errorf("ejected for all classes: %d avoided", n)
	}
	if n := x.b.EjectedEndpoints(s.health[pure].ejectedUntil + time.Hour); n != 0 {
		t.Errorf("when it is over: %d avoided", n)
	}
	s.State = Removed
	if n := x.b.EjectedEndpoints(x.now); n != 0 {
		t.Errorf("out of the list: %d avoided", n)
	}
}
