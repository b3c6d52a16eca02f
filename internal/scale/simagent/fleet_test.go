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

// Calls come to each layer as often as the world says, at the root by the second and below by the root, and nearly all
// are served.
func TestCallRatesPerLayer(t *testing.T) {
	w := tinyWorld(t, nil)
	f, _ := startFleet(t, w, nil)
	f.Begin()
	waitFor(t, "1500 calls at the root", func() bool { return f.mergedCounts().roots[phaseHealthy] >= 1500 })
	r := f.Stats()
	want := w.LayerRates()
	if expected := want[0] * r.Seconds; math.Abs(float64(r.Roots)-expected) > 5*math.Sqrt(expected)+1 {
		t.Errorf("%d roots in %.2f s, want %.0f", r.Roots, r.Seconds, expected)
	}
	if len(r.Depths) != len(want) {
		t.Fatalf("%d layers: %+v", len(r.Depths), r.Depths)
	}
	for i, d := range r.Depths {
		expected := want[i] / want[0] * float64(r.Roots)
		if math.Abs(float64(d.Calls)-expected) > 6*math.Sqrt(expected)+30 { // and what is under way
			t.Errorf("layer %d: %d calls, want %.0f", d.Depth, d.Calls, expected)
		}
		if d.Attempts < d.OK || d.OK < d.Calls*97/100-30 {
			t.Errorf("layer %d: %+v", d.Depth, d)
		}
	}
	var roots, served int64
	for _, win := range r.Windows {
		roots, served = roots+win.Roots, served+win.Served
	}
	if roots != r.Roots || served != r.Depths[0].OK {
		t.Errorf("windows: %d roots and %d served, want %d and %d", roots, served, r.Roots, r.Depths[0].OK)
	}
	if r.Duplicates != 0 || r.ModelCPU <= 0 || r.ControlCPU <= 0 || r.Heap <= 0 || r.LagMS.N == 0 {
		t.Errorf("%+v", r)
	}
}

// A change of the list is in force at every agent within the platform's bound, its time is noted by revision, and nobody
// asks for the whole list for it.
func TestListInForce(t *testing.T) {
	w := tinyWorld(t, nil)
	f, c := startFleet(t, w, nil)
	f.Begin()
	asked := c.fullListCount()
	var made []time.Time
	for i := range 3 {
		m := w.Members(time.Now())[i]
		m.State = "Gone"
		made = append(made, time.Now())
		revision := c.change(m)
		waitFor(t, "all agents have the change", func() bool {
			l := f.Stats().Lists
			return len(l) == i+1 && !slices.Contains(l[i].At, 0) && l[i].Revision == revision
		})
	}
	for i, l := range f.Stats().Lists {
		for a, at := range l.At {
			if took := time.Duration(at - made[i].UnixNano()); took < 0 || took > balancer.NotifyBoundAfterFailure {
				t.Errorf("revision %d at agent %d: after %v", l.Revision, a, took)
			}
		}
	}
	for _, a := range f.agents {
		a.shard.doSync(func() {
			if n := a.endpoints.Len(); n != len(w.Servers)-3 || len(a.serversByID) != n {
				t.Errorf("agent %d knows %d servers and where %d are", a.position, n, len(a.serversByID))
			}
		})
	}
	if n := c.fullListCount() - asked; n != 0 {
		t.Errorf("%d full lists were asked for", n)
	}
}

// Agents that start with a cached list ask for its changes only.
func TestCachedEndpoints(t *testing.T) {
	w := tinyWorld(t, nil)
	f, c := startFleet(t, w, func(o *Options) { o.CachedEndpoints = lists.Encode(1, true, w.Members(time.Now())) })
	waitFor(t, "all hold the list", func() bool { return f.countReady() == len(w.Agents) })
	if n := c.fullListCount(); n != 0 {
		t.Errorf("%d full lists were asked for", n)
	}
}

