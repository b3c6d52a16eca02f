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
	// changeAge is how long before a restart the oldest change was made that the platform may hold against the list
	// that the agents start from: it counts as notified in the moment of the start.
	changeAge = 6 * time.Second
	// startupPollWindow is the time in which all agents poll that start together.
	startupPollWindow = 3 * time.Second
	// readyTimeout is within what time nine in ten agents have to be ready.
	readyTimeout = 10 * time.Second
)

// Agents that start with an old list, one, a fifth or all of a fleet, serve by none that lacks a change which counts as
// notified, whenever the change was made, and the service is not asked for more than it can answer. A service that cannot
// answer all of them answers as many as it has time for, and the others, whom it rejects, serve by the list that they have.
func TestFleetRestarts(t *testing.T) {
	if testing.Short() {
		t.Skip("fleets of hundreds are played without the race detector")
	}
	const ms = time.Millisecond
	for _, c := range []struct {
		cost         time.Duration
		startEvery   int  // of how many agents one starts
		rejectsEarly bool // the service rejects what would wait too long as it comes
		canAnswerAll bool // it can answer all who start in time
	}{
		{5 * ms, restartFleet, true, true}, {25 * ms, restartFleet, true, true}, {50 * ms, restartFleet, true, true},
		{5 * ms, 5, true, true}, {25 * ms, 5, true, true}, {50 * ms, 5, true, true},
		{5 * ms, 1, true, true}, {25 * ms, 1, true, false}, {50 * ms, 1, true, false},
		{5 * ms, restartFleet, false, true}, {25 * ms, restartFleet, false, true}, {50 * ms, restartFleet, false, true},
		{5 * ms, 5, false, true}, {25 * ms, 5, false, true},
		{5 * ms, 1, false, true},
	} {
		started := restartFleet / c.startEvery
		t.Run(fmt.Sprintf("%d agents/%v a call/early %v", started, c.cost, c.rejectsEarly), func(t *testing.T) {
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
					begun := time.Now()
					all := startRanks(t, restartFleet, ranks, testSettingsWith(pollMode, `"mustAskIn":10000,"drainGrace":300,`),
						map[string]*service{"old": s}, listText(1, true, memberText("x", "10.0.0.1:80", "Ready", 1)), 0)
					time.Sleep(startupPollWindow + maxServiceWait)
					checkWork(t, s, all, c.canAnswerAll || changedBefore < 0)
					time.Sleep(20 * time.Second)
					checkRestart(t, all, begun, changed.Add(notifyBound), c.canAnswerAll)
				})
			}
		})
	}
}

// checkWork checks, when the start window and the time are over that a call may wait, that the service was asked for no
// more than it can do until then if that is enough for all agents, and has else answered as many as it could.
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
	possible := int(span/s.cost) * 9 / 10 // calls that come at random leave gaps
	switch {
	case checkLoadOnly && work > span+maxServiceWait:
		t.Errorf("the service is asked for %v of work within %v", work, span)
	case !checkLoadOnly && answered < possible:
		t.Errorf("%d agents are answered within %v, want %d", answered, span, possible)
	}
}

// checkRestart checks that agents are ready in time, and that none serves by an old list after a change counts as
// notified if the service can answer all.
func checkRestart(t *testing.T, all []*fleetAgent, begun, notified time.Time, canAnswerAll bool) {
	t.Helper()
	stale := 0
	ready := 0
	worst := time.Duration(0)
	for _, f := range all {
		serving, ok := f.RecordedAt(firstRoundEndedRecord)
		if ok && serving.Sub(begun) <= readyTimeout {
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
	t.Logf("%d of %d agents serve by an old list, up to %v after the change counted as notified", stale, len(all), worst)
	if stale > 0 && canAnswerAll {
		t.Errorf("%d of %d agents serve by an old list, up to %v after the change counted as notified", stale, len(all), worst)
	}
	if ready < len(all)*9/10 {
		t.Errorf("%d of %d agents are ready after %v", ready, len(all), readyTimeout)
	}
}

// An agent that starts while its service is down serves at once by the list that it has, and has the next one in time
// once the service can be reached.
func TestRestartInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(5 * time.Millisecond)
		s.setDown(true)
		s.change()
		begun := time.Now()
		all := startRanks(t, maxRaceFleet, []int{0, 1, 2, 3, 4, 5}, testSettingsWith(pollMode, `"mustAskIn":10000,"drainGrace":300,`),
			map[string]*service{"old": s}, listText(1, true, memberText("x", "10.0.0.1:80", "Ready", 1)), 0)
		time.Sleep(20 * time.Second)
		s.setDown(false)
		reachable := time.Now()
		time.Sleep(notifyBound + drainGrace)
		for i, f := range all {
			if serving, ok := f.RecordedAt(firstRoundEndedRecord); !ok || serving.Sub(begun) > startupPollWindow {
				t.Errorf("agent %d serves after %v", i, serving.Sub(begun))
			}
			if synced, ok := f.RecordedAt(2); !ok {
				t.Errorf("agent %d has no list %v after the outage", i, time.Since(reachable))
			} else if synced.Before(reachable) {
				t.Errorf("agent %d has the list in the outage", i)
			}
		}
	})
}

// A migration in the first round begins the round anew at the next target.
func TestMigrationInTheFirstRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent, next := newService(time.Millisecond), newService(time.Millisecond)
		silent.rejectsLate = true
		silent.setDown(true)
		next.change()
		f := startSynced(t, 1, testSettingsWith(pollMode, `"mustAskIn":10000,`), map[string]*service{"old": silent, "new": next})[0]
		time.Sleep(maxServiceWait / 2)
		f.migrations <- discovery.Target{Addr: "new"}
		time.Sleep(notifyBound)
		serving, ok := f.RecordedAt(firstRoundEndedRecord)
		synced, hasList := f.RecordedAt(2)
		if !ok || !hasList || serving.Before(synced) {
			t.Errorf("serves at %v (%v), has the list at %v (%v)", serving, ok, synced, hasList)
		}
	})
}
