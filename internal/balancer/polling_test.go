package balancer

import (
	"testing"
	"time"
)

// A failed poll must keep the servers, and the polls must back off: the poll after a first failure comes early, the one
// after four failures later, but all within NotifyBoundAfterFailure.
func TestFailedPollKeepsServersAndBacksOff(t *testing.T) {
	s := testSettings()
	s.PollEndpoints = true
	s.MaxPollInterval = 10 * time.Second
	s.Agents = 4
	s.Rank = 2
	h := newHarness(t, s)
	first := onlyAction(t, h.handle(Event{Kind: EventDiscovery, Update: EndpointsCached, Endpoints: readyEndpoints(2)}), ActionSetTimer)
	if first.Delay < 600*ms || first.Delay > 900*ms {
		t.Errorf("rank 2 of 4: got a poll after %v, want 600ms to 900ms", first.Delay)
	}
	onlyAction(t, h.handle(Event{Kind: EventTimer, TimerID: first.TimerID}), ActionPollEndpoints)
	last := time.Duration(0)
	for failures := range 4 {
		a := onlyAction(t, h.handle(Event{Kind: EventDiscovery, Update: PollFailed}), ActionSetTimer)
		if failures == 0 && a.Delay > 1500*ms {
			t.Errorf("after one failure: got delay %v, want at most 1.5s", a.Delay)
		}
		if a.Delay > NotifyBoundAfterFailure-1500*ms {
			t.Errorf("after failure %d: got delay %v, want at most %v", failures+1, a.Delay, NotifyBoundAfterFailure-1500*ms)
		}
		last = a.Delay
	}
	if last < 2250*ms {
		t.Errorf("after four failures: got delay %v, want at least 2.25s", last)
	}
	onlyAction(t, h.request(1, idempotent), ActionSend)
}

// Agents that start together must poll in the order of their ranks, within startPollWindow: simultaneous polls may all
// fail, and later polls would leave too little time to become ready.
func TestFirstPollsAreOrderedByRank(t *testing.T) {
	for _, agents := range []int{1, 6, 350, 900} {
		last := time.Duration(0)
		for rank := range agents {
			s := testSettings()
			s.PollEndpoints = true
			s.MaxPollInterval = 10 * time.Second
			s.Agents = agents
			s.Rank = rank
			h := newHarness(t, s)
			a := onlyAction(t, h.handle(Event{Kind: EventDiscovery, Update: EndpointsCached, Endpoints: readyEndpoints(2)}), ActionSetTimer)
			if a.Delay < last || a.Delay > min(startPollWindow, minPollInterval*time.Duration(agents)) {
				t.Errorf("rank %d of %d: got a poll after %v, want %v to %v", rank, agents, a.Delay, last,
					min(startPollWindow, minPollInterval*time.Duration(agents)))
			}
			last = a.Delay
		}
	}
}

// The next poll must leave time for its response, and for another poll, before the agent counts as notified of the
// missed changes. Without a known remaining time, agents poll in slots by rank, then back off within MaxPollInterval.
func TestPollsWithinRemainingTime(t *testing.T) {
	for _, maxPollInterval := range []time.Duration{time.Second, 10 * time.Second, time.Minute} {
		for _, agents := range []int{1, 6, 350} {
			s := testSettings()
			s.PollEndpoints = true
			s.MaxPollInterval = maxPollInterval
			s.Agents = agents
			s.Rank = agents - 1
			for _, c := range []struct {
				failures    int // consecutive ones before the poll under test
				remaining   time.Duration
				least, most time.Duration
			}{
				{0, 1400 * ms, 0, 0},
				{1, 700 * ms, 50 * ms, 300 * ms},
				{5, 700 * ms, 50 * ms, 300 * ms},
				{0, 4 * time.Second, 0, 2500 * ms},
				{0, 1, 0, 0},
				{0, 0, 0, min(maxPollInterval*6/10, 4500*ms)},
				{1, 0, 50 * ms, min(maxPollInterval, 4500*ms)},
				{9, 0, min(maxPollInterval/4, 2250*ms), min(maxPollInterval, 4500*ms)},
				{9, 6 * time.Second, min(maxPollInterval/4, 2250*ms), min(maxPollInterval, 4500*ms)},
			} {
				h := newHarness(t, s, readyEndpoints(2)...)
				for range c.failures {
					h.handle(Event{Kind: EventDiscovery, Update: PollFailed})
				}
				a := onlyAction(t, h.handle(Event{Kind: EventDiscovery, Update: PollFailed, Remaining: c.remaining}), ActionSetTimer)
				if a.Delay < c.least || a.Delay > c.most {
					t.Errorf("%d agents, MaxPollInterval %v, %d failures, %v remaining: got delay %v, want %v to %v", agents, maxPollInterval, c.failures+1,
						c.remaining, a.Delay, c.least, c.most)
				}
			}
		}
	}
}

