package balancer

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// happening is what is to come to one process of a fleet.
type happening struct {
	at      time.Duration
	process int
	life    int
	ev      Event
}

type happenings []happening

func (h happenings) Len() int           { return len(h) }
func (h happenings) Less(i, j int) bool { return h[i].at < h[j].at }
func (h happenings) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)        { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// coldBefore is how long a fleet plays before its cold servers start.
const coldBefore = 5 * time.Second

// coldFleet plays processes that share warm servers and some that start cold, with traffic of so much of what all can do
// when warm, and returns when each cold server was sent something.
type coldFleet struct {
	processes, servers, cold int
	rate                     float64 // requests a second that a warm server can do
	load                     float64 // of what all warm ones can do, that is asked for
	uneven                   float64 // deviation of the processes' traffic over its mean
	fails                    float64 // attempts that fail at once
	restarts                 int     // processes that start again halfway, with the list that they had first
	reports                  ReportMode
}

func (c coldFleet) play(t *testing.T, set Settings, seed uint64) map[ServerID][]time.Duration {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	set.Agents, set.Reports = c.processes, c.reports
	const begin = time.Hour
	list := fleet(c.servers)
	lives := make([]int, c.processes)
	all := make([]*Balancer, c.processes)
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
	weights := make(sums, 0, c.processes)
	sigma := math.Sqrt(math.Log(1 + c.uneven*c.uneven))
	for range c.processes {
		weights = weights.add(math.Exp(sigma * rng.NormFloat64()))
	}
	var due happenings
	sent := map[ServerID][]time.Duration{}
	busy := map[ServerID]time.Duration{} // until then
	started := begin + coldBefore
	warmth := func(s ServerID, now time.Duration) float64 {
		if int(s) > c.cold || now < started {
			return 1
		}
		return min(1, set.SlowStartMinWeight+(1-set.SlowStartMinWeight)*(now-started).Seconds()/set.SlowStartDuration.Seconds())
	}
	handle := func(now time.Duration, p int, ev Event) {
		for _, a := range all[p].Handle(now, ev, nil) {
			switch a.Kind {
			case ActionSetTimer:
				heap.Push(&due, happening{now + a.Delay, p, lives[p], Event{Kind: EventTimer, TimerID: a.TimerID}})
			case ActionSend:
				r := all[p].requests[a.Request]
				if now >= started && int(a.Server) <= c.cold {
					sent[a.Server] = append(sent[a.Server], now)
				}
				out := Event{Kind: EventOutcome, Request: a.Request, Attempt: len(r.attempts) - 1, Server: a.Server, Answered: true}
				took := 2 * ms
				if rng.Float64() < c.fails {
					out.Outcome, out.Answered = OutcomeError, false
				} else {
					free := max(now, busy[a.Server])
					busy[a.Server] = free + seconds(rng.ExpFloat64()/(c.rate*warmth(a.Server, now)))
					took = busy[a.Server] - now
					out.Load = LoadReport{Known: c.reports == ReportsInline, InFlight: -1, Queue: (free - now).Seconds() * c.rate}
				}
				heap.Push(&due, happening{now + took, p, lives[p], out})
			}
		}
	}
	for p := range all {
		create(p)
		handle(begin, p, Event{Kind: EventDiscovery, Update: EndpointsReplaced, Endpoints: list})
	}
	news := append([]Endpoint(nil), list...)
	for i := range c.cold {
		news[i].Start = started
	}
	heard, restarted := false, c.restarts == 0
	id := RequestID(0)
	total := c.rate * c.load * float64(c.servers)
	for now := begin; now < started+min(set.SlowStartDuration, 10*time.Second); {
		now += seconds(rng.ExpFloat64() / total)
		for len(due) > 0 && due[0].at <= now {
			h := heap.Pop(&due).(happening)
			if h.life == lives[h.process] {
				handle(h.at, h.process, h.ev)
			}
		}
		if !heard && now >= started+300*ms {
			heard = true
			for p := range all {
				handle(now, p, Event{Kind: EventDiscovery, Update: EndpointsChanged, Endpoints: news[:c.cold]})
			}
		}
		if !restarted && now >= started+500*ms {
			restarted = true
			for p := range c.restarts {
				create(p)
				handle(now, p, Event{Kind: EventDiscovery, Update: EndpointsReplaced, Endpoints: news})
			}
		}
		id++
		p := weights.pick(rng.Float64())
		handle(now, p, Event{Kind: EventRequest, Request: id, Class: pure, Remaining: set.Classes[pure].Deadline})
	}
	return sent
}

// Together the processes of a fleet send a cold server no more than its budget and what is chance, in any span of the length
// that the settings name: N + 2 sqrt(N) + 2 requests, N being what the settings allow for the least that it can do then. So with
// few processes and many, uneven traffic, several servers that start at once, processes that start again and know nothing
// but the list, failed attempts that are made again, and more traffic than the servers can carry.
func TestSlowStartBudgetOfFleet(t *testing.T) {
	set := settings()
	for i := range set.Classes {
		set.Classes[i].LatencyObjective, set.Classes[i].Deadline = 2500*ms, 6*time.Second
	}
	for _, site := range []struct {
		from, factor float64
		over, warm   time.Duration
	}{{0.31, 3, 2 * time.Second, 8800 * ms}, {0.15, 2.5, 3 * time.Second, 10 * time.Second}, {0.05, 1.5, 5 * time.Second, time.Minute}} {
		set.SlowStartMinWeight, set.OverloadFactor, set.SlowStartDuration = site.from, site.factor, site.warm
		for i, c := range []coldFleet{
			{processes: 3, servers: 15, cold: 3, rate: 8, load: 0.8, uneven: 0.8},
			{processes: 20, servers: 40, cold: 8, rate: 8, load: 0.8, uneven: 1.4},
			{processes: 30, servers: 40, cold: 24, rate: 8, load: 0.8, uneven: 0.8},
			{processes: 30, servers: 40, cold: 8, rate: 8, load: 0.8, uneven: 0.8, restarts: 21},
			{processes: 30, servers: 40, cold: 8, rate: 8, load: 0.8, uneven: 0.8, fails: 0.3},
			{processes: 30, servers: 40, cold: 8, rate: 8, load: 1.2, uneven: 0.8},
			{processes: 30, servers: 40, cold: 8, rate: 40, load: 0.8, uneven: 0.8},
			{processes: 300, servers: 200, cold: 120, rate: 8, load: 0.8, uneven: 1.4, restarts: 210},
		} {
			c.reports = []ReportMode{ReportsInline, ReportsOff}[i%2]
			sent := c.play(t, set, uint64(i))
			if len(sent) < c.cold/2 {
				t.Errorf("%+v: only %d of the cold servers are used", c, len(sent))
			}
			for s, times := range sent {
				first := 0
				for last, at := range times {
					for at-times[first] >= site.over {
						first++
					}
					age := (at - time.Hour - coldBefore).Seconds() / site.warm.Seconds()
					allowed := site.factor * min(1, site.from+(1-site.from)*age) * c.rate * site.over.Seconds()
					if n := float64(last - first + 1); n > allowed+2*math.Sqrt(allowed)+2 {
						t.Fatalf("%+v: server %d got %v requests in %v, its budget being %.1f", c, s, n, site.over, allowed)
					}
				}
			}
		}
	}
}
