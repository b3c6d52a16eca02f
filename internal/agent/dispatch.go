package agent

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
	"example.org/ryeloft/internal/stream"
	"example.org/ryeloft/internal/upstream"
)

const (
	inputQueue = 256 // inputs that may wait for the loop; whoever has one more waits with it
	sweepEvery = time.Second
	mostRecent = 4096 // ids of ended requests that are known, twice
	// reportEvery is how often the counters are logged: often enough to place a bad spell, too seldom to drown it.
	reportEvery = 5 * time.Second
	// gaugeEvery is how often the loop publishes what it knows of the servers.
	gaugeEvery = 100 * time.Millisecond
)

// input is what has happened, on its way to the loop: an event for the module and what it has no use for.
type input struct {
	event   balancer.Event
	call    *call              // of EventRequest and EventClientClosed
	answer  answer             // of EventOutcome, if it is OK
	gone    bool               // of EventOutcome: the attempt found the client gone
	members []discovery.Member // of EventDiscovery
	adopt   *settings.Settings // instead of an event
	adopted chan<- error
}

// call is a client's request, which the client's handler shares with the loop.
type call struct {
	callID, kind  string             // the client's: its id and its class
	set           *settings.Settings // by which it was read
	class, tenant int                // positions in them
	retry         bool
	deadline      time.Duration // of the clock
	message       *upstream.Request
	answered      chan answer // holds one, so that the loop never waits for a handler
	gone          func() bool // says whether the client has gone

	id    balancer.RequestID // the loop's
	ended atomic.Bool        // answered, or its client is gone; only the loop says so
}

// over says that nothing may be begun for a call any more.
func (c *call) over() bool { return c.ended.Load() || c.gone() }

// answer is what a client gets.
type answer struct {
	status      int           // 0: nothing, it has gone
	retryAfter  time.Duration // 0: no advice
	contentType string
	body        []byte
	rest        *stream.Download // in place of a body that is held
}

// clientAnswer is a server's answer as its client gets it.
func clientAnswer(a upstream.Answer) answer {
	return answer{status: http.StatusOK, contentType: a.ContentType, body: a.Body, rest: a.Download}
}

// request is what the loop knows of a call until it is answered and its attempts are back.
type request struct {
	*call
	attempts []context.CancelFunc // to give each up
	out      int                  // attempts out
	passing  int                  // 1 + the attempt whose answer flows to the client, 0 for none
}

// loop owns the module and the state of all requests. It alone decides how a request ends: handlers, attempts
// and discovery send it inputs and share nothing else with it.
type loop struct {
	set      atomic.Pointer[settings.Settings] // the loop swaps it; handlers read requests by it
	clock    clock.Anchored
	balancer *balancer.Balancer
	pool     *upstream.Pool
	metrics  *metrics.Metrics
	follow   func() // asks discovery for the list
	log      *slog.Logger
	inputs   chan input
	done     chan struct{} // closed when run returns
	ready    atomic.Bool   // a list has come
	heard    atomic.Bool   // and it is no old one
	shown    bool          // the figures are read: the loop publishes its own

	servers  *membership.Table // as discovery last told
	targets  map[balancer.ServerID]*upstream.Endpoint
	requests map[balancer.RequestID]*request
	callIDs  callIDs
	lastID   balancer.RequestID
	timers   timers
	steps    clock.StepDetector // of the wall clock, for the log
	events   []balancer.Event   // to be handed to the module
	actions  []balancer.Action
}

func newLoop(set *settings.Settings, seed uint64, pool *upstream.Pool, m *metrics.Metrics, log *slog.Logger) (*loop, error) {
	decisions, err := balancer.New(set.Balancer, seed)
	if err != nil {
		return nil, err
	}
	l := &loop{
		clock: clock.Anchor(), balancer: decisions, pool: pool, metrics: m, log: log,
		inputs:   make(chan input, inputQueue),
		done:     make(chan struct{}),
		targets:  map[balancer.ServerID]*upstream.Endpoint{},
		requests: map[balancer.RequestID]*request{},
		callIDs:  callIDs{open: map[string]struct{}{}, recent: map[string]struct{}{}},
	}
	l.servers = membership.New(l.clock.Now)
	l.set.Store(set)
	m.AddClasses(set.ClassNames)
	return l, nil
}

