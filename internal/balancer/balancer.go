package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

type class struct {
	Class
	index int           // of its name, here and in servers' health
	first time.Duration // how long a client's first try waits
	usual mean          // time of an answer, seconds
	line  line
}

// Balancer decides for one agent. It is not safe for concurrent use.
type Balancer struct {
	set          Settings
	rng          *rand.Rand
	now          time.Duration
	out          []Action
	classes      []*class
	names        []string // of all classes that there have been, by index
	servers      map[ServerID]*server
	ring         []*server // all servers, by rank
	epoch        int       // counts the changes that are worth new lines
	seen         float64   // answers that kinds' paces were learnt from
	open         map[RequestID]*request
	kinds        map[int]*kind
	service      mean      // time of an answer, seconds
	queue        [2]mean   // requests that servers say wait, at far ones and at near ones
	ahead        mean      // requests that were ahead of it, and itself
	typical      mean      // held over speed of the pairs' shorter, as drawn
	crowd        float64   // between crowdAlone and crowd
	late         mean      // time of an answer over its aim
	pressure     float64   // share of the usual requests to shed
	mix          []float64 // of late, by tenant
	worth        float64   // mean worth of the classes
	taken        history   // requests, for the retry budget and the size of the line
	extra        history   // attempts beyond a request's first
	listFailures int       // calls for the list that failed in a row
	listRefusals int       // the last of them that were refused at once
	listTimers   uint64    // timers for the next one, so far; only the last one counts
	logs         int       // lines since logsFrom
	logsFrom     time.Duration
	eased        time.Duration // when pressure last went down by itself
}

// New returns a Balancer that knows no server yet. Its error names the setting that cannot be right.
func New(s Settings, seed uint64) (*Balancer, error) {
	b := &Balancer{
		rng: rand.New(rand.NewPCG(seed, 0)), servers: map[ServerID]*server{}, open: map[RequestID]*request{},
	}
	return b, b.Adopt(s)
}

// Adopt takes settings in place of the present ones, all or none. What is learnt of servers stays, and of classes under
// their names; a request under way keeps the class it was taken with.
func (b *Balancer) Adopt(s Settings) error {
	if err := s.check(); err != nil {
		return fmt.Errorf("balancer: %w", err)
	}
	if s.RetryBudgetWindow == 0 {
		s.RetryBudgetWindow, s.RetryBudgetMin, s.RetryBudgetRatio = seconds(retrySpan), retryFloor, retryRatio
	}
	old := b.classes
	if b.kinds == nil || !slices.Equal(b.set.Kinds, s.Kinds) { // what is learnt of them goes by place
		b.kinds, b.seen = map[int]*kind{}, 0
	}
	b.set, b.epoch, b.classes, b.worth, b.mix = s, b.epoch+1, nil, 0, nil
	// What a server is sent by others between its report and a request is unknown, and grows with their number.
	b.crowd = crowd + (crowdAlone-crowd)/math.Sqrt(float64(s.Agents))
	for _, c := range s.Classes {
		n := &class{Class: c, index: slices.Index(b.names, c.Name), usual: mean{c.LatencyObjective.Seconds() / 3, true}}
		if i := slices.IndexFunc(old, func(o *class) bool { return o.Name == c.Name }); i >= 0 {
			n.usual, n.first = old[i].usual, old[i].first
		}
		if n.index < 0 {
			n.index, b.names = len(b.names), append(b.names, c.Name)
		}
		b.classes, b.worth = append(b.classes, n), b.worth+c.PriorityWeight/float64(len(s.Classes))
	}
	for _, t := range s.Tenants {
		b.mix = append(b.mix, t.Quota) // until they are seen
	}
	for _, s := range b.ring {
		s.rank, s.health = b.order(s.ID), append(s.health, make([]health, len(b.names)-len(s.health))...)
	}
	b.sortRing()
	return nil
}

// Handle takes one event and appends what must be done to out.
func (b *Balancer) Handle(now time.Duration, ev Event, out []Action) []Action {
	b.now, b.out = max(now, b.now), out
	switch ev.Kind {
	case EventDiscovery:
		b.onList(&ev)
	case EventRequest:
		b.onRequest(&ev)
	case EventOutcome:
		b.onOutcome(&ev)
	case EventStreaming:
		if r := b.open[ev.Request]; r != nil {
			r.begun = true
		}
	case EventClientClosed:
		if r := b.open[ev.Request]; r != nil {
			b.end(r, false)
		}
	case EventTimer:
		b.onTimer(ev.TimerID)
	case EventHealthCheck:
		b.onProbed(&ev)
	}
	out, b.out = b.out, nil
	return out
}

func (b *Balancer) act(a Action) { b.out = append(b.out, a) }

// log writes a line for the operators, 20 in any minute: one agent must not drown the others' lines.
func (b *Balancer) log(format string, args ...any) {
	if b.now-b.logsFrom >= time.Minute {
		b.logsFrom, b.logs = b.now, 0
	}
	if b.logs++; b.logs <= 20 {
		b.act(Action{Kind: ActionLog, Text: fmt.Sprintf(format, args...)})
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
