package balancer

import (
	"math"
	"slices"
	"testing"
	"time"
)

// Draws follow the weights: chi-square against the design's own, far under what a uniform draw gives.
func TestPickFrequencies(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoint(1, 1), readyEndpoint(2, 2), readyEndpoint(3, 3), readyEndpoint(4, 6))
	const n = 40000
	var single, pair [4]float64
	alone := 0.0
	for range n {
		a, c := h.pickPair()
		i := slices.Index(h.candidates().servers, a)
		if c == nil {
			alone++
			single[i]++
		} else {
			pair[i]++
			if h.candidates().servers[i+1] != c {
				t.Fatal("a pair that is not adjacent")
			}
		}
	}
	if math.Abs(alone/n-singleServerShare) > 0.01 {
		t.Errorf("dedicated share %v, want %v", alone/n, singleServerShare)
	}
	eps := epsilonShare * min(2.0, 3.0/2, 9.0/2)
	chi := func(seen []float64, total float64, weights ...float64) (sum float64) {
		for i, w := range weights {
			want := total * w / 12
			sum += (seen[i] - want) * (seen[i] - want) / want
		}
		return sum
	}
	if v := chi(single[:], alone, 1, 2, 3, 6); v > 16.3 { // 3 degrees of freedom, one in a thousand
		t.Errorf("dedicated draws %v: chi-square %v", single, v)
	}
	if v := chi(pair[:], n-alone, 1+eps, 2+eps, 3+6-2*eps); v > 13.8 { // 2 degrees of freedom
		t.Errorf("pair draws %v: chi-square %v", pair, v)
	}
	if v := chi([]float64{n / 3, n / 3, n / 3}, n, 1+eps, 2+eps, 9-2*eps); v < 1000 {
		t.Errorf("a uniform draw would pass: chi-square %v", v)
	}
}

func TestLessLoadedIsQueueOverSpeed(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoint(1, 1), readyEndpoint(2, 3))
	h.pickPair()
	slow, fast := h.candidates().servers[0], h.candidates().servers[1]
	for _, c := range []struct {
		slow, fast int
		want       *server
	}{{1, 2, fast}, {1, 4, slow}, {0, 1, slow}, {2, 5, fast}} {
		slow.inFlight, fast.inFlight = c.slow, c.fast
		if got, _ := h.b.lessLoaded(slow, fast); got != c.want {
			t.Errorf("%d and %d in flight: joined server %d", c.slow, c.fast, got.ID)
		}
	}
	slow.inFlight, fast.inFlight = 1, 3
	first := 0
	for range 1000 {
		if got, _ := h.b.lessLoaded(slow, fast); got == slow {
			first++
		}
	}
	if first < 400 || first > 600 {
		t.Errorf("a tie went to the first %d times of 1000", first)
	}
}

func TestFewServers(t *testing.T) {
	h := newHarness(t, testSettings())
	if a := onlyAction(t, h.request(1, nonIdempotent), ActionReject); a.Request != 1 {
		t.Errorf("refused %+v", a)
	}
	h.handle(Event{Kind: EventDiscovery, Endpoints: readyEndpoints(1)})
	if a := onlyAction(t, h.request(2, nonIdempotent), ActionSend); a.Server != 1 {
		t.Errorf("sent %+v", a)
	}
	h.handle(Event{Kind: EventDiscovery, Endpoints: readyEndpoints(2)})
	onlyAction(t, h.request(3, idempotent), ActionSend)
}

// Where reports tell only who waits, those count as held, and a few requests of our own on a server are no crowd.
func TestReportedQueueCountsAsInFlight(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(2)...)
	s, r := h.b.servers[0], &request{class: h.b.classes[idempotent], objective: h.now + time.Second}
	told := func(queue float64) {
		h.b.recordReport(s, LoadReport{Known: true, InFlight: -1, Queue: queue, ServiceTime: 10 * ms})
	}
	if told(20); h.b.inFlightEstimate(s) < 10 || !h.b.isOverloaded(r, s) {
		t.Errorf("a queue of 20: %v held, crowded %v", h.b.inFlightEstimate(s), h.b.isOverloaded(r, s))
	}
	told(0)
	if s.inFlight = 5; h.b.inFlightEstimate(s) != 5 || h.b.isOverloaded(r, s) {
		t.Errorf("5 of our own and no queue: %v held, crowded %v", h.b.inFlightEstimate(s), h.b.isOverloaded(r, s))
	}
	for range 50 { // one long queue is not the fleet's
		told(9)
	}
	if h.b.overload > 0 {
		t.Errorf("pressure %v from one server's queue", h.b.overload)
	}
}

// A pair that is busier than usual is passed by for another, but the last one drawn is taken as it is.
func TestLoadedPairIsPickedAnew(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(8)...)
	line := func() []*server { h.pickPair(); return h.candidates().servers }()
	h.b.typicalWait = mean{1, true}
	r := &request{id: 1, class: h.b.classes[idempotent], deadline: h.now + time.Second, objective: h.now + time.Second}
	line[0].inFlight, line[1].inFlight = 9, 9
	for r.picks = range maxPicks {
		if last := r.picks == maxPicks-1; h.b.sendToPair(r, line[0], line[1]) != last {
			t.Errorf("draw %d: sent %v", r.picks, !last)
		}
	}
	r = &request{id: 2, class: r.class, deadline: r.deadline, objective: r.objective}
	if !h.b.sendToPair(r, line[2], line[3]) {
		t.Error("an idle pair was passed by")
	}
}