// awaitList waits until the list that discovery has now is here, or for so long that an old one has to do.
func (l *loop) awaitList(ctx context.Context) {
	look := time.NewTicker(leaveLook)
	defer look.Stop()
	for begun := time.Now(); !l.heard.Load() && (time.Since(begun) < listWait || !l.ready.Load()); {
		select {
		case <-look.C:
		case <-ctx.Done():
			return
		}
	}
}

// send hands an input to the loop, unless that has ended.
func (l *loop) send(in input) {
	select {
	case l.inputs <- in:
	case <-l.done:
	}
}

// run handles inputs and timers until the context ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	wake := time.NewTimer(0)
	defer wake.Stop()
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	gauges := make(<-chan time.Time)
	if l.shown {
		t := time.NewTicker(gaugeEvery)
		defer t.Stop()
		gauges = t.C
	}
	for {
		if len(l.timers) > 0 {
			wake.Reset(l.timers[0].due - l.clock.Now())
		} else {
			wake.Stop()
		}
		select {
		case in := <-l.inputs:
			begun := time.Now()
			l.take(ctx, in)
			took := time.Since(begun)
			l.metrics.LoopBusy(took)
		case <-wake.C:
		case <-sweep.C:
			l.pool.Sweep()
			l.callIDs.age()
		case <-gauges:
			l.metrics.SetEndpoints(l.servers.Len(), l.balancer.EjectedEndpoints(l.clock.Now()))
		case <-report.C:
			l.metrics.Log(l.log, l.servers.Count(balancer.Ready), l.servers.Count(balancer.Draining))
			if step := l.steps.Observe(clock.Wall(), l.clock.Elapsed()); step != 0 {
				l.log.Warn("the wall clock was stepped", "by", step)
			}
		case <-ctx.Done():
			return
		}
		for now := l.clock.Now(); len(l.timers) > 0 && l.timers[0].due <= now; {
			t := heap.Pop(&l.timers).(timer)
			l.handle(ctx, balancer.Event{Kind: balancer.EventTimer, TimerID: t.id})
		}
	}
}

// take brings an input's facts up to date and hands its event to the module.
func (l *loop) take(ctx context.Context, in input) {
	if in.adopt != nil {
		in.adopted <- l.adopt(ctx, in.adopt)
		return
	}
	ev := in.event
	switch ev.Kind {
	case balancer.EventDiscovery:
		ev.Endpoints = l.entries(in.members)
		l.handle(ctx, ev)
		if !ev.Update.KeepsEndpoints() {
			l.forgetGone(ev.Update, ev.Endpoints)
			l.ready.Store(len(l.targets) > 0 || l.ready.Load())
			l.heard.Store(l.ready.Load() && ev.Update != balancer.EndpointsCached || l.heard.Load())
		}
	case balancer.EventRequest:
		if !l.callIDs.take(in.call.callID) {
			in.call.answered <- answer{status: http.StatusConflict, contentType: "text/plain", body: []byte(protocol.HeaderRequestID + " is in use\n")}
			return
		}
		l.metrics.RequestDispatched()
		if !in.call.translate(l.set.Load()) {
			l.callIDs.release(in.call.callID)
			in.call.answered <- answer{status: protocol.StatusRejected}
			return
		}
		in.call.id = l.newID()
		l.requests[in.call.id] = &request{call: in.call}
		ev.Request, ev.Class, ev.Tenant, ev.Retry = in.call.id, in.call.class, in.call.tenant, in.call.retry
		ev.Remaining = in.call.deadline - l.clock.Now()
		l.handle(ctx, ev)
	case balancer.EventClientClosed:
		r := l.requests[in.call.id]
		if r == nil || r.ended.Load() { // it crossed the answer, if there was one
			select {
			case a := <-in.call.answered:
				if a.rest != nil {
					a.rest.Finish(stream.ErrNotRead)
				}
			default:
			}
			return
		}
		l.hangUp(ctx, r)
	case balancer.EventStreaming:
		r := l.requests[ev.Request]
		if flows := in.answer.rest; flows != nil {
			if !r.end(in.answer) { // another attempt's answer was first
				flows.Finish(stream.ErrNotRead)
				return
			}
			r.passing = 1 + ev.Attempt
		}
		l.handle(ctx, ev)
	case balancer.EventOutcome:
		l.metrics.AttemptEnded(ev.Outcome, ev.Load)
		r := l.requests[ev.Request]
		r.attempts[ev.Attempt]()
		r.out--
		if in.gone && !r.ended.Load() {
			l.hangUp(ctx, r)
		}
		if ev.Outcome == balancer.OutcomeOK {
			r.end(in.answer)
		}
		ev.Answered = r.ended.Load()
		l.handle(ctx, ev)
		l.forget(r)
	default:
		if ev.Kind == balancer.EventHealthCheck {
			l.metrics.HealthCheckEnded(ev.Outcome, ev.Load)
		}
		l.handle(ctx, ev)
	}
}

