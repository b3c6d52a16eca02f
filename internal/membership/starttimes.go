package membership

import (
	"math"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
)

// starts turns the Unix times at which backends started into the agent's own time, by which it sends a cold one no more than it
// bears. The two differ by whatever the wall clock was wrong by when the agent started, so that is estimated from what the
// agent sees itself:
//
//   - a backend that is new in a list, behind an earlier list from discovery, has started lately. The one that looked youngest as it
//     came is taken to have started as it came, and the others by how much older they looked. With a right clock they are
//     taken for younger than they are by as long as discovery needs to tell of a start.
//   - none starts later than now: the clock is behind by as much as the latest start in the first list says.
//
// A clock that was ahead at the agent's start makes backends of its first list look older than they are; nothing tells.
type starts struct {
	clock    func() time.Duration // the agent's time, since 1970; nil: Unix times are taken as they are
	followed bool                 // a list has come from discovery
	behind   time.Duration        // that the clock is, at least
	youngest time.Duration        // that a new backend looked as it came
	known    map[balancer.ServerID]started
}

// started is when a backend started, as discovery says and in the agent's time.
type started struct {
	upSince float64 // Unix time in milliseconds
	at      time.Duration
}

func newStarts(clock func() time.Duration) starts {
	return starts{clock: clock, youngest: math.MaxInt64, known: map[balancer.ServerID]started{}}
}

// see takes in a list, before the members of it are asked for.
func (s *starts) see(members []discovery.Member) {
	if s.clock == nil || s.followed {
		return
	}
	now := s.clock()
	for _, m := range members {
		s.behind = max(s.behind, unix(m)-now)
	}
}

// of is when a member of that list started, 0 for long ago. It stays the same for as long as discovery says the same.
func (s *starts) of(id balancer.ServerID, m discovery.Member) time.Duration {
	if m.StartedAtMillis == 0 || s.clock == nil {
		return unix(m)
	}
	if k, ok := s.known[id]; ok && k.upSince == m.StartedAtMillis {
		return k.at
	}
	at, now := unix(m)-s.behind, s.clock()
	if s.followed {
		s.youngest = min(s.youngest, now-at)
		at += s.youngest
	}
	at = min(at, now)
	s.known[id] = started{m.StartedAtMillis, at}
	return at
}

func unix(m discovery.Member) time.Duration {
	return time.Duration(math.Round(m.StartedAtMillis * float64(time.Millisecond)))
}
