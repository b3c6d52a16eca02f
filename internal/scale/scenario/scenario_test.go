package scenario_test

import (
	"reflect"
	"strings"
	"testing"

	"example.org/ryeloft/internal/scale/scenario"
)

// minimalFile is the shortest valid file.
const minimalFile = `name = "t"
seconds = 60
[fleet]
servers = 20
services = 6
depth = 3
calls_per_second = 100
`

func TestDefaults(t *testing.T) {
	s, err := scenario.Parse([]byte(minimalFile))
	if err != nil {
		t.Fatal(err)
	}
	if s.Seed != 1 || s.Agents() != 20 || s.Fleet.Zones != 1 || s.Control.Log == 0 || len(s.Classes) == 0 {
		t.Errorf("got %+v, want the defaults", s)
	}
	given, err := scenario.Parse([]byte(minimalFile + "zones = 4\n[[classes]]\nname=\"x\"\nshare=1\neffect=\"pure\"\naim_ms=1\ndeadline_ms=1\n"))
	if err != nil {
		t.Fatal(err)
	}
	if given.Fleet.Zones != 4 || len(given.Classes) != 1 || given.Classes[0].Name != "x" {
		t.Errorf("got %+v, want the file's 4 zones and class x", given)
	}
	if again, _ := scenario.Parse([]byte(minimalFile)); !reflect.DeepEqual(s, again) {
		t.Error("got other values from the same file after parsing another one, want the same")
	}
}

