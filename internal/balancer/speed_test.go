package balancer

import (
	"math"
	"testing"
	"time"
)

// Listed weights may leave out how fast the cores of a kind are, and would overload the slow kind.
func TestKindSpeedIsLearnt(t *testing.T) {
	list := readyEndpoints(8)
	for i := range list {
		list[i].Kind = i % 2
	}
	for name, learn := range map[string]func(h *harness, s *server){
		"answers": func(h *harness, s *server) {
			h.b.recordLatency(h.b.classes[idempotent], &attempt{server: s, queueDepth: 1}, []float64{0.1, 0.2}[s.Kind])
		},
		"answers behind queues": func(h *harness, s *server) {
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
			t.Errorf("%s: a kind that takes half as long is %v times as fast", name, r)
		}
	}
}

// Where reports tell queues and no requests in flight, a new server is no faster than the others.
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
			t.Errorf("a new server is %.2f times as fast as server %d", r, s.ID)
		}
		if seconds := h.b.serviceSeconds(s); seconds < 0.03 || seconds > 0.08 {
			t.Errorf("a request takes %.3f s on server %d, want 0.05", seconds, s.ID)
		}
	}
}

// A kind that is sent less and has fewer requests in flight is neither slower nor faster for it.
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
			t.Errorf("kind %d has speed %v, kind %d %v", s.Kind, s.candidateSpeed, h.b.servers[0].Kind, h.b.servers[0].candidateSpeed)
		}
	}
}

// A class that takes ten times as long does not make a server slow, even one that happens to get all of it.
func TestSlowClassDoesNotSlowServer(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(2)...)
	long, short := h.b.servers[0], h.b.servers[1]
	for range 200 {
		h.b.now += 50 * ms
		h.b.recordLatency(h.b.classes[keyedByFleet], &attempt{server: long, queueDepth: 1}, 0.5)
		h.b.recordLatency(h.b.classes[idempotent], &attempt{server: short, queueDepth: 1}, 0.05)
	}
	if long.slowdown > 1.2 || short.slowdown < 0.8 {
		t.Errorf("slowdowns %v and %v", long.slowdown, short.slowdown)
	}
	for range 200 {
		h.b.now += 50 * ms
		h.b.recordLatency(h.b.classes[idempotent], &attempt{server: long, queueDepth: 1}, 0.15)
		h.b.recordLatency(h.b.classes[idempotent], &attempt{server: short, queueDepth: 1}, 0.05)
	}
	if long.slowdown < 1.4*short.slowdown {
		t.Errorf("a server three times slower: slowdowns %v and %v", long.slowdown, short.slowdown)
	}
}

// The latency of a server that warms up is expected. Were it learned as slowdown too, the server would be sent too little,
// even for long after it is warm.
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
		t.Errorf("a server that warms up counts as %v times slower than a warm one of its kind", r)
	}
}

// Waiting behind this agent's own requests does not make a server slow.
func TestOwnQueueIsNotSlowdown(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(2)...)
	busy, idle := h.b.servers[0], h.b.servers[1]
	for range 300 {
		h.b.now += 50 * ms
		h.b.recordLatency(h.b.classes[idempotent], &attempt{server: busy, queueDepth: 4}, 0.4)
		h.b.recordLatency(h.b.classes[idempotent], &attempt{server: idle, queueDepth: 1}, 0.1)
	}
	if busy.slowdown > 1.2*idle.slowdown {
		t.Errorf("slowdown %v with four times the wait for three of our own, %v with none", busy.slowdown, idle.slowdown)
	}
}

// What was learned of the kinds of machine stays when the settings change, and is forgotten when their positions change.
func TestAdoptKinds(t *testing.T) {
	list := readyEndpoints(8)
	for i := range list {
		list[i].Kind = i % 2
	}
	settings := testSettings()
	settings.Kinds = []string{"large", "small"}
	for _, c := range []struct {
		kinds []string
		stays bool
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
		if c.stays != (ratio > 1.5) {
			t.Errorf("kinds are %v now: the speeds' ratio is %v", c.kinds, ratio)
		}
	}
}
