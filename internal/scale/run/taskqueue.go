package run

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// longestTask is how long one thing that a step asks of a part may take.
const longestTask = 20 * time.Second

// longestRestart is how long a restart of real agents may take: the end of the old processes, and the time in which the new
// ones have to be up.
const longestRestart = 60 * time.Second

// lane does what the steps ask of one part: in their order, each within its time, and without holding up the others. How
// long things waited in it is kept, as a part that falls behind plays another scenario than the file's.
type lane struct {
	name  string
	limit time.Duration
	tasks chan task
	done  chan struct{}

	mu    sync.Mutex
	errs  []error
	waits []wait
}

// errLate is what a lane had not done in its time.
var errLate = errors.New("things were not done when the run ended")

type task struct {
	due time.Time
	do  func(context.Context) error
}

// wait is how long a task waited for those before it, and how long it took.
type wait struct{ waited, took time.Duration }

// newLane starts a lane with room for so many tasks, which ends when it is closed or the context is done.
func newLane(ctx context.Context, name string, room int, limit time.Duration) *lane {
	l := &lane{name: name, limit: limit, tasks: make(chan task, room), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		for t := range l.tasks {
			if ctx.Err() != nil {
				return
			}
			l.run(ctx, t)
		}
	}()
	return l
}

func (l *lane) run(ctx context.Context, t task) {
	begun := time.Now()
	ctx, stop := context.WithTimeout(ctx, l.limit)
	defer stop()
	err := t.do(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waits = append(l.waits, wait{max(0, begun.Sub(t.due)), time.Since(begun)})
	if err != nil {
		l.errs = append(l.errs, fmt.Errorf("%s: %w", l.name, err))
	}
}

// add gives the lane a task. It never waits: there is room for all.
func (l *lane) add(do func(context.Context) error) { l.tasks <- task{time.Now(), do} }

// close lets the lane finish what it has until the context is done, and returns what failed. What is left over then is
// an error too.
func (l *lane) close(ctx context.Context) error {
	close(l.tasks)
	select {
	case <-l.done:
	case <-ctx.Done():
		return fmt.Errorf("%s: %d %w", l.name, len(l.tasks)+1, errLate)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.errs) > 0 {
		return l.errs[0]
	}
	return nil
}

// waited are the waits so far.
func (l *lane) waited() []wait {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]wait(nil), l.waits...)
}
