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

// settings are those of a small site: pure, keyed by cell, keyed everywhere, and unsafe classes.
func settings() Settings {
	class := func(e Idempotency, s DedupScope, w time.Duration) Class {
		return Class{LatencyObjective: 400 * ms, Deadline: 1000 * ms, PriorityWeight: 1, Idempotency: e, DedupScope: s, DedupWindow: w}
	}
	set := Settings{
		Agents: 1, MaxAttempts: 6, Tick: ms, SlowStartMinWeight: 0.2, SlowStartDuration: 10 * time.Second, OverloadFactor: 2.5,
		CancelAttempts: true,
		Classes: []Class{class(Idempotent, 0, 0), class(IdempotentWithKey, DedupScopeCell, 300*ms), class(IdempotentWithKey, DedupScopeFleet, 300*ms),
			class(NonIdempotent, 0, 0), class(IdempotentWithKey, DedupScopeZone, 300*ms)},
	}
	for i := range set.Classes {
		set.Classes[i].Name = string(rune('a' + i))
	}
	return set
}

const (
	pure = iota
	byCell
	byAll
	unsafe
	byZone
)

// bench drives one Balancer with literal events.
type bench struct {
	t   *testing.T
	b   *Balancer
	now time.Duration
}

func start(t *testing.T, s Settings, servers ...Endpoint) *bench {
	t.Helper()
	return startSeeded(t, s, 7, servers...)
}

// startSeeded has the module draw its random numbers by a seed.
func startSeeded(t *testing.T, s Settings, seed uint64, servers ...Endpoint) *bench {
	t.Helper()
	b, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	x := &bench{t: t, b: b, now: time.Hour}
	x.on(Event{Kind: EventDiscovery, Update: EndpointsReplaced, Endpoints: servers})
	return x
}

func (x *bench) on(ev Event) []Action { return x.b.Handle(x.now, ev, nil) }

func (x *bench) ask(id RequestID, class int) []Action {
	return x.on(Event{Kind: EventRequest, Request: id, Class: class, Remaining: 1000 * ms})
}

func (x *bench) ends(id RequestID, attempt int, how Outcome) []Action {
	return x.on(Event{Kind: EventOutcome, Request: id, Attempt: attempt, Outcome: how, Answered: how == OutcomeOK})
}

// draw and line are those of the first class.
func (x *bench) draw() (a, c *server) { return x.b.pickPair(x.b.classes[0]) }
func (x *bench) line() *candidateSet  { return &x.b.classes[0].candidates }

func ready(id ServerID, weight float64) Endpoint {
	return Endpoint{ID: id, Cell: int(id), Zone: int(id), State: Ready, Weight: weight}
}

func fleet(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, ready(ServerID(i+1), 1))
	}
	return list
}

// one returns the only action of a kind.
func one(t *testing.T, acts []Action, kind ActionKind) Action {
	t.Helper()
	var found []Action
	for _, a := range acts {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	if len(found) != 1 {
		t.Fatalf("%d actions of kind %d in %+v, want 1", len(found), kind, acts)
	}
	return found[0]
}

func none(t *testing.T, acts []Action, kinds ...ActionKind) {
	t.Helper()
	for _, a := range acts {
		if slices.Contains(kinds, a.Kind) {
			t.Fatalf("unwanted action %+v", a)
		}
	}
}

// Decisions stay in files that a reader can hold in mind, and their lines on one screen: the platform's limit of 1,200 lines
// for all of them together was lifted, and each file has its own limit instead.
func TestModuleSize(t *testing.T) {
	const mostLines, mostLetters = 700, 120
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
			if length := len([]rune(line)); length > mostLetters {
				t.Errorf("%s: line %d is %d characters long", name, i+1, length)
			}
		}
		if lines > mostLines {
			t.Errorf("%s: %d lines that are not blank, %d is the limit", name, lines, mostLines)
		}
	}
}

// policyFiles are the files of decisions that the deploy file names, which have to be all of this package.
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
		t.Fatalf("the deploy file names %q, the package has %q", named, all)
	}
	return named
}

// Events with ids never seen, and figures that are none, do nothing.
func TestStrayEvents(t *testing.T) {
	x := start(t, settings(), fleet(3)...)
	for kind := EventDiscovery; kind <= EventHealthCheck+1; kind++ {
		if kind == EventRequest || kind == EventDiscovery {
			continue
		}
		acts := x.on(Event{Kind: kind, Request: 99, Server: 99, Attempt: 200, TimerID: math.MaxUint64,
			Class: -1})
		if len(acts) != 0 {
			t.Errorf("event kind %d: %+v", kind, acts)
		}
	}
	none(t, x.on(Event{Kind: EventRequest, Request: 1, Class: 77, Remaining: ms}), ActionSend)
	x.on(Event{Kind: EventDiscovery, Endpoints: []Endpoint{ready(9, math.NaN()), ready(10, -3), ready(11, math.Inf(1))}})
	x.draw()
	if sum := x.line().weightSums.span(0, 99); math.Abs(sum-6) > 1e-9 {
		t.Errorf("six servers of weight 1 sum to %v", sum)
	}
}

