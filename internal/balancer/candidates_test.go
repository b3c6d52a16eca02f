package balancer

import (
	"math"
	"slices"
	"testing"
	"time"
)

// A pair must weigh the speed of its first server plus epsilon, and the last pair the remainder. Wrong pair weights
// give servers a share of the traffic that does not match their speed.
func TestPairWeights(t *testing.T) {
	for _, c := range []struct {
		speeds, want []float64
	}{
		{[]float64{3}, nil},
		{[]float64{1, 2}, []float64{3}},                     // the only pair
		{[]float64{1, 2, 3}, []float64{2, 4}},               // bound min(2/1, 5/1) = 2, eps 1
		{[]float64{2, 2, 1, 4}, []float64{2.25, 2.25, 4.5}}, // bound min(2/1, 1/2, 5/2) = 0.5, eps 0.25
		{[]float64{4, 4, 4, 0.1}, []float64{5, 5, 2.1}},     // bound min(4, 2, 4.1/2) = 2, eps 1: the last is negative
	} {
		got := appendPairSums(c.speeds, nil)
		sum := 0.0
		if len(got) != len(c.want) {
			t.Fatalf("speeds %v: got %d pairs, want %d", c.speeds, len(got), len(c.want))
		}
		for j, w := range c.want {
			sum += w
			if math.Abs(got[j]-sum) > 1e-12 {
				t.Errorf("speeds %v: pair %d: got weight %v, want %v", c.speeds, j, got.rangeSum(j, j+1), w)
			}
		}
	}
}

// With many agents each uses few candidates, so that it gets responses from them often. With few agents each uses all
// servers.
func TestCandidateSetSize(t *testing.T) {
	for _, c := range []struct{ agents, servers, want int }{{80, 60, 9}, {40, 60, 18}, {3, 15, 15}, {80, 15, minCandidates}} {
		s := testSettings()
		s.Agents = c.agents
		h := newHarness(t, s, readyEndpoints(c.servers)...)
		h.pickPair()
		if len(h.candidates().servers) != c.want {
			t.Errorf("%d agents and %d servers: got %d candidates, want %d", c.agents, c.servers, len(h.candidates().servers), c.want)
		}
	}
}

// A server that is added or removed must change only its own place in a candidate set.
func TestCandidateSetIsStable(t *testing.T) {
	for rank := range 20 {
		s := testSettings()
		s.Agents, s.Rank = 100, rank
		h := newHarness(t, s, readyEndpoints(40)...)
		h.pickPair()
		before := slices.Clone(h.candidates().servers)
		h.handle(Event{Kind: EventDiscovery, Endpoints: []Endpoint{readyEndpoint(99, 1), {ID: before[0].ID, State: Removed}}})
		h.pickPair()
		kept := 0
		for _, s := range h.candidates().servers {
			if slices.Contains(before, s) {
				kept++
			}
		}
		if kept < len(before)-2 {
			t.Errorf("rank %d: got %d of %d servers kept, want at least %d", rank, kept, len(before), len(before)-2)
		}
	}
}

// A class with placement must only be sent to eligible servers, at every attempt and whatever their state.
func TestPlacement(t *testing.T) {
	list := readyEndpoints(40)
	for i := range list {
		list[i].Zone, list[i].Kind = i%4, i/4%2
	}
	for name, placement := range map[string]struct {
		zones, kinds []int
		eligible     func(Endpoint) bool
	}{
		"zones":     {[]int{1, 3}, nil, func(e Endpoint) bool { return e.Zone%2 == 1 }},
		"kinds":     {nil, []int{1}, func(e Endpoint) bool { return e.Kind == 1 }},
		"both":      {[]int{2}, []int{0}, func(e Endpoint) bool { return e.Zone == 2 && e.Kind == 0 }},
		"unmatched": {[]int{9}, nil, func(Endpoint) bool { return false }},
		"empty":     {nil, []int{}, func(Endpoint) bool { return false }},
	} {
		s := testSettings()
		s.Agents, s.Rank = 50, 7 // a small candidate set
		s.Classes[idempotent].Zones, s.Classes[idempotent].Kinds = placement.zones, placement.kinds
		h := newHarness(t, s, list...)
		hasEligible := slices.ContainsFunc(list, placement.eligible)
		sent := 0
		check := func(actions []Action) {
			for _, a := range actions {
				if a.Kind == ActionSend {
					sent++
					if !placement.eligible(list[a.Server-1]) {
						t.Fatalf("%s: got a request on %+v, want an eligible server", name, list[a.Server-1])
					}
				}
			}
		}
		for id := range RequestID(60) {
			h.b.overload, h.b.retryTimes = 0, nil
			actions := h.request(id, idempotent)
			check(actions)
			if hasEligible && id == 0 {
				onlyAction(t, actions, ActionSend)
			} else if !hasEligible {
				onlyAction(t, actions, ActionReject)
			}
			for n, outcome := range []Outcome{OutcomeConnectFailed, OutcomeRejected, OutcomeError, OutcomeReset} {
				check(h.endAttempt(id, n, outcome))
			}
			h.now += time.Minute // ejections have ended
		}
		for _, e := range list { // without a ready eligible server nothing is sent
			if placement.eligible(e) {
				e.State = Draining
				h.handle(Event{Kind: EventDiscovery, Endpoints: []Endpoint{e}})
			}
		}
		before := sent
		check(h.request(1000, idempotent))
		if sent != before || hasEligible && before < 60 {
			t.Errorf("%s: got %d attempts and %d without ready eligible servers, want at least 60 if any is eligible, and 0", name, before, sent-before)
		}
	}
}

// The candidate set of a class with placement must include its eligible servers even if they are few among many: the
// size limit applies to eligible servers only.
func TestSmallCandidateSetIncludesEligibleServer(t *testing.T) {
	for rank := range 50 {
		list := readyEndpoints(100)
		for i := range list {
			list[i].Zone = min(i, 1)
		}
		s := testSettings()
		s.Agents, s.Rank = 50, rank
		s.Classes[nonIdempotent].Zones = []int{0}
		h := newHarness(t, s, list...)
		if a := onlyAction(t, h.request(1, nonIdempotent), ActionSend); a.Server != 1 {
			t.Fatalf("rank %d: got a request on server %d, want 1", rank, a.Server)
		}
	}
}
