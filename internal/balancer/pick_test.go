package balancer

import (
	"math"
	"slices"
	"testing"
	"time"
)

// Picks must follow the weights. A chi-square test detects wrong frequencies; the last check shows that it rejects
// uniform picks.
func TestPickFrequencies(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoint(1, 1), readyEndpoint(2, 2), readyEndpoint(3, 3), readyEndpoint(4, 6))
	const n = 40000
	var single, pair [4]float64
	singles := 0.0
	for range n {
		first, second := h.pickPair()
		i := slices.Index(h.candidates().servers, first)
		if second == nil {
			singles++
			single[i]++
		} else {
			pair[i]++
			if h.candidates().servers[i+1] != second {
				t.Fatalf("got a pair of servers %d and %d, want adjacent candidates", first.ID, second.ID)
			}
		}
	}
	if math.Abs(singles/n-singleServerShare) > 0.01 {
		t.Errorf("got a share of single servers of %v, want %v", singles/n, singleServerShare)
	}
	epsilon := epsilonShare * min(2.0, 3.0/2, 9.0/2)
	chiSquare := func(seen []float64, total float64, weights ...float64) (sum float64) {
		for i, w := range weights {
			want := total * w / 12
			sum += (seen[i] - want) * (seen[i] - want) / want
		}
		return sum
	}
	if v := chiSquare(single[:], singles, 1, 2, 3, 6); v > 16.3 { // 3 degrees of freedom, p = 0.001
		t.Errorf("single servers %v: got chi-square %v, want at most 16.3", single, v)
	}
	if v := chiSquare(pair[:], n-singles, 1+epsilon, 2+epsilon, 3+6-2*epsilon); v > 13.8 { // 2 degrees of freedom, p = 0.001
		t.Errorf("pairs %v: got chi-square %v, want at most 13.8", pair, v)
	}
	if v := chiSquare([]float64{n / 3, n / 3, n / 3}, n, 1+epsilon, 2+epsilon, 9-2*epsilon); v < 1000 {
		t.Errorf("uniform picks: got chi-square %v, want at least 1000", v)
	}
}

// The less loaded server of a pair is the one with fewer requests in flight relative to its speed, with random ties.
// Comparing the requests alone would overload slow servers.
func TestLessLoadedComparesInFlightOverSpeed(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoint(1, 1), readyEndpoint(2, 3))
	h.pickPair()
	slow, fast := h.candidates().servers[0], h.candidates().servers[1]
	for _, c := range []struct {
		slow, fast int
		want       *server
	}{{1, 2, fast}, {1, 4, slow}, {0, 1, slow}, {2, 5, fast}} {
		slow.inFlight, fast.inFlight = c.slow, c.fast
		if got, _ := h.b.lessLoaded(slow, fast); got != c.want {
			t.Errorf("%d and %d in flight: got server %d, want %d", c.slow, c.fast, got.ID, c.want.ID)
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
		t.Errorf("tie: got the first server %d times of 1000, want 400 to 600", first)
	}
}

// A fleet of no, one or two servers must work: without a server a request is rejected, otherwise it is sent.
func TestFewServers(t *testing.T) {
	h := newHarness(t, testSettings())
	if a := onlyAction(t, h.request(1, nonIdempotent), ActionReject); a.Request != 1 {
		t.Errorf("got a rejection of request %d, want 1", a.Request)
	}
	h.handle(Event{Kind: EventDiscovery, Endpoints: readyEndpoints(1)})
	if a := onlyAction(t, h.request(2, nonIdempotent), ActionSend); a.Server != 1 {
		t.Errorf("got a request on server %d, want 1", a.Server)
	}
	h.handle(Event{Kind: EventDiscovery, Endpoints: readyEndpoints(2)})
	onlyAction(t, h.request(3, idempotent), ActionSend)
}

// If reports contain only the queue length, it counts as requests in flight. A few requests of this agent must not
// make a server overloaded, and a long queue on one server must not raise the overload.
func TestReportedQueueCountsAsInFlight(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(2)...)
	s, r := h.b.servers[0], &request{class: h.b.classes[idempotent], objective: h.now + time.Second}
	report := func(queue float64) {
		h.b.recordReport(s, LoadReport{Known: true, InFlight: -1, Queue: queue, ServiceTime: 10 * ms})
	}
	report(20)
	if h.b.inFlightEstimate(s) < 10 || !h.b.isOverloaded(r, s) {
		t.Errorf("queue of 20: got %v in flight and overloaded %v, want at least 10 and true", h.b.inFlightEstimate(s), h.b.isOverloaded(r, s))
	}
	report(0)
	s.inFlight = 5
	if h.b.inFlightEstimate(s) != 5 || h.b.isOverloaded(r, s) {
		t.Errorf("5 own requests, no queue: got %v in flight and overloaded %v, want 5 and false", h.b.inFlightEstimate(s), h.b.isOverloaded(r, s))
	}
	for range 50 { // a long queue on one server only
		report(9)
	}
	if h.b.overload > 0 {
		t.Errorf("queue on one server: got overload %v, want 0", h.b.overload)
	}
}

