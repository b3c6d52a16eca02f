package simagent

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/config"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/scale/scenario"
	"example.org/ryeloft/internal/scale/world"
	"example.org/ryeloft/internal/settings"
)

// manualClock is a clock that stands still until somebody waits.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration                          { return c.now }
func (c *manualClock) Wait(until time.Duration, _ <-chan struct{}) { c.now = max(c.now, until) }

// model is a fleet of one shard in a test's hands, with a clock that jumps and no discovery.
type model struct {
	*Fleet
	clock *manualClock
}

func newModel(t *testing.T, change func(*scenario.Scenario)) *model {
	t.Helper()
	w := tinyWorld(t, change)
	clock := &manualClock{time.Duration(time.Now().UnixNano())}
	addrs := slices.Repeat([]string{"127.0.0.1:1"}, len(w.Agents))
	f, err := newFleet(Options{World: w, Agents: allAgents(w), Discovery: addrs, Shards: 1, Clock: clock})
	if err != nil {
		t.Fatal(err)
	}
	f.shards[0].counts.startedAt = clock.now
	f.shards[0].now = clock.now
	for _, a := range f.agents {
		a.rootCallsPerSecond = 0 // calls are the test's
	}
	return &model{f, clock}
}

// startAgentWithList begins an agent as a process that holds the list.
func (m *model) startAgentWithList(t *testing.T, place int) *agent {
	t.Helper()
	a := m.agentsByPosition[place]
	cfg, err := config.Parse(m.world.Config(place, world.ConfigOptions{Listen: unusedListenAddr, Discovery: "127.0.0.1:1"}))
	if err != nil {
		t.Fatal(err)
	}
	b, err := balancer.New(cfg.Settings.Balancer, 1)
	if err != nil {
		t.Fatal(err)
	}
	a.startProcess(cfg, b, func() {})
	a.onWatchEvent(a.incarnation, discovery.WatchEvent{Update: balancer.EndpointsReplaced, Members: m.world.Members(time.Now()), Revision: 1})
	return a
}

// run plays what is due until a time.
func (m *model) run(until time.Duration) {
	s := m.shards[0]
	for len(s.queue.events) > 0 && s.queue.events[0].due <= until {
		m.clock.Wait(s.queue.events[0].due, nil)
		s.runDue()
	}
	m.clock.Wait(until, nil)
	s.now = m.clock.now
}

// newAttempt is one by an agent at a server, that nobody else knows of.
func (m *model) newAttempt(a *agent, to *server, deadline time.Duration) *attempt {
	c := &call{request: request{service: to.service, phase: phaseHealthy}, agent: a, incarnation: a.incarnation, deadline: deadline}
	j := &attempt{call: c, server: to, deadline: deadline}
	c.attempts, c.inFlight = []*attempt{j}, 1
	return j
}

// What is due comes in its order, and what is due at once in the order in which it was queued.
func TestEventQueueOrder(t *testing.T) {
	var q eventQueue
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 2000 {
		q.push(event{due: time.Duration(rng.IntN(50)), token: uint64(i)})
		if i%3 == 0 {
			q.pop()
		}
	}
	last := event{due: -1}
	for n := len(q.events); n > 0; n-- {
		ev := q.pop()
		if ev.due < last.due || ev.due == last.due && ev.token <= last.token {
			t.Fatalf("%v %d after %v %d", ev.due, ev.token, last.due, last.token)
		}
		last = ev
	}
	if len(q.events) != 0 {
		t.Errorf("%d are left", len(q.events))
	}
}