// An agent that restarts with the list that it held asks for its changes only; one that forgot it asks for the whole
// list once.
func TestRestart(t *testing.T) {
	for _, c := range []struct {
		name   string
		forget bool
		whole  int
	}{{"known", false, 0}, {"forgotten", true, 1}} {
		t.Run(c.name, func(t *testing.T) {
			w := tinyWorld(t, nil)
			f, ctl := startFleet(t, w, nil)
			restart := []int{0, 3, 11}
			ctl.awaitWatches(t, allAgents(w), 1, func() {})
			asked := ctl.fullListCount()
			ctl.awaitWatches(t, restart, 2, func() {
				if err := f.Step(world.Step{Event: -1, Restart: restart, Forget: c.forget}); err != nil {
					t.Error(err)
				}
			})
			if n := ctl.fullListCount() - asked; n != c.whole*len(restart) {
				t.Errorf("%d full lists were asked for", n)
			}
			waitFor(t, "all hold the list", func() bool { return f.countReady() == len(w.Agents) })
			for _, a := range f.agents {
				a.shard.doSync(func() {
					if again := slices.Contains(restart, a.position); again != (a.incarnation > 1) || !a.hasList {
						t.Errorf("agent %d: incarnation %d, ready %v", a.position, a.incarnation, a.hasList)
					}
				})
			}
		})
	}
}

// A revision of the configuration is adopted by every agent, at times that are noted and no sooner than its turn at the
// source; an agent that cannot use it keeps the old one and is counted. None asks for more than one whole list.
func TestConfigurationInForce(t *testing.T) {
	w := tinyWorld(t, nil)
	const bad, push = 5, 2 * time.Millisecond
	f, c := startFleet(t, w, func(o *Options) {
		o.ConfigText = func(agent int, opt world.ConfigOptions) []byte {
			text := w.Config(agent, opt)
			if agent == bad && opt.Revision == 2 {
				text = bytes.Replace(text, []byte(`"maxAttempts":`), []byte(`"most":`), 1)
			}
			return text
		}
	})
	f.Begin()
	asked := c.fullListCount()
	for _, revision := range []int{1, 2} {
		f.Configure(revision, push)
	}
	c.awaitWatches(t, allAgents(w), 1, func() {
		waitFor(t, "both handed out", func() bool {
			r := f.Stats().Configs
			return len(r) == 2 && r[1].Rejected == 1 && !slices.ContainsFunc(allAgents(w), func(a int) bool {
				return a != bad && r[1].At[a] == 0
			})
		})
	})
	r := f.Stats()
	for i, conf := range r.Configs {
		if conf.Revision != i+1 || conf.Rejected != i {
			t.Errorf("%+v", conf)
		}
		for a, at := range conf.At {
			if refused := i == 1 && a == bad; refused != (at == 0) || !refused && at < conf.Began+int64(a)*int64(push) {
				t.Errorf("revision %d at agent %d: %v after it began", conf.Revision, a, time.Duration(at-conf.Began))
			}
		}
	}
	for _, a := range f.agents {
		want := 2
		if a.position == bad {
			want = 1
		}
		deadline := time.Duration(w.Scenario.Classes[w.Services[w.Classes(a.position, false)[0]].Class].DeadlineMS*1000+float64(want)) * time.Microsecond
		if got := a.settings.Load().Balancer.Classes[0].Deadline; got != deadline {
			t.Errorf("agent %d: deadline %v, want %v", a.position, got, deadline)
		}
	}
	if n := r.Control.ConfigInForce.N; n != int64(2*len(w.Agents)-1) {
		t.Errorf("%d times", n)
	}
	if n := c.fullListCount() - asked; n > 2*len(w.Agents)-1 {
		t.Errorf("%d full lists were asked for, by %d agents for two revisions", n, len(w.Agents))
	}
}

