package simagent

import (
	"bytes"
	"math"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/lists"
	"example.org/ryeloft/internal/scale/scenario"
	"example.org/ryeloft/internal/scale/world"
)

// The rate of root calls and the calls per root call at each layer match the world's, and nearly all calls are served.
// Otherwise the model would not produce the load that the scenario describes.
func TestCallRatesPerLayer(t *testing.T) {
	w := tinyWorld(t, nil)
	f, _ := startFleet(t, w, nil)
	f.Begin()
	waitFor(t, "1500 root calls", func() bool { return f.mergedCounts().roots[phaseHealthy] >= 1500 })
	r := f.Stats()
	want := w.LayerRates()
	if expected := want[0] * r.Seconds; math.Abs(float64(r.Roots)-expected) > 5*math.Sqrt(expected)+1 {
		t.Errorf("got %d root calls in %.2f s, want %.0f", r.Roots, r.Seconds, expected)
	}
	if len(r.Depths) != len(want) {
		t.Fatalf("got %d layers, want %d: %+v", len(r.Depths), len(want), r.Depths)
	}
	for i, d := range r.Depths {
		expected := want[i] / want[0] * float64(r.Roots)
		if math.Abs(float64(d.Calls)-expected) > 6*math.Sqrt(expected)+30 { // and calls in flight
			t.Errorf("layer %d: got %d calls, want %.0f", d.Depth, d.Calls, expected)
		}
		if d.Attempts < d.OK || d.OK < d.Calls*97/100-30 {
			t.Errorf("layer %d: got %+v, want nearly all calls served", d.Depth, d)
		}
	}
	var roots, served int64
	for _, win := range r.Windows {
		roots, served = roots+win.Roots, served+win.Served
	}
	if roots != r.Roots || served != r.Depths[0].OK {
		t.Errorf("windows: got %d root calls and %d served, want %d and %d", roots, served, r.Roots, r.Depths[0].OK)
	}
	if r.Duplicates != 0 || r.ModelCPU <= 0 || r.ControlCPU <= 0 || r.Heap <= 0 || r.LagMS.N == 0 {
		t.Errorf("got %+v, want no duplicates and CPU time, heap and lag measured", r)
	}
}

// A list change comes into force at every agent within the platform's bound and is recorded per revision. No agent
// fetches the full list for it.
func TestListInForce(t *testing.T) {
	w := tinyWorld(t, nil)
	f, c := startFleet(t, w, nil)
	f.Begin()
	before := c.fullListCount()
	var made []time.Time
	for i := range 3 {
		m := w.Members(time.Now())[i]
		m.State = "Gone"
		made = append(made, time.Now())
		revision := c.change(m)
		waitFor(t, "the change in force at all agents", func() bool {
			l := f.Stats().Lists
			return len(l) == i+1 && !slices.Contains(l[i].At, 0) && l[i].Revision == revision
		})
	}
	for i, l := range f.Stats().Lists {
		for a, at := range l.At {
			if took := time.Duration(at - made[i].UnixNano()); took < 0 || took > balancer.NotifyBoundAfterFailure {
				t.Errorf("revision %d at agent %d: in force after %v, want within %v", l.Revision, a, took, balancer.NotifyBoundAfterFailure)
			}
		}
	}
	for _, a := range f.agents {
		a.shard.doSync(func() {
			if n := a.endpoints.Len(); n != len(w.Servers)-3 || len(a.serversByID) != n {
				t.Errorf("agent %d: got %d endpoints and %d resolved servers, want %d of each",
					a.position, n, len(a.serversByID), len(w.Servers)-3)
			}
		})
	}
	if n := c.fullListCount() - before; n != 0 {
		t.Errorf("got %d full lists requested, want 0", n)
	}
}

// Agents that start with a cached list fetch only its changes and no full list.
func TestCachedEndpoints(t *testing.T) {
	w := tinyWorld(t, nil)
	f, c := startFleet(t, w, func(o *Options) { o.CachedEndpoints = lists.Encode(1, true, w.Members(time.Now())) })
	waitFor(t, "all agents to have the endpoint list", func() bool { return f.countReady() == len(w.Agents) })
	if n := c.fullListCount(); n != 0 {
		t.Errorf("got %d full lists requested, want 0", n)
	}
}

