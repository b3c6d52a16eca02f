package world_test

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/scale/scenario"
	"example.org/ryeloft/internal/scale/world"
	"example.org/ryeloft/internal/settings"
)

// measurementStart is the start of the measurement period of the runs in these tests.
var measurementStart = time.UnixMilli(1_750_000_000_000)

// fleet returns a scenario of the size of the target, modified by change.
func fleet(t *testing.T, change func(*scenario.Scenario)) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse([]byte(`name = "t"
seconds = 200
[fleet]
servers = 830
services = 130
real = 40
depth = 14
calls_per_second = 34000
regions = 2
zones = 8
racks = 4
uneven = 0.8
`))
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(s)
	}
	return s
}

func generate(t *testing.T, s *scenario.Scenario) *world.World {
	t.Helper()
	w, err := world.Generate(s)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// shapes are fleet sizes that a sweep may reach, and edge cases.
var shapes = map[string]func(*scenario.Scenario){
	"target":             nil,
	"no real agents":     func(s *scenario.Scenario) { s.Fleet.Real = 0 },
	"fewer agents":       func(s *scenario.Scenario) { s.Fleet.Agents = 200 },
	"few agents":         func(s *scenario.Scenario) { s.Fleet.Agents, s.Fleet.Real = 9, 3 },
	"one agent":          func(s *scenario.Scenario) { s.Fleet.Agents, s.Fleet.Real = 1, 0 },
	"more agents":        func(s *scenario.Scenario) { s.Fleet.Agents = 2000 },
	"one layer":          func(s *scenario.Scenario) { s.Fleet.Depth = 1 },
	"server per service": func(s *scenario.Scenario) { s.Fleet.Services, s.Fleet.Servers = 300, 300 },
	"service per layer":  func(s *scenario.Scenario) { s.Fleet.Services = 15 },
	"smallest":           func(s *scenario.Scenario) { s.Fleet = small(s.Fleet, 2, 2, 1) },
	"small":              func(s *scenario.Scenario) { s.Fleet = small(s.Fleet, 16, 4, 3) },
	"equal services":     func(s *scenario.Scenario) { s.Fleet.Uneven = 0 },
	"very uneven":        func(s *scenario.Scenario) { s.Fleet.Uneven = 3 },
	"one zone":           func(s *scenario.Scenario) { s.Fleet.Zones, s.Fleet.Regions = 1, 1 },
	"largest":            func(s *scenario.Scenario) { s.Fleet.Servers, s.Fleet.Services = 4096, 1024 },
	"all but one real":   func(s *scenario.Scenario) { s.Fleet = small(s.Fleet, 16, 4, 3); s.Fleet.Real = 15 },
}

func small(f scenario.Fleet, servers, services, depth int) scenario.Fleet {
	f.Servers, f.Services, f.Depth, f.Real = servers, services, depth, 0
	return f
}

func TestGenerate(t *testing.T) {
	for name, change := range shapes {
		t.Run(name, func(t *testing.T) {
			s := fleet(t, change)
			w := generate(t, s)
			checkServices(t, w)
			checkServers(t, w)
			checkAgents(t, w)
			rates := w.LayerRates()
			total := 0.0
			for _, rate := range rates {
				total += rate
			}
			if len(rates) != s.Fleet.Depth || math.Abs(total/s.Fleet.CallsPerSecond-1) > 1e-9 {
				t.Errorf("got %v calls per second in %d layers, want %v in %d", total, len(rates), s.Fleet.CallsPerSecond, s.Fleet.Depth)
			}
			if again := generate(t, fleet(t, change)); !reflect.DeepEqual(w, again) {
				t.Error("the same scenario gave a different world")
			}
		})
	}
}

// checkServices checks that the services' sizes add up to the fleet, that calls go exactly one layer down, and that the
// deepest service is reached at the full depth.
func checkServices(t *testing.T, w *world.World) {
	t.Helper()
	f := &w.Scenario.Fleet
	servers, deepest, called := 0, make([]int, len(w.Services)), make([]bool, len(w.Services))
	for i, s := range w.Services {
		servers += len(s.Servers)
		if len(s.Servers) < 1 || s.Work <= 0 || s.Layer > 0 && !called[i] {
			t.Errorf("%s: got %d servers, work %v, called %v", s.Name, len(s.Servers), s.Work, called[i])
		}
		chances := 0.0
		for _, c := range s.Calls {
			called[c.Service] = true
			deepest[c.Service] = max(deepest[c.Service], deepest[i]+1)
			chances += c.Chance
			if w.Services[c.Service].Layer != s.Layer+1 || !(c.Chance > 0 && c.Chance <= 1) {
				t.Errorf("%s of layer %d: got invalid call %+v", s.Name, s.Layer, c)
			}
		}
		if s.Layer == 0 && math.Abs(chances-1) > 1e-9 || s.Layer < f.Depth && chances == 0 {
			t.Errorf("%s of layer %d: got chances that add up to %v", s.Name, s.Layer, chances)
		}
	}
	if servers != f.Servers || len(w.Services) != f.Services || deepest[w.Deepest] != f.Depth {
		t.Errorf("got %d servers in %d services, depth %d of the deepest one; want %d, %d and %d",
			servers, len(w.Services), deepest[w.Deepest], f.Servers, f.Services, f.Depth)
	}
}

func checkServers(t *testing.T, w *world.World) {
	t.Helper()
	f := &w.Scenario.Fleet
	seen, zones := map[string]bool{}, map[int]int{}
	for i, s := range w.Servers {
		at, ok := w.ServerPosition(s.ID)
		switch {
		case seen[s.ID] || seen[s.Addr]:
			t.Errorf("duplicate ID %s or address %s", s.ID, s.Addr)
		case !ok || at != i:
			t.Errorf("%s: got position %d, %v, want %d", s.ID, at, ok, i)
		case s.Zone >= f.Zones || s.Region != s.Zone/(f.Zones/f.Regions) || s.Rack >= f.Racks || s.Speed < 0.6 || s.Speed > 1.5:
			t.Errorf("server %d has invalid values: %+v", i, s)
		}
		seen[s.ID], seen[s.Addr] = true, true
		zones[s.Zone]++
	}
	if len(w.Zones) != f.Zones || f.Servers > 500 && len(zones) != f.Zones {
		t.Errorf("got %d zones and servers per zone %v, want %d zones", len(w.Zones), zones, f.Zones)
	}
}

func checkAgents(t *testing.T, w *world.World) {
	t.Helper()
	real := 0
	for i, a := range w.Agents {
		if a.Real {
			real++
		}
		front := w.Services[w.Servers[a.Server].Service].Layer == 0
		if a.Server != i%len(w.Servers) || (a.RootCallsPerSecond > 0) != (front && !a.Real) {
			t.Errorf("agent %d has a wrong server or rate of root calls: %+v", i, a)
		}
	}
	if real != w.Scenario.Fleet.Real || len(w.Agents) != w.Scenario.Agents() {
		t.Errorf("got %d real agents of %d, want %d of %d", real, len(w.Agents), w.Scenario.Fleet.Real, w.Scenario.Agents())
	}
	for i, s := range w.Servers {
		if a := w.CallingAgent(i); a >= 0 && (w.Agents[a].Real || w.Servers[w.Agents[a].Server].Service != s.Service) {
			t.Errorf("server %d: got calling agent %d, which is real or of another service", i, a)
		}
	}
}

func TestSeedsDiffer(t *testing.T) {
	a := generate(t, fleet(t, nil))
	b := generate(t, fleet(t, func(s *scenario.Scenario) { s.Seed = 2 }))
	if reflect.DeepEqual(a.Services, b.Services) || a.Servers[0].ID == b.Servers[0].ID {
		t.Error("two seeds gave the same services or server IDs")
	}
}

// TestRealAgentsDoNotChangeTheFleet checks that the number of real agents does not affect servers and services.
func TestRealAgentsDoNotChangeTheFleet(t *testing.T) {
	a, b := generate(t, fleet(t, nil)), generate(t, fleet(t, shapes["no real agents"]))
	if !reflect.DeepEqual(a.Servers, b.Servers) || !reflect.DeepEqual(a.Services, b.Services) {
		t.Error("40 real agents changed the services or servers")
	}
}

func TestAllAgentsReal(t *testing.T) {
	w := generate(t, fleet(t, func(s *scenario.Scenario) { s.Fleet = small(s.Fleet, 16, 4, 3); s.Fleet.Real = 16 }))
	if got := w.LayerRates(); !reflect.DeepEqual(got, []float64{0, 0, 0}) {
		t.Errorf("got %v calls per second without simulated agents, want 0", got)
	}
}

// TestFleetHasCapacityForItsCalls checks that no service of the committed scenarios is utilized by more than half, and
// that the mean work per call is the scenario's.
func TestFleetHasCapacityForItsCalls(t *testing.T) {
	for _, name := range []string{"target", "small", "tiny"} {
		s, err := scenario.Load("../../../deploy/scale/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		w := generate(t, s)
		work, calls, capacity, maxUtilization := 0.0, 0.0, 0.0, 0.0
		for i, rate := range w.ServiceRates() {
			s, serviceCapacity := w.Services[i], 0.0
			for _, server := range s.Servers {
				serviceCapacity += w.Servers[server].Speed * float64(w.Servers[server].Slots)
			}
			maxUtilization = max(maxUtilization, rate*s.Work.Seconds()/serviceCapacity)
			work, calls, capacity = work+rate*s.Work.Seconds(), calls+rate, capacity+serviceCapacity
		}
		t.Logf("%s: utilization is %.3f on average, %.3f at the busiest service", name, work/capacity, maxUtilization)
		if maxUtilization > 0.5 {
			t.Errorf("%s: got utilization %.2f of a service, want at most 0.5", name, maxUtilization)
		}
		if mean := work / calls * 1000; math.Abs(mean-s.Fleet.ServiceMS) > 1e-3 {
			t.Errorf("%s: got mean work of %v ms per call, want %v", name, mean, s.Fleet.ServiceMS)
		}
	}
}

// TestSettings checks that an agent accepts its settings, and that their classes are the services that its own service
// calls.
func TestSettings(t *testing.T) {
	for name, change := range shapes {
		t.Run(name, func(t *testing.T) {
			w := generate(t, fleet(t, change))
			w.AddEcho([]string{"127.0.0.1:1", "127.0.0.1:2"})
			step := 1
			if name != "target" {
				step = max(1, len(w.Agents)/50)
			}
			for i := 0; i < len(w.Agents); i += step {
				a, text := w.Agents[i], w.Settings(i, 3)
				if len(text) > 3000 && name == "target" {
					t.Errorf("agent %d: got %d bytes, want at most 3000", i, len(text))
				}
				got, err := settings.Parse(text)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := balancer.New(got.Balancer, 1); err != nil {
					t.Fatalf("agent %d: %v", i, err)
				}
				own := w.Services[w.Servers[a.Server].Service]
				want := len(own.Calls)
				if a.Real || want == 0 { // the echo service, or its own service
					want++
				}
				if len(got.ClassNames) != want {
					t.Errorf("agent %d of %s: got classes %v, want %d", i, own.Name, got.ClassNames, want)
				}
				for c, class := range got.Balancer.Classes {
					if len(class.Kinds) != 1 || got.KindNames[class.Kinds[0]] != got.ClassNames[c] {
						t.Errorf("agent %d, class %s: got kinds %v, want only the service of that name", i, got.ClassNames[c], class.Kinds)
					}
				}
			}
		})
	}
}

// TestRevisionsDiffer checks that each revision of the settings has a different text.
func TestRevisionsDiffer(t *testing.T) {
	w := generate(t, fleet(t, nil))
	seen := map[string]bool{}
	for revision := range 3000 {
		text := w.Settings(5, revision)
		if seen[string(text)] {
			t.Fatalf("revision %d has the same text as an earlier one", revision)
		}
		seen[string(text)] = true
	}
}

func TestConfig(t *testing.T) {
	w := generate(t, fleet(t, nil))
	w.AddEcho([]string{"127.0.0.1:1"})
	o := world.ConfigOptions{Listen: "127.0.0.1:2", Discovery: "127.64.0.1:3", Seed: 1}
	for name, c := range map[string]struct {
		change func(*world.ConfigOptions)
		keys   []string // in addition to those that are always present
		echo   int      // number of echo classes
	}{
		"plain":  {change: func(*world.ConfigOptions) {}},
		"relays": {change: func(o *world.ConfigOptions) { o.Relays = []string{"127.65.0.1:3"} }, keys: []string{"relays"}},
		"cached": {change: func(o *world.ConfigOptions) { o.CachedEndpoints = []byte(`{"revision":1}`) }, keys: []string{"known"}},
		"all": {change: func(o *world.ConfigOptions) {
			o.Console, o.Echo = "127.0.0.1:4", true
		}, keys: []string{"console"}, echo: 1},
	} {
		t.Run(name, func(t *testing.T) {
			options := o
			c.change(&options)
			var got map[string]any
			if err := json.Unmarshal(w.Config(7, options), &got); err != nil {
				t.Fatal(err)
			}
			keys := append([]string{"name", "listen", "discovery", "seed", "limits", "settings"}, c.keys...)
			for _, key := range keys {
				if got[key] == nil {
					t.Errorf("key %q is missing", key)
				}
			}
			if len(got) != len(keys) || got["seed"] != "0000000000000001" || got["name"] != "n7" {
				t.Errorf("got %v, want only the keys %q, seed 0000000000000001 and name n7", got, keys)
			}
			classes := got["settings"].(map[string]any)["categories"].([]any)
			if want := len(w.Classes(7, false)) + c.echo; len(classes) != want {
				t.Errorf("got %d classes, want %d: %v", len(classes), want, fmt.Sprint(classes))
			}
		})
	}
}