func TestErrorsNameTheField(t *testing.T) {
	event := func(text string) string { return minimalFile + "regions = 2\nzones = 4\n[[events]]\n" + text }
	for name, c := range map[string]struct{ text, want string }{
		"not TOML":          {"name", "line 1"},
		"unknown key":       {minimalFile + "deep = 3\n", "fleet.deep: unknown key in line 8"},
		"unknown table":     {minimalFile + "[flet]\nservers = 3\n", "flet: unknown key"},
		"two unknown":       {minimalFile + "a = 1\nb = 2\n", "fleet.b: unknown key in line 9"},
		"wrong type":        {strings.Replace(minimalFile, "20", `"20"`, 1), "fleet.servers"},
		"no name":           {strings.Replace(minimalFile, `"t"`, `""`, 1), "name: "},
		"depth":             {strings.Replace(minimalFile, "depth = 3", "depth = 0", 1), "fleet.depth: must be 1 to 14, not 0"},
		"depth left out":    {strings.Replace(minimalFile, "depth = 3", "", 1), "fleet.depth: must be 1 to 14, not 0"},
		"no seconds":        {strings.Replace(minimalFile, "60", "0", 1), "seconds: must be above 0"},
		"not a number":      {strings.Replace(minimalFile, "60", "nan", 1), "seconds: must be above 0"},
		"many servers":      {strings.Replace(minimalFile, "20", "4097", 1), "fleet.servers: must be 1 to 4096, not 4097"},
		"more services":     {strings.Replace(minimalFile, "20", "5", 1), "fleet.services: 6 services need at least as many servers, not 5 (fleet.servers)"},
		"fewer than layers": {strings.Replace(minimalFile, "depth = 3", "depth = 6", 1), "fleet.services: 6 services are too few for the front layer and 6 layers below it (fleet.depth)"},
		"more real":         {minimalFile + "real = 21\n", "fleet.real: 21 real agents, but the fleet has only 20 agents (fleet.agents)"},
		"many real":         {minimalFile + "agents = 500\nreal = 201\n", "fleet.real: must be 0 to 200, not 201"},
		"zones":             {minimalFile + "zones = 3\nregions = 2\n", "fleet.zones: 3 zones cannot be divided evenly among 2 regions (fleet.regions)"},
		"cold":              {minimalFile + "cold_from = 0.0\n", "fleet.cold_from: must be above 0"},
		"sockets":           {minimalFile + "[agent]\nsockets = 10\n", "agent.sockets: must be 128"},
		"parallel":          {minimalFile + "[control]\nparallel = 0\n", "control.parallel: must be 1"},
		"relays":            {minimalFile + "[relays]\nadmit_per_s = 2\n", "relays.count: must be above 0 if other keys"},
		"admit":             {minimalFile + "[relays]\ncount = 2\n", "relays.admit_per_s: must be above 0"},
		"class effect":      {minimalFile + "[[classes]]\nname=\"a\"\nshare=1\naim_ms=1\ndeadline_ms=2\n", `classes[0].effect: "" is not one of pure`},
		"class deadline":    {minimalFile + "[[classes]]\nname=\"a\"\nshare=1\naim_ms=3\ndeadline_ms=2\neffect=\"pure\"\n", "classes[0].deadline_ms: must be 3 to"},
		"class window":      {minimalFile + "[[classes]]\nname=\"a\"\nshare=1\naim_ms=1\ndeadline_ms=2\neffect=\"token\"\n", "classes[0].window_ms: must be above 0"},
		"class shares":      {minimalFile + "[[classes]]\nname=\"a\"\nshare=0.5\naim_ms=1\ndeadline_ms=2\neffect=\"pure\"\n", "classes: the shares must add up to 1, not 0.5"},
		"budget":            {minimalFile + "[budgets]\nin_force_s = -1.0\n", "budgets.in_force_s: must be 0 to"},
		"event kind":        {event("kind=\"config\"\n[[events]]\nkind=\"config\"\n[[events]]\nkind=\"x\"\n"), `events[2].kind: "x" is unknown`},
		"event late":        {event("kind=\"config\"\nat_s=61.0\n"), "events[0].at_s: must be 0 to 60, not 61"},
		"event long":        {event("kind=\"control-loss\"\nat_s=30.0\nfor_s=31.0\n"), "events[0].at_s: the event ends at 61 s, after the run, which ends at 60 s (seconds)"},
		"drains too long":   {event("kind=\"replace\"\nat_s=56.0\ncount=1\n"), "events[0].at_s: the event ends at 63.5 s"},
		"no length":         {event("kind=\"zone\"\n"), "events[0].for_s: must be above 0 for zone"},
		"key of other kind": {event("kind=\"config\"\ncount=3\n"), "events[0].count: is not allowed for config"},
		"no such zone":      {event("kind=\"zone\"\nfor_s=1.0\nzone=4\n"), "events[0].zone: must be 0 to 3, not 4"},
		"no such rack":      {event("kind=\"rack\"\nfor_s=1.0\ncount=1\n"), "events[0].count: must be 0 to 0, not 1"},
		"no servers":        {event("kind=\"machine\"\nfor_s=1.0\n"), "events[0].count: must be 1 to 20, not 0"},
		"too many servers":  {event("kind=\"replace\"\ncount=21\n"), "events[0].count: must be 1 to 20, not 21"},
		"too many agents":   {event("kind=\"restart\"\ncount=21\n"), "events[0].count: must be 1 to 20, not 21"},
		"no share":          {event("kind=\"release\"\n"), "events[0].share: must be above 0"},
		"one region":        {minimalFile + "[[events]]\nkind=\"regions\"\nfor_s=1.0\n", "events[0].kind: regions needs at least 2 regions, not 1 (fleet.regions)"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := scenario.Parse([]byte(c.text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want %q", err, c.want)
			}
		})
	}
}

