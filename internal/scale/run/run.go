// Package run plays a scenario whole: it starts the parts, plays the world's steps at their times, gathers what each part
// measured and holds it against the budgets.
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
	Progress     func(string) // told what goes on, for a person
	Stderr       io.Writer    // of the parts
}

const (
	// maxProcesses counts this program, the parts and the real agents.
	maxProcesses = 250
	// maxMemoryBytes of all of them together, in bytes.
	maxMemoryBytes = 10 << 30
	// startTimeout is how long the fleet may take until every agent has heard the first revision.
	startTimeout = 3 * time.Minute
	// addedLatencyTimeout is how long the calls that measure the time added may take.
	addedLatencyTimeout = 2 * time.Minute
	// endTimeout is how long figures may take to come and the parts to end.
	endTimeout = 30 * time.Second
	// addedCallGap is between the calls by which the time added is measured: each is alone on its way.
	addedCallGap = 10 * time.Millisecond
	// echoServers answer the real agents' calls.
	echoServers = 4
)

// Build builds the real agents' program out of the repository at root into the folder dir.
func Build(ctx context.Context, root, dir string) (bin string, err error) {
	return realagent.Build(ctx, root, dir)
}

// Check says what of a scenario cannot be played on one machine, beyond what its own checks do, and names the field.
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
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	if o.Stderr == nil {
		o.Stderr = io.Discard
	}
	begun := time.Now()
	ctx, stop := context.WithTimeoutCause(ctx, runTimeout(s), errors.New("the run took longer than it may"))
	defer stop()
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	p := &runner{scenario: s, options: o, fail: fail, result: &result.Run{Scenario: s.Name, Sizes: sizesOf(s)}}
	err := p.play(ctx)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause // what came of it in the middle of a call says less
		}
		o.Log.Error("the run failed", "error", err)
		p.result.Incomplete = truncated(err)
	}
	if ended := p.close(); ended != nil && err == nil {
		err = ended
		p.result.Incomplete = truncated(ended)
	}
	p.result.Budgets, p.result.Ratios = checkBudgets(s.Budgets, p.result), compareRatios(p.result)
	p.result.WallSeconds = time.Since(begun).Seconds()
	if err != nil {
		err = fmt.Errorf("the run failed: %s", p.result.Incomplete)
	}
	return p.result, err
}

// truncated is an error without the most of what agents' logs add to it; the log has it whole.
func truncated(err error) string {
	const most = 1000
	text := err.Error()
	if len(text) > most {
		text = text[:most] + "..."
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

// play plays all of it. What it has gathered before an error stays in the result.
func (p *runner) play(ctx context.Context) error {
	p.options.Progress("starts the parts")
	if err := p.startParts(ctx); err != nil {
		return err
	}
	go p.watchProcesses(ctx)
	p.options.Progress("waits until every agent has the list")
	if err := p.awaitFirstList(ctx); err != nil {
		return err
	}
	if err := p.beginMeasurement(ctx); err != nil {
		return err
	}
	played := p.playSteps(ctx)
	// What there is is gathered even after an interrupt, within a time of its own.
	late, stop := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer stop()
	return errors.Join(played, p.collect(late))
}