// hangUp ends a request whose client has gone, with an answer of nothing if the handler has not heard.
func (l *loop) hangUp(ctx context.Context, r *request) {
	r.end(answer{})
	l.metrics.ClientClosed()
	l.handle(ctx, balancer.Event{Kind: balancer.EventClientClosed, Request: r.id})
	l.forget(r)
}

func (l *loop) newID() balancer.RequestID {
	for {
		l.lastID++
		if l.requests[l.lastID] == nil {
			return l.lastID
		}
	}
}

// end gives the client its answer, unless it has one or is gone.
func (r *request) end(a answer) bool {
	if r.ended.Swap(true) {
		return false
	}
	r.answered <- a
	return true
}

// forget drops a request of which nothing more is to be heard.
func (l *loop) forget(r *request) {
	if r.ended.Load() && r.out == 0 {
		delete(l.requests, r.id)
		l.callIDs.release(r.callID)
	}
}

// callIDs knows the clients' ids of the open requests and of those that ended a short while ago. Danger: backends
// and clients tell requests apart by them, so a second request under an id would be served with the first one's
// answer, or run as its repeat.
type callIDs struct {
	open, recent, older map[string]struct{}
}

// take notes an id, unless it is known.
func (c *callIDs) take(id string) bool {
	for _, known := range []map[string]struct{}{c.open, c.recent, c.older} {
		if _, taken := known[id]; taken {
			return false
		}
	}
	c.open[id] = struct{}{}
	return true
}

// release notes that the request with an id has ended.
func (c *callIDs) release(id string) {
	delete(c.open, id)
	if c.recent[id] = struct{}{}; len(c.recent) >= mostRecent {
		c.age()
	}
}

// age forgets what was known at the last call but one.
func (c *callIDs) age() { c.recent, c.older = map[string]struct{}{}, c.recent }

// entries notes where the members of a list are and turns them into the module's terms.
func (l *loop) entries(members []discovery.Member) []balancer.Endpoint {
	entries := l.servers.Endpoints(l.set.Load(), members)
	for i, e := range entries {
		if e.State == balancer.Removed {
			continue // forgotten once the module has heard of it
		}
		addr, t := members[i].Address, l.targets[e.ID]
		same := t != nil && t.Is(addr, e.Start)
		if !same || e.State == balancer.Ready && t.Draining() { // one that stays after all may be sent to again
			if t != nil {
				l.pool.Retire(t)
			}
			t = l.pool.AddEndpoint(addr, e.Start)
			l.targets[e.ID] = t
		}
		if e.State != balancer.Ready {
			t.Drain()
		}
	}
	return entries
}

// forgetGone drops the addresses and idle connections of the backends that a list has shown to be gone.
func (l *loop) forgetGone(mode balancer.DiscoveryUpdate, entries []balancer.Endpoint) {
	for _, id := range l.servers.RemoveGone(mode, entries) {
		if t := l.targets[id]; t != nil {
			l.pool.Retire(t)
			delete(l.targets, id)
		}
	}
}