// A request must not be sent to a pair that is more loaded than usual, so that it picks again. At the last pick it must
// be sent to the pair, or it would be rejected or failed for lack of picks.
func TestPicksAgainIfPairIsLoaded(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(8)...)
	candidates := func() []*server { h.pickPair(); return h.candidates().servers }()
	h.b.typicalWait = movingAverage{1, true}
	r := &request{id: 1, class: h.b.classes[idempotent], deadline: h.now + time.Second, objective: h.now + time.Second}
	candidates[0].inFlight, candidates[1].inFlight = 9, 9
	for r.picks = range maxPicks {
		if last := r.picks == maxPicks-1; h.b.sendToPair(r, candidates[0], candidates[1]) != last {
			t.Errorf("pick %d: got sent %v, want %v", r.picks, !last, last)
		}
	}
	r = &request{id: 2, class: r.class, deadline: r.deadline, objective: r.objective}
	if !h.b.sendToPair(r, candidates[2], candidates[3]) {
		t.Error("idle pair: got not sent, want sent")
	}
}

// Silent attempts that a fresh report does not include are lost and must not count as in flight, or the server would
// look busy until they time out. They count again once the report is old.
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
		t.Errorf("without a report: got %v in flight, want 8", got)
	}
	h.b.recordReport(s, LoadReport{Known: true, InFlight: 0, Queue: -1, ServiceTime: 10 * ms})
	if got := h.b.inFlightEstimate(s); got != 1 {
		t.Errorf("fresh report, 7 of 8 silent: got %v in flight, want 1", got)
	}
	h.b.now += time.Second
	if h.b.inFlightEstimate(s) < 7.5 {
		t.Errorf("old report: got %v in flight, want at least 7.5", h.b.inFlightEstimate(s))
	}
	h.endAttempt(RequestID(timers[0].TimerID&math.MaxUint32), 0, OutcomeReset)
	if s.silentAttempts != 6 || s.inFlight != 7 {
		t.Errorf("after one ended: got %d silent of %d in flight, want 6 of 7", s.silentAttempts, s.inFlight)
	}
}

// A number of requests in flight must not count as overload by itself: without a reported queue only the latency
// objective counts.
func TestOverloadRequiresReportedQueue(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(2)...)
	load := LoadReport{Known: true, InFlight: 8, Queue: -1, ServiceTime: 10 * ms}
	s := h.b.servers[0]
	for range 3 {
		h.b.recordReport(s, load)
	}
	r := &request{class: h.b.classes[idempotent], objective: h.now + 400*ms}
	if h.b.isOverloaded(r, s) {
		t.Error("8 in flight at 10 ms each, objective 400 ms: got overloaded, want not overloaded")
	}
	load.ServiceTime = 30 * ms
	h.b.recordReport(s, load)
	load.Queue = 0
	h.b.recordReport(s, load)
	s.lastReport.InFlight = 2
	if h.b.isOverloaded(r, s) {
		t.Error("2 in flight, no queue: got overloaded, want not overloaded")
	}
	load.InFlight = -1
	load.ServiceTime = 10 * ms
	load.Queue = 15
	h.b.recordReport(s, load)
	if !h.b.isOverloaded(r, s) {
		t.Error("queue of 15: got not overloaded, want overloaded")
	}
}

// A report must age faster if many agents send to the server: all of them react to it in the same way, and a server
// that it shows as idle fills up.
func TestReportsAgeFasterWithMoreAgents(t *testing.T) {
	after := func(agents int) float64 {
		settings := testSettings()
		settings.Agents = agents
		h := newHarness(t, settings, readyEndpoints(2)...)
		h.b.recordReport(h.b.servers[0], LoadReport{Known: true, InFlight: 8, Queue: -1, ServiceTime: 50 * ms})
		h.b.now += 100 * ms // two service times
		return h.b.inFlightEstimate(h.b.servers[0])
	}
	if few, many := after(4), after(80); few < 6 || many > 1 {
		t.Errorf("8 in flight two service times ago: got %v with 4 agents and %v with 80, want at least 6 and at most 1", few, many)
	}
}

// With few agents each knows most of the requests on a server, so the overload limit must be higher than with many
// agents.
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
		t.Errorf("got overloaded at %d and %d in flight, want 14 and 8", few, many)
	}
}

// Idle servers must be used even if their last report was bad: otherwise no response would replace the report.
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
