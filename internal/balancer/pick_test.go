package balancer

import (
	"math"
	"slices"
	"testing"
	"time"
)

// Picks follow the weights, by chi-square; a uniform pick would fail by far.
func TestPickFrequencies(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoint(1, 1), readyEndpoint(2, 2), readyEndpoint(3, 3), readyEndpoint(4, 6))
	const n = 40000
	var single, pair [4]float64
	alone := 0.0
	for range n {
		first, second := h.pickPair()
		i := slices.Index(h.candidates().servers, first)
		if second == nil {
			alone++
			single[i]++
		} else {
			pair[i]++
			if h.candidates().servers[i+1] != second {
				t.Fatal("a pair that is not adjacent")
			}
		}
	}
	if math.Abs(alone/n-singleServerShare) > 0.01 {
		t.Errorf("share of single servers %v, want %v", alone/n, singleServerShare)
	}
	epsilon := epsilonShare * min(2.0, 3.0/2, 9.0/2)
	chiSquare := func(seen []float64, total float64, weights ...float64) (sum float64) {
		for i, w := range weights {
			want := total * w / 12
			sum += (seen[i] - want) * (seen[i] - want) / want
		}
		return sum
	}
	if v := chiSquare(single[:], alone, 1, 2, 3, 6); v > 16.3 { // 3 degrees of freedom, one in a thousand
		t.Errorf("single servers %v: chi-square %v", single, v)
	}
	if v := chiSquare(pair[:], n-alone, 1+epsilon, 2+epsilon, 3+6-2*epsilon); v > 13.8 { // 2 degrees of freedom
		t.Errorf("pairs %v: chi-square %v", pair, v)
	}
	if v := chiSquare([]float64{n / 3, n / 3, n / 3}, n, 1+epsilon, 2+epsilon, 9-2*epsilon); v < 1000 {
		t.Errorf("a uniform pick would pass: chi-square %v", v)
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
			t.Errorf("%d and %d in flight: picked server %d", c.slow, c.fast, got.ID)
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
		t.Errorf("rejected %+v", a)
	}
	h.handle(Event{Kind: EventDiscovery, Endpoints: readyEndpoints(1)})
	if a := onlyAction(t, h.request(2, nonIdempotent), ActionSend); a.Server != 1 {
		t.Errorf("sent %+v", a)
	}
	h.handle(Event{Kind: EventDiscovery, Endpoints: readyEndpoints(2)})
	onlyAction(t, h.request(3, idempotent), ActionSend)
}

// Where reports tell only the queue, that counts as in flight, and a few requests of this agent are no overload.
func TestReportedQueueCountsAsInFlight(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(2)...)
	s, r := h.b.servers[0], &request{class: h.b.classes[idempotent], objective: h.now + time.Second}
	report := func(queue float64) {
		h.b.recordReport(s, LoadReport{Known: true, InFlight: -1, Queue: queue, ServiceTime: 10 * ms})
	}
	report(20)
	if h.b.inFlightEstimate(s) < 10 || !h.b.isOverloaded(r, s) {
		t.Errorf("a queue of 20: %v in flight, overloaded %v", h.b.inFlightEstimate(s), h.b.isOverloaded(r, s))
	}
	report(0)
	s.inFlight = 5
	if h.b.inFlightEstimate(s) != 5 || h.b.isOverloaded(r, s) {
		t.Errorf("5 of our own and no queue: %v in flight, overloaded %v", h.b.inFlightEstimate(s), h.b.isOverloaded(r, s))
	}
	for range 50 { // one long queue is not the fleet's
		report(9)
	}
	if h.b.overload > 0 {
		t.Errorf("overload %v from one server's queue", h.b.overload)
	}
}

// A pair that is more loaded than usual is picked anew, but the last pick is taken as it is.
func TestLoadedPairIsPickedAnew(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(8)...)
	candidates := func() []*server { h.pickPair(); return h.candidates().servers }()
	h.b.typicalWait = movingAverage{1, true}
	r := &request{id: 1, class: h.b.classes[idempotent], deadline: h.now + time.Second, objective: h.now + time.Second}
	candidates[0].inFlight, candidates[1].inFlight = 9, 9
	for r.picks = range maxPicks {
		if last := r.picks == maxPicks-1; h.b.sendToPair(r, candidates[0], candidates[1]) != last {
			t.Errorf("pick %d: sent %v", r.picks, !last)
		}
	}
	r = &request{id: 2, class: r.class, deadline: r.deadline, objective: r.objective}
	if !h.b.sendToPair(r, candidates[2], candidates[3]) {
		t.Error("an idle pair was not used")
	}
}

