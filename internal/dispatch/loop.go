// Package dispatch runs the event loop, the sole owner of the balancer and of all open requests.
//
// Client handlers, attempts, health checks and discovery send inputs to the loop. The loop turns each input into an
// event for the balancer and executes the actions that the balancer returns. Only the loop decides how a request ends.
//
// The loop's goroutine owns all state of the Loop except the settings and two flags, which are atomic, and the request
// ids, which have their own mutex. Request documents how requests are shared. The loop never waits for a connection:
// attempts and health checks run in their own goroutines.
package dispatch

import (
	"container/heap"
	"context"
	"log/slog"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/clock"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/membership"
	"example.org/ryeloft/internal/metrics"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/settings"
	"example.org/ryeloft/internal/upstream"
)

const (
	inputQueueSize = 256 // senders block when it is full
	sweepInterval  = time.Second
	logInterval    = 5 * time.Second // for the counters
	gaugeInterval  = 100 * time.Millisecond
	// maxAdmissionWait is how long a request may wait while there are too many, mostly of clients that have left.
	maxAdmissionWait       = time.Second
	endpointsCheckInterval = 20 * time.Millisecond
	// maxListWait is how long AwaitEndpoints waits for a list from discovery before it accepts the cached one.
	maxListWait = 1500 * time.Millisecond
)

// Options configures a Loop.
type Options struct {
	Settings *settings.Settings
	Seed     uint64 // for the balancer's random choices
	Pool     *upstream.Pool
	Metrics  *metrics.Metrics
	Log      *slog.Logger
	// PublishGauges enables the periodic update of the endpoint gauges.
	PublishGauges bool
	// PollEndpoints requests a poll of discovery. It must not block.
	PollEndpoints func()
	// ClaimID reports whether a request id, given by its hash, is unused in the agent's other processes. It is nil if
	// there are none.
	ClaimID func(hash uint64) bool
}

// Loop is the event loop. Its exported methods may be called by any goroutine.
type Loop struct {
	settings      atomic.Pointer[settings.Settings] // swapped by the loop's goroutine only
	hasEndpoints  atomic.Bool                       // a list with endpoints has been received
	hasSynced     atomic.Bool                       // hasEndpoints, and a list other than the cached one
	slots         slots                             // of the requests that were admitted
	attempts      atomic.Int64                      // whose goroutines have not ended
	attemptLimit  atomic.Int64                      // for second attempts
	clock         clock.Anchored
	balancer      *balancer.Balancer
	pool          *upstream.Pool
	metrics       *metrics.Metrics
	log           *slog.Logger
	pollEndpoints func()
	claimID       func(uint64) bool
	publishGauges bool
	inputs        chan input
	done          chan struct{} // closed when Run returns

	members   *membership.Table // as of the last update from discovery
	endpoints map[balancer.ServerID]*upstream.Endpoint
	requests  map[balancer.RequestID]*openRequest
	ids       *RequestIDs
	lastID    balancer.RequestID
	timers    timers
	// timerLimit is the number of timers at which those that are not pending any more are dropped.
	timerLimit int
	wallSteps  clock.StepDetector
	events     []balancer.Event // not yet passed to the balancer
	actions    []balancer.Action
}

// New returns a loop that is not running yet.
func New(o Options) (*Loop, error) {
	b, err := balancer.New(o.Settings.Balancer, o.Seed)
	if err != nil {
		return nil, err
	}
	l := &Loop{
		clock: clock.Anchor(), balancer: b, pool: o.Pool, metrics: o.Metrics, log: o.Log,
		pollEndpoints: o.PollEndpoints, claimID: o.ClaimID, publishGauges: o.PublishGauges,
		inputs:    make(chan input, inputQueueSize),
		done:      make(chan struct{}),
		endpoints: map[balancer.ServerID]*upstream.Endpoint{},
		requests:  map[balancer.RequestID]*openRequest{},
		ids:       newRequestIDs(),

		timerLimit: minTimerLimit,
	}
	l.members = membership.New(l.clock.Now)
	l.SetAttemptLimit(math.MaxInt)
	l.settings.Store(o.Settings)
	l.metrics.AddClasses(o.Settings.ClassNames)
	return l, nil
}

// Settings returns the settings in force.
func (l *Loop) Settings() *settings.Settings { return l.settings.Load() }

// Now returns the time on the loop's clock, which request deadlines refer to.
func (l *Loop) Now() time.Duration { return l.clock.Now() }

// Ready reports whether a list of endpoints has been received.
func (l *Loop) Ready() bool { return l.hasEndpoints.Load() }

