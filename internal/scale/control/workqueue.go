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
	maxQueueMillis    = 10 * 60 * 1000 // longer waits are counted as this
	maxTrackedSeconds = 3600           // seconds that are recorded separately
)

// workQueue simulates the configured costs of calls: a fixed number of workers process them in order of arrival, each
// for the duration of its cost. Work is planned when a call arrives, from the times at which the workers become free,
// so that late wake-ups of this machine do not accumulate. mu guards its state.
//
// A call that has waited too long is rejected only after its work is done, as the platform's service does. Rejected
// calls and callers that disconnect do not shorten the queue.
type workQueue struct {
	costs scenario.Control

	mu            sync.Mutex
	workerFreeAt  []time.Time // when each worker has finished its planned work
	plannedStarts []time.Time // of work that had not started at the last call, in ascending order
	maxQueued     int         // maximum length of plannedStarts
	waits         *result.Histogram
	startedAt     time.Time
	busySeconds   []float64 // seconds of work planned per second since startedAt; the last element includes all later work
}

func newWorkQueue(costs scenario.Control, now time.Time) *workQueue {
	q := &workQueue{costs: costs, workerFreeAt: make([]time.Time, max(costs.Parallel, 1))}
	q.reset(now)
	return q
}

// reset discards all measurements and keeps the planned work.
func (q *workQueue) reset(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waits = result.NewHistogram(maxQueueMillis)
	q.maxQueued = 0
	q.startedAt = now
	q.busySeconds = nil
	for _, free := range q.workerFreeAt {
		q.addBusy(now, free, 1)
	}
}

// dropPlanned discards the planned work that is not done, as a crash of the service does.
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

// cost returns the configured duration of a piece of work.
func (q *workQueue) cost(w lists.Work) time.Duration {
	us := q.costs.EntryUS * float64(w.Entries)
	if !w.Continues {
		us += q.costs.CallMS * 1000
	}
	return time.Duration(us * float64(time.Microsecond))
}

// Admit implements lists.Limiter. It waits until a worker has done the work, and returns the planned delay, including
// the cost of the work.
func (q *workQueue) Admit(ctx context.Context, w lists.Work) (time.Duration, error) {
	now := time.Now()
	start, end := q.plan(now, q.cost(w))
	if remaining := time.Until(end); remaining > 0 {
		t := time.NewTimer(remaining)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return end.Sub(now), ctx.Err()
		}
	}
	limit := time.Duration(q.costs.RejectMS * float64(time.Millisecond))
	if limit > 0 && start.Sub(now) >= limit {
		return end.Sub(now), lists.RejectedError{Cause: "waited too long for its turn"}
	}
	return end.Sub(now), nil
}

// plan assigns work to the worker that becomes free first.
func (q *workQueue) plan(now time.Time, cost time.Duration) (start, end time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	worker := 0
	for i, free := range q.workerFreeAt {
		if free.Before(q.workerFreeAt[worker]) {
			worker = i
		}
	}
	start = q.workerFreeAt[worker]
	if start.Before(now) {
		start = now
	}
	end = start.Add(cost)
	q.workerFreeAt[worker] = end
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

// addBusy adds the time between from and to, multiplied by sign, to busySeconds. The caller holds mu.
func (q *workQueue) addBusy(from, to time.Time, sign float64) {
	if from.Before(q.startedAt) {
		from = q.startedAt
	}
	for from.Before(to) {
		second := int(from.Sub(q.startedAt) / time.Second)
		end := q.startedAt.Add(time.Duration(second+1) * time.Second)
		if second >= maxTrackedSeconds-1 || end.After(to) {
			second = min(second, maxTrackedSeconds-1)
			end = to
		}
		for len(q.busySeconds) <= second {
			q.busySeconds = append(q.busySeconds, 0)
		}
		q.busySeconds[second] += sign * end.Sub(from).Seconds()
		from = end
	}
}

// stats sets the measurements up to now in m. Busy shares are relative to the time of all workers. The worst window is
// measured in whole seconds; before there are enough of them, it is the busy share since startedAt.
func (q *workQueue) stats(now time.Time, m *result.ControlMachine) {
	q.mu.Lock()
	defer q.mu.Unlock()
	elapsed := now.Sub(q.startedAt).Seconds()
	workers := float64(len(q.workerFreeAt))
	var done float64
	for _, s := range q.busySeconds {
		done += s
	}
	for _, free := range q.workerFreeAt {
		done -= max(free.Sub(now), 0).Seconds() // planned but not done
	}
	if elapsed > 0 {
		m.Busy = done / elapsed / workers
	}
	m.Worst6s = m.Busy
	if elapsed >= result.WorstWindowSeconds {
		wholeSeconds := make([]float64, int(elapsed))
		copy(wholeSeconds, q.busySeconds)
		m.Worst6s = result.WorstWindow(wholeSeconds) / workers
	}
	m.QueueMS = q.waits.Distribution()
	m.QueueMax = q.maxQueued
}