// Silent attempts that a fresh report does not count are lost: they are not in flight until the report is old.
func TestLostAttemptsAreNotInFlight(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(2)...)
	s := h.b.servers[0]
	timers := make([]Action, 0, 8)
	for id := RequestID(1); s.inFlight < 8; id++ {
		for _, a := range h.request(id, nonIdempotent) {
			if r := h.b.requests[id]; a.Kind == ActionSetTimer && r.attempts[0].server == s {
				timers = append(timers, a)
			}
		}
	}
	for _, timer := range timers[:7] {
		h.handle(Event{Kind: EventTimer, TimerID: timer.TimerID})
	}
	if got := h.b.inFlightEstimate(s); got != 8 {
		t.Errorf("without a report: %v in flight", got)
	}
	h.b.recordReport(s, LoadReport{Known: true, InFlight: 0, Queue: -1, ServiceTime: 10 * ms})
	if got := h.b.inFlightEstimate(s); got != 1 {
		t.Errorf("by a fresh report, 7 of 8 being silent: %v in flight", got)
	}
	h.b.now += time.Second
	if h.b.inFlightEstimate(s) < 7.5 {
		t.Errorf("when the report is old: %v in flight", h.b.inFlightEstimate(s))
	}
	h.endAttempt(RequestID(timers[0].TimerID&math.MaxUint32), 0, OutcomeReset)
	if s.silentAttempts != 6 || s.inFlight != 7 {
		t.Errorf("one of them ended: %d silent of %d", s.silentAttempts, s.inFlight)
	}
}

// A number of requests in flight is no overload by itself: without a reported queue only the objective counts.
func TestOverloadNeedsReportedQueue(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(2)...)
	load := LoadReport{Known: true, InFlight: 8, Queue: -1, ServiceTime: 10 * ms}
	s := h.b.servers[0]
	for range 3 {
		h.b.recordReport(s, load)
	}
	r := &request{class: h.b.classes[idempotent], objective: h.now + 400*ms}
	if h.b.isOverloaded(r, s) {
		t.Error("8 in flight at 10 ms each are no overload for 400 ms")
	}
	load.ServiceTime = 30 * ms
	h.b.recordReport(s, load)
	load.Queue = 0
	h.b.recordReport(s, load)
	s.lastReport.InFlight = 2
	if h.b.isOverloaded(r, s) {
		t.Error("2 in flight without a queue are no overload")
	}
	load.InFlight = -1
	load.ServiceTime = 10 * ms
	load.Queue = 15
	h.b.recordReport(s, load)
	if !h.b.isOverloaded(r, s) {
		t.Error("a queue of 15 does not count as overload")
	}
}

// A report is out of date sooner where many agents send to the server: they all act on it alike, and what it shows as idle
// fills up.
func TestReportsAgeWithAgents(t *testing.T) {
	after := func(agents int) float64 {
		settings := testSettings()
		settings.Agents = agents
		h := newHarness(t, settings, readyEndpoints(2)...)
		h.b.recordReport(h.b.servers[0], LoadReport{Known: true, InFlight: 8, Queue: -1, ServiceTime: 50 * ms})
		h.b.now += 100 * ms // two service times
		return h.b.inFlightEstimate(h.b.servers[0])
	}
	if few, many := after(4), after(80); few < 6 || many > 1 {
		t.Errorf("of 8 in flight two service times ago, %v count among 4 agents and %v among 80", few, many)
	}
}

// An agent among few knows most of what a server is sent, so its limit of overload is higher than that of one among many.
func TestOverloadLimitIsHigherForFewAgents(t *testing.T) {
	overloadedAt := func(agents int) int {
		settings := testSettings()
		settings.Agents = agents
		h := newHarness(t, settings, readyEndpoints(1)...)
		h.b.recordReport(h.b.serversByID[1], LoadReport{Known: true, InFlight: -1, Queue: 1, ServiceTime: 10 * ms})
		for inFlight := 1; ; inFlight++ {
			h.b.serversByID[1].lastReport.InFlight = float64(inFlight)
			if h.b.isOverloaded(&request{objective: h.now + time.Second}, h.b.serversByID[1]) {
				return inFlight
			}
		}
	}
	if few, many := overloadedAt(1), overloadedAt(1000); few != 14 || many != 8 {
		t.Errorf("overloaded at %d and %d, want 14 and 8", few, many)
	}
}

// Idle servers whose last report was bad are used: no answer would bring a better one otherwise.
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