// A server works on as many requests as it has slots, lets as many wait as it has room for, and turns others away; those
// that nobody waits for any more it does not begin.
func TestServerSlotAndQueueLimits(t *testing.T) {
	m := newModel(t, func(s *scenario.Scenario) { s.Fleet.Slots, s.Fleet.QueueSlots = 2, 3 })
	a, to := m.startAgentWithList(t, 0), m.servers[m.world.Services[m.world.Deepest].Servers[0]]
	begun := m.clock.now
	var jobs []*attempt
	for range 7 {
		jobs = append(jobs, m.newAttempt(a, to, begun+time.Hour))
	}
	jobs[3].deadline = begun + 1 // it waits, but not long
	for _, j := range jobs {
		to.receive(j)
	}
	if r := to.report(); r.inFlight != 5 || r.queued != 3 || to.busySlots != 2 {
		t.Errorf("holds %+v", r)
	}
	m.run(begun + time.Minute)
	for i, j := range jobs {
		want := balancer.OutcomeOK
		if i == 3 || i > 4 {
			want = balancer.OutcomeRejected
		}
		if !j.finished || j.outcome != want {
			t.Errorf("attempt %d: over %v, %v, want %v", i, j.finished, j.outcome, want)
		}
	}
	if r := to.report(); r.inFlight != 0 || len(to.inProgress) != 0 || r.recentMillis <= 0 {
		t.Errorf("holds %+v, %d open", r, len(to.inProgress))
	}
}

// What becomes of an attempt says the state of its server and of the network.
func TestAttemptOutcomes(t *testing.T) {
	yes := true
	for _, c := range []struct {
		name string
		step world.Step // before it is sent
		then world.Step // when it is at the server
		back bool
		want balancer.Outcome
	}{
		{"served", world.Step{}, world.Step{}, true, balancer.OutcomeOK},
		{"died before", world.Step{Down: []int{-1}}, world.Step{}, true, balancer.OutcomeConnectFailed},
		{"died meanwhile", world.Step{}, world.Step{Down: []int{-1}}, true, balancer.OutcomeReset},
		{"vanished before", world.Step{Down: []int{-1}, Silent: true}, world.Step{}, false, 0},
		{"vanished meanwhile", world.Step{}, world.Step{Down: []int{-1}, Silent: true}, false, 0},
		{"fails", world.Step{Fail: &yes}, world.Step{}, true, balancer.OutcomeError},
		{"cut off", world.Step{PartitionRegions: &yes}, world.Step{}, false, 0},
		{"cut off meanwhile", world.Step{}, world.Step{PartitionRegions: &yes}, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newModel(t, nil)
			to := m.servers[m.world.Services[m.world.Deepest].Servers[0]]
			from := slices.IndexFunc(m.servers, func(s *server) bool { return s.region != to.region && s.agent != nil })
			a := m.startAgentWithList(t, m.servers[from].agent.position)
			play := func(st world.Step) {
				for i := range st.Down {
					st.Down[i] = to.position
				}
				m.applyStep(st)
			}
			play(c.step)
			j := m.newAttempt(a, to, m.clock.now+time.Hour)
			m.shards[0].transmit(a.server, to, event{kind: eventAttemptArrived, due: m.clock.now, attempt: j})
			m.run(m.clock.now + m.networkDelay(a.server, to))
			play(c.then)
			m.run(m.clock.now + time.Minute)
			if j.finished != c.back || j.finished && j.outcome != c.want {
				t.Errorf("back %v with %v, want %v with %v", j.finished, j.outcome, c.back, c.want)
			}
			if a.shard.post(a.shard, event{due: j.deadline, kind: eventTimeout, attempt: j}); !c.back {
				m.run(j.deadline + time.Second)
				if !j.finished || j.outcome != balancer.OutcomeTimeout {
					t.Errorf("at its deadline: over %v with %v", j.finished, j.outcome)
				}
			}
		})
	}
}

// applyStep does what Step does to the model, in the shard's own place.
func (m *model) applyStep(st world.Step) {
	m.applyFlags(st)
	for _, i := range st.Down {
		m.servers[i].takeDown(downState(st))
	}
}

