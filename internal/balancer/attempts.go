package balancer

import (
	"slices"
	"time"
)

// The default retry budget, used if Settings.RetryBudgetWindow is 0.
const (
	defaultRetryBudgetWindow = 5 * time.Second
	defaultRetryBudgetMin    = 3.0
	defaultRetryBudgetRatio  = 0.2
)

// request is an open request of a client.
type request struct {
	id             RequestID
	class          *class
	tenant         int
	deadline       time.Duration // when the client gives up
	objective      time.Duration // time after which a response is late
	attempts       []attempt
	unsentAttempts int  // attempts that ended with OutcomeServerDraining
	inFlight       int  // attempts without an outcome
	picks          int  // picks since the last outcome or hedge
	finished       bool // the client needs no further response
	streaming      bool // the body or response is streaming, so the request cannot be retried
}

// attempt is one attempt of a request on a server.
type attempt struct {
	server          *server
	sentAt          time.Duration
	queueDepth      float64 // requests on the server, including this one
	silenceWeight   float64 // failure weight recorded for its silence
	silenceExpiries int     // how often its silence timer has expired
	inFlight        bool
	mayHaveRun      bool
}

// sentAttempts returns the number of attempts that were sent.
func (r *request) sentAttempts() int { return len(r.attempts) - r.unsentAttempts }

// isInFlight reports whether the attempt at the given index is in flight.
func (r *request) isInFlight(index int) bool {
	return index >= 0 && index < len(r.attempts) && r.attempts[index].inFlight
}

// isLost reports whether the server has sent a report since the attempt began that counts fewer requests than this
// agent alone has in flight there.
func (a *attempt) isLost() bool {
	s := a.server
	reportedSince := s.lastReport.Known && s.reportedAt > a.sentAt && s.lastReport.InFlight >= 0
	return reportedSince && s.lastReport.InFlight < float64(s.inFlight)
}

// onRequest sends a request to a server, or rejects it.
func (b *Balancer) onRequest(ev *Event) {
	if ev.Class < 0 || ev.Class >= len(b.classes) || b.requests[ev.Request] != nil {
		return
	}
	c := b.classes[ev.Class]
	if !ev.Retry {
		c.firstRequestTimeout = ev.Remaining
	}
	r := &request{
		id: ev.Request, class: c, tenant: ev.Tenant,
		deadline: b.now + ev.Remaining, objective: b.objective(c, ev),
	}
	if b.now >= r.objective && c.LateWeight > 0 {
		r.objective = r.deadline // a late response still has some value
	}
	b.requests[r.id] = r
	b.requestTimes.add(b.now)
	if b.now >= r.objective || b.shouldShed(r) || !b.dispatch(r) {
		b.rejectOrFail(r)
	}
}

// objective returns the time after which a response to a request is late. For a retry, the estimated time since the
// client's first attempt counts against the objective.
func (b *Balancer) objective(c *class, ev *Event) time.Duration {
	objective := b.now + c.LatencyObjective
	if !ev.Retry {
		return objective
	}
	elapsed := max(0, c.Deadline-ev.Remaining)
	// A timeout that differs from that of a first request is all that remains of the client's deadline.
	usesRemainingDeadline := (ev.Remaining - c.firstRequestTimeout).Abs() > 2*b.settings.Tick
	if usesRemainingDeadline {
		return objective - elapsed
	}
	// A retry with the timeout of a first request came soon after a rejection. On average half of the possible time has
	// elapsed; subtracting all of it would reject every such retry as late.
	return objective - elapsed/2
}

// onStreaming marks a request as streaming, so that it is not retried.
func (b *Balancer) onStreaming(ev *Event) {
	if r := b.requests[ev.Request]; r != nil {
		r.streaming = true
	}
}

// onClientClosed finishes a request whose client has closed its connection.
func (b *Balancer) onClientClosed(ev *Event) {
	if r := b.requests[ev.Request]; r != nil {
		b.finish(r)
	}
}

// canSend reports whether a request may be sent to a server now. It alone enforces placement, draining, idempotency,
// deduplication, MaxAttempts and the retry budget.
func (b *Balancer) canSend(r *request, s *server) bool {
	if r.finished || r.streaming || b.now >= r.deadline {
		return false
	}
	if s.State != Ready || !r.class.eligible(s) {
		return false
	}
	if r.sentAttempts() >= b.settings.MaxAttempts || r.inFlight > 0 && !b.settings.Hedging {
		return false
	}
	if r.sentAttempts() > 0 && !b.withinRetryBudget() {
		return false
	}
	for i := range r.attempts {
		if !b.canFollow(&r.attempts[i], r.class, s) {
			return false
		}
	}
	return true
}

// canFollow reports whether an earlier attempt allows another one on a server.
func (b *Balancer) canFollow(earlier *attempt, c *class, s *server) bool {
	if earlier.inFlight && earlier.server == s {
		return false // a fault that loses one attempt would also lose the other
	}
	if !earlier.mayHaveRun {
		return true
	}
	switch c.Idempotency {
	case NonIdempotent:
		return false
	case IdempotentWithKey:
		return b.now < earlier.sentAt+c.DedupWindow && c.DedupScope.shared(earlier.server, s)
	}
	return true
}

// shared reports whether two servers recognize each other's idempotency keys.
func (scope DedupScope) shared(x, y *server) bool {
	switch scope {
	case DedupScopeZone:
		return x.Zone == y.Zone
	case DedupScopeCell:
		return x.Cell == y.Cell
	}
	return true
}

