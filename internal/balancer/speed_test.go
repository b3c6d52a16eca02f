package balancer

import (
	"math"
	"testing"
	"time"
)

// Listed weights may ignore the core speed of a machine kind. Without learned speeds they would overload a slow kind.
func TestKindSpeedIsLearned(t *testing.T) {
	list := readyEndpoints(8)
	for i := range list {
		list[i].Kind = i % 2
	}
	for name, learn := range map[string]func(h *harness, s *server){
		"responses": func(h *harness, s *server) {
			h.b.recordLatency(h.b.classes[idempotent], &attempt{server: s, queueDepth: 1}, []float64{0.1, 0.2}[s.Kind])
		},
		"responses after queueing": func(h *harness, s *server) {
			latency := []float64{0.1, 0.2}[s.Kind]
			h.b.recordReport(s, LoadReport{Known: true, InFlight: -1, Queue: 3, ServiceTime: 20 * ms})
			h.b.recordLatency(h.b.classes[idempotent], &attempt{server: s, queueDepth: 4}, 4*latency)
		},
	} {
		h := newHarness(t, testSettings(), list...)
		for i := range 80 {
			h.b.now += 50 * ms
			learn(h, h.b.servers[i%8])
		}
		h.b.candidateEpoch++
		h.pickPair()
		var speeds [2]float64
		for _, s := range h.b.servers {
			speeds[s.Kind] = s.candidateSpeed
		}
		if r := speeds[0] / speeds[1]; r < 1.7 || r > 2.2 {
			t.Errorf("%s, kind with half the latency: got %v times the speed, want 1.7 to 2.2", name, r)
		}
	}
}

// If reports contain queue lengths but no requests in flight, a new server must not look faster than the others, or it
// would get too much traffic.
func TestNewServerIsNoFaster(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(4)...)
	var id RequestID
	for range 200 {
		id++
		sent := onlyAction(t, h.request(id, idempotent), ActionSend)
		h.now += 50 * ms
		h.handle(Event{Kind: EventOutcome, Request: id, Server: sent.Server, Outcome: OutcomeOK, Answered: true,
			Load: LoadReport{Known: true, InFlight: -1, Queue: 0, ServiceTime: 30 * ms}})
	}
	h.handle(Event{Kind: EventDiscovery, Update: EndpointsChanged, Endpoints: []Endpoint{readyEndpoint(5, 1)}})
	added := h.b.serversByID[5]
	for _, s := range h.b.servers {
		if r := h.b.speed(added) / h.b.speed(s); r < 0.8 || r > 1.25 {
			t.Errorf("new server: got %.2f times the speed of server %d, want 0.8 to 1.25", r, s.ID)
		}
		if seconds := h.b.serviceSeconds(s); seconds < 0.03 || seconds > 0.08 {
			t.Errorf("server %d: got a service time of %.3f s, want 0.03 to 0.08", s.ID, seconds)
		}
	}
}

// The number of requests in flight must not change the speed of a kind: a kind that gets more requests would look
// faster and get even more.
func TestTrafficDoesNotChangeSpeed(t *testing.T) {
	list := readyEndpoints(4)
	for i := range list {
		list[i].Kind = i % 2
	}
	h := newHarness(t, testSettings(), list...)
	for i := range 80 {
		h.b.now += 50 * ms
		s := h.b.servers[i%4]
		busy := float64(1 + 3*s.Kind)
		h.b.recordReport(s, LoadReport{Known: true, InFlight: busy, Queue: -1, ServiceTime: 50 * ms})
	}
	h.b.candidateEpoch++
	h.pickPair()
	for _, s := range h.b.servers {
		if math.Abs(s.candidateSpeed-h.b.servers[0].candidateSpeed) > 0.01 {
			t.Errorf("kind %d: got speed %v, want %v as for kind %d", s.Kind, s.candidateSpeed, h.b.servers[0].candidateSpeed, h.b.servers[0].Kind)
		}
	}
}

