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

// manualClock is a Clock that advances only in Wait, which returns immediately.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration                          { return c.now }
func (c *manualClock) Wait(until time.Duration, _ <-chan struct{}) { c.now = max(c.now, until) }

// model is a fleet with a single shard that the test drives itself, with a manual clock and without discovery.
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
		a.rootCallsPerSecond = 0 // only the test makes calls
	}
	return &model{f, clock}
}

// startAgentWithList starts an agent's process and gives it the endpoint list.
func (m *model) startAgentWithList(t *testing.T, position int) *agent {
	t.Helper()
	a := m.agentsByPosition[position]
	cfg, err := config.Parse(m.world.Config(position, world.ConfigOptions{Listen: unusedListenAddr, Discovery: "127.0.0.1:1"}))
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

// run handles all events that are due up to the given time and advances the clock to it.
func (m *model) run(until time.Duration) {
	s := m.shards[0]
	for len(s.queue.events) > 0 && s.queue.events[0].due <= until {
		m.clock.Wait(s.queue.events[0].due, nil)
		s.runDue()
	}
	m.clock.Wait(until, nil)
	s.now = m.clock.now
}

// newAttempt returns an attempt of an agent at a server. Neither the agent's balancer nor its requests include it.
func (m *model) newAttempt(a *agent, to *server, deadline time.Duration) *attempt {
	c := &call{request: request{service: to.service, phase: phaseHealthy}, agent: a, incarnation: a.incarnation, deadline: deadline}
	att := &attempt{call: c, server: to, deadline: deadline}
	c.attempts, c.inFlight = []*attempt{att}, 1
	return att
}

// The queue returns events in order of due time, and events due at the same time in queueing order.
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
			t.Fatalf("got event %d due at %v after event %d due at %v", ev.token, ev.due, last.token, last.due)
		}
		last = ev
	}
	if len(q.events) != 0 {
		t.Errorf("got %d events left, want 0", len(q.events))
	}
}

// A server works on one request per slot, queues requests up to its queue limit and rejects the rest. It also rejects
// queued requests whose deadline has passed, without starting them.
func TestServerSlotAndQueueLimits(t *testing.T) {
	m := newModel(t, func(s *scenario.Scenario) { s.Fleet.Slots, s.Fleet.QueueSlots = 2, 3 })
	a, to := m.startAgentWithList(t, 0), m.servers[m.world.Services[m.world.Deepest].Servers[0]]
	start := m.clock.now
	var attempts []*attempt
	for range 7 {
		attempts = append(attempts, m.newAttempt(a, to, start+time.Hour))
	}
	attempts[3].deadline = start + 1 // passes while the attempt is queued
	for _, att := range attempts {
		to.receive(att)
	}
	if r := to.report(); r.inFlight != 5 || r.queued != 3 || to.busySlots != 2 {
		t.Errorf("got report %+v and %d busy slots, want 5 in flight, 3 queued and 2 busy slots", r, to.busySlots)
	}
	m.run(start + time.Minute)
	for i, att := range attempts {
		want := balancer.OutcomeOK
		if i == 3 || i > 4 {
			want = balancer.OutcomeRejected
		}
		if !att.finished || att.outcome != want {
			t.Errorf("attempt %d: got finished %v with outcome %v, want true with %v", i, att.finished, att.outcome, want)
		}
	}
	if r := to.report(); r.inFlight != 0 || len(to.inProgress) != 0 || r.recentMillis <= 0 {
		t.Errorf("got report %+v and %d in progress, want none in flight and a service time", r, len(to.inProgress))
	}
}

// The outcome of an attempt follows from the state of its server and of the network.
func TestAttemptOutcomes(t *testing.T) {
	yes := true
	for _, c := range []struct {
		name     string
		before   world.Step // applied before the attempt is sent
		during   world.Step // applied when it is at the server
		finished bool       // an outcome arrives before the deadline
		want     balancer.Outcome
	}{
		{"success", world.Step{}, world.Step{}, true, balancer.OutcomeOK},
		{"server crashed before", world.Step{Down: []int{-1}}, world.Step{}, true, balancer.OutcomeConnectFailed},
		{"server crashed during", world.Step{}, world.Step{Down: []int{-1}}, true, balancer.OutcomeReset},
		{"machine lost before", world.Step{Down: []int{-1}, Silent: true}, world.Step{}, false, 0},
		{"machine lost during", world.Step{}, world.Step{Down: []int{-1}, Silent: true}, false, 0},
		{"service failing", world.Step{Fail: &yes}, world.Step{}, true, balancer.OutcomeError},
		{"partitioned before", world.Step{PartitionRegions: &yes}, world.Step{}, false, 0},
		{"partitioned during", world.Step{}, world.Step{PartitionRegions: &yes}, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newModel(t, nil)
			to := m.servers[m.world.Services[m.world.Deepest].Servers[0]]
			from := slices.IndexFunc(m.servers, func(s *server) bool { return s.region != to.region && s.agent != nil })
			a := m.startAgentWithList(t, m.servers[from].agent.position)
			apply := func(st world.Step) {
				for i := range st.Down {
					st.Down[i] = to.position
				}
				m.applyStep(st)
			}
			apply(c.before)
			att := m.newAttempt(a, to, m.clock.now+time.Hour)
			m.shards[0].transmit(a.server, to, event{kind: eventAttemptArrived, due: m.clock.now, attempt: att})
			m.run(m.clock.now + m.networkDelay(a.server, to))
			apply(c.during)
			m.run(m.clock.now + time.Minute)
			if att.finished != c.finished || att.finished && att.outcome != c.want {
				t.Errorf("got finished %v with outcome %v, want %v with %v", att.finished, att.outcome, c.finished, c.want)
			}
			if a.shard.post(a.shard, event{due: att.deadline, kind: eventTimeout, attempt: att}); !c.finished {
				m.run(att.deadline + time.Second)
				if !att.finished || att.outcome != balancer.OutcomeTimeout {
					t.Errorf("after its deadline: got finished %v with outcome %v, want true with %v",
						att.finished, att.outcome, balancer.OutcomeTimeout)
				}
			}
		})
	}
}

