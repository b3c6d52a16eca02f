package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// maxLogLinesPerMinute bounds the log lines of one agent, so that it does not drown those of the others.
const maxLogLinesPerMinute = 20

// Balancer makes all decisions of one agent. It owns what the agent has learned about its servers, and the attempts of
// the open requests. It starts no goroutine, reads no clock and does no I/O. It is not safe for concurrent use: one
// goroutine calls all methods.
type Balancer struct {
	settings   Settings
	classes    []*class
	classNames []string // names of all classes adopted so far, by index
	rng        *rand.Rand

	now     time.Duration // time of the latest event
	actions []Action      // actions of the event that is being handled

	serversByID map[ServerID]*server
	servers     []*server // the same servers in the order of their hash keys
	requests    map[RequestID]*request

	// Candidate sets that were built at an earlier epoch are out of date.
	candidateEpoch int

	machineKinds   map[int]*machineKind
	kindResponses  float64                   // answers that the latency ratios of the kinds were learned from
	latencySeconds movingAverage             // latency of an answer
	queueDepth     movingAverage             // requests on the server when one was sent, with that one
	queueLength    [localities]movingAverage // reported number of waiting requests
	typicalWait    movingAverage             // in-flight estimate over speed of the less loaded server of a pair
	overloadQueue  float64                   // limit of the waiting requests on one server

	overload           float64 // 0 is none; what exceeds toleratedOverload is the share of requests to shed
	overloadDecayedAt  time.Duration
	objectiveUsage     movingAverage // latency of an answer over the latency objective
	meanPriorityWeight float64       // mean PriorityWeight of the classes
	tenantShares       []float64     // shares of the recent requests, by tenant

	requestTimes history
	retryTimes   history // when attempts after a request's first were made

	pollFailures   int    // failed polls in a row
	pollRejections int    // rejected polls in a row
	pollTimers     uint64 // poll timers set so far; only the latest counts

	logLines       int // log lines since logWindowStart
	logWindowStart time.Duration
}

// class is a Class with what has been learned about its requests.
type class struct {
	Class
	index               int           // position in classNames and in a server's health
	firstRequestTimeout time.Duration // how long a client waits for the answer to a request that is no retry
	latencySeconds      movingAverage // latency of an answer
	candidates          candidateSet
}

// New returns a Balancer that knows no server yet. Its random numbers depend on the seed only. An error wraps a
// *SettingError that names the invalid setting.
func New(s Settings, seed uint64) (*Balancer, error) {
	b := &Balancer{
		rng:         rand.New(rand.NewPCG(seed, 0)),
		serversByID: map[ServerID]*server{},
		requests:    map[RequestID]*request{},
	}
	if err := b.Adopt(s); err != nil {
		return nil, err
	}
	return b, nil
}

// Adopt replaces all settings, or none if one of them is invalid; the error then wraps a *SettingError. What has been
// learned of servers stays, and of classes that keep their names; an open request keeps the class that it came with.
func (b *Balancer) Adopt(s Settings) error {
	if err := s.check(); err != nil {
		return fmt.Errorf("balancer: %w", err)
	}
	if s.RetryBudgetWindow == 0 {
		s.RetryBudgetWindow = defaultRetryBudgetWindow
		s.RetryBudgetMin = defaultRetryBudgetMin
		s.RetryBudgetRatio = defaultRetryBudgetRatio
	}
	kindsStay := slices.Equal(b.settings.Kinds, s.Kinds)
	if b.machineKinds == nil || !kindsStay { // kinds are known by their positions in the settings
		b.machineKinds = map[int]*machineKind{}
		b.kindResponses = 0
	}
	b.settings = s
	b.candidateEpoch++
	// What other agents send to a server between its report and a request is unknown, and grows with their number.
	b.overloadQueue = manyAgentsOverloadQueue +
		(singleAgentOverloadQueue-manyAgentsOverloadQueue)/math.Sqrt(float64(s.Agents))
	b.adoptClasses(s.Classes)
	b.adoptTenants(s.Tenants)
	for _, server := range b.servers {
		server.hashKey = b.hashKey(server.ID)
		added := len(b.classNames) - len(server.health)
		server.health = append(server.health, make([]classHealth, added)...)
	}
	b.sortServers()
	return nil
}

// adoptClasses replaces the classes. Open requests refer to the old ones until they are finished.
func (b *Balancer) adoptClasses(classes []Class) {
	old := b.classes
	b.classes = nil
	b.meanPriorityWeight = 0
	for _, adopted := range classes {
		c := &class{Class: adopted, index: slices.Index(b.classNames, adopted.Name)}
		guess := adopted.LatencyObjective.Seconds() / 3 // until answers show better
		c.latencySeconds = movingAverage{value: guess, known: true}
		if i := slices.IndexFunc(old, func(o *class) bool { return o.Name == adopted.Name }); i >= 0 {
			c.latencySeconds = old[i].latencySeconds
			c.firstRequestTimeout = old[i].firstRequestTimeout
		}
		if c.index < 0 {
			c.index = len(b.classNames)
			b.classNames = append(b.classNames, adopted.Name)
		}
		b.classes = append(b.classes, c)
		b.meanPriorityWeight += adopted.PriorityWeight / float64(len(classes))
	}
}

// Handle takes one event that happened at now, and appends to out what the caller must do about it.
func (b *Balancer) Handle(now time.Duration, ev Event, out []Action) []Action {
	b.now = max(now, b.now)
	b.actions = out
	switch ev.Kind {
	case EventDiscovery:
		b.onDiscovery(&ev)
	case EventRequest:
		b.onRequest(&ev)
	case EventOutcome:
		b.onOutcome(&ev)
	case EventStreaming:
		b.onStreaming(&ev)
	case EventClientClosed:
		b.onClientClosed(&ev)
	case EventTimer:
		b.onTimer(ev.TimerID)
	case EventHealthCheck:
		b.onHealthCheck(&ev)
	}
	out = b.actions
	b.actions = nil // they are the caller's from here on
	return out
}

// emit appends an action to those of the present event.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// log writes a line for the operators, unless there have been too many in this minute.
func (b *Balancer) log(format string, args ...any) {
	if b.now-b.logWindowStart >= time.Minute {
		b.logWindowStart = b.now
		b.logLines = 0
	}
	b.logLines++
	if b.logLines <= maxLogLinesPerMinute {
		b.emit(Action{Kind: ActionLog, Text: fmt.Sprintf(format, args...)})
	}
}

// seconds turns a number of seconds into a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
