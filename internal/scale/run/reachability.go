package run

import (
	"math"
	"time"

	"example.org/ryeloft/internal/scale/result"
)

// outage is a time, in Unix ns, in which an agent could not be notified: it was down or partitioned, or control was.
type outage struct{ from, to int64 }

// never is the end of an outage that the run did not end.
const never = int64(math.MaxInt64)

// reachability keeps, by agent, when it could not be notified of anything. The time of a delivery counts from when the
// agent could be notified: how long a partition lasts is the scenario's choice and no cost of a role.
type reachability struct {
	outages [][]outage
	ongoing [][]int64 // by agent, the beginnings of outages that last; outages may overlap
}

func newReachability(agents int) *reachability {
	return &reachability{outages: make([][]outage, agents), ongoing: make([][]int64, agents)}
}

// beginOutage begins an outage for some agents.
func (r *reachability) beginOutage(agents []int, at time.Time) {
	for _, a := range agents {
		r.ongoing[a] = append(r.ongoing[a], at.UnixNano())
	}
}

// endOutage ends the latest outage of each of some agents.
func (r *reachability) endOutage(agents []int, at time.Time) {
	for _, a := range agents {
		last := len(r.ongoing[a]) - 1
		if last < 0 {
			continue
		}
		r.outages[a] = append(r.outages[a], outage{r.ongoing[a][last], at.UnixNano()})
		r.ongoing[a] = r.ongoing[a][:last]
	}
}

// reachableFrom is when an agent could first be notified of what was made at a time; never, where it could not be.
func (r *reachability) reachableFrom(agent int, at int64) int64 {
	for advanced := true; advanced; {
		advanced = false
		for _, o := range r.outages[agent] {
			if o.from <= at && at < o.to {
				at = o.to
				advanced = true
			}
		}
	}
	for _, from := range r.ongoing[agent] {
		if from <= at {
			return never
		}
	}
	return at
}

// delivery is when a change was made and when each agent had it, in Unix ns; 0: it had not.
type delivery struct {
	publishedAt int64
	receivedAt  []int64
}

// maxMillis bounds the times that are distinguished.
const maxMillis = 1e6

// summarizeDeliveries sums up when some agents had some changes, in ms. Undelivered are the pairs of an agent and a change
// that had not come within the timeout, counted from when the agent could be notified, by the end of the run.
func summarizeDeliveries(changes []delivery, agents []int, r *reachability, end int64, timeout time.Duration) (d result.Distribution, undelivered int) {
	took := result.NewHistogram(maxMillis)
	for _, c := range changes {
		for _, a := range agents {
			from := r.reachableFrom(a, c.publishedAt)
			received := timeAt(c.receivedAt, a)
			switch {
			case received != 0:
				took.AddDuration(time.Duration(max(0, received-min(from, received))))
			case from != never && end-from > int64(timeout):
				undelivered++
			}
		}
	}
	return took.Distribution(), undelivered
}

// timeAt is the time of an agent, 0 where there is none.
func timeAt(all []int64, agent int) int64 {
	if agent >= len(all) {
		return 0
	}
	return all[agent]
}
