package scenario

import (
	"fmt"
	"slices"
)

// adjustment lowers values of a scenario that no override gives, so that they go with those that are given.
type adjustment struct {
	scenario  *Scenario
	overrides Overrides
	notes     []string // what was changed, for people
}

// AdjustTo makes values of the file go with overrides that are to follow: fewer servers carry fewer services, which are
// less deep, and a shorter run has the events that end in it. It returns what it changed, for people. Overrides that do
// not go together are left for Override to report.
func (s *Scenario) AdjustTo(o Overrides) (notes []string) {
	a := &adjustment{scenario: s, overrides: o}
	servers := valueOr(o.Servers, s.Fleet.Servers)
	agents := valueOr(o.Agents, s.Fleet.Agents)
	if agents == 0 {
		agents = servers
	}
	a.adjustServices(servers)
	a.lower("fleet.real", &s.Fleet.Real, o.Real, agents)
	if o.Seconds != nil {
		a.dropAfter(*o.Seconds)
	}
	a.adjustEvents(servers, agents)
	return a.notes
}

func (a *adjustment) note(format string, args ...any) {
	a.notes = append(a.notes, fmt.Sprintf(format, args...))
}

// lower lowers a value that no override gives to the largest one that goes with the others.
func (a *adjustment) lower(field string, value, override *int, largest int) {
	if override == nil && largest >= 1 && *value > largest {
		a.note("%s: %d instead of the file's %d, to go with the flags", field, largest, *value)
		*value = largest
	}
}

// adjustServices makes the services enough for a depth that is given, and services and depth few enough for the servers.
func (a *adjustment) adjustServices(servers int) {
	fleet := &a.scenario.Fleet
	o := a.overrides
	services := valueOr(o.Services, fleet.Services)
	if o.Depth != nil && o.Services == nil {
		if needed := *o.Depth + 1; services < needed && needed <= servers {
			a.note("fleet.services: %d instead of the file's %d, to go with the flags", needed, services)
			fleet.Services = needed
		}
	}
	a.lower("fleet.services", &fleet.Services, o.Services, servers)
	services = valueOr(o.Services, fleet.Services)
	a.lower("fleet.depth", &fleet.Depth, o.Depth, services-1)
}

// dropAfter drops the events, and the failure of a relay, that a shorter run does not have.
func (a *adjustment) dropAfter(seconds float64) {
	s := a.scenario
	s.Events = slices.DeleteFunc(s.Events, func(e Event) bool {
		if s.EventEnd(e) <= seconds {
			return false
		}
		a.note("events: %s at %g s is left out, the run is over before it", e.Kind, e.AtS)
		return true
	})
	if s.Relays.KillAt > seconds {
		a.note("relays: the one killed at %g s is left alone, the run is over before it", s.Relays.KillAt)
		s.Relays.KillAt = 0
		s.Relays.RestartAfter = 0
	}
}

// adjustEvents lowers the counts of events to what the fleet has.
func (a *adjustment) adjustEvents(servers, agents int) {
	for i := range a.scenario.Events {
		e := &a.scenario.Events[i]
		field := fmt.Sprintf("events[%d].count", i)
		switch e.Kind {
		case EventRestart:
			a.lower(field, &e.Count, nil, agents)
		case EventReplace, EventMachine:
			a.lower(field, &e.Count, nil, servers)
		}
	}
}

// valueOr is an override's value, or the file's where there is none.
func valueOr(override *int, file int) int {
	if override != nil {
		return *override
	}
	return file
}