// An agent that restarts with its cached list fetches only the changes. An agent that restarts without it fetches the
// full list exactly once.
func TestRestart(t *testing.T) {
	for _, c := range []struct {
		name      string
		forget    bool
		fullLists int
	}{{"with cached list", false, 0}, {"without cached list", true, 1}} {
		t.Run(c.name, func(t *testing.T) {
			w := tinyWorld(t, nil)
			f, disc := startFleet(t, w, nil)
			restart := []int{0, 3, 11}
			disc.awaitWatches(t, allAgents(w), 1, func() {})
			before := disc.fullListCount()
			disc.awaitWatches(t, restart, 2, func() {
				if err := f.Step(world.Step{Event: -1, Restart: restart, Forget: c.forget}); err != nil {
					t.Error(err)
				}
			})
			if n, want := disc.fullListCount()-before, c.fullLists*len(restart); n != want {
				t.Errorf("got %d full lists requested, want %d", n, want)
			}
			waitFor(t, "all agents to have the endpoint list", func() bool { return f.countReady() == len(w.Agents) })
			for _, a := range f.agents {
				a.shard.doSync(func() {
					if restarted := slices.Contains(restart, a.position); restarted != (a.incarnation > 1) || !a.hasList {
						t.Errorf("agent %d: got incarnation %d and hasList %v, want restarted %v and hasList true",
							a.position, a.incarnation, a.hasList, restarted)
					}
				})
			}
		})
	}
}

// Every agent adopts a new revision of the configuration, and its time is recorded, not before the source reaches the
// agent. An agent that rejects a revision keeps the old one and is counted. A reload makes an agent fetch at most one
// full list.
func TestConfigurationInForce(t *testing.T) {
	w := tinyWorld(t, nil)
	const rejecting, perAgent = 5, 2 * time.Millisecond
	f, c := startFleet(t, w, func(o *Options) {
		o.ConfigText = func(agent int, opt world.ConfigOptions) []byte {
			text := w.Config(agent, opt)
			if agent == rejecting && opt.Revision == 2 {
				text = bytes.Replace(text, []byte(`"maxAttempts":`), []byte(`"most":`), 1)
			}
			return text
		}
	})
	f.Begin()
	before := c.fullListCount()
	for _, revision := range []int{1, 2} {
		f.Configure(revision, perAgent)
	}
	c.awaitWatches(t, allAgents(w), 1, func() {
		waitFor(t, "both revisions rolled out", func() bool {
			r := f.Stats().Configs
			return len(r) == 2 && r[1].Rejected == 1 && !slices.ContainsFunc(allAgents(w), func(a int) bool {
				return a != rejecting && r[1].At[a] == 0
			})
		})
	})
	r := f.Stats()
	for i, conf := range r.Configs {
		if conf.Revision != i+1 || conf.Rejected != i {
			t.Errorf("got revision %d rejected by %d agents, want revision %d rejected by %d", conf.Revision, conf.Rejected, i+1, i)
		}
		for a, at := range conf.At {
			if rejected := i == 1 && a == rejecting; rejected != (at == 0) || !rejected && at < conf.Began+int64(a)*int64(perAgent) {
				t.Errorf("revision %d at agent %d: got in force %v after the start, want no sooner than %v, or never if rejected (%v)",
					conf.Revision, a, time.Duration(at-conf.Began), time.Duration(a)*perAgent, rejected)
			}
		}
	}
	for _, a := range f.agents {
		want := 2
		if a.position == rejecting {
			want = 1
		}
		deadline := time.Duration(w.Scenario.Classes[w.Services[w.Classes(a.position, false)[0]].Class].DeadlineMS*1000+float64(want)) * time.Microsecond
		if got := a.settings.Load().Balancer.Classes[0].Deadline; got != deadline {
			t.Errorf("agent %d: got deadline %v, want %v", a.position, got, deadline)
		}
	}
	if n := r.Control.ConfigInForce.N; n != int64(2*len(w.Agents)-1) {
		t.Errorf("got %d times in force, want %d", n, 2*len(w.Agents)-1)
	}
	if n := c.fullListCount() - before; n > 2*len(w.Agents)-1 {
		t.Errorf("got %d full lists requested for two revisions, want at most %d", n, 2*len(w.Agents)-1)
	}
}

// While the deepest service fails, its callers retry within their retry budgets. These calls are counted separately,
// and no non-idempotent call is sent twice.
func TestFailingDeepService(t *testing.T) {
	w := tinyWorld(t, func(s *scenario.Scenario) {
		for i := range s.Classes {
			s.Classes[i].Share = 1 / float64(len(s.Classes))
		}
	})
	f, _ := startFleet(t, w, nil)
	f.Begin()
	waitFor(t, "800 root calls before the failure", func() bool { return f.mergedCounts().roots[phaseHealthy] >= 800 })
	yes, no := true, false
	if err := f.Step(world.Step{Event: -1, Fail: &yes}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "800 root calls during the failure", func() bool { return f.mergedCounts().roots[phaseFailing] >= 800 })
	if err := f.Step(world.Step{Event: -1, Fail: &no}); err != nil {
		t.Fatal(err)
	}
	before := f.mergedCounts().roots[phaseHealthy]
	waitFor(t, "300 root calls after the failure", func() bool { return f.mergedCounts().roots[phaseHealthy] >= before+300 })
	r := f.Stats()
	deepest := r.Depths[len(r.Depths)-1]
	most := 1 + w.Scenario.Agent.RetryBudgetRatio + w.Scenario.Agent.RetryBudgetMin // attempts per call, however few calls there are
	if deepest.Amplification <= 1 || deepest.Amplification > most {
		t.Errorf("got amplification %.2f, want above 1 and at most %.2f: %+v", deepest.Amplification, most, deepest)
	}
	if deepest.FailOK >= deepest.FailCalls*9/10 || deepest.FailAttempts <= deepest.FailCalls*11/10 {
		t.Errorf("got %+v, want under 9/10 of the calls OK and over 11/10 attempts per call during the failure", deepest)
	}
	if r.FailRoots < 800 || r.Duplicates != 0 {
		t.Errorf("got %d root calls during the failure and %d duplicates, want at least 800 and 0", r.FailRoots, r.Duplicates)
	}
	if r.Retries[balancer.Idempotent] == 0 {
		t.Error("got no retries of idempotent calls")
	}
}

