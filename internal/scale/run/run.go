// Package run executes a scenario: it starts the processes, applies the world's steps at their times, collects the
// measurements of each process and checks them against the budgets.
//
// A runner owns the state of one run. It adds the work of each step to one task queue per process or group of
// processes. The queues' goroutines share the state that the runner's mutex guards; drainQueues waits for them.
// Processes measure their own cost. The package itself measures only the cost of the configuration source, which runs
// in this process.
package run

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"example.org/ryeloft/internal/scale/realagent"
	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/scenario"
)

// Options configures Run.
type Options struct {
	AgentProgram string // path of the agent binary; not needed without real agents
	Log          *slog.Logger
	Progress     func(string) // is called with progress messages for the user
	Stderr       io.Writer    // receives the standard error of the started processes
}

// withDefaults returns o with unset fields replaced by ones that discard their input.
func (o Options) withDefaults() Options {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	if o.Stderr == nil {
		o.Stderr = io.Discard
	}
	return o
}

const (
	// maxProcesses is the maximum number of processes, including this one and the real agents.
	maxProcesses = 250
	// maxMemoryBytes is the maximum resident memory of all these processes together.
	maxMemoryBytes = 10 << 30
	// startTimeout bounds the time until every agent has acknowledged the first revision.
	startTimeout = 3 * time.Minute
	// addedLatencyTimeout bounds the measurement of the added latency.
	addedLatencyTimeout = 2 * time.Minute
	// endTimeout bounds the time in which the processes report and end.
	endTimeout = 30 * time.Second
	// addedCallGap separates the calls that measure the added latency, so that they do not delay each other.
	addedCallGap = 10 * time.Millisecond
	// echoServers is the number of servers that respond to the real agents' calls.
	echoServers = 4
)

// errRunTimeout is the cause of a run that exceeds runTimeout.
var errRunTimeout = errors.New("the run exceeded its time limit")

// Build builds the agent binary from the repository at root into the directory dir and returns its path.
func Build(ctx context.Context, root, dir string) (bin string, err error) {
	return realagent.Build(ctx, root, dir)
}

// Check returns an error if the scenario cannot run on one machine. It complements the scenario's own validation. The
// error names the field.
func Check(s *scenario.Scenario) error {
	if n := s.Fleet.Real + s.Relays.Count + fixedProcesses; n > maxProcesses {
		return fmt.Errorf("fleet.real: with %d real agents the run has %d processes, the maximum is %d", s.Fleet.Real, n, maxProcesses)
	}
	if s.Fleet.Real > s.Agents() {
		return fmt.Errorf("fleet.real: %d real agents, but the fleet has only %d agents", s.Fleet.Real, s.Agents())
	}
	return nil
}

// Run executes a scenario. If the run is interrupted, a process dies or the memory limit is exceeded, Run returns the
// partial result, marked Incomplete, and the cause. The result is nil only if nothing was started. All processes have
// ended when Run returns.
func Run(ctx context.Context, s *scenario.Scenario, o Options) (*result.Run, error) {
	if err := Check(s); err != nil {
		return nil, err
	}
	startedAt := time.Now()
	ctx, stop := context.WithTimeoutCause(ctx, runTimeout(s), errRunTimeout)
	defer stop()
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	r := &runner{scenario: s, options: o.withDefaults(), fail: fail, result: &result.Run{Scenario: s.Name, Sizes: sizesOf(s)}}
	err := r.execute(ctx)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause // more specific than the error of the interrupted call
		}
		r.options.Log.Error("scale run failed", "error", err)
		r.result.Incomplete = truncated(err)
	}
	if closeErr := r.close(); closeErr != nil && err == nil {
		err = closeErr
		r.result.Incomplete = truncated(closeErr)
	}
	r.result.Budgets = checkBudgets(s.Budgets, r.result)
	r.result.Ratios = compareRatios(r.result)
	r.result.WallSeconds = time.Since(startedAt).Seconds()
	if err != nil {
		err = fmt.Errorf("the run failed: %s", r.result.Incomplete)
	}
	return r.result, err
}

// truncated returns the start of an error's text, which can include many lines of agents' logs. The log has the full
// text.
func truncated(err error) string {
	const maxBytes = 1000
	text := err.Error()
	if len(text) > maxBytes {
		text = text[:maxBytes] + "..."
	}
	return text
}

// runTimeout returns the time limit of a whole run, the sum of the limits of its phases.
func runTimeout(s *scenario.Scenario) time.Duration {
	return startTimeout + addedLatencyTimeout + seconds(s.Seconds) + endTimeout
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func sizesOf(s *scenario.Scenario) result.Sizes {
	return result.Sizes{
		Servers: s.Fleet.Servers, Services: s.Fleet.Services, Agents: s.Agents(), Real: s.Fleet.Real, Depth: s.Fleet.Depth,
		CallsPerSecond: s.Fleet.CallsPerSecond, ChangesPerMinute: s.ChangesPerMinute(), Seconds: s.Seconds, Seed: s.Seed,
	}
}

// execute performs the run. After an error, the result keeps the measurements collected until then.
func (r *runner) execute(ctx context.Context) error {
	r.options.Progress("starts the processes")
	if err := r.startProcesses(ctx); err != nil {
		return err
	}
	go r.watchProcesses(ctx) // ends with the context, which Run cancels
	r.options.Progress("waits until every agent has the list")
	if err := r.awaitFirstList(ctx); err != nil {
		return err
	}
	if err := r.beginMeasurement(ctx); err != nil {
		return err
	}
	stepsErr := r.runSteps(ctx)
	// An interrupted run is also reported, with a separate timeout.
	reportCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer stop()
	return errors.Join(stepsErr, r.collect(reportCtx))
}
