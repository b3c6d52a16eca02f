// Package dispatch runs the event loop, the sole owner of the balancer and of all open requests.
//
// Clients' handlers, attempts, health checks and discovery send the loop inputs; it turns each into an event of the
// balancer and carries out the actions that the balancer answers. It alone decides how a request ends. All state of the
// Loop is its goroutine's but for the settings and two flags, which are atomic, and the ids of requests, which have a mutex
// of their own; requests are shared as Request says. The loop itself waits for no connection: attempts and health checks
// have goroutines of their own.
package dispatch

import (
	"container/heap"
	"context"
	"log/slog"
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
	inputQueueSize         = 256 // further senders wait
	sweepInterval          = time.Second
	logInterval            = 5 * time.Second // of the counters
	gaugeInterval          = 100 * time.Millisecond
	endpointsCheckInterval = 20 * time.Millisecond
	// maxListWait is how long AwaitEndpoints waits for a list that is not the cached one.
	maxListWait = 1500 * time.Millisecond
)

// Options are what a Loop is made of.
type Options struct {
	Settings *settings.Settings
	Seed     uint64 // of the balancer's random choices
	Pool     *upstream.Pool
	Metrics  *metrics.Metrics
	Log      *slog.Logger
	// PublishGauges has the loop publish what it knows of the endpoints at intervals.
	PublishGauges bool
	// PollEndpoints asks discovery for the list. It must not wait.
	PollEndpoints func()
	// ClaimID returns whether the other processes of the agent have not taken the id with a hash; nil if there are none.
	ClaimID func(hash uint64) bool
}

// Loop is the event loop. Its exported methods may be called by any goroutine.
type Loop struct {
	settings      atomic.Pointer[settings.Settings] // swapped by the loop
	hasEndpoints  atomic.Bool                       // a list has come
	hasSynced     atomic.Bool                       // and it is not the cached one
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

	members   *membership.Table // as of the last list from discovery
	endpoints map[balancer.ServerID]*upstream.Endpoint
	requests  map[balancer.RequestID]*openRequest
	ids       *RequestIDs
	lastID    balancer.RequestID
	timers    timers
	wallSteps clock.StepDetector
	events    []balancer.Event // to be handed to the balancer
	actions   []balancer.Action
}

// New returns a loop that does not run yet.
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
	}
	l.members = membership.New(l.clock.Now)
	l.settings.Store(o.Settings)
	l.metrics.AddClasses(o.Settings.ClassNames)
	return l, nil
}

// Settings returns the settings in force.
func (l *Loop) Settings() *settings.Settings { return l.settings.Load() }

// Now returns the loop's time, of which a request's deadline is one.
func (l *Loop) Now() time.Duration { return l.clock.Now() }

// Ready says whether a list of endpoints has come.
func (l *Loop) Ready() bool { return l.hasEndpoints.Load() }

// AwaitEndpoints waits until the list that discovery has now has come. After maxListWait a cached one will do.
func (l *Loop) AwaitEndpoints(ctx context.Context) {
	ticker := time.NewTicker(endpointsCheckInterval)
	defer ticker.Stop()
	begun := time.Now()
	for !l.hasSynced.Load() && (time.Since(begun) < maxListWait || !l.Ready()) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Submit hands a request to the loop, which answers it on its Answered channel. One whose id is in use, here or at another process
// of the agent, is answered at once.
func (l *Loop) Submit(r *Request) {
	if !l.reserveID(r) {
		r.response <- Response{Status: http.StatusConflict, ContentType: "text/plain", Body: []byte(protocol.HeaderRequestID + " is in use\n")}
		return
	}
	l.send(submitted{r})
}

// reserveID notes the id of a request, and returns whether no other request has it.
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

// RequestIDs returns the ids of the requests that this process has taken.
func (l *Loop) RequestIDs() *RequestIDs { return l.ids }

// Abandon notifies the loop that nobody waits for a request's answer any more.
func (l *Loop) Abandon(r *Request) { l.send(abandoned{r}) }

// NotifyEndpoints notifies the loop of a list of endpoints, or of a poll that failed.
func (l *Loop) NotifyEndpoints(e discovery.WatchEvent) { l.send(endpointsNotified{e}) }

// Adopt puts other settings in force, or returns why it does not. It returns the context's error if that ends first.
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

// send hands an input to the loop, unless that has ended.
func (l *Loop) send(in input) {
	select {
	case l.inputs <- in:
	case <-l.done:
	}
}

// Run handles inputs and timers until the context ends. It does not wait for attempts and health checks: they end with the
// context, and with the loop nobody is left for what they bring.
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
			begun := time.Now()
			in.handle(ctx, l)
			l.metrics.LoopBusy(time.Since(begun))
		case <-wake.C:
		case <-sweep.C:
			l.pool.Sweep()
			l.ids.expire()
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

// resetWake sets a timer to the next of the balancer's.
func (l *Loop) resetWake(wake *time.Timer) {
	if len(l.timers) == 0 {
		wake.Stop()
		return
	}
	wake.Reset(l.timers[0].due - l.clock.Now())
}

// fireTimers hands the timers that are due to the balancer.
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

// handle hands an event to the balancer and carries out what it answers, and so on with the events that come of that.
func (l *Loop) handle(ctx context.Context, ev balancer.Event) {
	l.events = append(l.events, ev)
	for i := 0; i < len(l.events); i++ { // act may add to them
		l.actions = l.balancer.Handle(l.clock.Now(), l.events[i], l.actions[:0])
		for j := range l.actions {
			l.act(ctx, &l.actions[j])
		}
	}
	l.events = l.events[:0]
}

// act carries out one action.
func (l *Loop) act(ctx context.Context, a *balancer.Action) {
	switch a.Kind {
	case balancer.ActionSend, balancer.ActionReject, balancer.ActionFail, balancer.ActionCancel:
		if r := l.requests[a.Request]; r != nil {
			l.actOnRequest(ctx, r, a)
		}
	case balancer.ActionSetTimer:
		heap.Push(&l.timers, timer{due: l.clock.Now() + a.Delay, id: a.TimerID})
	case balancer.ActionHealthCheck:
		l.startHealthCheck(ctx, a.Server)
	case balancer.ActionPollEndpoints:
		l.pollEndpoints()
	case balancer.ActionLog:
		l.log.Info(a.Text)
	}
}