// While the deepest service fails its callers try again, up to their budgets; what failed is counted apart, and no call
// with an effect is sent twice.
func TestFailingDeepService(t *testing.T) {
	w := tinyWorld(t, func(s *scenario.Scenario) {
		for i := range s.Classes {
			s.Classes[i].Share = 1 / float64(len(s.Classes))
		}
	})
	f, _ := startFleet(t, w, nil)
	f.Begin()
	waitFor(t, "800 calls in peace", func() bool { return f.mergedCounts().roots[phaseHealthy] >= 800 })
	yes, no := true, false
	if err := f.Step(world.Step{Event: -1, Fail: &yes}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "800 calls meanwhile", func() bool { return f.mergedCounts().roots[phaseFailing] >= 800 })
	if err := f.Step(world.Step{Event: -1, Fail: &no}); err != nil {
		t.Fatal(err)
	}
	before := f.mergedCounts().roots[phaseHealthy]
	waitFor(t, "300 calls after", func() bool { return f.mergedCounts().roots[phaseHealthy] >= before+300 })
	r := f.Stats()
	deepest := r.Depths[len(r.Depths)-1]
	most := 1 + w.Scenario.Agent.RetryBudgetRatio + w.Scenario.Agent.RetryBudgetMin // attempts for each call, however few they are
	if deepest.Amplification <= 1 || deepest.Amplification > most {
		t.Errorf("amplified by %.2f: %+v", deepest.Amplification, deepest)
	}
	if deepest.FailOK >= deepest.FailCalls*9/10 || deepest.FailAttempts <= deepest.FailCalls*11/10 {
		t.Errorf("%+v", deepest)
	}
	if r.FailRoots < 800 || r.Duplicates != 0 {
		t.Errorf("%d roots meanwhile, %d calls doubled", r.FailRoots, r.Duplicates)
	}
	if r.Retries[balancer.Idempotent] == 0 {
		t.Error("no pure call was tried again")
	}
}

// A server whose process has died is left alone, and one whose machine has vanished is too, with its agent, which comes
// back with it; calls go on.
func TestServerOutageAndRecovery(t *testing.T) {
	for _, c := range []struct {
		name   string
		silent bool
	}{{"died", false}, {"vanished", true}} {
		t.Run(c.name, func(t *testing.T) {
			w := tinyWorld(t, nil)
			f, _ := startFleet(t, w, nil)
			f.Begin()
			down := w.Services[w.Deepest].Servers[0]
			if err := f.Step(world.Step{Event: -1, Down: []int{down}, Silent: c.silent}); err != nil {
				t.Fatal(err)
			}
			beside := f.agentsByPosition[w.CallingAgent(down)]
			beside.shard.doSync(func() {
				if beside.isUp == c.silent {
					t.Errorf("its agent runs: %v", beside.isUp)
				}
			})
			begun := f.mergedCounts().roots[phaseHealthy]
			waitFor(t, "1000 calls", func() bool { return f.mergedCounts().roots[phaseHealthy] >= begun+1000 })
			if err := f.Step(world.Step{Event: -1, Up: []int{down}, Cold: true, Restart: []int{beside.position}}); err != nil {
				t.Fatal(err)
			}
			waitFor(t, "all hold the list", func() bool { return f.countReady() == len(w.Agents) })
			s := f.servers[down]
			s.shard.doSync(func() {
				if s.state != serverUp || s.startedAt == 0 || s.slowStartFactor() >= 1 {
					t.Errorf("state %d, start %v, warmth %v", s.state, s.startedAt, s.slowStartFactor())
				}
			})
			r := f.Stats()
			if served := float64(r.Depths[0].OK) / float64(r.Roots); served < 0.9 || r.Duplicates != 0 {
				t.Errorf("%.2f served, %d doubled", served, r.Duplicates)
			}
		})
	}
}

// Nothing of a fleet runs on after its end, whatever its agents were doing.
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
	waitFor(t, "the goroutines end", func() bool { return runtime.NumGoroutine() <= before })
	if err := f.Step(world.Step{Event: -1, Restart: allAgents(w)}); err != nil {
		t.Error(err)
	}
	if f.agents[0].process != nil {
		t.Error("an agent runs after the end")
	}
	waitFor(t, "the goroutines of a step after the end end", func() bool { return runtime.NumGoroutine() <= before })
}

// Options that cannot be used are named.
func TestInvalidOptions(t *testing.T) {
	w := tinyWorld(t, nil)
	for want, change := range map[string]func(*Options){
		"no relays for agent 0":                             func(o *Options) { o.Relays = [][]string{} },
		"agent 99 is out of range: the world has 24 agents": func(o *Options) { o.Agents = []int{99} },
		"simulated agent 0":                                 func(o *Options) { o.ConfigText = func(int, world.ConfigOptions) []byte { return []byte("{}") } },
	} {
		o := Options{World: w, Agents: []int{0}, Discovery: []string{"127.0.0.1:1"}}
		change(&o)
		if _, err := Start(t.Context(), o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
