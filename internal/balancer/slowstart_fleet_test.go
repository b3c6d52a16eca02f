package balancer

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleetEvent is a scheduled event for one agent of a simulated fleet. It is dropped if the agent restarts first.
type fleetEvent struct {
	at          time.Duration
	agent       int
	incarnation int
	event       Event
}

type fleetEventQueue []fleetEvent

func (q fleetEventQueue) Len() int           { return len(q) }
func (q fleetEventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q fleetEventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *fleetEventQueue) Push(x any)        { *q = append(*q, x.(fleetEvent)) }
func (q *fleetEventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// steadyTime is the run time of a fleet before some of its servers restart and warm up.
const steadyTime = 5 * time.Second

const (
	// fleetNotifyDelay is the time from the restart of the servers until the agents are notified of it.
	fleetNotifyDelay = 300 * ms
	// fleetRestartDelay is the time from the restart of the servers until some agents restart.
	fleetRestartDelay = 500 * ms
)

// warmingFleet describes a simulated fleet of agents that share servers, some of which restart and warm up.
type warmingFleet struct {
	agents, servers, warming int
	requestsPerSecond        float64 // capacity of a warm server
	load                     float64 // requests divided by the capacity of all servers when warm
	trafficDeviation         float64 // relative standard deviation of the agents' traffic
	failureShare             float64 // share of the attempts that fail immediately
	restartedAgents          int     // agents that restart while servers warm up
	reports                  ReportMode
}

// fleetRun is the state of one run of a warmingFleet.
type fleetRun struct {
	warmingFleet
	t            *testing.T
	settings     Settings
	rng          *rand.Rand
	balancers    []*Balancer // by agent
	incarnations []int       // by agent
	queue        fleetEventQueue
	restartedAt  time.Duration // when the first servers restart and begin to warm up
	busyUntil    map[ServerID]time.Duration
	sent         map[ServerID][]time.Duration // when requests were sent to each warming server
}

// run simulates the fleet, in which servers 1 to f.warming restart and warm up. It returns when requests were sent to
// each of these servers after the restart.
func (f warmingFleet) run(t *testing.T, settings Settings, seed uint64) map[ServerID][]time.Duration {
	t.Helper()
	const start = time.Hour
	settings.Agents, settings.Reports = f.agents, f.reports
	r := &fleetRun{
		warmingFleet: f, t: t, settings: settings, rng: rand.New(rand.NewPCG(seed, 1)),
		balancers: make([]*Balancer, f.agents), incarnations: make([]int, f.agents), restartedAt: start + steadyTime,
		busyUntil: map[ServerID]time.Duration{}, sent: map[ServerID][]time.Duration{},
	}
	traffic := r.randomTraffic()
	endpoints := readyEndpoints(f.servers)
	for agent := range r.balancers {
		r.startAgent(agent)
		r.handle(start, agent, Event{Kind: EventDiscovery, Update: EndpointsReplaced, Endpoints: endpoints})
	}
	restarted := slices.Clone(endpoints)
	for i := range f.warming {
		restarted[i].Start = r.restartedAt
	}
	notified, agentsRestarted := false, f.restartedAgents == 0
	id := RequestID(0)
	totalPerSecond := f.requestsPerSecond * f.load * float64(f.servers)
	end := r.restartedAt + min(settings.SlowStartDuration, 10*time.Second)
	for now := start; now < end; {
		now += seconds(r.rng.ExpFloat64() / totalPerSecond)
		r.handleDueEvents(now)
		if !notified && now >= r.restartedAt+fleetNotifyDelay {
			notified = true
			for agent := range r.balancers {
				r.handle(now, agent, Event{Kind: EventDiscovery, Update: EndpointsChanged, Endpoints: restarted[:f.warming]})
			}
		}
		if !agentsRestarted && now >= r.restartedAt+fleetRestartDelay {
			agentsRestarted = true
			for agent := range f.restartedAgents {
				r.startAgent(agent)
				r.handle(now, agent, Event{Kind: EventDiscovery, Update: EndpointsReplaced, Endpoints: restarted})
			}
		}
		id++
		agent := traffic.pick(r.rng.Float64())
		r.handle(now, agent, Event{
			Kind: EventRequest, Request: id, Class: idempotent, Remaining: settings.Classes[idempotent].Deadline,
		})
	}
	return r.sent
}

// randomTraffic returns random shares of the traffic for the agents, log-normally distributed.
func (r *fleetRun) randomTraffic() prefixSums {
	weights := make(prefixSums, 0, r.agents)
	sigma := math.Sqrt(math.Log(1 + r.trafficDeviation*r.trafficDeviation))
	for range r.agents {
		weights = weights.add(math.Exp(sigma * r.rng.NormFloat64()))
	}
	return weights
}

// startAgent starts an agent without any state in place of its earlier incarnation.
func (r *fleetRun) startAgent(agent int) {
	own := r.settings
	own.Rank = agent
	b, err := New(own, r.rng.Uint64())
	if err != nil {
		r.t.Fatal(err)
	}
	r.balancers[agent] = b
	r.incarnations[agent]++
}

// handleDueEvents delivers the events that are due, and drops those of earlier incarnations.
func (r *fleetRun) handleDueEvents(now time.Duration) {
	for len(r.queue) > 0 && r.queue[0].at <= now {
		next := heap.Pop(&r.queue).(fleetEvent)
		if next.incarnation == r.incarnations[next.agent] {
			r.handle(next.at, next.agent, next.event)
		}
	}
}

// handle passes one event to an agent and carries out its actions.
func (r *fleetRun) handle(now time.Duration, agent int, event Event) {
	for _, action := range r.balancers[agent].Handle(now, event, nil) {
		switch action.Kind {
		case ActionSetTimer:
			r.schedule(now+action.Delay, agent, Event{Kind: EventTimer, TimerID: action.TimerID})
		case ActionSend:
			r.scheduleOutcome(now, agent, action)
		}
	}
}

func (r *fleetRun) schedule(at time.Duration, agent int, event Event) {
	heap.Push(&r.queue, fleetEvent{at: at, agent: agent, incarnation: r.incarnations[agent], event: event})
}

// scheduleOutcome schedules a random outcome of an attempt.
func (r *fleetRun) scheduleOutcome(now time.Duration, agent int, send Action) {
	if now >= r.restartedAt && int(send.Server) <= r.warming {
		r.sent[send.Server] = append(r.sent[send.Server], now)
	}
	outcome := Event{
		Kind: EventOutcome, Request: send.Request, Server: send.Server, Answered: true,
		Attempt: len(r.balancers[agent].requests[send.Request].attempts) - 1,
	}
	latency := 2 * ms
	if r.rng.Float64() < r.failureShare {
		outcome.Outcome, outcome.Answered = OutcomeError, false
	} else {
		free := max(now, r.busyUntil[send.Server])
		serviceSeconds := r.rng.ExpFloat64() / (r.requestsPerSecond * r.warmupFactor(send.Server, now))
		r.busyUntil[send.Server] = free + seconds(serviceSeconds)
		latency = r.busyUntil[send.Server] - now
		queue := (free - now).Seconds() * r.requestsPerSecond
		outcome.Load = LoadReport{Known: r.reports == ReportsInline, InFlight: -1, Queue: queue}
	}
	r.schedule(now+latency, agent, outcome)
}

// warmupFactor returns the share of its capacity that a server has.
func (r *fleetRun) warmupFactor(id ServerID, now time.Duration) float64 {
	if int(id) > r.warming || now < r.restartedAt {
		return 1
	}
	atStart := r.settings.SlowStartMinWeight
	return min(1, atStart+(1-atStart)*(now-r.restartedAt).Seconds()/r.settings.SlowStartDuration.Seconds())
}

// All agents of a fleet together must not overload a server that is warming up. In any window they may send it at most
// N + 2 sqrt(N) + 2 requests, where N is the budget for the minimum capacity at that time and the rest allows for
// chance. The cases have few and many agents, uneven traffic, several servers that start together, agents that restart
// without state, failed attempts that are retried, and more traffic than the servers can handle.
func TestSlowStartBudgetOfFleet(t *testing.T) {
	settings := testSettings()
	for i := range settings.Classes {
		settings.Classes[i].LatencyObjective, settings.Classes[i].Deadline = 2500*ms, 6*time.Second
	}
	for _, site := range []struct {
		minWeight, overloadFactor float64
		window, slowStart         time.Duration
	}{{0.31, 3, 2 * time.Second, 8800 * ms}, {0.15, 2.5, 3 * time.Second, 10 * time.Second}, {0.05, 1.5, 5 * time.Second, time.Minute}} {
		settings.SlowStartMinWeight = site.minWeight
		settings.OverloadFactor = site.overloadFactor
		settings.SlowStartDuration = site.slowStart
		for i, c := range []warmingFleet{
			{agents: 3, servers: 15, warming: 3, requestsPerSecond: 8, load: 0.8, trafficDeviation: 0.8},
			{agents: 20, servers: 40, warming: 8, requestsPerSecond: 8, load: 0.8, trafficDeviation: 1.4},
			{agents: 30, servers: 40, warming: 24, requestsPerSecond: 8, load: 0.8, trafficDeviation: 0.8},
			{agents: 30, servers: 40, warming: 8, requestsPerSecond: 8, load: 0.8, trafficDeviation: 0.8, restartedAgents: 21},
			{agents: 30, servers: 40, warming: 8, requestsPerSecond: 8, load: 0.8, trafficDeviation: 0.8, failureShare: 0.3},
			{agents: 30, servers: 40, warming: 8, requestsPerSecond: 8, load: 1.2, trafficDeviation: 0.8},
			{agents: 30, servers: 40, warming: 8, requestsPerSecond: 40, load: 0.8, trafficDeviation: 0.8},
			{agents: 300, servers: 200, warming: 120, requestsPerSecond: 8, load: 0.8, trafficDeviation: 1.4, restartedAgents: 210},
		} {
			c.reports = []ReportMode{ReportsInline, ReportsOff}[i%2]
			sent := c.run(t, settings, uint64(i))
			if len(sent) < c.warming/2 {
				t.Errorf("%+v: got requests on %d of the warming servers, want at least %d", c, len(sent), c.warming/2)
			}
			for s, times := range sent {
				first := 0
				for last, at := range times {
					for at-times[first] >= site.window {
						first++
					}
					age := (at - time.Hour - steadyTime).Seconds() / site.slowStart.Seconds()
					allowed := site.overloadFactor * min(1, site.minWeight+(1-site.minWeight)*age) * c.requestsPerSecond * site.window.Seconds()
					if n := float64(last - first + 1); n > allowed+2*math.Sqrt(allowed)+2 {
						t.Fatalf("%+v: got %v requests on server %d in %v, want at most %.1f for a budget of %.1f", c, n, s, site.window,
							allowed+2*math.Sqrt(allowed)+2, allowed)
					}
				}
			}
		}
	}
}
