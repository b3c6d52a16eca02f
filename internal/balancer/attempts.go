package balancer

import (
	"slices"
	"time"
)

const (
	defaultRetryBudgetRatio   = 0.2 // retry budget where none is stated: further attempts for each request, as usual
	defaultRetryBudgetMin     = 3.0 // and so many besides,
	defaultRetryBudgetSeconds = 5.0 // in any so many seconds
)

type request struct {
	id                  RequestID
	class               *class
	tenant              int
	deadline, objective time.Duration
	attempts            []attempt
	unsentAttempts      int // of these, those that ended as Leaving
	inFlight            int // attempts out
	finished            bool
	streaming           bool // it cannot be had again, nor its answer
	picks               int
}

type attempt struct {
	server        *server
	sentAt        time.Duration
	queueDepth    float64 // requests that its server held, and itself
	silenceWeight float64 // for its silence
	silenceChecks int     // for it
	inFlight      bool
	mayHaveRun    bool // may have run
}

// isLost says that its server, which has reported since, holds less than this agent alone has sent it.
func (a *attempt) isLost() bool {
	s := a.server
	return s.lastReport.Known && s.reportedAt > a.sentAt &&
		s.lastReport.InFlight >= 0 && s.lastReport.InFlight < float64(s.inFlight)
}

func (b *Balancer) onRequest(ev *Event) {
	if ev.Class < 0 || ev.Class >= len(b.classes) || b.requests[ev.Request] != nil {
		return
	}
	c := b.classes[ev.Class]
	r := &request{id: ev.Request, class: c, tenant: ev.Tenant}
	r.deadline, r.objective = b.now+ev.Remaining, b.now+c.LatencyObjective
	if passed := max(0, c.Deadline-ev.Remaining); !ev.Retry {
		c.firstTryTimeout = ev.Remaining
	} else if (ev.Remaining - c.firstTryTimeout).Abs() > 2*b.settings.Tick { // it has all that remains
		r.objective -= passed
	} else {
		// Danger: a repeat with a first try's share came soon, after a refusal. Were all that may have passed taken
		// off its aim, a short refusal would be a lasting one. Half of it is the mean.
		r.objective -= passed / 2
	}
	if b.now >= r.objective && c.LateWeight > 0 {
		r.objective = r.deadline // late is still worth something
	}
	b.requests[r.id] = r
	b.requestTimes.add(b.now)
	if b.now >= r.objective || b.shouldShed(r) || !b.dispatch(r) {
		b.finish(r, true)
	}
}

// canSend is the right to send: the one place that knows placement, effects, groups, windows and drains.
func (b *Balancer) canSend(r *request, s *server) bool {
	if r.finished || r.streaming || b.now >= r.deadline || s.State != Ready || !r.class.eligible(s) ||
		len(r.attempts)-r.unsentAttempts >= b.settings.MaxAttempts || r.inFlight > 0 && !b.settings.Hedging ||
		len(r.attempts) > r.unsentAttempts && !b.withinRetryBudget() {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		switch {
		case a.inFlight && a.server == s:
			return false // danger: what swallows one copy swallows the other
		case !a.mayHaveRun:
		case r.class.Idempotency == NonIdempotent:
			return false // danger: the effect would happen twice
		case r.class.Idempotency == IdempotentWithKey && (b.now >= a.sentAt+r.class.DedupWindow ||
			r.class.DedupScope == DedupScopeZone && a.server.Zone != s.Zone ||
			r.class.DedupScope == DedupScopeCell && a.server.Cell != s.Cell):
			return false // danger: this server does not, or no longer, know the key
		}
	}
	return true
}

// dedupRemaining is how long the servers go on to drop a repeat of the request, 0 if they need not. Danger: a
// connection takes time to come up, and a repeat sent when it is up may be too late.
func (r *request) dedupRemaining(now time.Duration) time.Duration {
	first := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun })
	if first < 0 || r.class.Idempotency != IdempotentWithKey {
		return 0
	}
	return r.attempts[first].sentAt + r.class.DedupWindow - now
}

// withinRetryBudget says whether one more attempt beyond a request's first keeps the retry budget, a window that
// slides over this agent's requests and further attempts. Danger: retries feed the overload that causes them.
func (b *Balancer) withinRetryBudget() bool {
	from := b.now - b.settings.RetryBudgetWindow
	taken, extra := b.requestTimes.countSince(from+1), b.retryTimes.countSince(from) // an edge counts against us
	allowed := b.settings.RetryBudgetMin + b.settings.RetryBudgetRatio*float64(taken)
	return float64(extra+1) <= min(allowed, maxHistoryLength/2)
}

