package discovery_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ryeloft/internal/discovery"
)

const (
	restartFleet = 350
	// changeAge is the age, at a restart, of the oldest change that the agents' list lacks. The change counts as
	// notified at the moment of the start.
	changeAge = 6 * time.Second
	// startupPollWindow is the time within which all agents that start together poll.
	startupPollWindow = 3 * time.Second
	// readyTimeout is the time within which nine in ten agents must be ready.
	readyTimeout = 10 * time.Second
)

// Agents that start with an old list (one, a fifth or all of a fleet) must not serve with a list that lacks a change
// that counts as notified, whenever the change was made, and must not overload the service. A service that cannot
// answer all of them must answer as many as it has time for; the others, whose calls it rejects, serve with the old
// list.
func TestFleetRestarts(t *testing.T) {
	if testing.Short() {
		t.Skip("fleets of hundreds run without the race detector")
	}
	const ms = time.Millisecond
	for _, c := range []struct {
		cost         time.Duration
		startEvery   int  // every startEvery-th agent of the fleet starts
		rejectsEarly bool // the service rejects calls that would wait too long on arrival
		canAnswerAll bool // the service can answer all starting agents in time
	}{
		{5 * ms, restartFleet, true, true}, {25 * ms, restartFleet, true, true}, {50 * ms, restartFleet, true, true},
		{5 * ms, 5, true, true}, {25 * ms, 5, true, true}, {50 * ms, 5, true, true},
		{5 * ms, 1, true, true}, {25 * ms, 1, true, false}, {50 * ms, 1, true, false},
		{5 * ms, restartFleet, false, true}, {25 * ms, restartFleet, false, true}, {50 * ms, restartFleet, false, true},
		{5 * ms, 5, false, true}, {25 * ms, 5, false, true},
		{5 * ms, 1, false, true},
	} {
		started := restartFleet / c.startEvery
		t.Run(fmt.Sprintf("%d agents/%v a call/rejects early %v", started, c.cost, c.rejectsEarly), func(t *testing.T) {
			for _, changedBefore := range []time.Duration{-2 * time.Second, -500 * ms, 0, ms, time.Second, 3 * time.Second, 5 * time.Second, changeAge} {
				synctest.Test(t, func(t *testing.T) {
					s := newService(c.cost)
					s.rejectsEarly = c.rejectsEarly
					changed := time.Now().Add(max(0, -changedBefore))
					time.AfterFunc(time.Until(changed), s.change)
					time.Sleep(max(0, changedBefore))
					ranks := make([]int, started)
					for i := range ranks {
						ranks[i] = i * c.startEvery
					}
					start := time.Now()
					all := startRanks(t, restartFleet, ranks, testSettingsWith(pollMode, `"mustAskIn":10000,"drainGrace":300,`),
						map[string]*service{"old": s}, listText(1, true, memberText("x", "10.0.0.1:80", "Ready", 1)), 0)
					time.Sleep(startupPollWindow + maxServiceWait)
					checkWork(t, s, all, c.canAnswerAll || changedBefore < 0)
					time.Sleep(20 * time.Second)
					checkRestart(t, all, start, changed.Add(notifyBound), c.canAnswerAll)
				})
			}
		})
	}
}

// checkWork is called startupPollWindow and maxServiceWait after the start. If checkLoadOnly is set, it checks that the
// service got no more work than it can do within that time and another maxServiceWait; otherwise, that as many agents
// as possible have received revision 2.
func checkWork(t *testing.T, s *service, all []*fleetAgent, checkLoadOnly bool) {
	t.Helper()
	answered := 0
	for _, f := range all {
		if _, ok := f.RecordedAt(2); ok {
			answered++
		}
	}
	span := startupPollWindow + maxServiceWait
	work := time.Duration(s.workCount()) * s.cost
	possible := int(span/s.cost) * 9 / 10 // calls at random times leave gaps
	switch {
	case checkLoadOnly && work > span+maxServiceWait:
		t.Errorf("the service got %v of work within %v, want at most %v", work, span, span+maxServiceWait)
	case !checkLoadOnly && answered < possible:
		t.Errorf("%d agents got a response within %v, want at least %d", answered, span, possible)
	}
}

// checkRestart checks that agents are ready in time and, if the service can answer all, that none serves with an old
// list after the change counts as notified.
func checkRestart(t *testing.T, all []*fleetAgent, start, notified time.Time, canAnswerAll bool) {
	t.Helper()
	stale := 0
	ready := 0
	worst := time.Duration(0)
	for _, f := range all {
		serving, ok := f.RecordedAt(firstRoundEndedRecord)
		if ok && serving.Sub(start) <= readyTimeout {
			ready++
		}
		synced, ok := f.RecordedAt(2)
		if !ok {
			synced = time.Now()
		}
		if late := synced.Sub(notified); late > drainGrace && serving.Before(synced) {
			stale++
			worst = max(worst, late)
		}
	}
	t.Logf("%d of %d agents serve with an old list, up to %v after the change counted as notified", stale, len(all), worst)
	if stale > 0 && canAnswerAll {
		t.Errorf("%d of %d agents serve with an old list, up to %v after the change counted as notified", stale, len(all), worst)
	}
	if ready < len(all)*9/10 {
		t.Errorf("%d of %d agents are ready after %v, want %d", ready, len(all), readyTimeout, len(all)*9/10)
	}
}

// An agent that starts while the service is down must serve immediately with the list that it holds, and must receive
// the next one in time once the service is reachable.
func TestRestartInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(5 * time.Millisecond)
		s.setDown(true)
		s.change()
		start := time.Now()
		all := startRanks(t, maxRaceFleet, []int{0, 1, 2, 3, 4, 5}, testSettingsWith(pollMode, `"mustAskIn":10000,"drainGrace":300,`),
			map[string]*service{"old": s}, listText(1, true, memberText("x", "10.0.0.1:80", "Ready", 1)), 0)
		time.Sleep(20 * time.Second)
		s.setDown(false)
		reachable := time.Now()
		time.Sleep(notifyBound + drainGrace)
		for i, f := range all {
			if serving, ok := f.RecordedAt(firstRoundEndedRecord); !ok || serving.Sub(start) > startupPollWindow {
				t.Errorf("agent %d serves after %v (%v), want at most %v", i, serving.Sub(start), ok, startupPollWindow)
			}
			if synced, ok := f.RecordedAt(2); !ok {
				t.Errorf("agent %d has no new list %v after the outage", i, time.Since(reachable))
			} else if synced.Before(reachable) {
				t.Errorf("agent %d received the new list during the outage", i)
			}
		}
	})
}

// A migration during the first round must restart the round at the new target.
func TestMigrationInTheFirstRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, next := newService(time.Millisecond), newService(time.Millisecond)
		old.rejectsLate = true
		old.setDown(true)
		next.change()
		f := startSynced(t, 1, testSettingsWith(pollMode, `"mustAskIn":10000,`), map[string]*service{"old": old, "new": next})[0]
		time.Sleep(maxServiceWait / 2)
		f.migrations <- discovery.Target{Addr: "new"}
		time.Sleep(notifyBound)
		serving, ok := f.RecordedAt(firstRoundEndedRecord)
		synced, hasList := f.RecordedAt(2)
		if !ok || !hasList || serving.Before(synced) {
			t.Errorf("serves at %v (%v), has the list at %v (%v), want it to serve after it has the list", serving, ok, synced, hasList)
		}
	})
}