// dedupRemaining returns the remaining time in which servers deduplicate a retry of the request, or 0 if no
// deduplication is needed. A retry that waits for a connection could reach its server after that time.
func (r *request) dedupRemaining(now time.Duration) time.Duration {
	first := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun })
	if first < 0 || r.class.Idempotency != IdempotentWithKey {
		return 0
	}
	return r.attempts[first].sentAt + r.class.DedupWindow - now
}

// withinRetryBudget reports whether the retry budget has room for one more retry.
func (b *Balancer) withinRetryBudget() bool {
	start := b.now - b.settings.RetryBudgetWindow
	// The budget holds whether or not the platform counts the edge of the window.
	requests := b.requestTimes.countSince(start + 1)
	retries := b.retryTimes.countSince(start)
	allowed := b.settings.RetryBudgetMin + b.settings.RetryBudgetRatio*float64(requests)
	return float64(retries+1) <= min(allowed, maxHistoryLength/2)
}

// canReject reports whether the client may be told that a retry is harmless.
func (b *Balancer) canReject(r *request) bool {
	if r.class.Idempotency == Idempotent {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool {
		// The client's retry may reach any server, and is deduplicated only within the window.
		isDeduplicated := r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupScopeFleet &&
			b.now < a.sentAt+r.class.DedupWindow
		return a.mayHaveRun && !isDeduplicated
	})
}

// send sends a request to a server if canSend and slow start allow it, and reports whether it did. All requests to
// servers go through send.
func (b *Balancer) send(r *request, s *server) bool {
	if !b.canSend(r, s) || b.withholdForSlowStart(r.class, s) {
		return false
	}
	if r.sentAttempts() > 0 {
		b.retryTimes.add(b.now)
	}
	dispatchWithin := r.dedupRemaining(b.now)
	index := len(r.attempts)
	r.attempts = append(r.attempts, attempt{
		server: s, sentAt: b.now, queueDepth: b.inFlightEstimate(s) + 1, inFlight: true, mayHaveRun: true,
	})
	r.inFlight++
	s.inFlight++
	s.sentSinceReport++
	b.emit(Action{
		Kind: ActionSend, Request: r.id, Server: s.ID, Timeout: r.deadline - b.now, DispatchWithin: dispatchWithin,
	})
	b.emit(Action{Kind: ActionSetTimer, TimerID: newSilenceTimerID(r.id, index), Delay: r.class.silenceTimeout()})
	return true
}

// onOutcome applies the outcome of an attempt, and finishes or retries its request.
func (b *Balancer) onOutcome(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || !r.isInFlight(ev.Attempt) {
		return
	}
	a := &r.attempts[ev.Attempt]
	b.endAttempt(r, a, ev.Outcome)
	b.recordReport(a.server, ev.Load)
	latencySeconds := (b.now - a.sentAt).Seconds()
	if r.streaming { // the latency includes time that the client took
		latencySeconds = 0
	}
	b.recordOutcome(r.class, a, ev.Outcome, latencySeconds/r.class.LatencyObjective.Seconds())
	if ev.Outcome == OutcomeOK {
		b.recordLatency(r.class, a, latencySeconds)
	}
	r.picks = 0
	if ev.Answered || ev.Outcome == OutcomeOK || r.finished {
		b.finish(r)
		return
	}
	if r.inFlight > 0 {
		return // the other attempt may still succeed
	}
	worthRetrying := ev.Outcome != OutcomeTimeout && b.now < r.objective
	if !worthRetrying || !b.dispatch(r) {
		b.rejectOrFail(r)
	}
}

// endAttempt marks an attempt as no longer in flight.
func (b *Balancer) endAttempt(r *request, a *attempt, outcome Outcome) {
	a.inFlight = false
	a.mayHaveRun = !outcome.neverRan()
	if outcome == OutcomeServerDraining {
		r.unsentAttempts++
	}
	r.inFlight--
	a.server.inFlight--
	if a.silenceExpiries > 0 {
		a.server.silentAttempts--
	}
}

// hedge sends a second attempt of a request whose only attempt is silent, if a response can still arrive in time.
// Servers may lose single requests, and connections may be dead, which only shows as silence. Overload limits hedging
// without a special case: the silence timeout exceeds the objective, servers are overloaded and the retry budget is
// spent.
func (b *Balancer) hedge(r *request) {
	inTime := b.now+seconds(r.class.latencySeconds.value) < r.objective
	if r.class.Idempotency == NonIdempotent || r.inFlight != 1 || !inTime {
		return
	}
	r.picks = 0
	b.dispatch(r)
}

// rejectOrFail finishes a request without a server's response, unless an attempt is still in flight.
func (b *Balancer) rejectOrFail(r *request) {
	if r.inFlight > 0 {
		return
	}
	if b.canReject(r) {
		b.emit(Action{Kind: ActionReject, Request: r.id, RetryAfter: b.retryAfter(r.class)})
	} else {
		b.emit(Action{Kind: ActionFail, Request: r.id})
	}
	b.finish(r)
}

// finish marks a request as finished and cancels its attempts in flight. The request is deleted once all its attempts
// have ended.
func (b *Balancer) finish(r *request) {
	if !r.finished {
		r.finished = true
		b.cancelAttempts(r)
	}
	if r.inFlight == 0 {
		delete(b.requests, r.id)
	}
}

// cancelAttempts cancels the in-flight attempts of a request if the settings allow it.
func (b *Balancer) cancelAttempts(r *request) {
	if !b.settings.CancelAttempts {
		return
	}
	for i := range r.attempts {
		if r.attempts[i].inFlight {
			b.emit(Action{Kind: ActionCancel, Request: r.id, Attempt: i})
		}
	}
}
