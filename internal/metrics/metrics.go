// Package metrics holds the agent's counters and gauges. It exposes them in the text format that metrics collectors
// read, and as log lines at intervals. It makes no decisions.
package metrics

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
)

// Metrics holds all counters and gauges of one agent process. Its mutex guards the counters; the gauges are atomic. Its
// methods are safe for concurrent use. The zero value is ready for use.
type Metrics struct {
	mu       sync.Mutex
	interval intervalCounters
	counters counters
	logged   counters                     // the totals at the last call of Log
	classes  map[string]*[resultCount]int // responses per class

	active           atomic.Int64 // requests in flight
	bufferedBytes    atomic.Int64
	endpoints        atomic.Int64
	ejectedEndpoints atomic.Int64
}

// Result is the outcome of a request for its client.
type Result int

// Results, which are counted per class.
const (
	ResultOK     Result = iota
	ResultShed          // rejected with 429 or 503
	ResultErrors        // any other outcome
	resultCount
)

// resultNames are the names of the results in the text format.
var resultNames = [resultCount]string{"ok", "shed", "errors"}

// ResultOf returns the result for a response's HTTP status.
func ResultOf(status int) Result {
	switch status {
	case http.StatusOK:
		return ResultOK
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ResultShed
	}
	return ResultErrors
}

// counters are totals since the process started. They never decrease.
type counters struct {
	responses       [resultCount]int
	attempts        int // attempts whose request was written completely
	configsApplied  int
	configsRejected int
}

// intervalCounters are the counts since the last call of Log.
type intervalCounters struct {
	requests           int
	clientsClosed      int // requests whose client closed its connection
	overLimit          int // requests rejected because the agent itself had too many
	outcomes           [int(balancer.OutcomeServerDraining) + 1]int
	dialed             int
	reused             int
	reusedBroken       int // reused connections without a complete response
	healthChecks       int
	healthCheckErrors  int
	loadReports        int
	lastBrokenResponse string
	badRequests        int
	lastBadRequest     string
	headsOverLimit     int // requests rejected because their heads took too much memory
	incompleteHeads    int // connections that ended within a request head
	polls              int
	pollErrors         int
	pollRejections     int // included in pollErrors
	pollHedges         int
	pollsEndedByHedge  int
	slowestPoll        time.Duration // in excess of the poll's permitted wait
	slowestLoop        time.Duration
	slowestHops        [hopCount]time.Duration
}

// count updates the interval counters under the mutex.
func (m *Metrics) count(change func(*intervalCounters)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.interval)
}

// AddClasses adds classes to the text output. It removes none, because a counter must not decrease.
func (m *Metrics) AddClasses(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range names {
		m.class(name)
	}
}

// class returns the counters of a class, and adds the class to the text output if it is new. The caller must hold mu.
func (m *Metrics) class(name string) *[resultCount]int {
	if m.classes == nil {
		m.classes = map[string]*[resultCount]int{}
	}
	if m.classes[name] == nil {
		m.classes[name] = new([resultCount]int)
	}
	return m.classes[name]
}

// RequestOpened adds a completely received request to the gauge of active requests.
func (m *Metrics) RequestOpened() { m.active.Add(1) }

// RequestClosed removes a request that RequestOpened added.
func (m *Metrics) RequestClosed() { m.active.Add(-1) }

// BufferedBytesChanged adds the given number to the gauge of the bytes that buffered bodies and responses take.
func (m *Metrics) BufferedBytesChanged(by int64) { m.bufferedBytes.Add(by) }

// RequestDispatched counts a request that was handed to the balancer.
func (m *Metrics) RequestDispatched() {
	m.count(func(i *intervalCounters) { i.requests++ })
}

// RequestOverLimit counts a request that was rejected because the agent itself had too many.
func (m *Metrics) RequestOverLimit() {
	m.count(func(i *intervalCounters) { i.overLimit++ })
}

// HeadOverLimit counts a request that was rejected before its head was complete, because its head took too much memory.
func (m *Metrics) HeadOverLimit() {
	m.count(func(i *intervalCounters) { i.headsOverLimit++ })
}

// RequestAnswered counts a request by its class and by the result for its client. It adds the class if it is new.
func (m *Metrics) RequestAnswered(class string, result Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.responses[result]++
	m.class(class)[result]++
}

// ClientClosed counts a request whose client closed its connection before the response.
func (m *Metrics) ClientClosed() {
	m.count(func(i *intervalCounters) { i.clientsClosed++ })
}

// BadRequest counts an invalid request, and keeps the reason of the last one.
func (m *Metrics) BadRequest(reason string) {
	m.count(func(i *intervalCounters) {
		i.badRequests++
		i.lastBadRequest = reason
	})
}

// HeadIncomplete counts a connection that ended within a request head.
func (m *Metrics) HeadIncomplete() {
	m.count(func(i *intervalCounters) { i.incompleteHeads++ })
}

// AttemptSent counts an attempt whose request was written completely.
func (m *Metrics) AttemptSent() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.attempts++
}

// AttemptsSent returns the number of attempts whose request was written completely.
func (m *Metrics) AttemptsSent() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counters.attempts
}

// AttemptEnded counts an attempt by its outcome, and its load report if it has one.
func (m *Metrics) AttemptEnded(outcome balancer.Outcome, load balancer.LoadReport) {
	m.count(func(i *intervalCounters) {
		i.outcomes[outcome]++
		if load.Known {
			i.loadReports++
		}
	})
}

// HealthCheckEnded counts a health check by whether it failed, and its load report if it has one.
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

// ConnectionReused counts the reuse of an idle connection to a server.
func (m *Metrics) ConnectionReused() {
	m.count(func(i *intervalCounters) { i.reused++ })
}

// ResponseBroken keeps the reason of the last incomplete response, and counts those on reused connections.
func (m *Metrics) ResponseBroken(reusedConn bool, reason error) {
	m.count(func(i *intervalCounters) {
		if reusedConn {
			i.reusedBroken++
		}
		i.lastBrokenResponse = reason.Error()
	})
}

// PollEnded counts a discovery poll by its result.
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

// ConfigApplied counts a configuration that a reload applied.
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

// LoopBusy records how long the event loop took for one input.
func (m *Metrics) LoopBusy(d time.Duration) {
	m.count(func(i *intervalCounters) { i.slowestLoop = max(i.slowestLoop, d) })
}

// SetEndpoints sets the gauges of listed endpoints and of endpoints ejected for all classes.
func (m *Metrics) SetEndpoints(listed, ejected int) {
	m.endpoints.Store(int64(listed))
	m.ejectedEndpoints.Store(int64(ejected))
}
