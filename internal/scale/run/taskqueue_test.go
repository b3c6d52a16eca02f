package run

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func TestTaskQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTaskQueue(t.Context(), "control", 4, 3*time.Second)
		var order []int
		do := func(n int, d time.Duration) func(context.Context) error {
			return func(ctx context.Context) error {
				select {
				case <-time.After(d):
					order = append(order, n)
					return nil
				case <-ctx.Done():
					return ctx.Err()
				}
			}
		}
		q.add(do(1, 2*time.Second))
		q.add(do(2, time.Second))
		q.add(do(3, time.Minute))
		q.add(do(4, 0))
		err := q.close(t.Context())
		if !errors.Is(err, context.DeadlineExceeded) || !strings.HasPrefix(err.Error(), "control: ") {
			t.Errorf("got error %v, want the third task's deadline", err)
		}
		if len(order) != 3 || order[0] != 1 || order[1] != 2 || order[2] != 4 {
			t.Errorf("got order %v, want [1 2 4]", order)
		}
		if w := queueTimings(q); w[1].waited != 2*time.Second || w[3].waited != 6*time.Second || w[2].took != 3*time.Second {
			t.Errorf("got timings %v, want waits of 2 s and 6 s for tasks 2 and 4 and 3 s taken by task 3", w)
		}
	})
}

func TestTaskQueueCloseTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		q := newTaskQueue(t.Context(), "hollow", 2, time.Hour)
		end := make(chan struct{})
		q.add(func(context.Context) error { <-end; return nil })
		q.add(func(context.Context) error { return nil })
		synctest.Wait()
		if err := q.close(ctx); !errors.Is(err, errUnfinished) || !strings.HasPrefix(err.Error(), "hollow: 2 tasks") {
			t.Errorf("got error %v, want errUnfinished with 2 tasks", err)
		}
		close(end)
		synctest.Wait()
	})
}

// queueTimings returns the timings of the tasks that a queue has run.
func queueTimings(q *taskQueue) []taskTiming {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Clone(q.timings)
}
