package main

import (
	"example.org/ryeloft/internal/scale/run"
)

// runCmd runs one scenario.
type runCmd struct {
	scenarioFlags
	JSON string `name:"json" placeholder:"FILE" help:"File for the complete result, as JSON."`
}

// Run implements the command. It writes the partial result of a run that failed after it started.
func (cmd *runCmd) Run(c *console) error {
	s, err := cmd.load(c)
	if err != nil {
		return err
	}
	if err := checkWritable("json", cmd.JSON); err != nil {
		return err
	}
	program, remove, err := cmd.agentProgram(c, s)
	if err != nil {
		return err
	}
	defer remove()
	r, runErr := run.Run(c.ctx, s, run.Options{AgentProgram: program, Log: c.log, Progress: c.progress, Stderr: c.errOut})
	if r == nil {
		return runErr
	}
	if cmd.JSON != "" {
		if err := writeJSON(cmd.JSON, r); err != nil {
			return err
		}
	}
	if err := run.WriteText(c.out, r); err != nil {
		return err
	}
	if runErr == nil && len(run.Violations(r)) > 0 {
		return errOverBudget
	}
	return runErr
}