// Attempts that a fresh report does not know are lost: they take no room until the report is old.
func TestLostAttemptsAreNotInFlight(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(2)...)
	s := h.b.servers[0]
	looks := make([]Action, 0, 8)
	for id := RequestID(1); s.inFlight < 8; id++ {
		for _, a := range h.request(id, nonIdempotent) {
			if r := h.b.requests[id]; a.Kind == ActionSetTimer && r.attempts[0].server == s {
				looks = append(looks, a)
			}
		}
	}
	for _, look := range looks[:7] {
		h.handle(Event{Kind: EventTimer, TimerID: look.TimerID})
	}
	if got := h.b.inFlightEstimate(s); got != 8 {
		t.Errorf("without a report: %v held", got)
	}
	h.b.recordReport(s, LoadReport{Known: true, InFlight: 0, Queue: -1, ServiceTime: 10 * ms})
	if got := h.b.inFlightEstimate(s); got != 1 {
		t.Errorf("by a fresh report, 7 of 8 being silent: %v held", got)
	}
	if h.b.now += time.Second; h.b.inFlightEstimate(s) < 7.5 {
		t.Errorf("when the report is old: %v held", h.b.inFlightEstimate(s))
	}
	h.endAttempt(RequestID(looks[0].TimerID&math.MaxUint32), 0, OutcomeReset)
	if s.silentAttempts != 6 || s.inFlight != 7 {
		t.Errorf("one of them ended: %d silent of %d", s.silentAttempts, s.inFlight)
	}
}

// Where no report tells a server's width, the number it holds says nothing: requests may wait on others.
func TestOverloadNeedsReportedQueue(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(2)...)
	load := LoadReport{Known: true, InFlight: 8, Queue: -1, ServiceTime: 10 * ms}
	s := h.b.servers[0]
	for range 3 {
		h.b.recordReport(s, load)
	}
	r := &request{class: h.b.classes[idempotent], objective: h.now + 400*ms}
	if h.b.isOverloaded(r, s) {
		t.Error("8 in hand at 10 ms each are no crowd for 400 ms")
	}
	load.ServiceTime = 30 * ms
	h.b.recordReport(s, load)
	load.Queue = 0
	h.b.recordReport(s, load)
	if s.lastReport.InFlight = 2; h.b.isOverloaded(r, s) {
		t.Error("where the queue is told, the aim of the request itself is what counts")
	}
	load.InFlight, load.ServiceTime, load.Queue = -1, 10*ms, 15
	h.b.recordReport(s, load)
	if !h.b.isOverloaded(r, s) {
		t.Error("a queue of 15 at a width of 1 is a crowd")
	}
}

// What a report tells is soon past where many agents send to the server: all of them act on old reports alike, and
// what looked full is left idle while what looked idle fills up.
func TestReportsAgeWithAgents(t *testing.T) {
	after := func(agents int) float64 {
		set := testSettings()
		set.Agents = agents
		h := newHarness(t, set, readyEndpoints(2)...)
		h.b.recordReport(h.b.servers[0], LoadReport{Known: true, InFlight: 8, Queue: -1, ServiceTime: 50 * ms})
		h.b.now += 100 * ms // two service times
		return h.b.inFlightEstimate(h.b.servers[0])
	}
	if few, many := after(4), after(80); few < 6 || many > 1 {
		t.Errorf("of 8 held two service times ago, %v count among 4 agents and %v among 80", few, many)
	}
}

// An agent among few knows most of what a server is sent, and calls it crowded later than one among many.
func TestOverloadLimitIsHigherForFewAgents(t *testing.T) {
	crowdedAt := func(agents int) int {
		set := testSettings()
		set.Agents = agents
		h := newHarness(t, set, readyEndpoints(1)...)
		h.b.recordReport(h.b.serversByID[1], LoadReport{Known: true, InFlight: -1, Queue: 1, ServiceTime: 10 * ms})
		for held := 1; ; held++ {
			h.b.serversByID[1].lastReport.InFlight = float64(held)
			if h.b.isOverloaded(&request{objective: h.now + time.Second}, h.b.serversByID[1]) {
				return held
			}
		}
	}
	if few, many := crowdedAt(1), crowdedAt(1000); few != 14 || many != 8 {
		t.Errorf("crowded at %d and %d, want 14 and 8", few, many)
	}
}

// Idle servers whose last report was bad must be used: nobody would ever hear better of them.
func TestIdleServerIsNeverOverloaded(t *testing.T) {
	s := testSettings()
	s.HealthChecks, s.Reports = true, ReportsOnHealthCheck
	h := newHarness(t, s, readyEndpoints(2)...)
	for id := ServerID(1); id <= 2; id++ {
		h.handle(Event{Kind: EventHealthCheck, Server: id, Outcome: OutcomeOK,
			Load: LoadReport{Known: true, InFlight: 0, Queue: -1, ServiceTime: 5 * time.Second}})
	}
	onlyAction(t, h.request(1, idempotent), ActionSend)
}
