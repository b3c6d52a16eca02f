package main

// checkCmd validates a scenario file without running it.
type checkCmd struct {
	File string `arg:"" help:"A scenario's TOML file."`
}

// Run implements the command.
func (cmd *checkCmd) Run(c *console) error {
	flags := scenarioFlags{Scenario: cmd.File}
	s, err := flags.load(c)
	if err != nil {
		return err
	}
	return c.printf("%s: %d servers, %d agents (%d real), %d events in %g s: ok\n",
		cmd.File, s.Fleet.Servers, s.Agents(), s.Fleet.Real, len(s.Events), s.Seconds)
}