// AwaitEndpoints waits until discovery has delivered a list of endpoints. After maxListWait it also accepts the cached
// list. It returns early if the context ends.
func (l *Loop) AwaitEndpoints(ctx context.Context) {
	ticker := time.NewTicker(endpointsCheckInterval)
	defer ticker.Stop()
	start := time.Now()
	for !l.hasSynced.Load() && (time.Since(start) < maxListWait || !l.Ready()) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// SetAttemptLimit sets how many attempts there may be. The limit also holds for requests, including those whose clients have
// left, until the goroutines of their attempts have ended. At first there is no limit.
func (l *Loop) SetAttemptLimit(attempts int) {
	l.attemptLimit.Store(int64(attempts))
	l.slots.setLimit(attempts)
}

// Admit waits until there is room for another request, at most for maxAdmissionWait or until the context ends, and reports
// whether there is. A request that is admitted must be submitted.
func (l *Loop) Admit(ctx context.Context, r *Request) bool {
	if !l.slots.acquire(ctx, min(maxAdmissionWait, r.Deadline-l.clock.Now())) {
		return false
	}
	r.slot = &l.slots
	r.hold()
	return true
}

// Submit passes a request to the loop, which sends the response on the request's Response channel. If the request's id
// is in use in this process or another process of the agent, Submit itself sends a response with status 409. In either
// case the request's memory is released.
func (l *Loop) Submit(r *Request) {
	if !l.reserveID(r) {
		r.end()
		r.response <- Response{Status: http.StatusConflict, ContentType: "text/plain", Body: []byte(protocol.HeaderRequestID + " is in use\n")}
		return
	}
	l.send(submitted{r})
}

// reserveID records the id of a request, and reports whether no other request uses it.
func (l *Loop) reserveID(r *Request) bool {
	r.idHash = hashID(r.ID)
	if !l.ids.add(r.idHash) {
		return false
	}
	if l.claimID != nil && !l.claimID(r.idHash) {
		l.ids.close(r.idHash)
		return false
	}
	return true
}

// RequestIDs returns the ids of this process's requests.
func (l *Loop) RequestIDs() *RequestIDs { return l.ids }

// Abandon notifies the loop that a request's response is no longer awaited.
func (l *Loop) Abandon(r *Request) { l.send(abandoned{r}) }

// NotifyEndpoints passes a watch event from discovery to the loop, such as a list of endpoints or a failed poll.
func (l *Loop) NotifyEndpoints(e discovery.WatchEvent) { l.send(endpointsNotified{e}) }

// Adopt puts new settings in force, or returns an error and keeps the current ones. It returns the context's error if
// the context ends first.
func (l *Loop) Adopt(ctx context.Context, next *settings.Settings) error {
	result := make(chan error, 1)
	l.send(settingsReloaded{next: next, result: result})
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// send passes an input to the loop. It drops the input if the loop has ended.
func (l *Loop) send(in input) {
	select {
	case l.inputs <- in:
	case <-l.done:
	}
}

// Run handles inputs and timers until the context ends. It does not wait for attempts and health checks: they end with
// the context, and their results are not needed after the loop has ended.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	wake := time.NewTimer(0)
	defer wake.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	logCounters := time.NewTicker(logInterval)
	defer logCounters.Stop()
	var gauges <-chan time.Time
	if l.publishGauges {
		ticker := time.NewTicker(gaugeInterval)
		defer ticker.Stop()
		gauges = ticker.C
	}
	for {
		l.resetWake(wake)
		select {
		case in := <-l.inputs:
			start := time.Now()
			in.handle(ctx, l)
			l.metrics.LoopBusy(time.Since(start))
		case <-wake.C:
		case <-sweep.C:
			l.pool.Sweep()
			l.ids.expire(time.Now())
		case <-gauges:
			l.metrics.SetEndpoints(l.members.Len(), l.balancer.EjectedEndpoints(l.clock.Now()))
		case <-logCounters.C:
			l.logCounters()
		case <-ctx.Done():
			return
		}
		l.fireTimers(ctx)
	}
}

// resetWake sets wake to the balancer's next timer.
func (l *Loop) resetWake(wake *time.Timer) {
	if len(l.timers) == 0 {
		wake.Stop()
		return
	}
	wake.Reset(l.timers[0].due - l.clock.Now())
}

// fireTimers passes the timers that are due to the balancer.
func (l *Loop) fireTimers(ctx context.Context) {
	now := l.clock.Now()
	for len(l.timers) > 0 && l.timers[0].due <= now {
		due := heap.Pop(&l.timers).(timer)
		l.handle(ctx, balancer.Event{Kind: balancer.EventTimer, TimerID: due.id})
	}
}

func (l *Loop) logCounters() {
	l.metrics.Log(l.log, l.members.Count(balancer.Ready), l.members.Count(balancer.Draining))
	if step := l.wallSteps.Observe(clock.Wall(), l.clock.Elapsed()); step != 0 {
		l.log.Warn("wall clock stepped", "by", step)
	}
}

// handle passes an event to the balancer and executes the resulting actions, and does the same for the events that
// these actions cause.
func (l *Loop) handle(ctx context.Context, ev balancer.Event) {
	l.events = append(l.events, ev)
	for i := 0; i < len(l.events); i++ { // act may append events
		l.actions = l.balancer.Handle(l.clock.Now(), l.events[i], l.actions[:0])
		for j := range l.actions {
			l.act(ctx, &l.actions[j])
		}
	}
	l.events = l.events[:0]
}

// act executes one action.
func (l *Loop) act(ctx context.Context, a *balancer.Action) {
	switch a.Kind {
	case balancer.ActionSend, balancer.ActionReject, balancer.ActionFail, balancer.ActionCancel:
		if r := l.requests[a.Request]; r != nil {
			l.actOnRequest(ctx, r, a)
		}
	case balancer.ActionSetTimer:
		l.setTimer(a.Delay, a.TimerID)
	case balancer.ActionHealthCheck:
		l.startHealthCheck(ctx, a.Server)
	case balancer.ActionPollEndpoints:
		l.pollEndpoints()
	case balancer.ActionLog:
		l.log.Info(a.Text)
	}
}
