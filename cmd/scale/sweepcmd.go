package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/run"
	"example.org/ryeloft/internal/scale/scenario"
	"example.org/ryeloft/internal/scale/sweep"
)

// sweepCmd runs a scenario at several sizes.
type sweepCmd struct {
	scenarioFlags
	Only   []string          `placeholder:"NAME,..." help:"Dimensions to sweep: servers, agents, changes, services, depth; all if absent."`
	Sizes  map[string]string `placeholder:"NAME=N,N,N,N;..." help:"Sizes of a dimension, at least four, such as agents=50,100,200,400."`
	Target string            `default:"deploy/scale/target.toml" help:"Scenario at which the fits are evaluated."`
	Limit  time.Duration     `default:"15m" help:"Time limit of all runs together; the remaining sizes are skipped and listed."`
	Add    map[string]string `placeholder:"NAME=FILE;..." help:"Results of single runs (run --json) whose metrics are added to the file as run.NAME.METRIC."`
	JSON   string            `name:"json" placeholder:"FILE" help:"File for the metrics, as JSON."`
	Text   string            `placeholder:"FILE" help:"File for the text; standard output if absent."`
	Runs   string            `placeholder:"FILE" help:"File for the complete results of all runs, as JSON."`
}

// Run implements the command.
func (cmd *sweepCmd) Run(c *console) error {
	base, err := cmd.load(c)
	if err != nil {
		return err
	}
	target, err := scenario.Load(cmd.Target)
	if err != nil {
		return usageError{fmt.Errorf("target: %w", err)}
	}
	sizes, err := parseSizes(cmd.Sizes)
	if err != nil {
		return usageError{err}
	}
	added, err := readRuns(cmd.Add)
	if err != nil {
		return usageError{err}
	}
	for field, path := range map[string]string{"json": cmd.JSON, "text": cmd.Text, "runs": cmd.Runs} {
		if err := checkWritable(field, path); err != nil {
			return err
		}
	}
	program, remove, err := cmd.agentProgram(c, base)
	if err != nil {
		return err
	}
	defer remove()
	swept, err := sweep.Run(c.ctx, base, sweep.Options{
		Only: cmd.Only, Sizes: sizes, Target: target, Limit: cmd.Limit, Check: validate, Progress: c.progress,
		RunScenario: func(ctx context.Context, s *scenario.Scenario) (*result.Run, error) {
			return run.Run(ctx, s, run.Options{AgentProgram: program, Log: c.log, Progress: func(string) {}, Stderr: c.errOut})
		},
	})
	if err != nil {
		return usageError{err}
	}
	return cmd.write(c, swept, added)
}

// write writes the outputs of a sweep. For an incomplete or interrupted sweep it writes what there is and returns an
// error.
func (cmd *sweepCmd) write(c *console, swept *sweep.Sweep, added map[string]*result.Run) error {
	if cmd.JSON != "" {
		metrics := swept.Metrics()
		for name, r := range added {
			sweep.AddRun(metrics, name, r)
		}
		if err := sweep.WriteMetrics(cmd.JSON, metrics); err != nil {
			return err
		}
	}
	if cmd.Runs != "" {
		if err := writeJSON(cmd.Runs, swept.Runs); err != nil {
			return err
		}
	}
	if err := cmd.writeText(c.out, swept); err != nil {
		return err
	}
	if len(swept.Skipped) > 0 {
		return fmt.Errorf("the sweep is incomplete: %s", strings.Join(swept.Skipped, "; "))
	}
	return context.Cause(c.ctx)
}

// writeText writes the text to the file of --text, or to out if there is none.
func (cmd *sweepCmd) writeText(out io.Writer, swept *sweep.Sweep) error {
	if cmd.Text == "" {
		return swept.WriteText(out)
	}
	f, err := os.Create(cmd.Text)
	if err != nil {
		return err
	}
	return errors.Join(swept.WriteText(f), f.Close())
}

func parseSizes(flags map[string]string) (map[string][]float64, error) {
	all := map[string][]float64{}
	for name, text := range flags {
		for _, field := range strings.Split(text, ",") {
			v, err := strconv.ParseFloat(field, 64)
			if err != nil {
				return nil, fmt.Errorf("sizes: %s: %q is not a number", name, field)
			}
			all[name] = append(all[name], v)
		}
	}
	return all, nil
}
