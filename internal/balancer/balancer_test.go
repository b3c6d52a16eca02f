package balancer

import (
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns settings for a small fleet with one class per idempotency and dedup scope, at the indexes below.
func testSettings() Settings {
	class := func(e Idempotency, s DedupScope, w time.Duration) Class {
		return Class{LatencyObjective: 400 * ms, Deadline: 1000 * ms, PriorityWeight: 1, Idempotency: e, DedupScope: s, DedupWindow: w}
	}
	settings := Settings{
		Agents: 1, MaxAttempts: 6, Tick: ms, SlowStartMinWeight: 0.2, SlowStartDuration: 10 * time.Second, OverloadFactor: 2.5,
		CancelAttempts: true,
		Classes: []Class{class(Idempotent, 0, 0), class(IdempotentWithKey, DedupScopeCell, 300*ms), class(IdempotentWithKey, DedupScopeFleet, 300*ms),
			class(NonIdempotent, 0, 0), class(IdempotentWithKey, DedupScopeZone, 300*ms)},
	}
	for i := range settings.Classes {
		settings.Classes[i].Name = string(rune('a' + i))
	}
	return settings
}

const (
	idempotent = iota
	keyedByCell
	keyedByFleet
	nonIdempotent
	keyedByZone
)

// harness passes literal events to one Balancer.
type harness struct {
	t   *testing.T
	b   *Balancer
	now time.Duration
}

func newHarness(t *testing.T, s Settings, servers ...Endpoint) *harness {
	t.Helper()
	return newSeededHarness(t, s, 7, servers...)
}

// newSeededHarness returns a harness whose Balancer uses the given random seed and knows the given servers.
func newSeededHarness(t *testing.T, s Settings, seed uint64, servers ...Endpoint) *harness {
	t.Helper()
	b, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, b: b, now: time.Hour}
	h.handle(Event{Kind: EventDiscovery, Update: EndpointsReplaced, Endpoints: servers})
	return h
}

func (h *harness) handle(ev Event) []Action { return h.b.Handle(h.now, ev, nil) }

func (h *harness) request(id RequestID, class int) []Action {
	return h.handle(Event{Kind: EventRequest, Request: id, Class: class, Remaining: 1000 * ms})
}

func (h *harness) endAttempt(request RequestID, attempt int, outcome Outcome) []Action {
	return h.handle(Event{Kind: EventOutcome, Request: request, Attempt: attempt, Outcome: outcome, Answered: outcome == OutcomeOK})
}

// pickPair and candidates apply to the first class.
func (h *harness) pickPair() (first, second *server) { return h.b.pickPair(h.b.classes[0]) }
func (h *harness) candidates() *candidateSet         { return &h.b.classes[0].candidates }

func readyEndpoint(id ServerID, weight float64) Endpoint {
	return Endpoint{ID: id, Cell: int(id), Zone: int(id), State: Ready, Weight: weight}
}

func readyEndpoints(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, readyEndpoint(ServerID(i+1), 1))
	}
	return list
}

// onlyAction returns the only action of a kind, and fails the test if there is not exactly one.
func onlyAction(t *testing.T, actions []Action, kind ActionKind) Action {
	t.Helper()
	var found []Action
	for _, a := range actions {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	if len(found) != 1 {
		t.Fatalf("got %d actions of kind %d, want 1: %+v", len(found), kind, actions)
	}
	return found[0]
}

// noAction fails the test if there is an action of any of the given kinds.
func noAction(t *testing.T, actions []Action, kinds ...ActionKind) {
	t.Helper()
	for _, a := range actions {
		if slices.Contains(kinds, a.Kind) {
			t.Fatalf("got action %+v, want none of the kinds %v", a, kinds)
		}
	}
}

// Product files must stay short enough to read in one go, with lines that fit on a screen.
func TestFileSize(t *testing.T) {
	const maxLines, maxLineLength = 700, 120
	for _, name := range policyFiles(t) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if length := len([]rune(line)); length > maxLineLength {
				t.Errorf("%s:%d: got %d characters, want at most %d", name, i+1, length, maxLineLength)
			}
		}
		if lines > maxLines {
			t.Errorf("%s: got %d lines that are not blank, want at most %d", name, lines, maxLines)
		}
	}
}

// policyFiles returns the files that balancer.toml lists as policy, and checks that these are all product files of this
// package.
func policyFiles(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, list, _ := strings.Cut(string(text), "policy = [")
	list, _, _ = strings.Cut(list, "]")
	var named []string
	for part := range strings.SplitSeq(list, ",") {
		named = append(named, strings.TrimPrefix(strings.Trim(part, " \""), "internal/balancer/"))
	}
	all, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	all = slices.DeleteFunc(all, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
	slices.Sort(named)
	if !slices.Equal(named, all) {
		t.Fatalf("policy in balancer.toml: got %q, want the package's files %q", named, all)
	}
	return named
}

// Events with unknown ids or classes must have no effect, and invalid weights must not distort the candidate weights.
func TestInvalidEventsAreIgnored(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(3)...)
	for kind := EventDiscovery; kind <= EventHealthCheck+1; kind++ {
		if kind == EventRequest || kind == EventDiscovery {
			continue
		}
		actions := h.handle(Event{Kind: kind, Request: 99, Server: 99, Attempt: 200, TimerID: math.MaxUint64,
			Class: -1})
		if len(actions) != 0 {
			t.Errorf("event kind %d: got actions %+v, want none", kind, actions)
		}
	}
	noAction(t, h.handle(Event{Kind: EventRequest, Request: 1, Class: 77, Remaining: ms}), ActionSend)
	h.handle(Event{Kind: EventDiscovery, Endpoints: []Endpoint{readyEndpoint(9, math.NaN()), readyEndpoint(10, -3), readyEndpoint(11, math.Inf(1))}})
	h.pickPair()
	if sum := h.candidates().weightSums.rangeSum(0, 99); math.Abs(sum-6) > 1e-9 {
		t.Errorf("six servers of weight 1: got a total weight of %v, want 6", sum)
	}
}

