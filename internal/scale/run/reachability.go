package run

import (
	"time"

	"example.org/ryeloft/internal/scale/result"
)

// span is a time in which an agent could not hear of anything: it was down or cut off, or control was.
type span struct{ from, to int64 } // unix ns

// never ends a span that the run has not ended.
const never = int64(1<<63 - 1)

// reach keeps, by agent, when it could not be told of anything. A change counts for an agent from when it could be told: what
// a cut hides is the cut's length, which is the scenario's, not a role's.
type reach struct {
	spans [][]span
	open  [][]int64 // by agent, the beginnings of what lasts; spans may lie over each other
}

func newReach(agents int) *reach {
	return &reach{spans: make([][]span, agents), open: make([][]int64, agents)}
}

// lose begins a span for some agents.
func (r *reach) lose(agents []int, at time.Time) {
	for _, a := range agents {
		r.open[a] = append(r.open[a], at.UnixNano())
	}
}

// regain ends the latest span of each of some agents.
func (r *reach) regain(agents []int, at time.Time) {
	for _, a := range agents {
		n := len(r.open[a])
		if n == 0 {
			continue
		}
		r.spans[a] = append(r.spans[a], span{r.open[a][n-1], at.UnixNano()})
		r.open[a] = r.open[a][:n-1]
	}
}

// from is when an agent could first be told of what was made at a time; never, where it could not until the end.
func (r *reach) from(agent int, at int64) int64 {
	for moved := true; moved; {
		moved = false
		for _, s := range r.spans[agent] {
			if s.from <= at && at < s.to {
				at, moved = s.to, true
			}
		}
	}
	for _, open := range r.open[agent] {
		if open <= at {
			return never
		}
	}
	return at
}

// told is a change and when each agent had it; 0: it had not.
type told struct {
	at   int64
	had  []int64
	sort string // for people
}

// tally sums up when some agents had some changes, in ms. Unheard are pairs that had not come when the run ended, of those
// whose time, due after the agent could be told, was over then.
func tally(changes []told, agents []int, r *reach, end int64, due time.Duration) (d result.Dist, unheard int) {
	h := result.NewHist(longestMS)
	for _, c := range changes {
		for _, a := range agents {
			from := r.from(a, c.at)
			switch had := at(c.had, a); {
			case had != 0:
				h.AddDuration(time.Duration(max(0, had-min(from, had))))
			case from != never && end-from > int64(due):
				unheard++
			}
		}
	}
	return h.Dist(), unheard
}

// longestMS is the longest time that is told apart.
const longestMS = 1e6

// at is the figure of an agent, 0 where there is none.
func at(all []int64, agent int) int64 {
	if agent >= len(all) {
		return 0
	}
	return all[agent]
}
