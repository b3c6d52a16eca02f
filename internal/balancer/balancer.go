package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// maxLogLinesPerMinute limits the log lines of one agent, so that they do not crowd out those of other agents.
const maxLogLinesPerMinute = 20

// Balancer makes all load-balancing decisions of one agent. It owns everything the agent has learned about its servers,
// and the attempts of the open requests. It starts no goroutine, reads no clock and does no I/O. It is not safe for
// concurrent use: one goroutine calls all methods.
type Balancer struct {
	settings   Settings
	classes    []*class
	classNames []string // names of all classes ever adopted, by class.index
	rng        *rand.Rand

	now     time.Duration // time of the latest event
	actions []Action      // actions of the current event

	serversByID map[ServerID]*server
	servers     []*server // the same servers, ordered by hash key
	requests    map[RequestID]*request

	// candidateEpoch invalidates the candidate sets that were built at an earlier epoch.
	candidateEpoch int

	machineKinds   map[int]*machineKind
	kindResponses  float64                   // responses from which the kinds' latency ratios were learned
	latencySeconds movingAverage             // response latency
	queueDepth     movingAverage             // requests on a server when one was sent, including that one
	queueLength    [localities]movingAverage // reported number of queued requests
	typicalWait    movingAverage             // in-flight estimate divided by speed, of the less loaded server of a pair
	overloadQueue  float64                   // limit of queued requests on one server

	overload           float64 // 0 means none; the excess over toleratedOverload is the share of requests to shed
	overloadDecayedAt  time.Duration
	objectiveUsage     movingAverage // response latency divided by the latency objective
	meanPriorityWeight float64       // mean PriorityWeight over the classes
	tenantShares       []float64     // share of the recent requests, by tenant

	requestTimes history
	retryTimes   history // of all attempts after the first of a request

	pollFailures   int    // consecutive failed polls
	pollRejections int    // consecutive rejected polls
	migrations     int    // of discovery since the last list
	pollTimers     uint64 // number of poll timers set; only the latest one triggers a poll

	logLines       int // log lines since logWindowStart
	logWindowStart time.Duration
}

// class is a Class with what the agent has learned about its requests.
type class struct {
	Class
	index               int           // index into classNames and server.health
	firstRequestTimeout time.Duration // client timeout of a request that is not a retry
	latencySeconds      movingAverage // response latency
	candidates          candidateSet
}

// New returns a Balancer with an empty endpoint list. Its random numbers depend only on the seed. If a setting is
// invalid, the error wraps a *SettingError.
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

// Adopt replaces all settings, or none if one of them is invalid; the error then wraps a *SettingError. The Balancer
// keeps what it has learned about servers, about machine kinds if Settings.Kinds does not change, and about classes
// whose names do not change. An open request keeps the class with which it arrived.
func (b *Balancer) Adopt(s Settings) error {
	if err := s.check(); err != nil {
		return fmt.Errorf("balancer: %w", err)
	}
	if s.RetryBudgetWindow == 0 {
		s.RetryBudgetWindow = defaultRetryBudgetWindow
		s.RetryBudgetMin = defaultRetryBudgetMin
		s.RetryBudgetRatio = defaultRetryBudgetRatio
	}
	kindsUnchanged := slices.Equal(b.settings.Kinds, s.Kinds)
	if b.machineKinds == nil || !kindsUnchanged { // kinds are identified by their index in the settings
		b.machineKinds = map[int]*machineKind{}
		b.kindResponses = 0
	}
	b.settings = s
	b.candidateEpoch++
	// The number of requests that other agents send to a server after its last report is unknown and grows with the
	// number of agents.
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

// adoptClasses replaces the classes. Open requests refer to the old classes until they are finished.
func (b *Balancer) adoptClasses(classes []Class) {
	old := b.classes
	b.classes = nil
	b.meanPriorityWeight = 0
	for _, adopted := range classes {
		c := &class{Class: adopted, index: slices.Index(b.classNames, adopted.Name)}
		initial := adopted.LatencyObjective.Seconds() / 3 // until responses arrive
		c.latencySeconds = movingAverage{value: initial, known: true}
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

// Handle processes an event that happened at now. It appends the resulting actions to out and returns the extended
// slice.
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
	b.actions = nil // the caller owns them now
	return out
}

// emit appends an action to those of the current event.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// log emits a log line for the operators, unless maxLogLinesPerMinute is exceeded.
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

// seconds converts a number of seconds to a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
