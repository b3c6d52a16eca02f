package balancer

import (
	"testing"
	"time"
)

func TestFailedPollKeepsServersAndBacksOff(t *testing.T) {
	s := testSettings()
	s.PollEndpoints = true
	s.MaxPollInterval = 10 * time.Second
	s.Agents = 4
	s.Rank = 2
	h := newHarness(t, s)
	first := onlyAction(t, h.handle(Event{Kind: EventDiscovery, Update: EndpointsCached, Endpoints: readyEndpoints(2)}), ActionSetTimer)
	if first.Delay < 600*ms || first.Delay > 900*ms {
		t.Errorf("rank 2 of 4 polls after %v, want its turn of 0.3 s", first.Delay)
	}
	onlyAction(t, h.handle(Event{Kind: EventTimer, TimerID: first.TimerID}), ActionPollEndpoints)
	last := time.Duration(0)
	for failures := range 4 {
		a := onlyAction(t, h.handle(Event{Kind: EventDiscovery, Update: PollFailed}), ActionSetTimer)
		if failures == 0 && a.Delay > 1500*ms {
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
	onlyAction(t, h.request(1, idempotent), ActionSend)
}

// The agents of a fleet that start together poll in turn within startPollWindow, which leaves them time to be ready.
func TestFirstPollsOfAFleetComeInTurn(t *testing.T) {
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
				t.Errorf("rank %d of %d polls after %v, the one before after %v", rank, agents, a.Delay, last)
			}
			last = a.Delay
		}
	}
}

// The next poll leaves time for its answer, and for another poll, before the agent counts as notified of what it missed.
// Without such a bound agents poll in turn, and then less and less often, but within MaxPollInterval.
func TestPollsWithinRemainingTime(t *testing.T) {
	for _, maxPollInterval := range []time.Duration{time.Second, 10 * time.Second, time.Minute} {
		for _, agents := range []int{1, 6, 350} {
			s := testSettings()
			s.PollEndpoints = true
			s.MaxPollInterval = maxPollInterval
			s.Agents = agents
			s.Rank = agents - 1
			for _, c := range []struct {
				before      int // failures in a row
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
				for range c.before {
					h.handle(Event{Kind: EventDiscovery, Update: PollFailed})
				}
				a := onlyAction(t, h.handle(Event{Kind: EventDiscovery, Update: PollFailed, Remaining: c.remaining}), ActionSetTimer)
				if a.Delay < c.least || a.Delay > c.most {
					t.Errorf("%d agents, %v: %d failures and %v left: waits %v, want %v to %v", agents, maxPollInterval, c.before+1,
						c.remaining, a.Delay, c.least, c.most)
				}
			}
		}
	}
}

// Where the latency of discovery is known, further polls come at a rate that it can answer: each agent one in half of a
// round to one and a half, sooner while there is time for one more, and within the bound at the latest. After a migration
// the agents poll in turn again.
func TestPollsArePacedByLatency(t *testing.T) {
	for name, c := range map[string]struct {
		agents      int
		answer      time.Duration
		mode        DiscoveryUpdate
		before      int // failures in a row
		remaining   time.Duration
		elapsed     time.Duration // since the failed poll began
		least, most time.Duration
	}{
		"the first failure":              {6, 450 * ms, PollFailed, 0, 6 * time.Second, 0, 2250 * ms, 2700 * ms}, // the last of 6 turns
		"a further one":                  {6, 450 * ms, PollFailed, 1, 6 * time.Second, 0, 1350 * ms, 2550 * ms},
		"little time left":               {6, 450 * ms, PollFailed, 1, 1500 * ms, 0, 1350 * ms, 1350 * ms},
		"no time left":                   {6, 450 * ms, PollFailed, 1, 1, 0, 1350 * ms, 4050 * ms},
		"many, no time left":             {6, 450 * ms, PollFailed, 9, 1, 0, 1350 * ms, 4050 * ms},
		"a quick service":                {6, 10 * ms, PollFailed, 1, 6 * time.Second, 0, 300 * ms, 300 * ms},
		"a large fleet":                  {350, 5700 * time.Microsecond, PollFailed, 1, 6 * time.Second, 0, 997 * ms, 2995 * ms},
		"a slow service, no time left":   {6, 500 * ms, PollFailed, 1, 1, 0, 1500 * ms, 4500 * ms},
		"a slower one is given the time": {6, time.Second, PollFailed, 1, 1, 0, 3 * time.Second, 4500 * ms},
		"a migration after failures":     {6, 450 * ms, DiscoveryMigrated, 9, 4 * time.Second, 0, 2083 * ms, 2500 * ms},
		"a failure after a migration":    {6, 450 * ms, PollFailed, 1, 2 * time.Second, 0, 1350 * ms, 1350 * ms},
		"a poll that hung":               {6, 500 * ms, PollFailed, 1, 1, 3 * time.Second, 1500 * ms, 1500 * ms},
		"a hedged poll that hung":        {6, 500 * ms, PollFailed, 1, 1, 4500 * ms, 300 * ms, 300 * ms},
	} {
		for seed := range uint64(20) {
			s := testSettings()
			s.PollEndpoints = true
			s.MaxPollInterval = 10 * time.Second
			s.Agents = c.agents
			s.Rank = c.agents - 1
			h := newSeededHarness(t, s, seed, readyEndpoints(2)...)
			for range c.before {
				h.handle(Event{Kind: EventDiscovery, Update: PollFailed, PollLatency: c.answer})
			}
			a := onlyAction(t, h.handle(Event{Kind: EventDiscovery, Update: c.mode, Remaining: c.remaining, PollLatency: c.answer, PollElapsed: c.elapsed}), ActionSetTimer)
			if a.Delay < c.least || a.Delay > c.most {
				t.Errorf("%s, seed %d: waits %v, want %v to %v", name, seed, a.Delay, c.least, c.most)
			}
		}
	}
}

// Only the latest poll timer counts: one set before a migration or a failure would have the agent poll too soon.
func TestLatestPollTimerCounts(t *testing.T) {
	s := testSettings()
	s.PollEndpoints, s.MaxPollInterval = true, 10*time.Second
	h := newHarness(t, s, readyEndpoints(2)...)
	first := onlyAction(t, h.handle(Event{Kind: EventDiscovery, Update: DiscoveryMigrated, Remaining: 4 * time.Second}), ActionSetTimer)
	second := onlyAction(t, h.handle(Event{Kind: EventDiscovery, Update: PollFailed, Remaining: 3 * time.Second}), ActionSetTimer)
	noAction(t, h.handle(Event{Kind: EventTimer, TimerID: first.TimerID}), ActionPollEndpoints)
	onlyAction(t, h.handle(Event{Kind: EventTimer, TimerID: second.TimerID}), ActionPollEndpoints)
}
