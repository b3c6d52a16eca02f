package run

import (
	"math"
	"time"

	"example.org/ryeloft/internal/scale/result"
)

// outage is a period, in Unix ns, in which an agent could not be notified because it or control was down or
// partitioned.
type outage struct{ from, to int64 }

// never is the end of an outage that lasted until the end of the run.
const never = int64(math.MaxInt64)

// reachability records the outages of each agent. The time of a delivery counts from when the agent could be notified,
// because the length of a partition is set by the scenario and is not a cost of any process.
type reachability struct {
	outages [][]outage
	ongoing [][]int64 // by agent, the start times of ongoing outages; outages may overlap
}

func newReachability(agents int) *reachability {
	return &reachability{outages: make([][]outage, agents), ongoing: make([][]int64, agents)}
}

// beginOutage begins an outage of the given agents.
func (r *reachability) beginOutage(agents []int, at time.Time) {
	for _, a := range agents {
		r.ongoing[a] = append(r.ongoing[a], at.UnixNano())
	}
}

// endOutage ends the most recent ongoing outage of each given agent.
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

// reachableFrom returns the first time at or after at, in Unix ns, when the agent could be notified, or never.
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

// delivery is when a change was published and when each agent received it, in Unix ns; 0: not received.
type delivery struct {
	publishedAt int64
	receivedAt  []int64
}

// maxMillis is the upper bound of the histograms of times.
const maxMillis = 1e6

// summarizeDeliveries returns the distribution of delivery times of the changes to the agents, in ms, counted from when
// each agent was reachable. undelivered counts the pairs of agent and change without a delivery for which the timeout,
// counted from the same time, passed before the end of the run.
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

// timeAt returns the time of an agent, or 0 if it has none.
func timeAt(all []int64, agent int) int64 {
	if agent >= len(all) {
		return 0
	}
	return all[agent]
}
