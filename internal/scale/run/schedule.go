package run

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"example.org/ryeloft/internal/scale/role"
	"example.org/ryeloft/internal/scale/world"
)

// secondsAfterEvent is how long after an event bytes, lists and rejections are still attributed to it.
const secondsAfterEvent = 6

// taskQueues holds the tasks of the steps, one queue per process or group of processes and one for the configuration
// source. A step is added when it is due, even if earlier ones are unfinished.
type taskQueues struct{ control, simulated, real, source *taskQueue }

// newTaskQueues starts the queues. Their names appear in errors.
func newTaskQueues(ctx context.Context, steps int, length time.Duration) *taskQueues {
	const tasksPerStep = 4
	capacity := steps*tasksPerStep + 1
	return &taskQueues{
		control:   newTaskQueue(ctx, role.Control, capacity, taskTimeout),
		simulated: newTaskQueue(ctx, role.SimulatedAgents, capacity, taskTimeout),
		real:      newTaskQueue(ctx, "real agents", capacity, restartTimeout),
		// A rollout may take as long as the run; what remains at the end counts as undelivered.
		source: newTaskQueue(ctx, "source", capacity, length),
	}
}

// runSteps applies the world's steps at their times and waits until the measurement period ends.
func (r *runner) runSteps(ctx context.Context) error {
	steps := r.world.Steps(r.startedAt)
	length := seconds(r.scenario.Seconds)
	end := r.startedAt.Add(length)
	r.affectedByEvent = r.countAffected(steps)
	r.countSteps(steps)
	r.options.Progress(fmt.Sprintf("runs %d steps in %g s", len(steps), r.scenario.Seconds))
	queueCtx, stop := context.WithCancel(ctx)
	defer stop()
	queues := newTaskQueues(queueCtx, len(steps), length)
	for _, action := range r.schedule(queues, steps) {
		due := r.startedAt.Add(action.at)
		if due.After(end) {
			break
		}
		if err := waitUntil(ctx, due); err != nil {
			break
		}
		action.do(due)
	}
	err := waitUntil(ctx, end)
	r.endedAt = time.Now()
	return errors.Join(err, r.drainQueues(ctx, queues))
}

// countSteps counts the changes and failures of the steps in the result's sizes.
func (r *runner) countSteps(steps []world.Step) {
	sizes := &r.result.Sizes
	for _, step := range steps {
		if len(step.Changes) > 0 || len(step.Restart) > 0 || isSet(step.ControlDown) || isSet(step.PartitionRegions) {
			sizes.ListChanges++
		}
		if step.Config > 0 {
			sizes.Configs++
		}
		if isSet(step.Fail) {
			sizes.Failures++
		}
	}
}

// timedAction is an action and its time since the start of the measurement period.
type timedAction struct {
	at time.Duration
	do func(due time.Time)
}

// schedule returns the actions of the run by time: all steps, and a snapshot of the counters secondsAfterEvent after
// the last step of each event, or at the end of the run if that is earlier.
func (r *runner) schedule(queues *taskQueues, steps []world.Step) (all []timedAction) {
	for _, step := range steps {
		all = append(all, timedAction{step.At, func(due time.Time) { r.applyStep(queues, step, due) }})
		if !step.Ends || step.Event < 0 {
			continue
		}
		after := max(step.At, min(step.At+secondsAfterEvent*time.Second, seconds(r.scenario.Seconds)))
		all = append(all, timedAction{after, func(time.Time) {
			queues.control.add(func(ctx context.Context) error { return r.takeSnapshot(ctx, step.Event, true) })
		}})
	}
	slices.SortStableFunc(all, func(a, b timedAction) int { return cmp.Compare(a.at, b.at) })
	return all
}

// waitUntil waits until t, or returns the context's cause if ctx ends first.
func waitUntil(ctx context.Context, t time.Time) error {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// drainQueues waits up to taskTimeout for the remaining tasks. A rollout that is still in progress is not an error: its
// remaining agents count as not having the revision.
func (r *runner) drainQueues(ctx context.Context, queues *taskQueues) error {
	ctx, stop := context.WithTimeout(ctx, taskTimeout)
	defer stop()
	err := errors.Join(queues.control.close(ctx), queues.simulated.close(ctx), queues.real.close(ctx))
	sourceCtx, stopSource := context.WithTimeout(ctx, time.Second)
	defer stopSource()
	sourceErr := queues.source.close(sourceCtx)
	if errors.Is(sourceErr, errUnfinished) || errors.Is(sourceErr, context.DeadlineExceeded) {
		r.options.Log.Warn("configuration rollout unfinished", "error", sourceErr)
		sourceErr = nil
	}
	return errors.Join(err, sourceErr)
}

// countAffected returns how many servers each event affects, or agents if it affects no servers.
func (r *runner) countAffected(steps []world.Step) map[int]int {
	servers := map[int]map[int]bool{}
	agents := map[int]map[int]bool{}
	add := func(to map[int]map[int]bool, event int, all []int) {
		if to[event] == nil {
			to[event] = map[int]bool{}
		}
		for _, i := range all {
			to[event][i] = true
		}
	}
	for _, step := range steps {
		add(servers, step.Event, step.Down)
		add(agents, step.Event, step.Restart)
		if step.ControlDown != nil || step.Config > 0 {
			add(agents, step.Event, r.allAgents())
		}
		if step.PartitionRegions != nil {
			add(agents, step.Event, r.agentsOutsideControlRegion())
		}
		if step.Fail != nil {
			add(servers, step.Event, r.world.Services[r.world.Deepest].Servers)
		}
	}
	affected := map[int]int{}
	for event := range agents {
		affected[event] = len(agents[event])
	}
	for event := range servers {
		if n := len(servers[event]); n > 0 {
			affected[event] = n
		}
	}
	return affected
}

func isSet(b *bool) bool { return b != nil && *b }
