package main

import (
	"example.org/ryeloft/internal/scale/run"
	"example.org/ryeloft/internal/scale/scenario"
)

// scenarioFlags are a scenario file and the flags that override its values.
type scenarioFlags struct {
	Scenario string `arg:"" help:"A scenario's TOML file."`

	Agents           *int     `placeholder:"N" help:"Total number of agents, including real ones; 0: one per server."`
	Real             *int     `placeholder:"N" help:"Number of agents that are real processes."`
	Servers          *int     `placeholder:"N" help:"Number of servers."`
	Services         *int     `placeholder:"N" help:"Number of services that the servers belong to."`
	Relays           *int     `placeholder:"N" help:"Number of relays between control and the agents; 0: none."`
	Depth            *int     `placeholder:"N" help:"Depth of calls."`
	Seed             *uint64  `placeholder:"N" help:"Seed from which the fleet is generated."`
	Seconds          *float64 `placeholder:"S" help:"Length of the measurement period in seconds."`
	CallsPerSecond   *float64 `placeholder:"X" help:"Calls per second of the fleet, at all depths."`
	ChangesPerMinute *float64 `placeholder:"X" help:"Configuration changes per minute."`
	AgentBinary      string   `placeholder:"PATH" help:"Binary of the real agents; built from this repository if absent."`
}

// load reads the scenario, applies the flags and adjusts the other values to them.
func (f *scenarioFlags) load(c *console) (*scenario.Scenario, error) {
	s, err := scenario.Load(f.Scenario)
	if err != nil {
		return nil, usageError{err}
	}
	overrides := scenario.Overrides{
		Agents: f.Agents, Real: f.Real, Servers: f.Servers, Services: f.Services, Depth: f.Depth, Relays: f.Relays, Seed: f.Seed,
		Seconds: f.Seconds, ChangesPerMinute: f.ChangesPerMinute, CallsPerSecond: f.CallsPerSecond,
	}
	for _, note := range s.AdjustTo(overrides) {
		c.progress(note)
	}
	if err := s.Override(overrides); err != nil {
		return nil, usageError{err}
	}
	if err := validate(s); err != nil {
		return nil, usageError{err}
	}
	return s, nil
}

// validate returns an error if the scenario cannot be run.
func validate(s *scenario.Scenario) error {
	if err := s.Validate(); err != nil {
		return err
	}
	return run.Check(s)
}
