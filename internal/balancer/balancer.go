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
	index           int           // of its name, here and in servers' health
	firstTryTimeout time.Duration // how long a client's first try waits
	latencySeconds  mean          // time of an answer, seconds
	candidates      candidateSet
}

// Balancer decides for one agent. It is not safe for concurrent use.
type Balancer struct {
	settings           Settings
	rng                *rand.Rand
	now                time.Duration
	actions            []Action
	classes            []*class
	classNames         []string // of all classes that there have been, by index
	serversByID        map[ServerID]*server
	servers            []*server // all servers, by rank
	candidateEpoch     int       // counts the changes that are worth new lines
	kindAnswers        float64   // answers that kinds' paces were learnt from
	requests           map[RequestID]*request
	machineKinds       map[int]*machineKind
	latencySeconds     mean      // time of an answer, seconds
	queueLength        [2]mean   // requests that servers say wait, at far ones and at near ones
	queueDepth         mean      // requests that were ahead of it, and itself
	typicalWait        mean      // held over speed of the pairs' shorter, as drawn
	overloadQueue      float64   // between loneAgentOverloadQueue and crowd
	objectiveUsage     mean      // time of an answer over its aim
	overload           float64   // share of the usual requests to shed
	tenantShares       []float64 // of late, by tenant
	meanPriorityWeight float64   // mean worth of the classes
	requestTimes       history   // requests, for the retry budget and the size of the line
	retryTimes         history   // attempts beyond a request's first
	pollFailures       int       // calls for the list that failed in a row
	pollRejections     int       // the last of them that were refused at once
	pollTimers         uint64    // timers for the next one, so far; only the last one counts
	logLines           int       // lines since logWindowStart
	logWindowStart     time.Duration
	overloadDecayedAt  time.Duration // when pressure last went down by itself
}

// New returns a Balancer that knows no server yet. Its error names the setting that cannot be right.
func New(s Settings, seed uint64) (*Balancer, error) {
	b := &Balancer{
		rng: rand.New(rand.NewPCG(seed, 0)), serversByID: map[ServerID]*server{}, requests: map[RequestID]*request{},
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
		s.RetryBudgetWindow = seconds(defaultRetryBudgetSeconds)
		s.RetryBudgetMin, s.RetryBudgetRatio = defaultRetryBudgetMin, defaultRetryBudgetRatio
	}
	old := b.classes
	if b.machineKinds == nil || !slices.Equal(b.settings.Kinds, s.Kinds) { // what is learnt of them goes by place
		b.machineKinds, b.kindAnswers = map[int]*machineKind{}, 0
	}
	b.settings, b.candidateEpoch, b.classes, b.meanPriorityWeight, b.tenantShares = s, b.candidateEpoch+1, nil, 0, nil
	// What a server is sent by others between its report and a request is unknown, and grows with their number.
	b.overloadQueue = manyAgentsOverloadQueue +
		(loneAgentOverloadQueue-manyAgentsOverloadQueue)/math.Sqrt(float64(s.Agents))
	for _, c := range s.Classes {
		n := &class{Class: c, index: slices.Index(b.classNames, c.Name)}
		n.latencySeconds = mean{c.LatencyObjective.Seconds() / 3, true}
		if i := slices.IndexFunc(old, func(o *class) bool { return o.Name == c.Name }); i >= 0 {
			n.latencySeconds, n.firstTryTimeout = old[i].latencySeconds, old[i].firstTryTimeout
		}
		if n.index < 0 {
			n.index, b.classNames = len(b.classNames), append(b.classNames, c.Name)
		}
		b.classes, b.meanPriorityWeight = append(b.classes, n), b.meanPriorityWeight+c.PriorityWeight/float64(len(s.Classes))
	}
	for _, t := range s.Tenants {
		b.tenantShares = append(b.tenantShares, t.Quota) // until they are seen
	}
	for _, s := range b.servers {
		s.hashKey, s.health = b.hashKey(s.ID), append(s.health, make([]classHealth, len(b.classNames)-len(s.health))...)
	}
	b.sortServers()
	return nil
}

// Handle takes one event and appends what must be done to out.
func (b *Balancer) Handle(now time.Duration, ev Event, out []Action) []Action {
	b.now, b.actions = max(now, b.now), out
	switch ev.Kind {
	case EventDiscovery:
		b.onDiscovery(&ev)
	case EventRequest:
		b.onRequest(&ev)
	case EventOutcome:
		b.onOutcome(&ev)
	case EventStreaming:
		if r := b.requests[ev.Request]; r != nil {
			r.streaming = true
		}
	case EventClientClosed:
		if r := b.requests[ev.Request]; r != nil {
			b.finish(r, false)
		}
	case EventTimer:
		b.onTimer(ev.TimerID)
	case EventHealthCheck:
		b.onHealthCheck(&ev)
	}
	out, b.actions = b.actions, nil
	return out
}

func (b *Balancer) act(a Action) { b.actions = append(b.actions, a) }

// log writes a line for the operators, 20 in any minute: one agent must not drown the others' lines.
func (b *Balancer) log(format string, args ...any) {
	if b.now-b.logWindowStart >= time.Minute {
		b.logWindowStart, b.logLines = b.now, 0
	}
	if b.logLines++; b.logLines <= 20 {
		b.act(Action{Kind: ActionLog, Text: fmt.Sprintf(format, args...)})
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
