package discovery_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// silence is a time in which the way to discovery swallows what is sent.
type silence struct {
	agents int
	cost   time.Duration // of a call behind it
	span   time.Duration
	hangs  bool // connections come up and calls hang; else no connection comes up
}

func (c silence) String() string {
	return fmt.Sprintf("%d agents/%v a call/%v/hangs %v", c.agents, c.cost, c.span, c.hangs)
}

// lateness plays a fleet and returns when each agent receives the change that is made as the way opens, after that counts as notified.
func (c silence) lateness(t *testing.T, seed uint64) (by []time.Duration) {
	s := newService(c.cost)
	s.rejectsEarly = true
	s.keepsWatches = true
	s.failsTogether = true
	s.rejectionTime = 30 * time.Millisecond
	text := testSettingsWith(pollMode, `"mustAskIn":10000,"drainGrace":300,`)
	list := listText(1, true, memberText("x", "10.0.0.1:80", "Ready", 1))
	fleet := startFleet(t, c.agents, text, map[string]*service{"old": s}, list, seed)
	time.Sleep(10 * time.Second)
	s.setSilent(true, c.hangs)
	s.breakCalls(true)
	time.Sleep(c.span)
	s.setSilent(false, false)
	s.change()
	notified := time.Now().Add(notifiesIn)
	time.Sleep(notifiesIn + 20*time.Second)
	return latenessOf(fleet, notified)
}

// Each agent receives a change in time that is made when a silent way to discovery opens again: its polls are not so far apart that none
// can succeed within the bound.
func TestHearsAfterASilentWay(t *testing.T) {
	const ms = time.Millisecond
	seeds := uint64(20)
	for _, fleet := range []struct {
		agents int
		cost   time.Duration
	}{{3, 20 * ms}, {6, 20 * ms}, {6, 300 * ms}, {60, 20 * ms}} {
		if testing.Short() && fleet.agents > raceFleet {
			continue
		}
		for _, span := range []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second, 8 * time.Second, 15 * time.Second, 30 * time.Second} {
			for _, hangs := range []bool{false, true} {
				c := silence{agents: fleet.agents, cost: fleet.cost, span: span, hangs: hangs}
				t.Run(c.String(), func(t *testing.T) {
					late, worst := 0, time.Duration(0)
					for seed := range seeds {
						synctest.Test(t, func(t *testing.T) {
							for _, by := range c.lateness(t, seed) {
								if by > drainGrace {
									late++
									worst = max(worst, by)
								}
							}
						})
					}
					if late > 0 {
						t.Errorf("%d of %d agents receive the change too late, up to %v after it counted as notified", late, c.agents*int(seeds), worst)
					}
				})
			}
		}
	}
}

// A service that was quick and can now not answer all agents within the bound is not jammed by them either: until they have an answer they
// cannot tell it from one that is silent.
func TestServiceThatBecameSlowIsNotJammed(t *testing.T) {
	const (
		idleCost = time.Millisecond
		patience = 2 * time.Minute
	)
	agents := 60
	if testing.Short() {
		agents = raceFleet
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
				time.Sleep(patience)
				late := 0
				for _, f := range all {
					if _, ok := f.RecordedAt(2); !ok {
						late++
					}
				}
				if late > 0 {
					t.Errorf("%d of %d agents do not receive the change in %v", late, agents, patience)
				}
			})
		})
	}
}