// handle hands an event to the module and carries out what it answers, and so on with the events that come of it.
func (l *loop) handle(ctx context.Context, ev balancer.Event) {
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
func (l *loop) act(ctx context.Context, a *balancer.Action) {
	r := l.requests[a.Request]
	switch a.Kind {
	case balancer.ActionSend:
		if r != nil {
			l.attempt(ctx, r, a)
		}
	case balancer.ActionReject:
		if r != nil {
			r.end(answer{status: protocol.StatusRejected, retryAfter: a.RetryAfter})
			l.forget(r)
		}
	case balancer.ActionFail:
		if r != nil {
			r.end(answer{status: protocol.StatusFailed})
			l.forget(r)
		}
	case balancer.ActionCancel:
		// Another attempt's end must not cut off the answer that the client is getting.
		if r != nil && a.Attempt < len(r.attempts) && r.passing != 1+a.Attempt {
			r.attempts[a.Attempt]()
		}
	case balancer.ActionSetTimer:
		heap.Push(&l.timers, timer{due: l.clock.Now() + a.Delay, id: a.TimerID})
	case balancer.ActionHealthCheck:
		l.probe(ctx, a.Server)
	case balancer.ActionPollEndpoints:
		l.follow()
	case balancer.ActionLog:
		l.log.Info(a.Text)
	}
}

// attempt sends a request to a backend. What cannot be sent any more ends as moot.
func (l *loop) attempt(ctx context.Context, r *request, a *balancer.Action) {
	n := len(r.attempts)
	left := r.deadline - l.clock.Now()
	if a.Timeout != 0 {
		left = min(left, a.Timeout)
	}
	t := l.targets[a.Server]
	if r.ended.Load() || left <= 0 || t == nil {
		r.attempts = append(r.attempts, func() {})
		l.events = append(l.events, balancer.Event{
			Kind: balancer.EventOutcome, Request: r.id, Attempt: n, Server: a.Server,
			Outcome: balancer.OutcomeExpired, Answered: r.ended.Load(), Load: settings.UnknownLoad(),
		})
		return
	}
	on := &upstream.Attempt{Deadline: time.Now().Add(left), LoadFields: l.set.Load().ReportFields, Abandoned: r.over}
	if a.DispatchWithin > 0 {
		on.SendBefore = time.Now().Add(a.DispatchWithin)
	}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	on.Timer = time.AfterFunc(left, func() { cancel(context.DeadlineExceeded) })
	r.attempts = append(r.attempts, func() { cancel(context.Canceled) })
	r.out++
	id, server, msg := r.id, a.Server, r.message
	begun := balancer.Event{Kind: balancer.EventStreaming, Request: id, Attempt: n, Server: server}
	on.OnStreaming = func() { l.send(input{event: begun}) }
	on.PassOn = func(a upstream.Answer) error {
		l.send(input{event: begun, answer: clientAnswer(a)})
		select {
		case err := <-a.Download.Done():
			return err
		case <-l.done:
			return stream.ErrNotRead
		}
	}
	go func() {
		res := l.pool.Exchange(attemptCtx, t, msg, on)
		on.Timer.Stop()
		l.send(input{answer: clientAnswer(res.Answer), gone: res.Abandoned, event: balancer.Event{
			Kind: balancer.EventOutcome, Request: id, Attempt: n, Server: server,
			Outcome: res.Outcome, Load: res.Load,
		}})
	}()
}

func (l *loop) probe(ctx context.Context, server balancer.ServerID) {
	t := l.targets[server]
	if t == nil {
		l.events = append(l.events, balancer.Event{
			Kind: balancer.EventHealthCheck, Server: server, Outcome: balancer.OutcomeExpired, Load: settings.UnknownLoad(),
		})
		return
	}
	set := l.set.Load()
	go func() {
		res := l.pool.HealthCheck(ctx, t, set)
		l.send(input{event: balancer.Event{
			Kind: balancer.EventHealthCheck, Server: server,
			Outcome: res.Outcome, Load: res.Load,
		}})
	}()
}

// timer is an ActionSetTimer that is to fall due.
type timer struct {
	due time.Duration
	id  balancer.TimerID
}

// timers is a heap, the next one first.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
