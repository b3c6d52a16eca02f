package run

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// taskTimeout bounds one task of a step.
const taskTimeout = 20 * time.Second

// restartTimeout bounds a restart of real agents, which ends the old processes and starts the new ones.
const restartTimeout = 60 * time.Second

// taskQueue runs tasks on a separate goroutine, in order and each within a time limit, so that the queues do not delay
// each other. mu guards the errors and timings.
type taskQueue struct {
	name  string
	limit time.Duration
	tasks chan task
	done  chan struct{}

	mu      sync.Mutex
	errs    []error
	timings []taskTiming
}

// errUnfinished is returned when a queue has not finished all tasks in time.
var errUnfinished = errors.New("tasks were unfinished when the run ended")

// task is a function to run and the time at which it was added.
type task struct {
	addedAt time.Time
	do      func(context.Context) error
}

// taskTiming is how long a task waited for earlier tasks and how long it ran.
type taskTiming struct{ waited, took time.Duration }

// newTaskQueue starts a queue for at most capacity tasks in total, each limited to the given time. Its goroutine ends
// when the queue is closed or ctx is done.
func newTaskQueue(ctx context.Context, name string, capacity int, limit time.Duration) *taskQueue {
	q := &taskQueue{name: name, limit: limit, tasks: make(chan task, capacity), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for t := range q.tasks {
			if ctx.Err() != nil {
				return
			}
			q.runTask(ctx, t)
		}
	}()
	return q
}

func (q *taskQueue) runTask(ctx context.Context, t task) {
	startedAt := time.Now()
	ctx, stop := context.WithTimeout(ctx, q.limit)
	defer stop()
	err := t.do(ctx)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.timings = append(q.timings, taskTiming{waited: max(0, startedAt.Sub(t.addedAt)), took: time.Since(startedAt)})
	if err != nil {
		q.errs = append(q.errs, fmt.Errorf("%s: %w", q.name, err))
	}
}

// add appends a task. It never blocks, because the capacity suffices for all tasks of the run.
func (q *taskQueue) add(do func(context.Context) error) { q.tasks <- task{time.Now(), do} }

// close waits until the queue has finished its tasks or ctx is done, and returns the first error. It returns
// errUnfinished if tasks remain.
func (q *taskQueue) close(ctx context.Context) error {
	close(q.tasks)
	select {
	case <-q.done:
	case <-ctx.Done():
		return fmt.Errorf("%s: %d %w", q.name, len(q.tasks)+1, errUnfinished)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.errs) > 0 {
		return q.errs[0]
	}
	return nil
}