// A long day leaves nothing behind.
func TestStateIsBounded(t *testing.T) {
	x := start(t, settings(), fleet(5)...)
	for id := range RequestID(5000) {
		x.now += ms
		x.ask(id, int(id)%5)
		x.ends(id, 0, OutcomeOK)
		x.on(Event{Kind: EventDiscovery, Endpoints: []Endpoint{
			ready(ServerID(id+10), 1), {ID: ServerID(id + 9), State: Removed}}})
	}
	if len(x.b.requests) != 0 || len(x.b.serversByID) > 7 || len(x.b.servers) > 7 {
		t.Errorf("%d requests, %d servers left", len(x.b.requests), len(x.b.serversByID))
	}
}

func cycle(x *bench, id RequestID, out []Action) []Action {
	x.now += ms
	out = x.b.Handle(x.now, Event{Kind: EventRequest, Request: id, Remaining: 1000 * ms}, out[:0])
	return x.b.Handle(x.now, Event{Kind: EventOutcome, Request: id, Outcome: OutcomeOK, Answered: true}, out[:0])
}

func TestHandleAllocations(t *testing.T) {
	x := start(t, settings(), fleet(50)...)
	out, id := make([]Action, 0, 16), RequestID(0)
	n := testing.AllocsPerRun(2000, func() { id++; out = cycle(x, id, out) })
	if n > 2 { // the request and its first attempt
		t.Errorf("%v allocations a request", n)
	}
}

func BenchmarkHandle(b *testing.B) {
	for name, n := range map[string]int{"small": 12, "large": 500} {
		b.Run(name, func(b *testing.B) {
			bal, err := New(settings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			x := &bench{b: bal, now: time.Hour}
			x.on(Event{Kind: EventDiscovery, Update: EndpointsReplaced, Endpoints: fleet(n)})
			out := make([]Action, 0, 16)
			b.ReportAllocs()
			id := RequestID(0)
			for b.Loop() {
				id++
				out = cycle(x, id, out)
			}
		})
	}
}

// New settings find classes by their names: what is learnt of them and of servers stays, a request under way keeps its
// class, and fewer attempts bind at once. Settings that cannot be right change nothing.
func TestAdopt(t *testing.T) {
	s := settings()
	x := start(t, s, fleet(3)...)
	x.b.classes[unsafe].latencySeconds = mean{0.123, true}
	x.b.recordFailure(x.b.classes[unsafe], x.b.serversByID[1], 0.5, "test")
	x.ask(1, pure)
	x.ask(2, byAll)

	broken := settings()
	broken.MaxAttempts = 0
	if err := x.b.Adopt(broken); err == nil || x.b.settings.MaxAttempts != s.MaxAttempts {
		t.Fatalf("broken settings: error %v, %d attempts", err, x.b.settings.MaxAttempts)
	}

	next := settings()
	next.MaxAttempts = 1
	fresh := next.Classes[pure]
	fresh.Name, fresh.Idempotency = "fresh", NonIdempotent
	next.Classes = []Class{fresh, next.Classes[unsafe], next.Classes[byAll]} // "pure" and others have gone
	if err := x.b.Adopt(next); err != nil {
		t.Fatal(err)
	}
	c := x.b.classes[1]
	if c.latencySeconds.value != 0.123 || x.b.serversByID[1].health[c.index].failures != 0.5 || x.b.serversByID[1].health[x.b.classes[0].index].failures != 0 {
		t.Errorf("what was learnt has not stayed with its class: %+v", x.b.serversByID[1].health)
	}
	none(t, x.ends(1, 0, OutcomeConnectFailed), ActionSend) // one attempt is all
	if acts := x.ends(2, 0, OutcomeOK); len(x.b.requests) > 0 {
		t.Errorf("requests under way are still open after %+v", acts)
	}
	send := one(t, x.ask(3, 0), ActionSend)
	none(t, x.ends(3, 0, OutcomeReset), ActionSend, ActionReject) // it may have run, and never twice
	if send.Request != 3 || x.b.requests[3] != nil {
		t.Errorf("a request of the new class: %+v", send)
	}
}