// If the latency of discovery is known, further polls must come at a rate that it can handle: one per agent in 0.5 to
// 1.5 rounds, earlier if time remains for one more, and always within the bound. Otherwise the polls themselves would
// overload discovery. After a migration the agents poll in slots by rank again.
func TestPollDelayFollowsLatency(t *testing.T) {
	for name, c := range map[string]struct {
		agents      int
		latency     time.Duration
		update      DiscoveryUpdate
		failures    int // consecutive ones before the poll under test
		remaining   time.Duration
		elapsed     time.Duration // since the failed poll began
		least, most time.Duration
	}{
		"first failure":                  {6, 450 * ms, PollFailed, 0, 6 * time.Second, 0, 2250 * ms, 2700 * ms}, // the last of 6 slots
		"second failure":                 {6, 450 * ms, PollFailed, 1, 6 * time.Second, 0, 1350 * ms, 2550 * ms},
		"little time remains":            {6, 450 * ms, PollFailed, 1, 1500 * ms, 0, 1350 * ms, 1350 * ms},
		"no time remains":                {6, 450 * ms, PollFailed, 1, 1, 0, 1350 * ms, 4050 * ms},
		"many failures, no time remains": {6, 450 * ms, PollFailed, 9, 1, 0, 1350 * ms, 4050 * ms},
		"fast service":                   {6, 10 * ms, PollFailed, 1, 6 * time.Second, 0, 300 * ms, 300 * ms},
		"large fleet":                    {350, 5700 * time.Microsecond, PollFailed, 1, 6 * time.Second, 0, 997 * ms, 2995 * ms},
		"slow service, no time remains":  {6, 500 * ms, PollFailed, 1, 1, 0, 1500 * ms, 4500 * ms},
		"slower service":                 {6, time.Second, PollFailed, 1, 1, 0, 3 * time.Second, 4500 * ms},
		"migration after failures":       {6, 450 * ms, DiscoveryMigrated, 9, 4 * time.Second, 0, 2083 * ms, 2500 * ms},
		"failure after a migration":      {6, 450 * ms, PollFailed, 1, 2 * time.Second, 0, 1350 * ms, 1350 * ms},
		"poll that hung":                 {6, 500 * ms, PollFailed, 1, 1, 3 * time.Second, 1500 * ms, 1500 * ms},
		"hedged poll that hung":          {6, 500 * ms, PollFailed, 1, 1, 4500 * ms, 300 * ms, 300 * ms},
	} {
		for seed := range uint64(20) {
			s := testSettings()
			s.PollEndpoints = true
			s.MaxPollInterval = 10 * time.Second
			s.Agents = c.agents
			s.Rank = c.agents - 1
			h := newSeededHarness(t, s, seed, readyEndpoints(2)...)
			for range c.failures {
				h.handle(Event{Kind: EventDiscovery, Update: PollFailed, PollLatency: c.latency})
			}
			a := onlyAction(t, h.handle(Event{Kind: EventDiscovery, Update: c.update, Remaining: c.remaining, PollLatency: c.latency, PollElapsed: c.elapsed}), ActionSetTimer)
			if a.Delay < c.least || a.Delay > c.most {
				t.Errorf("%s, seed %d: got delay %v, want %v to %v", name, seed, a.Delay, c.least, c.most)
			}
		}
	}
}

// Guards against waiting for half a round or more after the third rejection in a row: an agent that a crowded service had
// rejected a few times polled again only seconds after its missed changes counted as notified. A service that goes on to
// reject polls may be down, so the polls are spread out again.
func TestPollsSoonAfterRejections(t *testing.T) {
	const agents, quick, latency, quarterRound = 6, 6, 450 * ms, 675 * ms
	for seed := range uint64(20) {
		s := testSettings()
		s.PollEndpoints, s.MaxPollInterval, s.Agents, s.Rank = true, 10*time.Second, agents, agents-1
		h := newSeededHarness(t, s, seed, readyEndpoints(2)...)
		h.handle(Event{Kind: EventDiscovery, Update: DiscoveryMigrated, Remaining: 4 * time.Second, PollLatency: latency})
		for n, remaining := range []time.Duration{1700 * ms, 1000 * ms, 300 * ms, 1, 1, 1, 1, 1} {
			a := onlyAction(t, h.handle(Event{Kind: EventDiscovery, Update: PollFailed, Outcome: OutcomeRejected, Remaining: remaining, PollLatency: latency}), ActionSetTimer)
			least, most := minPollInterval, quarterRound
			if n >= quick {
				least, most = 2*quarterRound, 6*quarterRound
			}
			if a.Delay < least || a.Delay > most {
				t.Errorf("seed %d, rejection %d, %v remaining: got delay %v, want %v to %v", seed, n+1, remaining, a.Delay, least, most)
			}
		}
	}
}

// Only the latest poll timer may trigger a poll: one set before a migration or a failure would trigger it too early.
func TestOnlyLatestPollTimerPolls(t *testing.T) {
	s := testSettings()
	s.PollEndpoints, s.MaxPollInterval = true, 10*time.Second
	h := newHarness(t, s, readyEndpoints(2)...)
	first := onlyAction(t, h.handle(Event{Kind: EventDiscovery, Update: DiscoveryMigrated, Remaining: 4 * time.Second}), ActionSetTimer)
	second := onlyAction(t, h.handle(Event{Kind: EventDiscovery, Update: PollFailed, Remaining: 3 * time.Second}), ActionSetTimer)
	noAction(t, h.handle(Event{Kind: EventTimer, TimerID: first.TimerID}), ActionPollEndpoints)
	onlyAction(t, h.handle(Event{Kind: EventTimer, TimerID: second.TimerID}), ActionPollEndpoints)
}
