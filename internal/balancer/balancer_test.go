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

func TestPairWeightsByHand(t *testing.T) {
	for _, c := range []struct {
		speeds, want []float64
	}{
		{[]float64{3}, nil},
		{[]float64{1, 2}, []float64{3}},                     // one pair gets all
		{[]float64{1, 2, 3}, []float64{2, 4}},               // bound min(2/1, 5/1) = 2, eps 1
		{[]float64{2, 2, 1, 4}, []float64{2.25, 2.25, 4.5}}, // bound min(2/1, 1/2, 5/2) = 0.5, eps 0.25
		{[]float64{4, 4, 4, 0.1}, []float64{5, 5, 2.1}},     // bound min(4, 2, 4.1/2) = 2, eps 1: the last is negative
	} {
		got := appendPairSums(c.speeds, nil)
		sum := 0.0
		if len(got) != len(c.want) {
			t.Fatalf("speeds %v: %d pairs", c.speeds, len(got))
		}
		for j, w := range c.want {
			sum += w
			if math.Abs(got[j]-sum) > 1e-12 {
				t.Errorf("speeds %v: pair %d weighs %v, want %v", c.speeds, j, got.span(j, j+1), w)
			}
		}
	}
}

// Draws follow the weights: chi-square against the design's own, far under what a uniform draw gives.
func TestDrawFrequencies(t *testing.T) {
	x := start(t, settings(), ready(1, 1), ready(2, 2), ready(3, 3), ready(4, 6))
	const n = 40000
	var single, pair [4]float64
	alone := 0.0
	for range n {
		a, c := x.draw()
		i := slices.Index(x.line().servers, a)
		if c == nil {
			alone++
			single[i]++
		} else {
			pair[i]++
			if x.line().servers[i+1] != c {
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

func TestShorterQueueOverSpeed(t *testing.T) {
	x := start(t, settings(), ready(1, 1), ready(2, 3))
	x.draw()
	slow, fast := x.line().servers[0], x.line().servers[1]
	for _, c := range []struct {
		slow, fast int
		want       *server
	}{{1, 2, fast}, {1, 4, slow}, {0, 1, slow}, {2, 5, fast}} {
		slow.inFlight, fast.inFlight = c.slow, c.fast
		if got, _ := x.b.lessLoaded(slow, fast); got != c.want {
			t.Errorf("%d and %d in flight: joined server %d", c.slow, c.fast, got.ID)
		}
	}
	slow.inFlight, fast.inFlight = 1, 3
	first := 0
	for range 1000 {
		if got, _ := x.b.lessLoaded(slow, fast); got == slow {
			first++
		}
	}
	if first < 400 || first > 600 {
		t.Errorf("a tie went to the first %d times of 1000", first)
	}
}

func TestFewServers(t *testing.T) {
	x := start(t, settings())
	if a := one(t, x.ask(1, unsafe), ActionReject); a.Request != 1 {
		t.Errorf("refused %+v", a)
	}
	x.on(Event{Kind: EventDiscovery, Endpoints: fleet(1)})
	if a := one(t, x.ask(2, unsafe), ActionSend); a.Server != 1 {
		t.Errorf("sent %+v", a)
	}
	x.on(Event{Kind: EventDiscovery, Endpoints: fleet(2)})
	one(t, x.ask(3, pure), ActionSend)
}

// The order of those who stay does not change when a server joins or leaves.
func TestOrderStays(t *testing.T) {
	x := start(t, settings(), fleet(9)...)
	x.draw()
	order := func() (ids []ServerID) {
		for _, s := range x.line().servers {
			if s.ID != 5 && s.ID != 50 {
				ids = append(ids, s.ID)
			}
		}
		return ids
	}
	before := order()
	x.on(Event{Kind: EventDiscovery, Endpoints: []Endpoint{{ID: 5, State: Removed}, ready(50, 1)}})
	x.draw()
	if after := order(); !slices.Equal(before, after) || len(after) != 8 {
		t.Errorf("order %v became %v", before, after)
	}
}

// Danger: a drain learnt in any of the list's ways must stop sends at once.
func TestDrains(t *testing.T) {
	for name, list := range map[string]Event{
		"delta":  {Kind: EventDiscovery, Update: EndpointsChanged, Endpoints: []Endpoint{{ID: 1, State: Draining, Weight: 1}}},
		"gone":   {Kind: EventDiscovery, Update: EndpointsChanged, Endpoints: []Endpoint{{ID: 1, State: Removed}}},
		"full":   {Kind: EventDiscovery, Update: EndpointsReplaced, Endpoints: []Endpoint{{ID: 1, State: Draining}, ready(2, 1)}},
		"absent": {Kind: EventDiscovery, Update: EndpointsReplaced, Endpoints: []Endpoint{ready(2, 1)}},
		"cached": {Kind: EventDiscovery, Update: EndpointsCached, Endpoints: []Endpoint{ready(2, 1)}},
	} {
		x := start(t, settings(), fleet(2)...)
		met := map[ServerID]bool{}
		for id := range RequestID(40) {
			met[one(t, x.ask(id, pure), ActionSend).Server] = true
		}
		if !met[1] || !met[2] {
			t.Fatalf("%s: before the drain only %v were used", name, met)
		}
		x.on(list)
		for id := range RequestID(40) {
			if a := one(t, x.ask(100+id, pure), ActionSend); a.Server != 2 {
				t.Fatalf("%s: sent to server %d", name, a.Server)
			}
		}
	}
}

func TestFailedListKeepsServersAndBacksOff(t *testing.T) {
	s := settings()
	s.PollEndpoints, s.MaxPollInterval, s.Agents, s.Rank = true, 10*time.Second, 4, 2
	x := start(t, s)
	first := one(t, x.on(Event{Kind: EventDiscovery, Update: EndpointsCached, Endpoints: fleet(2)}), ActionSetTimer)
	if first.Delay < 600*ms || first.Delay > 900*ms {
		t.Errorf("rank 2 of 4 asks after %v, want its slot of 0.3 s", first.Delay)
	}
	one(t, x.on(Event{Kind: EventTimer, TimerID: first.TimerID}), ActionPollEndpoints)
	last := time.Duration(0)
	for n := range 4 {
		a := one(t, x.on(Event{Kind: EventDiscovery, Update: PollFailed}), ActionSetTimer)
		if n == 0 && a.Delay > 1500*ms {
			t.Errorf("waits %v after one failure", a.Delay)
		}
		if a.Delay > NotifyBoundAfterFailure-1500*ms {
			t.Errorf("waits %v", a.Delay)
		}
		last = a.Delay
	}
	if last < 2250*ms {
		t.Errorf("the fourth failure in a row waits only %v", last)
	}
	one(t, x.ask(1, pure), ActionSend)
}

// The next call for the list leaves time for its answer, and for another, before what was missed counts as told; without
// such a bound calls are made in turn, and then ever more seldom, but within MaxPollInterval.
func TestAsksWithinWhatIsLeft(t *testing.T) {
	for _, mustAskIn := range []time.Duration{time.Second, 10 * time.Second, time.Minute} {
		for _, agents := range []int{1, 6, 350} {
			s := settings()
			s.PollEndpoints, s.MaxPollInterval, s.Agents, s.Rank = true, mustAskIn, agents, agents-1
			for _, c := range []struct {
				before      int // failures in a row
				left        time.Duration
				least, most time.Duration
			}{
				{0, 1400 * ms, 0, 0},
				{1, 700 * ms, 50 * ms, 300 * ms},
				{5, 700 * ms, 50 * ms, 300 * ms},
				{0, 4 * time.Second, 0, 2500 * ms},
				{0, 1, 0, 0},
				{0, 0, 0, min(mustAskIn*6/10, 4500*ms)},
				{1, 0, 50 * ms, min(mustAskIn, 4500*ms)},
				{9, 0, min(mustAskIn/4, 2250*ms), min(mustAskIn, 4500*ms)},
				{9, 6 * time.Second, min(mustAskIn/4, 2250*ms), min(mustAskIn, 4500*ms)},
			} {
				x := start(t, s, fleet(2)...)
				for range c.before {
					x.on(Event{Kind: EventDiscovery, Update: PollFailed})
				}
				a := one(t, x.on(Event{Kind: EventDiscovery, Update: PollFailed, Remaining: c.left}), ActionSetTimer)
				if a.Delay < c.least || a.Delay > c.most {
					t.Errorf("%d agents, %v: %d failures and %v left: waits %v, want %v to %v", agents, mustAskIn, c.before+1,
						c.left, a.Delay, c.least, c.most)
				}
			}
		}
	}
}

// Where it is known how long the list service takes for a call, further calls come at a rate that it can answer: each agent one
// in half of a round to one and a half, sooner while there is time for one more, and within the bound at the latest. After
// a move they begin anew, in turn.
func TestPacesCallsByWhatTheServiceTakes(t *testing.T) {
	for name, c := range map[string]struct {
		agents      int
		answer      time.Duration
		mode        DiscoveryUpdate
		before      int // failures in a row
		left        time.Duration
		least, most time.Duration
	}{
		"the first failure":              {6, 450 * ms, PollFailed, 0, 6 * time.Second, 2250 * ms, 2700 * ms}, // the last of 6 in turn
		"a further one":                  {6, 450 * ms, PollFailed, 1, 6 * time.Second, 1350 * ms, 2550 * ms},
		"little time left":               {6, 450 * ms, PollFailed, 1, 1500 * ms, 1350 * ms, 1350 * ms},
		"no time left":                   {6, 450 * ms, PollFailed, 1, 1, 1350 * ms, 4050 * ms},
		"many, no time left":             {6, 450 * ms, PollFailed, 9, 1, 1350 * ms, 4050 * ms},
		"a quick service":                {6, 10 * ms, PollFailed, 1, 6 * time.Second, 300 * ms, 300 * ms},
		"a large fleet":                  {350, 5700 * time.Microsecond, PollFailed, 1, 6 * time.Second, 997 * ms, 2995 * ms},
		"a slow service, no time left":   {6, 500 * ms, PollFailed, 1, 1, 1500 * ms, 4500 * ms},
		"a slower one is given the time": {6, time.Second, PollFailed, 1, 1, 3 * time.Second, 4500 * ms},
		"a move after failures":          {6, 450 * ms, DiscoveryMigrated, 9, 4 * time.Second, 2083 * ms, 2500 * ms},
		"a failure after a move":         {6, 450 * ms, PollFailed, 1, 2 * time.Second, 1350 * ms, 1350 * ms},
	} {
		for seed := range uint64(20) {
			s := settings()
			s.PollEndpoints, s.MaxPollInterval, s.Agents, s.Rank = true, 10*time.Second, c.agents, c.agents-1
			x := startSeeded(t, s, seed, fleet(2)...)
			for range c.before {
				x.on(Event{Kind: EventDiscovery, Update: PollFailed, PollLatency: c.answer})
			}
			a := one(t, x.on(Event{Kind: EventDiscovery, Update: c.mode, Remaining: c.left, PollLatency: c.answer}), ActionSetTimer)
			if a.Delay < c.least || a.Delay > c.most {
				t.Errorf("%s, seed %d: waits %v, want %v to %v", name, seed, a.Delay, c.least, c.most)
			}
		}
	}
}

// Only the last timer for the list counts: one set before a move or a failure would have the agent ask too soon.
func TestLastListTimerCounts(t *testing.T) {
	s := settings()
	s.PollEndpoints, s.MaxPollInterval = true, 10*time.Second
	x := start(t, s, fleet(2)...)
	first := one(t, x.on(Event{Kind: EventDiscovery, Update: DiscoveryMigrated, Remaining: 4 * time.Second}), ActionSetTimer)
	second := one(t, x.on(Event{Kind: EventDiscovery, Update: PollFailed, Remaining: 3 * time.Second}), ActionSetTimer)
	none(t, x.on(Event{Kind: EventTimer, TimerID: first.TimerID}), ActionPollEndpoints)
	one(t, x.on(Event{Kind: EventTimer, TimerID: second.TimerID}), ActionPollEndpoints)
}

// What may be sent again, and how a request ends, by class and outcome.
func TestEffects(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		how   Outcome
		after time.Duration
		want  ActionKind
	}{
		{"pure error", pure, OutcomeError, 10 * ms, ActionSend},
		{"pure time-out", pure, OutcomeTimeout, 1000 * ms, ActionReject},
		{"unsafe error", unsafe, OutcomeError, 10 * ms, ActionFail},
		{"unsafe reset", unsafe, OutcomeReset, 10 * ms, ActionFail},
		{"unsafe cancelled", unsafe, OutcomeCancelled, 10 * ms, ActionFail},
		{"unsafe time-out", unsafe, OutcomeTimeout, 1000 * ms, ActionFail},
		{"unsafe full", unsafe, OutcomeRejected, 10 * ms, ActionSend},
		{"unsafe not connected", unsafe, OutcomeConnectFailed, 10 * ms, ActionSend},
		{"keyed everywhere, inside the window", byAll, OutcomeError, 299 * ms, ActionSend},
		{"keyed everywhere, past it", byAll, OutcomeError, 300 * ms, ActionFail},
		{"keyed by cell, no other server in it", byCell, OutcomeError, 10 * ms, ActionFail},
		{"keyed by cell, never ran", byCell, OutcomeRejected, 10 * ms, ActionSend},
		{"keyed by zone, no other server in it", byZone, OutcomeError, 10 * ms, ActionFail},
		{"keyed by cell, time-out", byCell, OutcomeTimeout, 1000 * ms, ActionFail},
	} {
		x := start(t, settings(), fleet(6)...)
		first := one(t, x.ask(1, c.class), ActionSend)
		x.now += c.after
		acts := x.ends(1, 0, c.how)
		a := one(t, acts, c.want)
		if a.Request != 1 {
			t.Errorf("%s: %+v", c.name, a)
		}
		if c.want == ActionSend && c.how == OutcomeError && c.class >= byCell && c.class != byAll && a.Server != first.Server {
			t.Errorf("%s: sent to another group", c.name)
		}
		none(t, x.ends(1, 0, OutcomeOK), ActionSend, ActionReject, ActionFail)
	}
}

// Danger: a keyed retry outside its cell runs twice. In a fleet of one cell it may go anywhere.
func TestKeyedRetryStaysInCell(t *testing.T) {
	list := fleet(8)
	for i := range list {
		list[i].Cell = i % 2
	}
	sent := 0
	for seed := range 60 {
		x := start(t, settings(), list...)
		for range seed {
			x.b.rng.Float64()
		}
		first := one(t, x.ask(1, byCell), ActionSend)
		for _, a := range x.ends(1, 0, OutcomeReset) {
			if a.Kind == ActionSend {
				sent++
				if (a.Server-first.Server)%2 != 0 {
					t.Fatalf("from server %d to %d", first.Server, a.Server)
				}
			}
		}
	}
	if sent < 10 {
		t.Errorf("only %d of 60 were sent again", sent)
	}
}

// What was not sent as its server had begun to leave is no attempt: every class may go on to another server, within any
// budget, and nobody is blamed.
func TestUnsentIsNoAttempt(t *testing.T) {
	s := settings()
	s.MaxAttempts, s.RetryBudgetWindow, s.RetryBudgetMin, s.RetryBudgetRatio = 1, time.Second, 0, 0
	for class := range s.Classes {
		x := start(t, s, fleet(8)...)
		a := one(t, x.ask(1, class), ActionSend)
		for n := range 5 { // as each server leaves in turn
			left := a.Server
			x.on(Event{Kind: EventDiscovery, Update: EndpointsChanged, Endpoints: []Endpoint{{ID: left, State: Draining}}})
			if a = one(t, x.ends(1, n, OutcomeServerDraining), ActionSend); a.Server == left {
				t.Fatalf("class %d: sent to the leaving server", class)
			}
			if health := x.b.serversByID[left].health[class]; health.failures > 0 || x.b.serversByID[left].skippedUntil > 0 {
				t.Errorf("class %d: the leaving server is blamed: %+v", class, health)
			}
		}
		if class == unsafe {
			one(t, x.ends(1, 5, OutcomeError), ActionFail)
		}
		if len(x.b.retryTimes) > 0 {
			t.Errorf("class %d: %d attempts count as further ones", class, len(x.b.retryTimes))
		}
	}
}

func TestAttemptsAndRetriesAreLimited(t *testing.T) {
	s := settings()
	s.MaxAttempts = 2
	x := start(t, s, fleet(20)...)
	one(t, x.ask(1, pure), ActionSend)
	one(t, x.ends(1, 0, OutcomeError), ActionSend)
	one(t, x.ends(1, 1, OutcomeError), ActionReject)
	x = start(t, settings(), fleet(200)...)
	again := 0
	for id := range RequestID(100) {
		x.ask(id, pure)
		for _, a := range x.ends(id, 0, OutcomeConnectFailed) {
			if a.Kind == ActionSend {
				again++
			}
		}
	}
	if again < 10 || again > 24 { // danger: a retry storm; a fifth of the requests and the burst
		t.Errorf("%d retries for 100 requests", again)
	}
}

func TestHangupEndsOnceAndCancels(t *testing.T) {
	x := start(t, settings(), fleet(3)...)
	one(t, x.ask(1, unsafe), ActionSend)
	if a := one(t, x.on(Event{Kind: EventClientClosed, Request: 1}), ActionCancel); a.Attempt != 0 {
		t.Errorf("cancelled %+v", a)
	}
	none(t, x.ends(1, 0, OutcomeCancelled), ActionSend, ActionReject, ActionFail)
	if len(x.b.requests) != 0 {
		t.Error("the request is still known")
	}
	for _, s := range x.b.servers {
		if s.inFlight != 0 {
			t.Errorf("server %d still has %d in flight", s.ID, s.inFlight)
		}
	}
}

// Danger: quick errors look like quick, idle servers. One that errs leaves the line; it learns no speed.
func TestErrorsEjectAndTeachNothing(t *testing.T) {
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
func TestErrorWithoutAnswersIsForAllClasses(t *testing.T) {
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
func TestFullServerIsPassedBy(t *testing.T) {
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

// A server that is cold gets no more than its present share even if it wins every pair.
func TestColdServerBudget(t *testing.T) {
	list := fleet(4)
	list[3].Start = time.Hour
	x := start(t, settings(), list...)
	count := func(n int) (cold float64) {
		for id := range RequestID(n) {
			x.b.overload = 0
			for _, a := range x.ask(id, pure) {
				if a.Kind == ActionSend {
					if a.Server == 4 {
						cold++
					}
					x.ends(id, 0, OutcomeOK)
				}
			}
		}
		return cold / float64(n)
	}
	if got := count(4000); got < 0.01 || got > slowStartMargin*2.5*0.2/4*1.2 {
		t.Errorf("a server at a fifth of its capacity got %v of the traffic of 4", got)
	}
	x.now += 10 * time.Second
	if got := count(4000); got < 0.15 {
		t.Errorf("once warm it got %v", got)
	}
	for i := range list {
		list[i].Start = x.now
	}
	x.on(Event{Kind: EventDiscovery, Update: EndpointsReplaced, Endpoints: list})
	sent := 0
	for id := range RequestID(4000) {
		x.b.overload = 0
		for _, a := range x.ask(id, pure) {
			if a.Kind == ActionSend {
				sent++
				x.ends(id, 0, OutcomeOK)
			}
		}
	}
	if share := float64(sent) / 4000; share > slowStartMargin*2.5*0.2 || share < 0.1 {
		t.Errorf("a fleet that is all cold got %v of the traffic", share)
	}
}

// No request waits for a probe, and a server whose probe is out is neither probed again nor passed by for it.
func TestProbesHoldNothing(t *testing.T) {
	s := settings()
	s.HealthChecks, s.Reports = true, ReportsOnHealthCheck
	x := start(t, s, fleet(2)...)
	asked := map[ServerID]int{}
	id := RequestID(0)
	ask := func() Action {
		id++
		acts := x.ask(id, pure)
		for _, a := range acts {
			if a.Kind == ActionHealthCheck {
				asked[a.Server]++
			}
		}
		return one(t, acts, ActionSend)
	}
	for range 40 { // no probe is answered
		ask()
		x.ends(id, 0, OutcomeOK)
	}
	if asked[1] != 1 || asked[2] != 1 {
		t.Errorf("probes out: %v, want one to each", asked)
	}
	for server, held := range map[ServerID]float64{1: 60, 2: 0} {
		x.on(Event{Kind: EventHealthCheck, Server: server, Outcome: OutcomeOK,
			Load: LoadReport{Known: true, InFlight: held, Queue: -1, ServiceTime: 50 * ms}})
	}
	joined := map[ServerID]int{}
	for range 2 {
		joined[ask().Server]++
	}
	if joined[2] != 2 || asked[1] != 1 || asked[2] != 1 {
		t.Errorf("joined %v, 1 holding 60 and 2 nothing; probed %v though the reports are fresh", joined, asked)
	}
	if x.now += time.Minute; len(joined) > 0 {
		ask()
	}
	if asked[1]+asked[2] < 3 {
		t.Error("old reports are not asked for again")
	}
}

// Where answers carry reports nothing is probed, however old the last report is: among many agents that see few
// requests each every report is old, and all of them together would probe more than they send.
func TestReportsWithAnswersNeedNoProbes(t *testing.T) {
	s := settings()
	s.HealthChecks, s.Reports, s.Agents = true, ReportsInline, 80
	x := start(t, s, fleet(22)...)
	for id := RequestID(1); id <= 200; id++ {
		none(t, x.ask(id, pure), ActionHealthCheck)
		x.ends(id, 0, OutcomeOK)
		x.now += time.Second
	}
}

// Where most of a fleet is cold its servers are drawn by what they can likely do, and what is let through at once is
// not held back as if it were drawn again: the few that are warm cannot carry the rest.
func TestColdFleetIsUsed(t *testing.T) {
	list := fleet(10)
	for i := range 6 {
		list[i].Start = time.Hour
	}
	x := start(t, settings(), list...)
	x.now += settings().SlowStartDuration / 2
	cold := 0.0
	for id := range RequestID(4000) {
		for _, a := range x.ask(id, pure) {
			if a.Kind == ActionSend {
				if a.Server <= 6 {
					cold += 1.0 / 4000
				}
				x.ends(id, 0, OutcomeOK)
			}
		}
	}
	if cold < 0.32 || cold > 0.6 {
		t.Errorf("six servers half warm of ten got %v of the traffic, want 0.32 to 0.6", cold)
	}
}

// shares counts how much of 4000 requests goes to zone 1, whose servers say that so many wait, and to others.
func (x *bench) shares(waiting float64) (near, far float64) {
	for id := range RequestID(4000) {
		for _, a := range x.ask(id, pure) {
			if a.Kind != ActionSend {
				continue
			}
			load := LoadReport{Known: true, InFlight: -1, Queue: waiting, ServiceTime: 10 * ms}
			if x.b.serversByID[a.Server].Zone != 1 {
				far += 1.0 / 4000
				load.Queue = 0
			} else {
				near += 1.0 / 4000
			}
			x.on(Event{Kind: EventOutcome, Request: id, Outcome: OutcomeOK, Answered: true, Load: load})
		}
	}
	return near, far
}

// Servers in the agent's own zone are drawn before others until more waits there than elsewhere; an agent that is not
// told its zone draws all alike.
func TestNearServersAreDrawnMore(t *testing.T) {
	for _, c := range []struct {
		zone        int
		near        float64 // that waits at the servers of zone 1, nothing at the others
		least, most float64
	}{{1, 0, 0.02, 0.4}, {1, 6, 0.45, 1}, {-1, 0, 0.4, 0.6}, {0, 0, 0.6, 0.98}} {
		s := settings()
		s.Zone = c.zone
		list := fleet(8)
		for i := range list {
			list[i].Zone = i % 2
		}
		x := start(t, s, list...)
		if _, got := x.shares(c.near); got < c.least || got > c.most {
			t.Errorf("zone %d with %v waiting in zone 1: %v went elsewhere, want %v to %v", c.zone, c.near, got, c.least, c.most)
		}
	}
}

// Agents of a zone that draw its servers first keep a cold one's budget all the same, which all agents share.
func TestNearColdServerKeepsItsBudget(t *testing.T) {
	s := settings()
	s.Zone = 1
	list := fleet(8)
	list[0].Zone, list[7].Zone, list[7].Start = 2, 1, time.Hour
	x := start(t, s, list...)
	budget := slowStartMargin * s.OverloadFactor * s.SlowStartMinWeight / 8
	if got, _ := x.shares(0); got > 1.2*budget || got < 0.2*budget {
		t.Errorf("a near cold server got %v of the traffic, its budget is %v", got, budget)
	}
}

// Among many agents each keeps to a few servers, which it hears of often; among few each uses all.
func TestLineFitsTheFleet(t *testing.T) {
	for _, c := range []struct{ agents, servers, want int }{{80, 60, 9}, {40, 60, 18}, {3, 15, 15}, {80, 15, minCandidates}} {
		s := settings()
		s.Agents = c.agents
		x := start(t, s, fleet(c.servers)...)
		if x.draw(); len(x.line().servers) != c.want {
			t.Errorf("%d agents and %d servers: a line of %d, want %d", c.agents, c.servers, len(x.line().servers), c.want)
		}
	}
}

// A crowded fleet turns requests away early, and tenants over their share go first.
func TestShedsTenantsOverTheirShare(t *testing.T) {
	s := settings()
	s.Tenants = []Tenant{{Quota: 0.5}, {Quota: 0.5}}
	x := start(t, s, fleet(6)...)
	var refused [2]int
	for id := range RequestID(2000) {
		x.b.overload = toleratedOverload + 0.35
		tenant := 0
		if id%10 == 0 {
			tenant = 1
		}
		for _, a := range x.on(Event{Kind: EventRequest, Request: id, Tenant: tenant, Remaining: 1000 * ms}) {
			if a.Kind == ActionReject {
				refused[tenant]++
			}
			if a.Kind == ActionSend {
				x.ends(id, 0, OutcomeOK)
			}
		}
	}
	if over, under := float64(refused[0])/1800, float64(refused[1])/200; over < 0.9 || under > 0.1 {
		t.Errorf("refused %v of the tenant over its share, %v of the other", over, under)
	}
}

// Idle servers whose last report was bad must be used: nobody would ever hear better of them.
func TestIdleServerIsNeverCrowded(t *testing.T) {
	s := settings()
	s.HealthChecks, s.Reports = true, ReportsOnHealthCheck
	x := start(t, s, fleet(2)...)
	for id := ServerID(1); id <= 2; id++ {
		x.on(Event{Kind: EventHealthCheck, Server: id, Outcome: OutcomeOK,
			Load: LoadReport{Known: true, InFlight: 0, Queue: -1, ServiceTime: 5 * time.Second}})
	}
	one(t, x.ask(1, pure), ActionSend)
}

func TestNewNamesTheField(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"Agents":                      func(s *Settings) { s.Agents = 0 },
		"Rank":                        func(s *Settings) { s.Rank = 1 },
		"MaxAttempts":                 func(s *Settings) { s.MaxAttempts = 0 },
		"SlowStartMinWeight":          func(s *Settings) { s.SlowStartMinWeight = math.NaN() },
		"SlowStartDuration":           func(s *Settings) { s.SlowStartDuration = -1 },
		"OverloadFactor":              func(s *Settings) { s.OverloadFactor = 0 },
		"MaxPollInterval":             func(s *Settings) { s.PollEndpoints = true },
		"Classes ":                    func(s *Settings) { s.Classes = nil },
		"Classes[1].LatencyObjective": func(s *Settings) { s.Classes[1].LatencyObjective = 0 },
		"Classes[0].Deadline":         func(s *Settings) { s.Classes[0].Deadline = ms },
		"Classes[2].PriorityWeight":   func(s *Settings) { s.Classes[2].PriorityWeight = math.NaN() },
		"Classes[0].Zones":            func(s *Settings) { s.Classes[0].Zones = []int{0, -1} },
		"Classes[0].Kinds":            func(s *Settings) { s.Classes[0].Kinds = []int{-1} },
		"Classes[3].Idempotency":      func(s *Settings) { s.Classes[3].Idempotency = NonIdempotent + 1 },
		"Classes[3].DedupScope":       func(s *Settings) { s.Classes[3].DedupScope = DedupScopeCell + 1 },
		"Classes[1].DedupWindow":      func(s *Settings) { s.Classes[1].DedupWindow = -1 },
		"RetryBudgetWindow":           func(s *Settings) { s.RetryBudgetWindow = -1 },
		"RetryBudgetMin":              func(s *Settings) { s.RetryBudgetMin = math.NaN() },
		"RetryBudgetRatio":            func(s *Settings) { s.RetryBudgetRatio = -0.1 },
		"Tenants[0].Quota":            func(s *Settings) { s.Tenants = []Tenant{{Quota: -1}} },
	} {
		s := settings()
		spoil(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
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
func TestTablesAreBounded(t *testing.T) {
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

func TestOrdinaryPathAllocations(t *testing.T) {
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

func TestMayKeepsToOneAttemptAtATime(t *testing.T) {
	for _, second := range []bool{false, true} {
		s := settings()
		s.Hedging = second
		x := start(t, s, fleet(2)...)
		one(t, x.ask(1, pure), ActionSend)
		if got := x.b.canSend(x.b.requests[1], x.b.servers[0]); got != second {
			t.Errorf("second copies %v: may send again %v while one is out", second, got)
		}
	}
}

// Danger: weights that leave out how fast a kind's cores are overload the slow kind.
func TestKindsSpeedsAreLearnt(t *testing.T) {
	list := fleet(8)
	for i := range list {
		list[i].Kind = i % 2
	}
	for name, learn := range map[string]func(x *bench, s *server){
		"answers": func(x *bench, s *server) {
			x.b.recordLatency(x.b.classes[pure], &attempt{server: s, queueDepth: 1}, []float64{0.1, 0.2}[s.Kind])
		},
		"answers behind queues": func(x *bench, s *server) {
			took := []float64{0.1, 0.2}[s.Kind]
			x.b.recordReport(s, LoadReport{Known: true, InFlight: -1, Queue: 3, ServiceTime: 20 * ms})
			x.b.recordLatency(x.b.classes[pure], &attempt{server: s, queueDepth: 4}, 4*took)
		},
	} {
		x := start(t, settings(), list...)
		for i := range 80 {
			x.b.now += 50 * ms
			learn(x, x.b.servers[i%8])
		}
		x.b.candidateEpoch++
		x.draw()
		var speeds [2]float64
		for _, s := range x.b.servers {
			speeds[s.Kind] = s.candidateSpeed
		}
		if r := speeds[0] / speeds[1]; r < 1.7 || r > 2.2 {
			t.Errorf("%s: a kind that takes half as long is %v times as fast", name, r)
		}
	}
}

// Where reports tell only who waits, those count as held, and a few requests of our own on a server are no crowd.
func TestQueueAloneIsHeld(t *testing.T) {
	x := start(t, settings(), fleet(2)...)
	s, r := x.b.servers[0], &request{class: x.b.classes[pure], objective: x.now + time.Second}
	told := func(queue float64) {
		x.b.recordReport(s, LoadReport{Known: true, InFlight: -1, Queue: queue, ServiceTime: 10 * ms})
	}
	if told(20); x.b.inFlightEstimate(s) < 10 || !x.b.isOverloaded(r, s) {
		t.Errorf("a queue of 20: %v held, crowded %v", x.b.inFlightEstimate(s), x.b.isOverloaded(r, s))
	}
	told(0)
	if s.inFlight = 5; x.b.inFlightEstimate(s) != 5 || x.b.isOverloaded(r, s) {
		t.Errorf("5 of our own and no queue: %v held, crowded %v", x.b.inFlightEstimate(s), x.b.isOverloaded(r, s))
	}
	for range 50 { // one long queue is not the fleet's
		told(9)
	}
	if x.b.overload > 0 {
		t.Errorf("pressure %v from one server's queue", x.b.overload)
	}
}

// A pair that is busier than usual is passed by for another, but the last one drawn is taken as it is.
func TestBusyPairIsDrawnAgain(t *testing.T) {
	x := start(t, settings(), fleet(8)...)
	line := func() []*server { x.draw(); return x.line().servers }()
	x.b.typicalWait = mean{1, true}
	r := &request{id: 1, class: x.b.classes[pure], deadline: x.now + time.Second, objective: x.now + time.Second}
	line[0].inFlight, line[1].inFlight = 9, 9
	for r.picks = range maxPicks {
		if last := r.picks == maxPicks-1; x.b.sendToPair(r, line[0], line[1]) != last {
			t.Errorf("draw %d: sent %v", r.picks, !last)
		}
	}
	r = &request{id: 2, class: r.class, deadline: r.deadline, objective: r.objective}
	if !x.b.sendToPair(r, line[2], line[3]) {
		t.Error("an idle pair was passed by")
	}
}

// Where reports tell queues and no requests in flight, a server that is new is no faster than the others.
func TestNewServerIsNoFaster(t *testing.T) {
	x := start(t, settings(), fleet(4)...)
	var id RequestID
	for range 200 {
		id++
		sent := one(t, x.ask(id, pure), ActionSend)
		x.now += 50 * ms
		x.on(Event{Kind: EventOutcome, Request: id, Server: sent.Server, Outcome: OutcomeOK, Answered: true,
			Load: LoadReport{Known: true, InFlight: -1, Queue: 0, ServiceTime: 30 * ms}})
	}
	x.on(Event{Kind: EventDiscovery, Update: EndpointsChanged, Endpoints: []Endpoint{ready(5, 1)}})
	fresh := x.b.serversByID[5]
	for _, s := range x.b.servers {
		if r := x.b.speed(fresh) / x.b.speed(s); r < 0.8 || r > 1.25 {
			t.Errorf("a new server is %.2f times as fast as server %d", r, s.ID)
		}
		if each := x.b.serviceSeconds(s); each < 0.03 || each > 0.08 {
			t.Errorf("a request takes %.3f s on server %d, want 0.05", each, s.ID)
		}
	}
}

// A kind that is sent less and so has less in work is neither slower nor narrower for it.
func TestTrafficIsNoSpeed(t *testing.T) {
	list := fleet(4)
	for i := range list {
		list[i].Kind = i % 2
	}
	x := start(t, settings(), list...)
	for i := range 80 {
		x.b.now += 50 * ms
		s := x.b.servers[i%4]
		busy := float64(1 + 3*s.Kind)
		x.b.recordReport(s, LoadReport{Known: true, InFlight: busy, Queue: -1, ServiceTime: 50 * ms})
	}
	x.b.candidateEpoch++
	x.draw()
	for _, s := range x.b.servers {
		if math.Abs(s.candidateSpeed-x.b.servers[0].candidateSpeed) > 0.01 {
			t.Errorf("kind %d has speed %v, kind %d %v", s.Kind, s.candidateSpeed, x.b.servers[0].Kind, x.b.servers[0].candidateSpeed)
		}
	}
}

// Attempts that a fresh report does not know are lost: they take no room until the report is old.
func TestLostAttemptsTakeNoRoom(t *testing.T) {
	x := start(t, settings(), fleet(2)...)
	s := x.b.servers[0]
	looks := make([]Action, 0, 8)
	for id := RequestID(1); s.inFlight < 8; id++ {
		for _, a := range x.ask(id, unsafe) {
			if r := x.b.requests[id]; a.Kind == ActionSetTimer && r.attempts[0].server == s {
				looks = append(looks, a)
			}
		}
	}
	for _, look := range looks[:7] {
		x.on(Event{Kind: EventTimer, TimerID: look.TimerID})
	}
	if got := x.b.inFlightEstimate(s); got != 8 {
		t.Errorf("without a report: %v held", got)
	}
	x.b.recordReport(s, LoadReport{Known: true, InFlight: 0, Queue: -1, ServiceTime: 10 * ms})
	if got := x.b.inFlightEstimate(s); got != 1 {
		t.Errorf("by a fresh report, 7 of 8 being silent: %v held", got)
	}
	if x.b.now += time.Second; x.b.inFlightEstimate(s) < 7.5 {
		t.Errorf("when the report is old: %v held", x.b.inFlightEstimate(s))
	}
	x.ends(RequestID(looks[0].TimerID&math.MaxUint32), 0, OutcomeReset)
	if s.silentAttempts != 6 || s.inFlight != 7 {
		t.Errorf("one of them ended: %d silent of %d", s.silentAttempts, s.inFlight)
	}
}

// Where no report tells a server's width, the number it holds says nothing: requests may wait on others.
func TestCrowdNeedsAWidth(t *testing.T) {
	x := start(t, settings(), fleet(2)...)
	load := LoadReport{Known: true, InFlight: 8, Queue: -1, ServiceTime: 10 * ms}
	s := x.b.servers[0]
	for range 3 {
		x.b.recordReport(s, load)
	}
	r := &request{class: x.b.classes[pure], objective: x.now + 400*ms}
	if x.b.isOverloaded(r, s) {
		t.Error("8 in hand at 10 ms each are no crowd for 400 ms")
	}
	load.ServiceTime = 30 * ms
	x.b.recordReport(s, load)
	load.Queue = 0
	x.b.recordReport(s, load)
	if s.lastReport.InFlight = 2; x.b.isOverloaded(r, s) {
		t.Error("where the queue is told, the aim of the request itself is what counts")
	}
	load.InFlight, load.ServiceTime, load.Queue = -1, 10*ms, 15
	x.b.recordReport(s, load)
	if !x.b.isOverloaded(r, s) {
		t.Error("a queue of 15 at a width of 1 is a crowd")
	}
}

// Incident i4d2661: under high pressure only 4% was let through, too little to tell that servers were idle again.
func TestPressureEasesWithoutNews(t *testing.T) {
	x := start(t, settings(), fleet(4)...)
	x.b.overloadDecayedAt = x.now
	x.b.overload = maxOverload
	x.now += seconds(4 * overloadHalfLifeObjectives * 0.4) // four half-lives
	x.ask(1, pure)
	if got := x.b.overload; got > maxOverload/15 || got <= 0 {
		t.Errorf("pressure %v after four half-lives", got)
	}
}

// A class that takes ten times as long is no slow server, even where one server happens to get all of it.
func TestLongClassIsNoSlowServer(t *testing.T) {
	x := start(t, settings(), fleet(2)...)
	long, short := x.b.servers[0], x.b.servers[1]
	for range 200 {
		x.b.now += 50 * ms
		x.b.recordLatency(x.b.classes[byAll], &attempt{server: long, queueDepth: 1}, 0.5)
		x.b.recordLatency(x.b.classes[pure], &attempt{server: short, queueDepth: 1}, 0.05)
	}
	if long.slowdown > 1.2 || short.slowdown < 0.8 {
		t.Errorf("slowness %v and %v", long.slowdown, short.slowdown)
	}
	for range 200 {
		x.b.now += 50 * ms
		x.b.recordLatency(x.b.classes[pure], &attempt{server: long, queueDepth: 1}, 0.15)
		x.b.recordLatency(x.b.classes[pure], &attempt{server: short, queueDepth: 1}, 0.05)
	}
	if long.slowdown < 1.4*short.slowdown {
		t.Errorf("a server three times slower: slowness %v and %v", long.slowdown, short.slowdown)
	}
}

// A cold server's answers take as long as it is cold: that is known, and were it learnt as slowness too it would be
// sent a part of a part, and less for long after it is warm.
func TestColdnessIsNoSlowness(t *testing.T) {
	list := fleet(2)
	list[1].Start = time.Hour
	x := start(t, settings(), list...)
	warm, cold := x.b.serversByID[1], x.b.serversByID[2]
	for range 200 {
		x.b.recordLatency(x.b.classes[pure], &attempt{server: warm, queueDepth: 1}, 0.05)
		x.b.recordLatency(x.b.classes[pure], &attempt{server: cold, queueDepth: 1}, 0.05/x.b.expectedWarmth(cold))
	}
	if r := cold.slowdown / warm.slowdown; r < 0.8 || r > 1.25 {
		t.Errorf("a cold server passes for %v times slower than a warm one of its kind", r)
	}
}

// What a report tells is soon past where many agents send to the server: all of them act on old reports alike, and
// what looked full is left idle while what looked idle fills up.
func TestReportsAgeWithTheFleet(t *testing.T) {
	after := func(agents int) float64 {
		set := settings()
		set.Agents = agents
		x := start(t, set, fleet(2)...)
		x.b.recordReport(x.b.servers[0], LoadReport{Known: true, InFlight: 8, Queue: -1, ServiceTime: 50 * ms})
		x.b.now += 100 * ms // two service times
		return x.b.inFlightEstimate(x.b.servers[0])
	}
	if few, many := after(4), after(80); few < 6 || many > 1 {
		t.Errorf("of 8 held two service times ago, %v count among 4 agents and %v among 80", few, many)
	}
}

// Our own queue at a server is not its slowness.
func TestOwnQueueIsNoSlowness(t *testing.T) {
	x := start(t, settings(), fleet(2)...)
	busy, idle := x.b.servers[0], x.b.servers[1]
	for range 300 {
		x.b.now += 50 * ms
		x.b.recordLatency(x.b.classes[pure], &attempt{server: busy, queueDepth: 4}, 0.4)
		x.b.recordLatency(x.b.classes[pure], &attempt{server: idle, queueDepth: 1}, 0.1)
	}
	if busy.slowdown > 1.2*idle.slowdown {
		t.Errorf("slowness %v with four times the wait for three of our own, %v with none", busy.slowdown, idle.slowdown)
	}
}

// Rule 5: a bound class goes to the servers open to it and to no other, at every attempt, whatever their state.
func TestPlacement(t *testing.T) {
	list := fleet(40)
	for i := range list {
		list[i].Zone, list[i].Kind = i%4, i/4%2
	}
	for name, c := range map[string]struct {
		zones, kinds []int
		open         func(Endpoint) bool
	}{
		"zones":     {[]int{1, 3}, nil, func(e Endpoint) bool { return e.Zone%2 == 1 }},
		"kinds":     {nil, []int{1}, func(e Endpoint) bool { return e.Kind == 1 }},
		"both":      {[]int{2}, []int{0}, func(e Endpoint) bool { return e.Zone == 2 && e.Kind == 0 }},
		"unmatched": {[]int{9}, nil, func(Endpoint) bool { return false }},
		"empty":     {nil, []int{}, func(Endpoint) bool { return false }},
	} {
		s := settings()
		s.Agents, s.Rank = 50, 7 // a small window
		s.Classes[pure].Zones, s.Classes[pure].Kinds = c.zones, c.kinds
		x := start(t, s, list...)
		any := slices.ContainsFunc(list, c.open)
		sent := 0
		check := func(acts []Action) {
			for _, a := range acts {
				if a.Kind == ActionSend {
					if sent++; !c.open(list[a.Server-1]) {
						t.Fatalf("%s: sent to %+v", name, list[a.Server-1])
					}
				}
			}
		}
		for id := range RequestID(60) {
			x.b.overload, x.b.retryTimes = 0, nil
			acts := x.ask(id, pure)
			if check(acts); any && id == 0 {
				one(t, acts, ActionSend)
			} else if !any {
				one(t, acts, ActionReject)
			}
			for n, how := range []Outcome{OutcomeConnectFailed, OutcomeRejected, OutcomeError, OutcomeReset} {
				check(x.ends(id, n, how))
			}
			x.now += time.Minute // whoever was ejected is back
		}
		for _, e := range list { // all that are open to it are gone: hold or end
			if c.open(e) {
				e.State = Draining
				x.on(Event{Kind: EventDiscovery, Endpoints: []Endpoint{e}})
			}
		}
		before := sent
		check(x.ask(1000, pure))
		if sent != before || any && before < 60 {
			t.Errorf("%s: %d sent, then %d", name, before, sent)
		}
	}
}

// Whatever else is on the list, a window holds servers for a bound class as long as there are any.
func TestSmallWindowHoldsBoundServers(t *testing.T) {
	for rank := range 50 {
		list := fleet(100)
		for i := range list {
			list[i].Zone = min(i, 1)
		}
		s := settings()
		s.Agents, s.Rank = 50, rank
		s.Classes[unsafe].Zones = []int{0}
		x := start(t, s, list...)
		if a := one(t, x.ask(1, unsafe), ActionSend); a.Server != 1 {
			t.Fatalf("rank %d: sent to %d", rank, a.Server)
		}
	}
}

// Rule 6: in any window, edges included, further attempts stay within floor plus ratio times the requests taken.
func TestRetryBudget(t *testing.T) {
	s := settings()
	s.RetryBudgetWindow, s.RetryBudgetMin, s.RetryBudgetRatio = time.Second, 2, 0.5
	x := start(t, s, fleet(20)...)
	again := func(id RequestID) bool {
		x.b.overload = 0
		one(t, x.ask(id, pure), ActionSend)
		acts := x.ends(id, 0, OutcomeRejected)
		return len(acts) > 0 && acts[0].Kind == ActionSend
	}
	begin := x.now
	for i, c := range []struct {
		at   time.Duration
		want bool
	}{
		{0, true},          // 1 of 2 + 0.5
		{0, true},          // 2 of 2 + 1
		{0, true},          // 3 of 2 + 1.5
		{0, true},          // 4 of 2 + 2
		{0, false},         // 5 of 2 + 2.5
		{500 * ms, true},   // 5 of 2 + 3
		{1000 * ms, false}, // the four first attempts still count, the requests beside them do not: 6 of 2 + 1
		{1001 * ms, true},  // 2 of 2 + 1.5
	} {
		x.now = begin + c.at
		if got := again(RequestID(i)); got != c.want {
			t.Errorf("step %d at %v: sent again %v, want %v", i, c.at, got, c.want)
		}
	}
}

// Danger: a client's last try has all the rest of its deadline, longer than a first one. First tries must not
// look late for that, or they are refused without hope.
func TestFirstTriesAreNotTakenForLaterOnes(t *testing.T) {
	x := start(t, settings(), fleet(4)...)
	late := 0
	for id := range RequestID(60) {
		x.now += 10 * ms
		x.b.overload = 0
		left := 550 * ms // a first try: a share of the deadline of a second
		if id%3 == 2 {
			left = 850 * ms // a last try
		}
		for _, a := range x.on(Event{Kind: EventRequest, Request: id, Class: pure, Remaining: left, Retry: id%3 == 2}) {
			if a.Kind == ActionReject {
				late++
			} else if r := x.b.requests[id]; a.Kind == ActionSend && id%3 == 2 && r.objective != x.now+250*ms {
				t.Fatalf("a last try's aim is in %v, want 250ms", r.objective-x.now)
			}
		}
		x.ends(id, 0, OutcomeOK)
	}
	if late > 0 {
		t.Errorf("%d tries refused as hopeless", late)
	}
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

// A repeat with a first try's share of the deadline came soon and keeps half of what may have passed; one with less
// has been long, and is late by all of it.
func TestEarlyRepeatsKeepHalf(t *testing.T) {
	x := start(t, settings(), fleet(3)...)
	for id := range RequestID(10) {
		x.on(Event{Kind: EventRequest, Request: id + 1, Class: pure, Remaining: 600 * ms})
	}
	for id, left := range map[RequestID]time.Duration{20: 600 * ms, 21: 700 * ms} {
		x.on(Event{Kind: EventRequest, Request: id, Class: pure, Remaining: left, Retry: true})
	}
	if early, late := x.b.requests[20].objective-x.now, x.b.requests[21].objective-x.now; early != 200*ms || late != 100*ms {
		t.Errorf("aims in %v and %v, want 200ms and 100ms", early, late)
	}
}

// An agent among few knows most of what a server is sent, and calls it crowded later than one among many.
func TestFewAgentsCrowdLater(t *testing.T) {
	crowdedAt := func(agents int) int {
		set := settings()
		set.Agents = agents
		x := start(t, set, fleet(1)...)
		x.b.recordReport(x.b.serversByID[1], LoadReport{Known: true, InFlight: -1, Queue: 1, ServiceTime: 10 * ms})
		for held := 1; ; held++ {
			x.b.serversByID[1].lastReport.InFlight = float64(held)
			if x.b.isOverloaded(&request{objective: x.now + time.Second}, x.b.serversByID[1]) {
				return held
			}
		}
	}
	if few, many := crowdedAt(1), crowdedAt(1000); few != 14 || many != 8 {
		t.Errorf("crowded at %d and %d, want 14 and 8", few, many)
	}
}

// A server that takes no more connections while it answers over others, or turns requests away, is passed by for a
// while and stays in; only one that is loaded says that there is a crowd.
func TestServerWithoutRoomIsPassedBy(t *testing.T) {
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

// Pressure is no belief that keeps itself: reports of room take it back though few answers come, and a pair that
// rejected something a moment ago adds nothing. A crowded pair does.
func TestPressureFollowsReports(t *testing.T) {
	x := start(t, settings(), fleet(2)...)
	report := func(held float64) {
		for _, s := range x.b.servers {
			x.b.recordReport(s, LoadReport{Known: true, InFlight: -1, Queue: held, ServiceTime: 20 * ms})
		}
	}
	for range 20 {
		report(2)
	}
	x.b.overload = maxOverload
	for range 12 {
		report(0)
	}
	if x.b.overload > 0 {
		t.Errorf("pressure %v, though all reports tell of room", x.b.overload)
	}
	for _, s := range x.b.servers {
		s.skippedUntil = x.now + time.Second
	}
	if one(t, x.ask(1, pure), ActionReject); x.b.overload > 0 {
		t.Errorf("pressure %v for a pair that is passed by", x.b.overload)
	}
	for _, s := range x.b.servers {
		s.skippedUntil = 0
	}
	report(40)
	x.b.overload = 0
	if one(t, x.ask(2, pure), ActionReject); x.b.overload == 0 {
		t.Error("no pressure for a pair that is crowded")
	}
}

// A silent request is sent again once, elsewhere and in time, if its class may be and second copies are allowed: at
// the second look, or at the first if its server has reported since and no longer holds it.
func TestSilentRequestsGetASecondCopy(t *testing.T) {
	for _, c := range []struct {
		class  int
		copies bool
		report float64 // what the server says it holds before the first look, if not negative
		after  time.Duration
		want   [3]bool // whether a copy goes out at each look
	}{
		{byAll, true, -1, 0, [3]bool{1: true}},
		{pure, true, 0, 0, [3]bool{0: true}},
		{byAll, true, 1, 0, [3]bool{1: true}},
		{byAll, true, -1, 300 * ms, [3]bool{}}, // too late
		{byCell, true, -1, 0, [3]bool{}},       // each server is a cell of its own
		{unsafe, true, 0, 0, [3]bool{}},
		{byAll, false, 0, 0, [3]bool{}},
	} {
		s := settings()
		s.Hedging = c.copies
		x := start(t, s, fleet(3)...)
		acts := x.ask(1, c.class)
		first, timer := one(t, acts, ActionSend).Server, one(t, acts, ActionSetTimer)
		if x.now += ms; c.report >= 0 {
			x.on(Event{Kind: EventHealthCheck, Server: first, Load: LoadReport{Known: true, InFlight: c.report, Queue: -1, ServiceTime: -1}})
		}
		x.now += c.after
		for look, want := range c.want {
			acts := x.on(Event{Kind: EventTimer, TimerID: timer.TimerID})
			if !want {
				none(t, acts, ActionSend)
			} else if again := one(t, acts, ActionSend); again.Server == first {
				t.Errorf("%+v: sent again to the same server at look %d", c, look)
			}
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
func TestOneResetEjectsNobody(t *testing.T) {
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
func TestCostlyRequestEjectsNobody(t *testing.T) {
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

// Lines are this agent's own: a server that comes or goes changes one place on them.
func TestLinesAreStable(t *testing.T) {
	for rank := range 20 {
		s := settings()
		s.Agents, s.Rank = 100, rank
		x := start(t, s, fleet(40)...)
		x.draw()
		before := slices.Clone(x.line().servers)
		x.on(Event{Kind: EventDiscovery, Endpoints: []Endpoint{ready(99, 1), {ID: before[0].ID, State: Removed}}})
		x.draw()
		kept := 0
		for _, s := range x.line().servers {
			if slices.Contains(before, s) {
				kept++
			}
		}
		if kept < len(before)-2 {
			t.Errorf("rank %d: %d of %d servers kept", rank, kept, len(before))
		}
	}
}

// Incidents i6871ee, ie92136: silence of servers that were well is crowding where other answers are late too, and
// none where they are quick: then the silent ones are ill.
func TestSilenceIsCrowdingWhereAnswersAreLate(t *testing.T) {
	for part, want := range map[float64]bool{0.1: false, 0.9: true} {
		x := start(t, settings(), fleet(9)...)
		for range 20 {
			x.b.objectiveUsage.add(part, sampleWeight)
		}
		for i := range 4 {
			x.b.recordSilence(x.b.classes[pure], &attempt{server: x.b.servers[i]}, 0.5)
		}
		if got := x.b.overload > toleratedOverload; got != want {
			t.Errorf("answers take %v of their aims: pressure %v after four servers fell silent", part, x.b.overload)
		}
	}
}

// A refusal tells when to come again, later under pressure.
func TestRefusalsCarryAdvice(t *testing.T) {
	s := settings()
	s.AdviseRetryAfter = true
	x := start(t, s)
	calm := one(t, x.ask(1, pure), ActionReject).RetryAfter
	x.b.overload = 1
	if busy := one(t, x.ask(2, unsafe), ActionReject).RetryAfter; calm <= 0 || busy <= calm {
		t.Errorf("advice %v, under pressure %v", calm, busy)
	}
	x.b.settings.MaxRetryAfter = calm / 2
	if a := one(t, x.ask(3, pure), ActionReject); a.RetryAfter != calm/2 {
		t.Errorf("advice %v where clients heed %v at most", a.RetryAfter, calm/2)
	}
	x.b.settings.AdviseRetryAfter = false
	if a := one(t, x.ask(4, pure), ActionReject); a.RetryAfter != 0 {
		t.Errorf("advice %v where the settings allow none", a.RetryAfter)
	}
}

// A keyed repeat says until when it may reach a server; what cannot be repeated or has not run does not.
func TestKeyedRepeatsSayUntilWhen(t *testing.T) {
	for how, want := range map[Outcome]time.Duration{OutcomeError: 200 * ms, OutcomeRejected: 0} {
		x := start(t, settings(), fleet(6)...)
		if first := one(t, x.ask(1, byAll), ActionSend); first.DispatchWithin != 0 {
			t.Errorf("the first attempt is bound to %v", first.DispatchWithin)
		}
		x.now += 100 * ms
		if again := one(t, x.ends(1, 0, how), ActionSend); again.DispatchWithin != want {
			t.Errorf("after outcome %d: within %v, want %v", how, again.DispatchWithin, want)
		}
	}
}

// A server that answers other classes and swallows one is ejected for that one by its time-outs.
func TestSwallowedClassIsEjected(t *testing.T) {
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
func TestAvoided(t *testing.T) {
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

// Two processes of one agent that divide its traffic send a cold server no more than one with all of it: the budget is a
// share of what is sent.
func TestColdBudgetOfTwoProcesses(t *testing.T) {
	sent := func(processes int) (n int) {
		set := settings()
		set.Agents = 4
		var all []*bench
		for range processes {
			list := fleet(10)
			list[0].Start = time.Hour - ms // it has just started
			all = append(all, start(t, set, list...))
		}
		for id := range RequestID(8000) {
			x := all[int(id)%processes]
			for _, a := range x.ask(id+1, pure) {
				if a.Kind == ActionSend && a.Server == 1 {
					n++
				}
			}
			x.ends(id+1, 0, OutcomeOK)
		}
		return n
	}
	if one, two := sent(1), sent(2); two > one+one/4 {
		t.Errorf("one process sends %d to the cold server, two send %d", one, two)
	}
}

// A request whose body or answer flows cannot be had again: nothing repeats it, its silence blames nobody, and the time
// that its client took teaches no speed.
func TestBegun(t *testing.T) {
	for _, how := range []Outcome{OutcomeRejected, OutcomeConnectFailed, OutcomeReset, OutcomeError, OutcomeExpired} {
		x := start(t, settings(), fleet(3)...)
		x.ask(1, pure)
		x.on(Event{Kind: EventStreaming, Request: 1})
		acts := x.ends(1, 0, how)
		if none(t, acts, ActionSend); one(t, acts, ActionReject).Request != 1 || len(x.b.requests) > 0 {
			t.Errorf("outcome %d: %+v", how, acts)
		}
	}
	x := start(t, settings(), fleet(3)...)
	acts := x.ask(1, pure)
	s, check := x.b.serversByID[one(t, acts, ActionSend).Server], one(t, acts, ActionSetTimer)
	usual := x.b.classes[pure].latencySeconds
	x.on(Event{Kind: EventStreaming, Request: 1})
	x.now += 20 * time.Second
	none(t, x.on(Event{Kind: EventTimer, TimerID: check.TimerID}), ActionSend, ActionSetTimer)
	x.ends(1, 0, OutcomeOK)
	if s.health[pure].failures > 0 || x.b.classes[pure].latencySeconds != usual || x.b.queueDepth.known || len(x.b.requests) > 0 {
		t.Errorf("blamed %v, usual answer %v, was %v", s.health[pure].failures, x.b.classes[pure].latencySeconds, usual)
	}
}

// What was learnt of a kind of machine stays with it when the settings change, and is forgotten when its place may be
// another kind's.
func TestAdoptKinds(t *testing.T) {
	list := fleet(8)
	for i := range list {
		list[i].Kind = i % 2
	}
	set := settings()
	set.Kinds = []string{"large", "small"}
	for _, c := range []struct {
		kinds []string
		stays bool
	}{{[]string{"large", "small"}, true}, {[]string{"small", "large"}, false}, {nil, false}} {
		x := start(t, set, list...)
		for i := range 80 {
			s := x.b.servers[i%8]
			x.b.recordLatency(x.b.classes[pure], &attempt{server: s, queueDepth: 1}, []float64{0.1, 0.2}[s.Kind])
		}
		for _, s := range x.b.servers {
			s.slowdown = 1
		}
		next := set
		next.Kinds = c.kinds
		if err := x.b.Adopt(next); err != nil {
			t.Fatal(err)
		}
		ratio := x.b.speed(x.b.serversByID[1]) / x.b.speed(x.b.serversByID[2])
		if c.stays != (ratio > 1.5) {
			t.Errorf("kinds are %v now: the speeds' ratio is %v", c.kinds, ratio)
		}
	}
}