// When a caller has gone, what waits for its server is dropped at once, and so is the call that it waits for; its slot is
// free when its own part is done.
func TestCancelledAttempts(t *testing.T) {
	m := newModel(t, func(s *scenario.Scenario) { s.Fleet.Slots = 1 })
	layer1 := m.world.Services[m.world.Servers[0].Service].Calls[0].Service
	to := m.servers[m.world.Services[layer1].Servers[0]]
	a := m.startAgentWithList(t, 0)
	m.startAgentWithList(t, to.agent.position)
	first, second := m.newAttempt(a, to, m.clock.now+time.Hour), m.newAttempt(a, to, m.clock.now+time.Hour)
	to.receive(first)
	to.receive(second)
	to.cancel(second)
	if second.state != attemptDone || len(to.queue) != 0 {
		t.Errorf("state %d, %d wait", second.state, len(to.queue))
	}
	to.cancel(first)
	if first.state != attemptAbandoned || to.busySlots != 1 {
		t.Errorf("state %d, %d busy", first.state, to.busySlots)
	}
	m.run(m.clock.now + time.Minute)
	if to.busySlots != 0 || first.finished || second.finished {
		t.Errorf("%d busy, finished %v and %v", to.busySlots, first.finished, second.finished)
	}
	third := m.newAttempt(a, to, m.clock.now+time.Hour)
	third.state, third.serverIncarnation = attemptCalling, to.incarnation
	to.inProgress[third] = struct{}{}
	third.child = to.agent.startCall(request{
		service: m.world.Services[layer1].Calls[0].Service, remaining: time.Second, phase: phaseHealthy, parent: third,
	})
	if r := to.report(); r.inFlight != 1 || r.queued != 0 {
		t.Errorf("holds %+v", r)
	}
	to.cancel(third)
	if !third.child.finished || third.state != attemptDone || to.busySlots != 0 || to.report().inFlight != 0 {
		t.Errorf("its call ended: %v, state %d, %d busy", third.child.finished, third.state, to.busySlots)
	}
	m.run(m.clock.now + time.Minute)
	if n := len(to.agent.requests); n != 0 {
		t.Errorf("its agent knows %d requests", n)
	}
}

// An agent holds so many requests and no more; those that are over it forgets.
func TestOpenRequestLimit(t *testing.T) {
	m := newModel(t, func(s *scenario.Scenario) { s.Fleet.Slots, s.Fleet.QueueSlots = 4096, 4096 })
	a := m.startAgentWithList(t, 0)
	calls := m.world.Services[a.server.service].Calls
	for range maxOpenRequests + 100 {
		a.startCall(request{service: calls[0].Service, remaining: time.Second, phase: phaseHealthy, root: true})
		if len(a.requests) > maxOpenRequests {
			t.Fatalf("%d open", len(a.requests))
		}
	}
	m.run(m.clock.now + time.Minute)
	if len(a.requests) != 0 {
		t.Errorf("%d open at the end", len(a.requests))
	}
	d := m.shards[0].counts.countsFor(phaseHealthy, 1)
	if d.Calls != maxOpenRequests+100 || d.OK+d.Failed+d.Rejected != d.Calls || d.Rejected < 100 {
		t.Errorf("%+v", d)
	}
}

// A report's figures go by the names that the settings list.
func TestReportFields(t *testing.T) {
	r := loadReport{known: true, inFlight: 5, queued: 2, recentMillis: 3.5}
	for _, c := range []struct {
		how    balancer.ReportMode
		fields []string
		want   balancer.LoadReport
	}{
		{balancer.ReportsOff, []string{"outstanding"}, settings.UnknownLoad()},
		{balancer.ReportsInline, nil, settings.UnknownLoad()},
		{balancer.ReportsInline, []string{"odd"}, settings.UnknownLoad()},
		{balancer.ReportsInline, []string{"backlog", "odd"}, balancer.LoadReport{Known: true, InFlight: -1, Queue: 2, ServiceTime: -1}},
		{
			balancer.ReportsInline, []string{"outstanding", "recent_ms"},
			balancer.LoadReport{Known: true, InFlight: 5, Queue: -1, ServiceTime: 3500 * time.Microsecond},
		},
	} {
		set := &settings.Settings{ReportFields: c.fields, Balancer: balancer.Settings{Reports: c.how}}
		if got := r.toBalancer(set); got != c.want {
			t.Errorf("%v %v: %+v, want %+v", c.how, c.fields, got, c.want)
		}
	}
}