func TestOverride(t *testing.T) {
	n := func(i int) *int { return &i }
	f := func(v float64) *float64 { return &v }
	seed := uint64(9)
	for name, c := range map[string]struct {
		o    scenario.Overrides
		want string // text in the error; empty: no error
	}{
		"nothing":       {o: scenario.Overrides{}},
		"all":           {o: scenario.Overrides{Agents: n(7), Real: n(7), Servers: n(30), Services: n(30), Depth: n(14), Seed: &seed, Seconds: f(9), CallsPerSecond: f(1)}},
		"none real":     {o: scenario.Overrides{Real: n(0)}},
		"more agents":   {o: scenario.Overrides{Agents: n(4096)}},
		"relays":        {o: scenario.Overrides{Relays: n(5)}},
		"no relays":     {o: scenario.Overrides{Relays: n(0)}},
		"many relays":   {scenario.Overrides{Relays: n(17)}, "relays.count: must be 0 to 16, not 17"},
		"one layer":     {o: scenario.Overrides{Depth: n(1), Services: n(2), Servers: n(2), Real: n(0)}},
		"more services": {scenario.Overrides{Services: n(21)}, "fleet.services: 21 services need at least as many servers, not 20 (fleet.servers)"},
		"shorter":       {scenario.Overrides{Seconds: f(4)}, "events[0].at_s: must be 0 to 4, not 5"},
		"fewer servers": {scenario.Overrides{Servers: n(8)}, "events[0].count: must be 1 to 8, not 9"},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := scenario.Parse([]byte(minimalFile + "real = 2\n[control]\nchanges_day = 2880.0\n[[events]]\nkind=\"machine\"\ncount=9\nfor_s=1.0\nat_s=5.0\n"))
			if err != nil {
				t.Fatal(err)
			}
			if c.o.Servers != nil || c.o.Seconds != nil {
				if c.want == "" {
					s.Events = nil
				}
			}
			before := *s
			err = s.Override(c.o)
			if c.want != "" {
				if err == nil || !strings.Contains(err.Error(), c.want) {
					t.Errorf("got error %v, want %q", err, c.want)
				}
				if !reflect.DeepEqual(*s, before) {
					t.Error("got a changed scenario after a rejected override, want it unchanged")
				}
			} else if err != nil {
				t.Error(err)
			}
		})
	}
}

func TestChangesPerMinute(t *testing.T) {
	s, err := scenario.Parse([]byte(minimalFile + "[control]\nchanges_day = 2880.0\n"))
	if err != nil {
		t.Fatal(err)
	}
	if got := s.ChangesPerMinute(); got != 2 {
		t.Errorf("got %v per minute from the day's mean, want 2", got)
	}
	for _, want := range []float64{6, 0} {
		if err := s.Override(scenario.Overrides{ChangesPerMinute: &want}); err != nil || s.ChangesPerMinute() != want {
			t.Errorf("got %v per minute, error %v, want %v", s.ChangesPerMinute(), err, want)
		}
	}
}

// TestCommittedFiles guards against unintended changes of the sizes in the committed scenario files, and against events
// in them that overlap.
func TestCommittedFiles(t *testing.T) {
	for name, want := range map[string]struct{ servers, services, real, depth, events int }{
		"target": {830, 130, 40, 14, 12},
		"small":  {60, 12, 4, 4, 3},
		"tiny":   {16, 4, 2, 3, 3},
	} {
		s, err := scenario.Load("../../../deploy/scale/" + name + ".toml")
		if err != nil {
			t.Error(err)
			continue
		}
		f := s.Fleet
		if s.Name != name || f.Servers != want.servers || s.Agents() != want.servers || f.Services != want.services || f.Real != want.real ||
			f.Depth != want.depth || len(s.Events) != want.events {
			t.Errorf("%s: got %d agents, %d events, %+v, want %+v", name, s.Agents(), len(s.Events), f, want)
		}
		kinds := map[string]bool{}
		for i, e := range s.Events {
			kinds[e.Kind] = true
			if i > 0 && e.AtS < s.EventEnd(s.Events[i-1]) {
				t.Errorf("%s: events[%d] begins at %v s, want at least %v s, the end of the previous one",
					name, i, e.AtS, s.EventEnd(s.Events[i-1]))
			}
		}
		if name == "target" && len(kinds) != 11 {
			t.Errorf("target: got events of kinds %v, want 11 kinds", kinds)
		}
	}
	if _, err := scenario.Load("none.toml"); err == nil || !strings.Contains(err.Error(), "none.toml") {
		t.Errorf("missing file: got error %v, want none.toml in it", err)
	}
}
