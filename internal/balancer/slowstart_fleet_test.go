package balancer

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetEvent is an event that will reach one agent of a simulated fleet, if it has not restarted by then.
type fleetEvent struct {
	at          time.Duration
	agent       int
	incarnation int
	event       Event
}

type fleetEventQueue []fleetEvent

func (h fleetEventQueue) Len() int           { return len(h) }
func (h fleetEventQueue) Less(i, j int) bool { return h[i].at < h[j].at }
func (h fleetEventQueue) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *fleetEventQueue) Push(x any)        { *h = append(*h, x.(fleetEvent)) }
func (h *fleetEventQueue) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// steadyTime is how long a fleet runs before some of its servers restart and warm up.
const steadyTime = 5 * time.Second

// warmingFleet describes a simulated fleet of agents that share servers, some of which restart and warm up.
type warmingFleet struct {
	agents, servers, warming int
	requestsPerSecond        float64 // capacity of a warm server
	load                     float64 // requests, as a part of the capacity of all servers when warm
	trafficDeviation         float64 // standard deviation of the agents' traffic over its mean
	failureShare             float64 // part of the attempts that fail at once
	restartedAgents          int     // agents that restart while servers warm up
	reports                  ReportMode
}

func (c warmingFleet) run(t *testing.T, set Settings, seed uint64) map[ServerID][]time.Duration {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	set.Agents, set.Reports = c.agents, c.reports
	const begin = time.Hour
	list := readyEndpoints(c.servers)
	lives := make([]int, c.agents)
	all := make([]*Balancer, c.agents)
	create := func(p int) {
		own := set
		own.Rank = p
		b, err := New(own, rng.Uint64())
		if err != nil {
			t.Fatal(err)
		}
		all[p] = b
		lives[p]++
	}
	weights := make(sums, 0, c.agents)
	sigma := math.Sqrt(math.Log(1 + c.trafficDeviation*c.trafficDeviation))
	for range c.agents {
		weights = weights.add(math.Exp(sigma * rng.NormFloat64()))
	}
	var due fleetEventQueue
	sent := map[ServerID][]time.Duration{}
	busy := map[ServerID]time.Duration{} // until then
	started := begin + steadyTime
	warmth := func(s ServerID, now time.Duration) float64 {
		if int(s) > c.warming || now < started {
			return 1
		}
		return min(1, set.SlowStartMinWeight+(1-set.SlowStartMinWeight)*(now-started).Seconds()/set.SlowStartDuration.Seconds())
	}
	handle := func(now time.Duration, p int, ev Event) {
		for _, a := range all[p].Handle(now, ev, nil) {
			switch a.Kind {
			case ActionSetTimer:
				heap.Push(&due, fleetEvent{now + a.Delay, p, lives[p], Event{Kind: EventTimer, TimerID: a.TimerID}})
			case ActionSend:
				r := all[p].requests[a.Request]
				if now >= started && int(a.Server) <= c.warming {
					sent[a.Server] = append(sent[a.Server], now)
				}
				out := Event{Kind: EventOutcome, Request: a.Request, Attempt: len(r.attempts) - 1, Server: a.Server, Answered: true}
				took := 2 * ms
				if rng.Float64() < c.failureShare {
					out.Outcome, out.Answered = OutcomeError, false
				} else {
					free := max(now, busy[a.Server])
					busy[a.Server] = free + seconds(rng.ExpFloat64()/(c.requestsPerSecond*warmth(a.Server, now)))
					took = busy[a.Server] - now
					out.Load = LoadReport{Known: c.reports == ReportsInline, InFlight: -1, Queue: (free - now).Seconds() * c.requestsPerSecond}
				}
				heap.Push(&due, fleetEvent{now + took, p, lives[p], out})
			}
		}
	}
	for p := range all {
		create(p)
		handle(begin, p, Event{Kind: EventDiscovery, Update: EndpointsReplaced, Endpoints: list})
	}
	news := append([]Endpoint(nil), list...)
	for i := range c.warming {
		news[i].Start = started
	}
	heard, restarted := false, c.restartedAgents == 0
	id := RequestID(0)
	total := c.requestsPerSecond * c.load * float64(c.servers)
	for now := begin; now < started+min(set.SlowStartDuration, 10*time.Second); {
		now += seconds(rng.ExpFloat64() / total)
		for len(due) > 0 && due[0].at <= now {
			h := heap.Pop(&due).(fleetEvent)
			if h.incarnation == lives[h.agent] {
				handle(h.at, h.agent, h.event)
			}
		}
		if !heard && now >= started+300*ms {
			heard = true
			for p := range all {
				handle(now, p, Event{Kind: EventDiscovery, Update: EndpointsChanged, Endpoints: news[:c.warming]})
			}
		}
		if !restarted && now >= started+500*ms {
			restarted = true
			for p := range c.restartedAgents {
				create(p)
				handle(now, p, Event{Kind: EventDiscovery, Update: EndpointsReplaced, Endpoints: news})
			}
		}
		id++
		p := weights.pick(rng.Float64())
		handle(now, p, Event{Kind: EventRequest, Request: id, Class: idempotent, Remaining: set.Classes[idempotent].Deadline})
	}
	return sent
}

// Together the agents of a fleet send a server that warms up no more than its budget and what is chance, in any span of a
// given length: N + 2 sqrt(N) + 2 requests, N being what the settings allow for the least capacity that it has by then.
// This holds with few agents and many, uneven traffic, several servers that start at once, agents that restart and know
// nothing but the list, failed attempts that are retried, and more traffic than the servers can carry.
func TestSlowStartBudgetOfFleet(t *testing.T) {
	settings := testSettings()
	for i := range settings.Classes {
		settings.Classes[i].LatencyObjective, settings.Classes[i].Deadline = 2500*ms, 6*time.Second
	}
	for _, site := range []struct {
		from, factor float64
		over, warm   time.Duration
	}{{0.31, 3, 2 * time.Second, 8800 * ms}, {0.15, 2.5, 3 * time.Second, 10 * time.Second}, {0.05, 1.5, 5 * time.Second, time.Minute}} {
		settings.SlowStartMinWeight, settings.OverloadFactor, settings.SlowStartDuration = site.from, site.factor, site.warm
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
				t.Errorf("%+v: only %d of the servers that warm up are used", c, len(sent))
			}
			for s, times := range sent {
				first := 0
				for last, at := range times {
					for at-times[first] >= site.over {
						first++
					}
					age := (at - time.Hour - steadyTime).Seconds() / site.warm.Seconds()
					allowed := site.factor * min(1, site.from+(1-site.from)*age) * c.requestsPerSecond * site.over.Seconds()
					if n := float64(last - first + 1); n > allowed+2*math.Sqrt(allowed)+2 {
						t.Fatalf("%+v: server %d got %v requests in %v, its budget being %.1f", c, s, n, site.over, allowed)
					}
				}
			}
		}
	}
}
