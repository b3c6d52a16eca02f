package membership

import (
	"math"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
)

// startTimes converts the Unix times at which endpoints started into the agent's own time, by which slow start counts. The two differ
// by whatever the wall clock was wrong by when the agent started, so that is estimated from what the agent observes itself:
//
//   - an endpoint that is new in a list, behind an earlier list from discovery, has started lately. The one that looked youngest as it
//     came is taken to have started as it came, and the others by how much older they looked. With a right clock they are
//     taken for younger than they are by as long as discovery needs to report a start.
//   - none starts later than now: the clock is behind by as much as the latest start in the first list says.
//
// A clock that was ahead at the agent's start makes endpoints of its first list look older than they are; nothing shows that.
type startTimes struct {
	clock       func() time.Duration // the agent's time, since 1970; nil: Unix times are taken as they are
	synced      bool                 // a list has come from discovery
	clockBehind time.Duration        // at least
	youngestAge time.Duration        // of new endpoints, as they came
	known       map[balancer.ServerID]startTime
}

// startTime is when an endpoint started, as discovery reports it and in the agent's time.
type startTime struct {
	unixMillis float64
	agentTime  time.Duration
}

func newStartTimes(clock func() time.Duration) startTimes {
	return startTimes{clock: clock, youngestAge: math.MaxInt64, known: map[balancer.ServerID]startTime{}}
}

// observe is called for each list, before the start times of its members are asked for.
func (s *startTimes) observe(members []discovery.Member) {
	if s.clock == nil || s.synced {
		return
	}
	now := s.clock()
	for _, m := range members {
		s.clockBehind = max(s.clockBehind, unixStart(m)-now)
	}
}

// startTimeOf is when a member startTimeOf that list started, 0 for long ago. It stays the same for as long as discovery reports the same.
func (s *startTimes) startTimeOf(id balancer.ServerID, m discovery.Member) time.Duration {
	if m.StartedAtMillis == 0 || s.clock == nil {
		return unixStart(m)
	}
	if known, ok := s.known[id]; ok && known.unixMillis == m.StartedAtMillis {
		return known.agentTime
	}
	start := unixStart(m) - s.clockBehind
	now := s.clock()
	if s.synced {
		s.youngestAge = min(s.youngestAge, now-start)
		start += s.youngestAge
	}
	start = min(start, now)
	s.known[id] = startTime{unixMillis: m.StartedAtMillis, agentTime: start}
	return start
}

func (s *startTimes) remove(id balancer.ServerID) { delete(s.known, id) }

func unixStart(m discovery.Member) time.Duration {
	return time.Duration(math.Round(m.StartedAtMillis * float64(time.Millisecond)))
}
