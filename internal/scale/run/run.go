// Package run plays a scenario whole: it starts the parts, plays the world's steps at their times, collects what each part
// measured and checks it against the budgets.
//
// A runner owns the state of one run. Its steps are handed to one task queue for each part, whose goroutines share the
// state that the runner's mutex guards; drainQueues waits for them. The package never measures by itself what a part costs
// but for the source of configuration, whose work it does.
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

// Options say how a scenario is played.
type Options struct {
	AgentProgram string // the real agents' program; not needed without real agents
	Log          *slog.Logger
	Progress     func(string) // is called with what goes on, for a person
	Stderr       io.Writer    // of the parts
}

// withDefaults replaces what is not given by what discards.
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
	// maxProcesses counts this program, the parts and the real agents.
	maxProcesses = 250
	// maxMemoryBytes of all of them together.
	maxMemoryBytes = 10 << 30
	// startTimeout is how long it may take until every agent has acknowledged the first revision.
	startTimeout = 3 * time.Minute
	// addedLatencyTimeout is how long the calls that measure the added latency may take.
	addedLatencyTimeout = 2 * time.Minute
	// endTimeout is how long the parts may take to report and to end.
	endTimeout = 30 * time.Second
	// addedCallGap keeps the calls that measure the added latency apart: each is alone on its way.
	addedCallGap = 10 * time.Millisecond
	// echoServers answer the real agents' calls.
	echoServers = 4
)

// errRunTimeout ends a run that takes longer than the sum of what its phases may take.
var errRunTimeout = errors.New("the run took longer than it may")

// Build builds the real agents' program out of the repository at root into the directory dir.
func Build(ctx context.Context, root, dir string) (bin string, err error) {
	return realagent.Build(ctx, root, dir)
}

// Check reports what of a scenario cannot be played on one machine, beyond what its own checks do, and names the field.
func Check(s *scenario.Scenario) error {
	if n := s.Fleet.Real + s.Relays.Count + fixedProcesses; n > maxProcesses {
		return fmt.Errorf("fleet.real: %d real agents make %d processes with the parts, there may be %d", s.Fleet.Real, n, maxProcesses)
	}
	if s.Fleet.Real > s.Agents() {
		return fmt.Errorf("fleet.real: %d of %d agents", s.Fleet.Real, s.Agents())
	}
	return nil
}

// Run plays a scenario. When it is interrupted, a part dies or memory runs out, it returns what there is, marked
// Incomplete, along with the cause; the result is nil only where nothing was started. All processes have ended then.
func Run(ctx context.Context, s *scenario.Scenario, o Options) (*result.Run, error) {
	if err := Check(s); err != nil {
		return nil, err
	}
	begun := time.Now()
	ctx, stop := context.WithTimeoutCause(ctx, runTimeout(s), errRunTimeout)
	defer stop()
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	r := &runner{scenario: s, options: o.withDefaults(), fail: fail, result: &result.Run{Scenario: s.Name, Sizes: sizesOf(s)}}
	err := r.execute(ctx)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause // the call that it interrupted says less
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
	r.result.WallSeconds = time.Since(begun).Seconds()
	if err != nil {
		err = fmt.Errorf("the run failed: %s", r.result.Incomplete)
	}
	return r.result, err
}

// truncated is an error's text without most of what agents' logs add to it; the log has all of it.
func truncated(err error) string {
	const maxBytes = 1000
	text := err.Error()
	if len(text) > maxBytes {
		text = text[:maxBytes] + "..."
	}
	return text
}

// runTimeout is how long a whole run may take.
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

// play plays all of the run. What it has collected before an error stays in the result.
func (r *runner) execute(ctx context.Context) error {
	r.options.Progress("starts the parts")
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
	// An interrupted run reports as well, within a time of its own.
	reportCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer stop()
	return errors.Join(stepsErr, r.collect(reportCtx))
}