// applyStep applies a step like Fleet.Step, but directly, because the test runs the shard itself.
func (m *model) applyStep(st world.Step) {
	m.applyFlags(st)
	for _, i := range st.Down {
		m.servers[i].takeDown(downState(st))
	}
}

// When a caller closes the connection, its queued attempt is removed immediately, and the call that an attempt waits
// for is cancelled. An attempt that the server works on keeps its slot until the work is done.
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
		t.Errorf("got state %d and %d queued, want %d and 0", second.state, len(to.queue), attemptDone)
	}
	to.cancel(first)
	if first.state != attemptAbandoned || to.busySlots != 1 {
		t.Errorf("got state %d and %d busy slots, want %d and 1", first.state, to.busySlots, attemptAbandoned)
	}
	m.run(m.clock.now + time.Minute)
	if to.busySlots != 0 || first.finished || second.finished {
		t.Errorf("got %d busy slots, finished %v and %v, want 0, false and false", to.busySlots, first.finished, second.finished)
	}
	third := m.newAttempt(a, to, m.clock.now+time.Hour)
	third.state, third.serverIncarnation = attemptCalling, to.incarnation
	to.inProgress[third] = struct{}{}
	third.child = to.agent.startCall(request{
		service: m.world.Services[layer1].Calls[0].Service, remaining: time.Second, phase: phaseHealthy, parent: third,
	})
	if r := to.report(); r.inFlight != 1 || r.queued != 0 {
		t.Errorf("got report %+v, want 1 in flight and 0 queued", r)
	}
	to.cancel(third)
	if !third.child.finished || third.state != attemptDone || to.busySlots != 0 || to.report().inFlight != 0 {
		t.Errorf("got call finished %v, state %d, %d busy slots, %d in flight, want true, %d, 0 and 0",
			third.child.finished, third.state, to.busySlots, to.report().inFlight, attemptDone)
	}
	m.run(m.clock.now + time.Minute)
	if n := len(to.agent.requests); n != 0 {
		t.Errorf("got %d requests at the agent, want 0", n)
	}
}

// An agent has at most maxOpenRequests open requests, rejects further ones, and removes finished ones.
func TestOpenRequestLimit(t *testing.T) {
	m := newModel(t, func(s *scenario.Scenario) { s.Fleet.Slots, s.Fleet.QueueSlots = 4096, 4096 })
	a := m.startAgentWithList(t, 0)
	calls := m.world.Services[a.server.service].Calls
	for range maxOpenRequests + 100 {
		a.startCall(request{service: calls[0].Service, remaining: time.Second, phase: phaseHealthy, root: true})
		if len(a.requests) > maxOpenRequests {
			t.Fatalf("got %d open requests, want at most %d", len(a.requests), maxOpenRequests)
		}
	}
	m.run(m.clock.now + time.Minute)
	if len(a.requests) != 0 {
		t.Errorf("got %d open requests at the end, want 0", len(a.requests))
	}
	d := m.shards[0].counts.countsFor(phaseHealthy, 1)
	if d.Calls != maxOpenRequests+100 || d.OK+d.Failed+d.Rejected != d.Calls || d.Rejected < 100 {
		t.Errorf("got %+v, want %d calls, each with a result, and at least 100 rejected", d, maxOpenRequests+100)
	}
}

// An agent reads only those fields of a load report that its settings name, and ignores unknown names.
func TestReportFields(t *testing.T) {
	r := loadReport{known: true, inFlight: 5, queued: 2, recentMillis: 3.5}
	for _, c := range []struct {
		mode   balancer.ReportMode
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
		set := &settings.Settings{ReportFields: c.fields, Balancer: balancer.Settings{Reports: c.mode}}
		if got := r.toBalancer(set); got != c.want {
			t.Errorf("%v %v: got %+v, want %+v", c.mode, c.fields, got, c.want)
		}
	}
}
