package discovery_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
)

// blackhole is a time in which the path to discovery drops everything that is sent.
type blackhole struct {
	agents int
	cost   time.Duration // of a call after it
	span   time.Duration
	hangs  bool // connections are established and calls hang; else no connection is established
}

// lateness simulates a fleet, makes a change at the end of the blackhole, and returns how long after the change counts
// as notified each agent receives it.
func (c blackhole) lateness(t *testing.T, seed uint64) (lateness []time.Duration) {
	s := newServiceLikeOperators(c.cost)
	text := testSettingsWith(pollMode, `"mustAskIn":10000,"drainGrace":300,`)
	list := listText(1, true, memberText("x", "10.0.0.1:80", "Ready", 1))
	fleet := startFleet(t, c.agents, text, map[string]*service{"old": s}, list, seed)
	time.Sleep(10 * time.Second)
	s.setUnresponsive(true, c.hangs)
	s.breakCalls(true)
	time.Sleep(c.span)
	s.setUnresponsive(false, false)
	s.change()
	notified := time.Now().Add(notifyBound)
	time.Sleep(notifyBound + 20*time.Second)
	return latenessOf(fleet, notified)
}

// Each agent must receive in time a change that is made when the path to discovery recovers from a blackhole. An agent
// whose polls are too far apart makes none that succeeds within the bound.
func TestChangesArriveAfterBlackhole(t *testing.T) {
	for name, hangs := range map[string]bool{"no connection": false, "calls hang": true} {
		t.Run(name, func(t *testing.T) {
			for _, seconds := range []time.Duration{2, 4, 6, 8, 15, 30} {
				span := seconds * time.Second
				t.Run(span.String(), func(t *testing.T) { changesArriveAfterBlackhole(t, span, hangs) })
			}
		})
	}
}

// changesArriveAfterBlackhole simulates fleets of several sizes, each with many seeds.
func changesArriveAfterBlackhole(t *testing.T, span time.Duration, hangs bool) {
	const (
		ms    = time.Millisecond
		seeds = 20
	)
	for _, fleet := range []blackhole{
		{agents: 3, cost: 20 * ms}, {agents: 6, cost: 20 * ms}, {agents: 6, cost: 300 * ms}, {agents: 60, cost: 20 * ms},
	} {
		if testing.Short() && fleet.agents > maxRaceFleet {
			continue
		}
		fleet.span = span
		fleet.hangs = hangs
		t.Run(fmt.Sprintf("%d agents, %v a call", fleet.agents, fleet.cost), func(t *testing.T) {
			expectInTime(t, seeds, fleet.lateness)
		})
	}
}

// A service that was fast and can no longer answer all agents within the bound must not be overloaded permanently by
// them. Until they get a response, they cannot tell it from an unresponsive service.
func TestServiceThatBecameSlowAnswersAllAgents(t *testing.T) {
	const (
		idleCost = time.Millisecond
		timeout  = 2 * time.Minute
	)
	agents := 60
	if testing.Short() {
		agents = maxRaceFleet
	}
	for _, round := range []time.Duration{3 * time.Second, 4500 * time.Millisecond, 6 * time.Second} {
		t.Run(round.String(), func(t *testing.T) {
			text := testSettingsWith(pollMode, `"mustAskIn":10000,`)
			synctest.Test(t, func(t *testing.T) {
				s := newService(idleCost)
				all := startSynced(t, agents, text, map[string]*service{"old": s})
				time.Sleep(time.Minute)
				s.setCost(round / time.Duration(agents))
				s.breakCalls(true)
				s.change()
				time.Sleep(timeout)
				late := 0
				for _, f := range all {
					if _, ok := f.RecordedAt(2); !ok {
						late++
					}
				}
				if late > 0 {
					t.Errorf("%d of %d agents do not receive the change in %v", late, agents, timeout)
				}
			})
		})
	}
}

// After a migration from a service that has just begun to hang, each agent must get the list of the new service within
// the bound of the migration, which counts from the reload and not from the end of the poll in flight.
func TestMigrationFromAServiceThatHangs(t *testing.T) {
	const seeds = 10
	text := testSettingsWith(pollMode, `"mustAskIn":10000,"drainGrace":300,`)
	list := listText(1, true, memberText("x", "10.0.0.1:80", "Ready", 1))
	for _, agents := range []int{1, 6, 60} {
		if testing.Short() && agents > maxRaceFleet {
			continue
		}
		for _, hangTime := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 10 * time.Second} {
			t.Run(fmt.Sprintf("%d agents/%v", agents, hangTime), func(t *testing.T) {
				expectInTime(t, seeds, func(t *testing.T, seed uint64) []time.Duration {
					old, next := newService(time.Millisecond), newService(min(300*time.Millisecond, 2*time.Second/time.Duration(agents)))
					next.change()
					fleet := startFleet(t, agents, text, map[string]*service{"old": old, "new": next}, list, seed)
					time.Sleep(10 * time.Second)
					old.setUnresponsive(true, true)
					old.breakCalls(false)
					time.Sleep(hangTime)
					notified := time.Now().Add(balancer.NotifyBoundAfterMigration)
					for _, f := range fleet {
						go func() { f.migrations <- discovery.Target{Addr: "new"} }()
					}
					time.Sleep(20 * time.Second)
					return latenessOf(fleet, notified)
				})
			})
		}
	}
}
