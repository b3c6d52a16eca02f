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
	maxQueueMillis = 10 * 60 * 1000 // ms; longer ones count as that
	maxSeconds     = 3600           // kept apart, of busy time
	worstSpan      = 6              // seconds
)

// workQueue plays the stated costs of calls: they are worked on in the order in which they come, by a number of workers, and
// each takes its cost in time. The plan is made when a call comes, from when the workers will be free, so late wake-ups
// of the machine that plays it do not add up.
//
// Danger: a call that has waited too long is refused only when its turn has come and its work has been done, as the
// protocol's service does it. Refusals do not shorten the queue: callers that give up and come again keep it full with
// work that nobody waits for any more. A caller that leaves takes its work back no more than that.
type workQueue struct {
	costs scenario.Control

	mu            sync.Mutex
	workerFreeAt  []time.Time // when each worker has done what is planned
	plannedStarts []time.Time // of planned work that had not begun by the last look, in order
	maxQueued     int         // of these at a time
	waits         *result.Histogram
	startedAt     time.Time
	busySeconds   []float64 // seconds of planned work in each second since it began; the last holds all after it
}

func newWorkQueue(costs scenario.Control, now time.Time) *workQueue {
	q := &workQueue{costs: costs, workerFreeAt: make([]time.Time, max(costs.Parallel, 1))}
	q.reset(now)
	return q
}

// reset forgets what was measured. What is planned stays.
func (q *workQueue) reset(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waits, q.maxQueued, q.startedAt, q.busySeconds = result.NewHistogram(maxQueueMillis), 0, now, nil
	for _, free := range q.workerFreeAt {
		q.addBusy(now, free, 1)
	}
}

// dropPlanned forgets the work that waits, as when the service dies.
func (q *workQueue) dropPlanned() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for i, free := range q.workerFreeAt {
		if free.After(now) {
			q.addBusy(now, free, -1)
			q.workerFreeAt[i] = now
		}
	}
	q.plannedStarts = nil
}

// cost is the stated time of a piece of work.
func (q *workQueue) cost(w lists.Work) time.Duration {
	us := q.costs.LineUS * float64(w.Entries)
	if !w.Continues {
		us += q.costs.CallMS * 1000
	}
	return time.Duration(us * float64(time.Microsecond))
}

// Enter waits for the work's turn and its cost.
func (q *workQueue) Admit(ctx context.Context, w lists.Work) (time.Duration, error) {
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
func (q *workQueue) plan(now time.Time, cost time.Duration) (start, end time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	first := 0
	for i, free := range q.workerFreeAt {
		if free.Before(q.workerFreeAt[first]) {
			first = i
		}
	}
	if start = q.workerFreeAt[first]; start.Before(now) {
		start = now
	}
	end = start.Add(cost)
	q.workerFreeAt[first] = end
	q.addBusy(start, end, 1)
	q.waits.AddDuration(start.Sub(now))
	for len(q.plannedStarts) > 0 && !q.plannedStarts[0].After(now) {
		q.plannedStarts = q.plannedStarts[1:]
	}
	if start.After(now) {
		q.plannedStarts = append(q.plannedStarts, start)
		q.maxQueued = max(q.maxQueued, len(q.plannedStarts))
	}
	return start, end
}

// addBusy adds a span of time, or takes it away, in each second that it lies in.
func (q *workQueue) addBusy(from, to time.Time, sign float64) {
	if from.Before(q.startedAt) {
		from = q.startedAt
	}
	for from.Before(to) {
		second := int(from.Sub(q.startedAt) / time.Second)
		end := q.startedAt.Add(time.Duration(second+1) * time.Second)
		if second >= maxSeconds-1 || end.After(to) {
			second, end = min(second, maxSeconds-1), to
		}
		for len(q.busySeconds) <= second {
			q.busySeconds = append(q.busySeconds, 0)
		}
		q.busySeconds[second] += sign * end.Sub(from).Seconds()
		from = end
	}
}

// stats sums up what was planned until now. Busy shares are of all workers' time; the worst span counts whole seconds,
// or all there is if that is less.
func (q *workQueue) stats(now time.Time, m *result.ControlMachine) {
	q.mu.Lock()
	defer q.mu.Unlock()
	past := now.Sub(q.startedAt).Seconds()
	workers := float64(len(q.workerFreeAt))
	var sum float64
	for _, s := range q.busySeconds {
		sum += s
	}
	for _, free := range q.workerFreeAt { // what lies ahead has not been done
		sum -= max(free.Sub(now), 0).Seconds()
	}
	if past > 0 {
		m.Busy = sum / past / workers
	}
	m.Worst6s = m.Busy
	if whole := min(int(past), len(q.busySeconds)); past >= worstSpan {
		m.Worst6s = worst(q.busySeconds[:whole]) / worstSpan / workers
	}
	m.QueueMS, m.QueueMax = q.waits.Distribution(), q.maxQueued
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
