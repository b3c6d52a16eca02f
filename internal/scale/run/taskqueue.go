package run

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// taskTimeout bounds one thing that a step asks of a part.
const taskTimeout = 20 * time.Second

// restartTimeout bounds a restart of real agents: the end of the old processes and the start of the new ones.
const restartTimeout = 60 * time.Second

// taskQueue does what the steps ask of one part on a goroutine of its own: in order, each task within a time limit, and
// without holding up the other parts. mu guards the errors and timings.
type taskQueue struct {
	name  string
	limit time.Duration
	tasks chan task
	done  chan struct{}

	mu      sync.Mutex
	errs    []error
	timings []taskTiming
}

// errUnfinished is what a queue returns that had not done all tasks in time.
var errUnfinished = errors.New("things were not done when the run ended")

// task is one thing to do, and when it was added.
type task struct {
	addedAt time.Time
	do      func(context.Context) error
}

// taskTiming is how long a task waited for those before it, and how long it took.
type taskTiming struct{ waited, took time.Duration }

// newTaskQueue starts a queue for at most so many tasks. Its goroutine ends when the queue is closed or ctx is done.
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

// add appends a task. It never blocks: the capacity is for all tasks.
func (q *taskQueue) add(do func(context.Context) error) { q.tasks <- task{time.Now(), do} }

// close lets the queue do what it has until ctx is done, and returns the first error. Tasks that are left are an error.
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
