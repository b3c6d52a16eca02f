// Package metrics counts what the agent does and shows it: in the text form that collectors read, and as log lines at
// intervals. It decides nothing.
package metrics

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
)

// Metrics holds all counters and gauges of one agent process. Its mutex guards the counters; the gauges are atomic. Any
// goroutine may call its methods. The zero value is ready for use.
type Metrics struct {
	mu       sync.Mutex
	interval intervalCounters
	counters counters
	logged   counters // the totals when the last line was logged
	classes  map[string]*[resultCount]int

	active           atomic.Int64 // requests accepted and not yet ended
	endpoints        atomic.Int64
	ejectedEndpoints atomic.Int64
}

// Result is how a request ended for its client.
type Result int

// The results that are counted for each class.
const (
	ResultOK     Result = iota
	ResultShed          // rejected with 429 or 503
	ResultErrors        // any other end
	resultCount
)

// resultNames are the results in the text form.
var resultNames = [resultCount]string{"ok", "shed", "errors"}

// ResultOf returns the result that an answer's status stands for.
func ResultOf(status int) Result {
	switch status {
	case http.StatusOK:
		return ResultOK
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ResultShed
	}
	return ResultErrors
}

// counters count since the start of the process and never fall.
type counters struct {
	responses       [resultCount]int
	attempts        int // those written to their last byte
	configsApplied  int
	configsRejected int
}

// intervalCounters counts since the last log line.
type intervalCounters struct {
	requests          int
	clientsClosed     int // requests whose client closed its connection
	overLimit         int // requests rejected because the agent itself held too many
	outcomes          [int(balancer.OutcomeServerDraining) + 1]int
	dialed            int
	reused            int
	reusedBroken      int // reused connections on which no complete answer came
	healthChecks      int
	healthCheckErrors int
	loadReports       int
	lastBrokenAnswer  string
	badRequests       int
	lastBadRequest    string
	incompleteHeads   int // connections that ended within a request's head
	polls             int
	pollErrors        int
	pollRejections    int // of the errors
	pollHedges        int
	pollsEndedByHedge int
	slowestPoll       time.Duration // beyond the time that the poll was allowed to wait
	slowestLoop       time.Duration
}

// count changes the interval's counters under the mutex.
func (m *Metrics) count(change func(*intervalCounters)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.interval)
}

// AddClasses has classes shown from now on. Known classes stay, because a counter must not fall.
func (m *Metrics) AddClasses(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range names {
		m.class(name)
	}
}

// class returns the counters of a class, which is shown from now on. The mutex is held.
func (m *Metrics) class(name string) *[resultCount]int {
	if m.classes == nil {
		m.classes = map[string]*[resultCount]int{}
	}
	if m.classes[name] == nil {
		m.classes[name] = new([resultCount]int)
	}
	return m.classes[name]
}

// RequestOpened counts a request that is complete as active.
func (m *Metrics) RequestOpened() { m.active.Add(1) }

// RequestClosed ends what RequestOpened began.
func (m *Metrics) RequestClosed() { m.active.Add(-1) }

// RequestDispatched counts a request that was handed to the balancer.
func (m *Metrics) RequestDispatched() {
	m.count(func(i *intervalCounters) { i.requests++ })
}

// RequestOverLimit counts a request that was rejected because the agent itself held too many.
func (m *Metrics) RequestOverLimit() {
	m.count(func(i *intervalCounters) { i.overLimit++ })
}

// RequestAnswered counts a request of a class by the answer that its client gets. A class that is not known is added.
func (m *Metrics) RequestAnswered(class string, result Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.responses[result]++
	m.class(class)[result]++
}

// ClientClosed counts a request whose client closed its connection before the answer.
func (m *Metrics) ClientClosed() {
	m.count(func(i *intervalCounters) { i.clientsClosed++ })
}

// BadRequest counts a request that was not accepted, and keeps the reason of the last one.
func (m *Metrics) BadRequest(reason string) {
	m.count(func(i *intervalCounters) {
		i.badRequests++
		i.lastBadRequest = reason
	})
}

// HeadIncomplete counts a connection that ended within a request's head.
func (m *Metrics) HeadIncomplete() {
	m.count(func(i *intervalCounters) { i.incompleteHeads++ })
}

// AttemptSent counts an attempt that was written to its last byte.
func (m *Metrics) AttemptSent() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.attempts++
}

// AttemptsSent returns how many attempts were written to their last byte.
func (m *Metrics) AttemptsSent() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counters.attempts
}

// AttemptEnded counts an attempt by its outcome, and its load report if it brought one.
func (m *Metrics) AttemptEnded(outcome balancer.Outcome, load balancer.LoadReport) {
	m.count(func(i *intervalCounters) {
		i.outcomes[outcome]++
		if load.Known {
			i.loadReports++
		}
	})
}

// HealthCheckEnded counts a health check, and its load report if it brought one.
func (m *Metrics) HealthCheckEnded(outcome balancer.Outcome, load balancer.LoadReport) {
	m.count(func(i *intervalCounters) {
		i.healthChecks++
		if outcome != balancer.OutcomeOK {
			i.healthCheckErrors++
		}
		if load.Known {
			i.loadReports++
		}
	})
}

// ConnectionDialed counts a new connection to a server.
func (m *Metrics) ConnectionDialed() {
	m.count(func(i *intervalCounters) { i.dialed++ })
}

// ConnectionReused counts an idle connection to a server that is used again.
func (m *Metrics) ConnectionReused() {
	m.count(func(i *intervalCounters) { i.reused++ })
}

// ResponseBroken counts an incomplete response, and keeps the reason of the last one.
func (m *Metrics) ResponseBroken(reusedConn bool, reason error) {
	m.count(func(i *intervalCounters) {
		if reusedConn {
			i.reusedBroken++
		}
		i.lastBrokenAnswer = reason.Error()
	})
}

// PollEnded counts a poll of discovery.
func (m *Metrics) PollEnded(p discovery.PollResult) {
	m.count(func(i *intervalCounters) {
		i.polls++
		if p.Err != nil {
			i.pollErrors++
		}
		if p.Rejected {
			i.pollRejections++
		}
		if p.Hedged {
			i.pollHedges++
		}
		if p.EndedByHedge {
			i.pollsEndedByHedge++
		}
		i.slowestPoll = max(i.slowestPoll, p.Duration-p.Wait)
	})
}

// ConfigApplied counts a configuration that a reload put in force.
func (m *Metrics) ConfigApplied() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.configsApplied++
}

// ConfigRejected counts a configuration that a reload rejected.
func (m *Metrics) ConfigRejected() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.configsRejected++
}

// LoopBusy notes for how long one input kept the event loop busy.
func (m *Metrics) LoopBusy(d time.Duration) {
	m.count(func(i *intervalCounters) { i.slowestLoop = max(i.slowestLoop, d) })
}

// SetEndpoints sets the gauges of listed endpoints and of those that are ejected for all classes.
func (m *Metrics) SetEndpoints(listed, ejected int) {
	m.endpoints.Store(int64(listed))
	m.ejectedEndpoints.Store(int64(ejected))
}
