package control

import (
	"context"
	"sync"
	"time"

	"example.org/ryeloft/internal/lists"
	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/scenario"
)

const (
	longestQueue = 10 * 60 * 1000 // ms; longer ones count as that
	maxSeconds   = 3600           // kept apart, of busy time
	worstSpan    = 6              // seconds
)

// queue plays the stated costs of calls: they are worked on in the order in which they come, by a number of workers, and
// each takes its cost in time. The plan is made when a call comes, from when the workers will be free, so late wake-ups
// of the machine that plays it do not add up.
//
// Danger: a call that has waited too long is refused only when its turn has come and its work has been done, as the
// protocol's service does it. Refusals do not shorten the queue: callers that give up and come again keep it full with
// work that nobody waits for any more. A caller that leaves takes its work back no more than that.
type queue struct {
	costs scenario.Control

	mu     sync.Mutex
	free   []time.Time // when each worker has done what is planned
	starts []time.Time // of planned work that had not begun by the last look, in order
	most   int         // of these at a time
	waits  *result.Hist
	began  time.Time
	busy   []float64 // seconds of planned work in each second since it began; the last holds all after it
}

func newQueue(costs scenario.Control, now time.Time) *queue {
	q := &queue{costs: costs, free: make([]time.Time, max(costs.Parallel, 1))}
	q.begin(now)
	return q
}

// begin forgets what was measured. What is planned stays.
func (q *queue) begin(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waits, q.most, q.began, q.busy = result.NewHist(longestQueue), 0, now, nil
	for _, free := range q.free {
		q.add(now, free, 1)
	}
}

// drop forgets the work that waits, as when the service dies.
func (q *queue) drop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for i, free := range q.free {
		if free.After(now) {
			q.add(now, free, -1)
			q.free[i] = now
		}
	}
	q.starts = nil
}

// cost is the stated time of a piece of work.
func (q *queue) cost(w lists.Work) time.Duration {
	us := q.costs.LineUS * float64(w.Entries)
	if !w.Continues {
		us += q.costs.CallMS * 1000
	}
	return time.Duration(us * float64(time.Microsecond))
}

// Enter waits for the work's turn and its cost.
func (q *queue) Admit(ctx context.Context, w lists.Work) (time.Duration, error) {
	now := time.Now()
	start, end := q.plan(now, q.cost(w))
	if rest := time.Until(end); rest > 0 {
		t := time.NewTimer(rest)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return end.Sub(now), ctx.Err()
		}
	}
	if limit := time.Duration(q.costs.RefuseMS * float64(time.Millisecond)); limit > 0 && start.Sub(now) >= limit {
		return end.Sub(now), lists.RejectedError{Cause: "waited too long for its turn"}
	}
	return end.Sub(now), nil
}

// plan gives work to the worker that is free first.
func (q *queue) plan(now time.Time, cost time.Duration) (start, end time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	first := 0
	for i, free := range q.free {
		if free.Before(q.free[first]) {
			first = i
		}
	}
	if start = q.free[first]; start.Before(now) {
		start = now
	}
	end = start.Add(cost)
	q.free[first] = end
	q.add(start, end, 1)
	q.waits.AddDuration(start.Sub(now))
	for len(q.starts) > 0 && !q.starts[0].After(now) {
		q.starts = q.starts[1:]
	}
	if start.After(now) {
		q.starts = append(q.starts, start)
		q.most = max(q.most, len(q.starts))
	}
	return start, end
}

// add adds a span of time, or takes it away, in each second that it lies in.
func (q *queue) add(from, to time.Time, sign float64) {
	if from.Before(q.began) {
		from = q.began
	}
	for from.Before(to) {
		second := int(from.Sub(q.began) / time.Second)
		end := q.began.Add(time.Duration(second+1) * time.Second)
		if second >= maxSeconds-1 || end.After(to) {
			second, end = min(second, maxSeconds-1), to
		}
		for len(q.busy) <= second {
			q.busy = append(q.busy, 0)
		}
		q.busy[second] += sign * end.Sub(from).Seconds()
		from = end
	}
}

// stats sums up what was planned until now. Busy shares are of all workers' time; the worst span counts whole seconds,
// or all there is if that is less.
func (q *queue) stats(now time.Time, m *result.ControlMachine) {
	q.mu.Lock()
	defer q.mu.Unlock()
	past := now.Sub(q.began).Seconds()
	workers := float64(len(q.free))
	var sum float64
	for _, s := range q.busy {
		sum += s
	}
	for _, free := range q.free { // what lies ahead has not been done
		sum -= max(free.Sub(now), 0).Seconds()
	}
	if past > 0 {
		m.Busy = sum / past / workers
	}
	m.Worst6s = m.Busy
	if whole := min(int(past), len(q.busy)); past >= worstSpan {
		m.Worst6s = worst(q.busy[:whole]) / worstSpan / workers
	}
	m.QueueMS, m.QueueMax = q.waits.Dist(), q.most
}

// worst is the largest sum of worstSpan neighbours.
func worst(seconds []float64) (most float64) {
	for i := range seconds {
		sum := 0.0
		for _, s := range seconds[max(i+1-worstSpan, 0) : i+1] {
			sum += s
		}
		most = max(most, sum)
	}
	return most
}