// Calls continue while a server's process has crashed or its machine is lost. The agent colocated with a lost machine
// stops and returns with it.
func TestServerOutageAndRecovery(t *testing.T) {
	for _, c := range []struct {
		name   string
		silent bool
	}{{"process crashed", false}, {"machine lost", true}} {
		t.Run(c.name, func(t *testing.T) {
			w := tinyWorld(t, nil)
			f, _ := startFleet(t, w, nil)
			f.Begin()
			down := w.Services[w.Deepest].Servers[0]
			if err := f.Step(world.Step{Event: -1, Down: []int{down}, Silent: c.silent}); err != nil {
				t.Fatal(err)
			}
			colocated := f.agentsByPosition[w.CallingAgent(down)]
			colocated.shard.doSync(func() {
				if colocated.isUp == c.silent {
					t.Errorf("colocated agent: got up %v, want %v", colocated.isUp, !c.silent)
				}
			})
			before := f.mergedCounts().roots[phaseHealthy]
			waitFor(t, "1000 root calls", func() bool { return f.mergedCounts().roots[phaseHealthy] >= before+1000 })
			if err := f.Step(world.Step{Event: -1, Up: []int{down}, Cold: true, Restart: []int{colocated.position}}); err != nil {
				t.Fatal(err)
			}
			waitFor(t, "all agents to have the endpoint list", func() bool { return f.countReady() == len(w.Agents) })
			s := f.servers[down]
			s.shard.doSync(func() {
				if s.state != serverUp || s.startedAt == 0 || s.slowStartFactor() >= 1 {
					t.Errorf("got state %d, start %v, slow start factor %v, want state %d, a start and a factor below 1",
						s.state, s.startedAt, s.slowStartFactor(), serverUp)
				}
			})
			r := f.Stats()
			if served := float64(r.Depths[0].OK) / float64(r.Roots); served < 0.9 || r.Duplicates != 0 {
				t.Errorf("got %.2f of the root calls served and %d duplicates, want at least 0.9 and 0", served, r.Duplicates)
			}
		})
	}
}

// Close must stop all goroutines of a fleet, even while agents restart and reload. A step after Close must start none.
func TestCloseStopsAllGoroutines(t *testing.T) {
	w := tinyWorld(t, nil)
	c := newFakeDiscovery(t, w)
	runtime.GC()
	before := runtime.NumGoroutine()
	f, err := Start(t.Context(), Options{World: w, Agents: allAgents(w), Discovery: c.addrs})
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Step(world.Step{Event: -1, Restart: allAgents(w)}); err != nil {
		t.Fatal(err)
	}
	f.Configure(1, time.Millisecond)
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the goroutines to end", func() bool { return runtime.NumGoroutine() <= before })
	if err := f.Step(world.Step{Event: -1, Restart: allAgents(w)}); err != nil {
		t.Error(err)
	}
	if f.agents[0].process != nil {
		t.Error("an agent runs after Close")
	}
	waitFor(t, "the goroutines of a step after Close to end", func() bool { return runtime.NumGoroutine() <= before })
}

// Start returns an error that names the invalid option.
func TestInvalidOptions(t *testing.T) {
	w := tinyWorld(t, nil)
	for want, change := range map[string]func(*Options){
		"no relays for agent 0":                             func(o *Options) { o.Relays = [][]string{} },
		"agent 99 is out of range: the world has 24 agents": func(o *Options) { o.Agents = []int{99} },
		"simulated agent 0": func(o *Options) {
			o.ConfigText = func(int, world.ConfigOptions) []byte { return []byte("{}") }
		},
	} {
		o := Options{World: w, Agents: []int{0}, Discovery: []string{"127.0.0.1:1"}}
		change(&o)
		if _, err := Start(t.Context(), o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one with %q", err, want)
		}
	}
}
