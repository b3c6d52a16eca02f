package membership

import (
	"math"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
)

// startTimes converts the Unix times at which endpoints started to the agent's own time, which slow start uses. The two
// differ by the error of the wall clock when the agent started. The error is estimated from what the agent observes:
//
//   - An endpoint that first appears after an earlier list from discovery has started recently. The one that appeared
//     youngest on arrival is assumed to have started on arrival, and the others earlier by the difference in apparent
//     age. If the clock is right, they are assumed to be younger than they are by the time that discovery needs to
//     report a start.
//   - No endpoint starts in the future. If the latest start in the first list is later than now, the clock is behind by
//     at least the difference.
//
// A clock that was ahead when the agent started makes the endpoints of the first list look older than they are. This
// cannot be detected.
type startTimes struct {
	clock       func() time.Duration // returns the agent's time since 1970; nil: Unix times are not converted
	synced      bool                 // a list from discovery has been applied
	clockBehind time.Duration        // lower bound of the clock's error if it is behind
	youngestAge time.Duration        // minimum apparent age of new endpoints on arrival
	known       map[balancer.ServerID]startTime
}

// startTime is when an endpoint started, as reported by discovery and in the agent's time.
type startTime struct {
	unixMillis float64
	agentTime  time.Duration
}

func newStartTimes(clock func() time.Duration) startTimes {
	return startTimes{clock: clock, youngestAge: math.MaxInt64, known: map[balancer.ServerID]startTime{}}
}

// observe updates clockBehind. It must be called for each list before startTimeOf is called for its members.
func (s *startTimes) observe(members []discovery.Member) {
	if s.clock == nil || s.synced {
		return
	}
	now := s.clock()
	for _, m := range members {
		s.clockBehind = max(s.clockBehind, unixStart(m)-now)
	}
}

// startTimeOf returns when a member of the observed list started; 0 means long ago. It returns the same time for as
// long as discovery reports the same start.
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
