package scenario

import (
	"fmt"
	"slices"
)

// adjustment changes values of a scenario that are not overridden so that they are consistent with the overrides.
type adjustment struct {
	scenario  *Scenario
	overrides Overrides
	notes     []string // messages for the user, one per change
}

// AdjustTo makes the values of the file consistent with overrides that are applied afterwards: fewer servers mean fewer
// services, fewer services mean less depth, and a shorter run keeps only the events that end before it does. It returns
// a message for the user per change. It does not report conflicts among the overrides; Override does.
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

// lower reduces a value to the largest one that is consistent with the others, unless it is overridden.
func (a *adjustment) lower(field string, value, override *int, largest int) {
	if override == nil && largest >= 1 && *value > largest {
		a.note("%s: %d instead of the file's %d, to be consistent with the flags", field, largest, *value)
		*value = largest
	}
}

// adjustServices raises the number of services for an overridden depth, and lowers services and depth to what the
// number of servers allows.
func (a *adjustment) adjustServices(servers int) {
	fleet := &a.scenario.Fleet
	o := a.overrides
	services := valueOr(o.Services, fleet.Services)
	if o.Depth != nil && o.Services == nil {
		if needed := *o.Depth + 1; services < needed && needed <= servers {
			a.note("fleet.services: %d instead of the file's %d, to be consistent with the flags", needed, services)
			fleet.Services = needed
		}
	}
	a.lower("fleet.services", &fleet.Services, o.Services, servers)
	services = valueOr(o.Services, fleet.Services)
	a.lower("fleet.depth", &fleet.Depth, o.Depth, services-1)
}

// dropAfter removes the events that end after the given time and a relay failure that begins after it.
func (a *adjustment) dropAfter(seconds float64) {
	s := a.scenario
	s.Events = slices.DeleteFunc(s.Events, func(e Event) bool {
		if s.EventEnd(e) <= seconds {
			return false
		}
		a.note("events: %s at %g s is omitted, the run ends before the event does", e.Kind, e.AtS)
		return true
	})
	if s.Relays.KillAt > seconds {
		a.note("relays: no relay is killed at %g s, the run ends earlier", s.Relays.KillAt)
		s.Relays.KillAt = 0
		s.Relays.RestartAfter = 0
	}
}

// adjustEvents lowers the counts of events to the size of the fleet.
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

// valueOr returns the override, or the file's value if there is none.
func valueOr(override *int, file int) int {
	if override != nil {
		return *override
	}
	return file
}
