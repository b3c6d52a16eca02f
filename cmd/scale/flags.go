package main

import (
	"example.org/ryeloft/internal/scale/run"
	"example.org/ryeloft/internal/scale/scenario"
)

// scenarioFlags are a scenario and the flags that replace what its file says.
type scenarioFlags struct {
	Scenario string `arg:"" help:"A scenario's TOML file."`

	Agents           *int     `placeholder:"N" help:"Agents in all, real ones among them; 0: one beside each server."`
	Real             *int     `placeholder:"N" help:"Agents that are real processes."`
	Servers          *int     `placeholder:"N" help:"Counter servers."`
	Services         *int     `placeholder:"N" help:"Services that the servers belong to."`
	Relays           *int     `placeholder:"N" help:"Relays of the list between control and the agents; 0: none."`
	Depth            *int     `placeholder:"N" help:"How deep calls go."`
	Seed             *uint64  `placeholder:"N" help:"What the world is drawn from."`
	Seconds          *float64 `placeholder:"S" help:"Length of the measured part."`
	CallsPerSecond   *float64 `placeholder:"X" help:"Calls a second of the fleet, at all depths."`
	ChangesPerMinute *float64 `placeholder:"X" help:"Changes of the configuration a minute."`
	AgentBinary      string   `placeholder:"PATH" help:"The real agents' program; built from this repository if absent."`
}

// load reads the scenario, replaces what the flags give and adjusts the rest to that.
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

// validate reports what of a scenario cannot be played.
func validate(s *scenario.Scenario) error {
	if err := s.Validate(); err != nil {
		return err
	}
	return run.Check(s)
}
