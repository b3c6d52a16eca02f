package run

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// taskTimeout is how long one thing that a step asks of a part may take.
const taskTimeout = 20 * time.Second

// restartTimeout is how long a restart of real agents may take: the end of the old processes, and the time in which the new
// ones have to be up.
const restartTimeout = 60 * time.Second

// taskQueue does what the steps ask of one part: in their order, each within its time, and without holding up the others. How
// long things waited in it is kept, as a part that falls behind plays another scenario than the file's.
type taskQueue struct {
	name  string
	limit time.Duration
	tasks chan task
	done  chan struct{}

	mu      sync.Mutex
	errs    []error
	timings []taskTiming
}

// errUnfinished is what a lane had not done in its time.
var errUnfinished = errors.New("things were not done when the run ended")

type task struct {
	due time.Time
	do  func(context.Context) error
}

// taskTiming is how long a task waited for those before it, and how long it took.
type taskTiming struct{ waited, took time.Duration }

// newTaskQueue starts a lane with room for so many tasks, which ends when it is closed or the context is done.
func newTaskQueue(ctx context.Context, name string, room int, limit time.Duration) *taskQueue {
	l := &taskQueue{name: name, limit: limit, tasks: make(chan task, room), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		for t := range l.tasks {
			if ctx.Err() != nil {
				return
			}
			l.runTask(ctx, t)
		}
	}()
	return l
}

func (l *taskQueue) runTask(ctx context.Context, t task) {
	begun := time.Now()
	ctx, stop := context.WithTimeout(ctx, l.limit)
	defer stop()
	err := t.do(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timings = append(l.timings, taskTiming{max(0, begun.Sub(t.due)), time.Since(begun)})
	if err != nil {
		l.errs = append(l.errs, fmt.Errorf("%s: %w", l.name, err))
	}
}

// add gives the lane a task. It never waits: there is room for all.
func (l *taskQueue) add(do func(context.Context) error) { l.tasks <- task{time.Now(), do} }

// close lets the lane finish what it has until the context is done, and returns what failed. What is left over then is
// an error too.
func (l *taskQueue) close(ctx context.Context) error {
	close(l.tasks)
	select {
	case <-l.done:
	case <-ctx.Done():
		return fmt.Errorf("%s: %d %w", l.name, len(l.tasks)+1, errUnfinished)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.errs) > 0 {
		return l.errs[0]
	}
	return nil
}

// taskTimings are the waits so far.
func (l *taskQueue) taskTimings() []taskTiming {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]taskTiming(nil), l.timings...)
}