// canReject answers whether the client may be told that a further try is harmless.
func (b *Balancer) canReject(r *request) bool {
	return r.class.Idempotency == Idempotent || !slices.ContainsFunc(r.attempts, func(a attempt) bool {
		known := r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupScopeFleet &&
			b.now < a.sentAt+r.class.DedupWindow
		return a.mayHaveRun && !known // danger: past the window nobody drops the client's repeat
	})
}

// send is the only way to a server.
func (b *Balancer) send(r *request, s *server) bool {
	if !b.canSend(r, s) {
		return false
	}
	if l := &r.class.candidates; b.minWarmth(s) < 1 {
		if i := slices.Index(l.servers, s); i >= 0 && b.rng.Float64() >= l.sendChances[i] {
			return false
		}
	}
	if len(r.attempts) > r.unsentAttempts {
		b.retryTimes.add(b.now)
	}
	within := r.dedupRemaining(b.now)
	r.attempts = append(r.attempts, attempt{
		server: s, sentAt: b.now, queueDepth: b.inFlightEstimate(s) + 1, inFlight: true, mayHaveRun: true,
	})
	r.inFlight++
	s.inFlight++
	s.sentSinceReport++
	b.act(Action{Kind: ActionSend, Request: r.id, Server: s.ID, Timeout: r.deadline - b.now, DispatchWithin: within})
	token := timerCheck | TimerID(len(r.attempts)-1)<<32 | TimerID(r.id)
	b.act(Action{Kind: ActionSetTimer, TimerID: token, Delay: r.class.silenceTimeout()})
	return true
}

func (b *Balancer) onOutcome(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].inFlight {
		return
	}
	a := &r.attempts[ev.Attempt]
	s := a.server
	a.inFlight, a.mayHaveRun = false, !ev.Outcome.neverRan()
	if ev.Outcome == OutcomeServerDraining {
		r.unsentAttempts++
	}
	r.inFlight--
	s.inFlight--
	if a.silenceChecks > 0 {
		s.silentAttempts--
	}
	b.recordReport(s, ev.Load)
	took := (b.now - a.sentAt).Seconds()
	if r.streaming { // in the time that the client took for it
		took = 0
	}
	b.recordOutcome(r.class, a, ev.Outcome, took/r.class.LatencyObjective.Seconds())
	if ev.Outcome == OutcomeOK {
		b.recordLatency(r.class, a, took)
	}
	r.picks = 0
	switch {
	case ev.Answered || ev.Outcome == OutcomeOK || r.finished:
		b.finish(r, false)
	case r.inFlight > 0:
	case ev.Outcome == OutcomeTimeout || b.now >= r.objective || !b.dispatch(r): // a further attempt, if it is worth one
		b.finish(r, true)
	}
}

// finish is the only place where a request ends: by the answer of ours that promises most, or as it has one or
// is gone. A request with attempts out stays known until they are back.
func (b *Balancer) finish(r *request, ours bool) {
	if ours && r.inFlight > 0 {
		return // an attempt is still out and may yet serve it
	}
	if !r.finished {
		r.finished = true
		if ours && b.canReject(r) {
			b.act(Action{Kind: ActionReject, Request: r.id, RetryAfter: b.retryAfter(r.class)})
		} else if ours {
			b.act(Action{Kind: ActionFail, Request: r.id})
		}
		for i := range r.attempts {
			if b.settings.CancelAttempts && r.attempts[i].inFlight {
				b.act(Action{Kind: ActionCancel, Request: r.id, Attempt: i})
			}
		}
	}
	if r.inFlight == 0 {
		delete(b.requests, r.id)
	}
}

// hedge sends a second copy of a request whose attempt is silent, while one may still be in time. Danger:
// servers may swallow some requests and answer others, and only silence tells; dead connections are covered
// too. Where many are late copies would add to it: then patience outlasts the aim, pairs are crowded and the
// retry budget ends. It hurts where answers vary widely though nothing is lost.
func (b *Balancer) hedge(r *request) {
	if r.class.Idempotency != NonIdempotent && r.inFlight == 1 &&
		b.now+seconds(r.class.latencySeconds.value) < r.objective {
		r.picks = 0
		b.dispatch(r)
	}
}

// silenceTimeout is how long a server's silence is no sign.
func (c *class) silenceTimeout() time.Duration {
	return max(seconds(silenceLatencies*c.latencySeconds.value), c.LatencyObjective)
}
