package run

import (
	"time"

	"example.org/ryeloft/internal/scale/result"
)

// outage is a time in which an agent could not hear of anything: it was down or cut off, or control was.
type outage struct{ from, to int64 } // unix ns

// never ends a span that the run has not ended.
const never = int64(1<<63 - 1)

// reachability keeps, by agent, when it could not be told of anything. A change counts for an agent from when it could be told: what
// a cut hides is the cut's length, which is the scenario's, not a role's.
type reachability struct {
	outages [][]outage
	ongoing [][]int64 // by agent, the beginnings of what lasts; spans may lie over each other
}

func newReachability(agents int) *reachability {
	return &reachability{outages: make([][]outage, agents), ongoing: make([][]int64, agents)}
}

// lose begins a span for some agents.
func (r *reachability) lose(agents []int, at time.Time) {
	for _, a := range agents {
		r.ongoing[a] = append(r.ongoing[a], at.UnixNano())
	}
}

// regain ends the latest span of each of some agents.
func (r *reachability) regain(agents []int, at time.Time) {
	for _, a := range agents {
		n := len(r.ongoing[a])
		if n == 0 {
			continue
		}
		r.outages[a] = append(r.outages[a], outage{r.ongoing[a][n-1], at.UnixNano()})
		r.ongoing[a] = r.ongoing[a][:n-1]
	}
}

// reachableFrom is when an agent could first be told of what was made at a time; never, where it could not until the end.
func (r *reachability) reachableFrom(agent int, at int64) int64 {
	for moved := true; moved; {
		moved = false
		for _, s := range r.outages[agent] {
			if s.from <= at && at < s.to {
				at, moved = s.to, true
			}
		}
	}
	for _, open := range r.ongoing[agent] {
		if open <= at {
			return never
		}
	}
	return at
}

// delivery is a change and when each agent had it; 0: it had not.
type delivery struct {
	madeAt     int64
	receivedAt []int64
	sort       string // for people
}

// summarizeDeliveries sums up when some agents had some changes, in ms. Unheard are pairs that had not come when the run ended, of those
// whose time, due after the agent could be told, was over then.
func summarizeDeliveries(changes []delivery, agents []int, r *reachability, end int64, due time.Duration) (d result.Distribution, unheard int) {
	h := result.NewHistogram(maxMillis)
	for _, c := range changes {
		for _, a := range agents {
			from := r.reachableFrom(a, c.madeAt)
			switch had := timeAt(c.receivedAt, a); {
			case had != 0:
				h.AddDuration(time.Duration(max(0, had-min(from, had))))
			case from != never && end-from > int64(due):
				unheard++
			}
		}
	}
	return h.Distribution(), unheard
}

// maxMillis is the longest time that is told apart.
const maxMillis = 1e6

// timeAt is the figure of an agent, 0 where there is none.
func timeAt(all []int64, agent int) int64 {
	if agent >= len(all) {
		return 0
	}
	return all[agent]
}