// Finished requests and removed servers must leave no state behind, or memory would grow without limit.
func TestStateIsBounded(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(5)...)
	for id := range RequestID(5000) {
		h.now += ms
		h.request(id, int(id)%5)
		h.endAttempt(id, 0, OutcomeOK)
		h.handle(Event{Kind: EventDiscovery, Endpoints: []Endpoint{
			readyEndpoint(ServerID(id+10), 1), {ID: ServerID(id + 9), State: Removed}}})
	}
	if len(h.b.requests) != 0 || len(h.b.serversByID) > 7 || len(h.b.servers) > 7 {
		t.Errorf("got %d requests and %d servers left, want 0 and at most 7", len(h.b.requests), len(h.b.serversByID))
	}
}

func completeRequest(h *harness, id RequestID, out []Action) []Action {
	h.now += ms
	out = h.b.Handle(h.now, Event{Kind: EventRequest, Request: id, Remaining: 1000 * ms}, out[:0])
	return h.b.Handle(h.now, Event{Kind: EventOutcome, Request: id, Outcome: OutcomeOK, Answered: true}, out[:0])
}

// Handle must not allocate more per request than the request and its first attempt.
func TestHandleAllocations(t *testing.T) {
	h := newHarness(t, testSettings(), readyEndpoints(50)...)
	out, id := make([]Action, 0, 16), RequestID(0)
	n := testing.AllocsPerRun(2000, func() { id++; out = completeRequest(h, id, out) })
	if n > 2 {
		t.Errorf("got %v allocations per request, want at most 2", n)
	}
}

func BenchmarkHandle(b *testing.B) {
	for name, n := range map[string]int{"small": 12, "large": 500} {
		b.Run(name, func(b *testing.B) {
			balancer, err := New(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			h := &harness{b: balancer, now: time.Hour}
			h.handle(Event{Kind: EventDiscovery, Update: EndpointsReplaced, Endpoints: readyEndpoints(n)})
			out := make([]Action, 0, 16)
			b.ReportAllocs()
			id := RequestID(0)
			for b.Loop() {
				id++
				out = completeRequest(h, id, out)
			}
		})
	}
}

// Adopt matches classes by name: what was learned about them and about servers must be kept, an open request keeps its
// class, and a lower MaxAttempts applies immediately. Invalid settings must change nothing.
func TestAdopt(t *testing.T) {
	s := testSettings()
	h := newHarness(t, s, readyEndpoints(3)...)
	h.b.classes[nonIdempotent].latencySeconds = movingAverage{0.123, true}
	h.b.recordFailure(h.b.classes[nonIdempotent], h.b.serversByID[1], 0.5, "test")
	h.request(1, idempotent)
	h.request(2, keyedByFleet)

	invalid := testSettings()
	invalid.MaxAttempts = 0
	if err := h.b.Adopt(invalid); err == nil || h.b.settings.MaxAttempts != s.MaxAttempts {
		t.Fatalf("invalid settings: got error %v and MaxAttempts %d, want an error and %d", err, h.b.settings.MaxAttempts, s.MaxAttempts)
	}

	next := testSettings()
	next.MaxAttempts = 1
	changed := next.Classes[idempotent]
	changed.Name, changed.Idempotency = "fresh", NonIdempotent
	next.Classes = []Class{changed, next.Classes[nonIdempotent], next.Classes[keyedByFleet]} // class "a" and others are dropped
	if err := h.b.Adopt(next); err != nil {
		t.Fatal(err)
	}
	c := h.b.classes[1]
	if c.latencySeconds.value != 0.123 || h.b.serversByID[1].health[c.index].failures != 0.5 || h.b.serversByID[1].health[h.b.classes[0].index].failures != 0 {
		t.Errorf("got mean latency %v and health %+v, want what was learned to stay with its class", c.latencySeconds, h.b.serversByID[1].health)
	}
	noAction(t, h.endAttempt(1, 0, OutcomeConnectFailed), ActionSend) // MaxAttempts is 1
	if actions := h.endAttempt(2, 0, OutcomeOK); len(h.b.requests) > 0 {
		t.Errorf("got %d open requests, want 0, after actions %+v", len(h.b.requests), actions)
	}
	send := onlyAction(t, h.request(3, 0), ActionSend)
	noAction(t, h.endAttempt(3, 0, OutcomeReset), ActionSend, ActionReject) // it may have run, and must not run twice
	if send.Request != 3 || h.b.requests[3] != nil {
		t.Errorf("request 3 of the new class: got action %+v, still open %v, want request 3 and not open", send, h.b.requests[3] != nil)
	}
}