// A class with ten times the latency must not make a server look slow, even one that gets all requests of that class.
func TestSlowClassDoesNotSlowServer(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(2)...)
	long, short := h.b.servers[0], h.b.servers[1]
	for range 200 {
		h.b.now += 50 * ms
		h.b.recordLatency(h.b.classes[keyedByFleet], &attempt{server: long, queueDepth: 1}, 0.5)
		h.b.recordLatency(h.b.classes[idempotent], &attempt{server: short, queueDepth: 1}, 0.05)
	}
	if long.slowdown > 1.2 || short.slowdown < 0.8 {
		t.Errorf("slow and fast class: got slowdowns %v and %v, want at most 1.2 and at least 0.8", long.slowdown, short.slowdown)
	}
	for range 200 {
		h.b.now += 50 * ms
		h.b.recordLatency(h.b.classes[idempotent], &attempt{server: long, queueDepth: 1}, 0.15)
		h.b.recordLatency(h.b.classes[idempotent], &attempt{server: short, queueDepth: 1}, 0.05)
	}
	if long.slowdown < 1.4*short.slowdown {
		t.Errorf("server three times slower: got slowdowns %v and %v, want a ratio of at least 1.4", long.slowdown, short.slowdown)
	}
}

// The latency of a server that is warming up is expected. If it also counted as slowdown, the server would get too
// little traffic, even long after it has warmed up.
func TestSlowStartIsNotSlowdown(t *testing.T) {
	list := readyEndpoints(2)
	list[1].Start = time.Hour
	h := newHarness(t, testSettings(), list...)
	warm, warming := h.b.serversByID[1], h.b.serversByID[2]
	for range 200 {
		h.b.recordLatency(h.b.classes[idempotent], &attempt{server: warm, queueDepth: 1}, 0.05)
		h.b.recordLatency(h.b.classes[idempotent], &attempt{server: warming, queueDepth: 1}, 0.05/h.b.expectedWarmupFactor(warming))
	}
	if r := warming.slowdown / warm.slowdown; r < 0.8 || r > 1.25 {
		t.Errorf("warming server: got %v times the slowdown of a warm one, want 0.8 to 1.25", r)
	}
}

// Queueing behind this agent's own requests must not make a server look slow.
func TestOwnQueueIsNotSlowdown(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(2)...)
	busy, idle := h.b.servers[0], h.b.servers[1]
	for range 300 {
		h.b.now += 50 * ms
		h.b.recordLatency(h.b.classes[idempotent], &attempt{server: busy, queueDepth: 4}, 0.4)
		h.b.recordLatency(h.b.classes[idempotent], &attempt{server: idle, queueDepth: 1}, 0.1)
	}
	if busy.slowdown > 1.2*idle.slowdown {
		t.Errorf("four times the latency at four times the queue depth: got slowdown %v, want at most %v", busy.slowdown, 1.2*idle.slowdown)
	}
}

// What was learned about machine kinds must be kept when the settings change, and discarded when the list of kinds
// changes: kinds are identified by their index.
func TestAdoptKinds(t *testing.T) {
	list := readyEndpoints(8)
	for i := range list {
		list[i].Kind = i % 2
	}
	settings := testSettings()
	settings.Kinds = []string{"large", "small"}
	for _, c := range []struct {
		kinds []string
		kept  bool
	}{{[]string{"large", "small"}, true}, {[]string{"small", "large"}, false}, {nil, false}} {
		h := newHarness(t, settings, list...)
		for i := range 80 {
			s := h.b.servers[i%8]
			h.b.recordLatency(h.b.classes[idempotent], &attempt{server: s, queueDepth: 1}, []float64{0.1, 0.2}[s.Kind])
		}
		for _, s := range h.b.servers {
			s.slowdown = 1
		}
		next := settings
		next.Kinds = c.kinds
		if err := h.b.Adopt(next); err != nil {
			t.Fatal(err)
		}
		ratio := h.b.speed(h.b.serversByID[1]) / h.b.speed(h.b.serversByID[2])
		if c.kept != (ratio > 1.5) {
			t.Errorf("new kinds %v: got a speed ratio of %v, want above 1.5 to be %v", c.kinds, ratio, c.kept)
		}
	}
}
