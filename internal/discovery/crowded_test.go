package discovery_test

import (
	"fmt"
	"testing"
	"time"
)

// slowRecovery is an outage after which the service is slower than before. Calls are rejected immediately, as in
// incident-6221, and a rejection ends the other calls of its agent.
type slowRecovery struct {
	agents      int
	cost        time.Duration // of a call after the outage
	outage      time.Duration
	changeDelay time.Duration // from the end of the outage to the change
	maxWait     time.Duration // maxWait of the service
}

func (c slowRecovery) String() string {
	return fmt.Sprintf("%d agents/%v a call/%v down/changed after %v/waits %v", c.agents, c.cost, c.outage, c.changeDelay, c.maxWait)
}

// lateness simulates a fleet and returns how long after the change counts as notified each agent receives it.
func (c slowRecovery) lateness(t *testing.T, seed uint64) (lateness []time.Duration) {
	const idleCost = time.Millisecond
	s := newServiceLikeOperators(idleCost)
	s.maxWait = c.maxWait
	text := testSettingsWith(pollMode, `"mustAskIn":10000,"drainGrace":300,`)
	list := listText(1, true, memberText("x", "10.0.0.1:80", "Ready", 1))
	fleet := startFleet(t, c.agents, text, map[string]*service{"old": s}, list, seed)
	time.Sleep(10 * time.Second)
	s.rejectFor(c.outage)
	s.breakCalls(false)
	time.Sleep(c.outage)
	s.setCost(c.cost)
	time.Sleep(c.changeDelay)
	s.change()
	notified := time.Now().Add(notifyBound)
	time.Sleep(notifyBound + 20*time.Second)
	return latenessOf(fleet, notified)
}

// After an outage the deadline of all agents has passed, and the slow service immediately rejects calls that would wait
// too long. An agent's own hedge must not end a poll that the service has accepted. In incident-6221 four agents
// received nothing for 19 s.
func TestAgentsPastDeadlineAreAnsweredByOverloadedService(t *testing.T) {
	const ms = time.Millisecond
	seeds := uint64(20)
	if testing.Short() {
		seeds = 4
	}
	for _, c := range []slowRecovery{
		{agents: 6, cost: 300 * ms, outage: 7 * time.Second, maxWait: maxServiceWait},
		{agents: 6, cost: 500 * ms, outage: 7 * time.Second, maxWait: maxServiceWait},
		{agents: 30, cost: 100 * ms, outage: 7 * time.Second, maxWait: maxServiceWait},
		{agents: 60, cost: 50 * ms, outage: 7 * time.Second, maxWait: maxServiceWait},
		{agents: 30, cost: 100 * ms, outage: 30 * time.Second, maxWait: maxServiceWait},
		// The service needs changeDelay for one call per agent.
		{agents: 32, cost: 200 * ms, outage: 7 * time.Second, changeDelay: 6400 * ms, maxWait: maxServiceWait},
		{agents: 44, cost: 200 * ms, outage: 7 * time.Second, changeDelay: 8800 * ms, maxWait: maxServiceWait},
		{agents: 6, cost: 300 * ms, outage: 7 * time.Second, maxWait: 2500 * ms},
		{agents: 30, cost: 100 * ms, outage: 7 * time.Second, maxWait: 2500 * ms},
		{agents: 44, cost: 200 * ms, outage: 7 * time.Second, changeDelay: 8800 * ms, maxWait: 2500 * ms},
	} {
		if testing.Short() && c.agents > maxRaceFleet {
			continue
		}
		t.Run(c.String(), func(t *testing.T) { expectInTime(t, seeds, c.lateness) })
	}
}
