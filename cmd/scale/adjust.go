package main

import (
	"fmt"
	"slices"

	"example.org/ryeloft/internal/scale/scenario"
)

// adjustToFlags makes what the file says, and no flag does, go with the flags: fewer servers carry fewer services, which are less
// deep, and a shorter run has the events that end in it. It returns what it changed, for people. Flags that do not go
// together are left as they are, for the scenario's own checks to name.
func adjustToFlags(s *scenario.Scenario, flags *scenarioFlags) (notes []string) {
	lower := func(field string, v *int, flag *int, most int) {
		if flag == nil && most >= 1 && *v > most {
			notes = append(notes, fmt.Sprintf("%s: %d instead of the file's %d, to go with the flags", field, most, *v))
			*v = most
		}
	}
	servers, services := flagOr(flags.Servers, s.Fleet.Servers), flagOr(flags.Services, s.Fleet.Services)
	if flags.Depth != nil && flags.Services == nil && services < *flags.Depth+1 && *flags.Depth+1 <= servers {
		notes = append(notes, fmt.Sprintf("fleet.services: %d instead of the file's %d, to go with the flags", *flags.Depth+1, services))
		s.Fleet.Services = *flags.Depth + 1
	}
	lower("fleet.services", &s.Fleet.Services, flags.Services, servers)
	services = flagOr(flags.Services, s.Fleet.Services)
	lower("fleet.depth", &s.Fleet.Depth, flags.Depth, services-1)
	agents := flagOr(flags.Agents, s.Fleet.Agents)
	if agents == 0 {
		agents = servers
	}
	lower("fleet.real", &s.Fleet.Real, flags.Real, agents)
	if flags.Seconds != nil {
		s.Events = slices.DeleteFunc(s.Events, func(e scenario.Event) bool {
			late := s.EventEnd(e) > *flags.Seconds
			if late {
				notes = append(notes, fmt.Sprintf("events: %s at %g s is left out, the run is over before it", e.Kind, e.AtS))
			}
			return late
		})
		if s.Relays.KillAt > *flags.Seconds {
			notes = append(notes, fmt.Sprintf("relays: the one killed at %g s is left alone, the run is over before it", s.Relays.KillAt))
			s.Relays.KillAt, s.Relays.RestartAfter = 0, 0
		}
	}
	for i := range s.Events {
		e := &s.Events[i]
		switch e.Kind {
		case "restart":
			lower(fmt.Sprintf("events[%d].count", i), &e.Count, nil, agents)
		case "replace", "machine":
			lower(fmt.Sprintf("events[%d].count", i), &e.Count, nil, servers)
		}
	}
	return notes
}

// flagOr is a flag's value, or the file's where there is no flag.
func flagOr(flag *int, file int) int {
	if flag != nil {
		return *flag
	}
	return file
}
