package balancer

import (
	"slices"
	"testing"
	"time"
)

// trackedRequest is the checker's record of a request: its attempts, and whether it has its final response.
type trackedRequest struct {
	class    Class
	deadline time.Duration
	attempts []trackedAttempt
	answered bool
}

type trackedAttempt struct {
	server               Endpoint
	sentAt               time.Duration
	inFlight, mayHaveRun bool
	unsent               bool // it ended with OutcomeServerDraining and does not count as an attempt
}

// ruleChecker checks the actions of a Balancer against the rules on final responses, idempotency, draining, placement
// and the retry budget. It evaluates the rules independently of the Balancer.
type ruleChecker struct {
	requestTimes []time.Duration // when requests arrived
	retryTimes   []time.Duration // when attempts after the first of a request were sent
	t            *testing.T
	b            *Balancer
	settings     Settings
	now          time.Duration
	requests     map[RequestID]*trackedRequest
	endpoints    map[ServerID]Endpoint
	timers       []Action
	healthChecks []ServerID
	pending      []Action // ActionSends without an outcome
}

func (c *ruleChecker) handle(ev Event) {
	for _, a := range c.b.Handle(c.now, ev, nil) {
		r := c.requests[a.Request]
		switch a.Kind {
		case ActionSend:
			c.checkSend(r, a)
		case ActionReject, ActionFail:
			if r == nil || r.answered {
				c.t.Fatalf("got a final response to an unknown or finished request: %+v", a)
			}
			r.answered = true
			for _, s := range r.attempts {
				safeToRetry := r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupScopeFleet &&
					c.now < s.sentAt+r.class.DedupWindow
				if a.Kind == ActionReject && (s.mayHaveRun || s.inFlight) && !safeToRetry {
					c.t.Fatalf("got a rejection of a request that may have run: %+v", a)
				}
			}
		case ActionSetTimer:
			a.Delay += c.now
			c.timers = append(c.timers, a)
		case ActionHealthCheck:
			c.healthChecks = append(c.healthChecks, a.Server)
		}
	}
}

func (c *ruleChecker) checkSend(r *trackedRequest, send Action) {
	server, known := c.endpoints[send.Server]
	attempts := 0
	if r != nil {
		for _, earlier := range r.attempts {
			if !earlier.unsent {
				attempts++
			}
		}
	}
	switch {
	case r == nil || r.answered:
		c.t.Fatalf("got an attempt of an unknown or finished request: %+v", send)
	case !known || server.State != Ready:
		c.t.Fatalf("got an attempt on a server that is not ready: %+v", send)
	case attempts >= c.settings.MaxAttempts:
		c.t.Fatalf("got attempt %d, want at most %d", attempts+1, c.settings.MaxAttempts)
	case c.now+send.Timeout > r.deadline || send.Timeout <= 0:
		c.t.Fatalf("got timeout %v, want above 0 and at most %v", send.Timeout, r.deadline-c.now)
	}
	if r.class.Zones != nil && !slices.Contains(r.class.Zones, server.Zone) ||
		r.class.Kinds != nil && !slices.Contains(r.class.Kinds, server.Kind) {
		c.t.Fatalf("got an attempt outside the placement of its class, on %+v", server)
	}
	if attempts > 0 {
		c.retryTimes = append(c.retryTimes, c.now)
		allowed := c.settings.RetryBudgetMin + c.settings.RetryBudgetRatio*c.countInWindow(c.requestTimes, false)
		if n := c.countInWindow(c.retryTimes, true); c.settings.RetryBudgetWindow > 0 && n > allowed {
			c.t.Fatalf("got %v retries in the window, want at most %v", n, allowed)
		}
	}
	for _, earlier := range r.attempts {
		if earlier.inFlight && !c.settings.Hedging {
			c.t.Fatal("got two attempts in flight without hedging")
		}
		if !earlier.mayHaveRun && !earlier.inFlight {
			continue
		}
		if r.class.Idempotency == NonIdempotent {
			c.t.Fatal("got a retry of a request that is not idempotent and may have run")
		}
		if r.class.Idempotency == IdempotentWithKey && (c.now >= earlier.sentAt+r.class.DedupWindow ||
			r.class.DedupScope == DedupScopeCell && earlier.server.Cell != server.Cell ||
			r.class.DedupScope == DedupScopeZone && earlier.server.Zone != server.Zone) {
			c.t.Fatal("got a retry outside the dedup scope or window of its idempotency key")
		}
	}
	send.Attempt = len(r.attempts)
	r.attempts = append(r.attempts, trackedAttempt{server: server, sentAt: c.now, inFlight: true})
	c.pending = append(c.pending, send)
}

// countInWindow counts the times within the retry budget's window. If includeEdge is set, the window includes its older
// edge.
func (c *ruleChecker) countInWindow(times []time.Duration, includeEdge bool) (n float64) {
	for _, at := range times {
		if from := c.now - c.settings.RetryBudgetWindow; at > from || includeEdge && at == from {
			n++
		}
	}
	return n
}

// endAttempt ends the pending attempt with index i.
func (c *ruleChecker) endAttempt(i int, outcome Outcome) {
	a := c.pending[i]
	c.pending = append(c.pending[:i:i], c.pending[i+1:]...)
	r := c.requests[a.Request]
	s := &r.attempts[a.Attempt]
	s.inFlight = false
	neverRan := []Outcome{OutcomeRejected, OutcomeConnectFailed, OutcomeExpired, OutcomeServerDraining}
	s.mayHaveRun = !slices.Contains(neverRan, outcome)
	s.unsent = outcome == OutcomeServerDraining
	if outcome == OutcomeOK {
		r.answered = true
	}
	c.handle(Event{Kind: EventOutcome, Request: a.Request, Attempt: a.Attempt, Server: a.Server, Outcome: outcome,
		Answered: r.answered, Load: LoadReport{Known: true, InFlight: float64(i % 9), Queue: float64(i % 5)}})
}

// advance moves the time forward in steps of 5 ms, and handles the timers and timeouts that become due.
func (c *ruleChecker) advance(by time.Duration) {
	for end := c.now + by; c.now < end; {
		c.now = min(end, c.now+5*time.Millisecond)
		due := c.timers
		c.timers = nil
		for _, a := range due {
			if a.Delay <= c.now {
				c.handle(Event{Kind: EventTimer, TimerID: a.TimerID})
			} else {
				c.timers = append(c.timers, a)
			}
		}
		for i := 0; i < len(c.pending); i++ {
			if c.requests[c.pending[i].Request].deadline <= c.now {
				c.endAttempt(i, OutcomeTimeout)
				i--
			}
		}
	}
}

// FuzzRules checks that no sequence of legal events makes a Balancer break a rule of ruleChecker, leave a request
// without a response, or keep state of a finished request.
func FuzzRules(f *testing.F) {
	f.Add([]byte{0})
	f.Add([]byte("\x01\x10\x10\x11\x12\x13\x14\x20\x31\x42\x53\x64\x75\x86\x97\x10\x21\x32\x43\x54"))
	f.Add([]byte("\x03drains and errors meet hangs: \x90\x91\x92\x21\x22\x23\x24\x25\x26\x27\x51\x52\x53\xa0\xb0\xc0"))
	f.Add([]byte("\x07\x15\x25\x35\x45\x55\x65\x75\x85\x95\xa5\xb5\xc5\xd5\xe5\xf5\x15\x25\x35\x45\x55\x65\x75\x85\x95"))
	f.Add([]byte("\x35placement and budget: \x10\x21\x32\x43\xd1\xe2\xf3\x51\x62\x73\x84\x10\x21\x32\x56\x67\x78\x91"))
	f.Add([]byte("\x7fall at once \xd1\xd2\xd3\xd4\xf5\x01\x12\x23\x34\x45\x55\x66\x77\x88\xa9\xb1\xc2\x05\x16\x27"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) == 0 || len(data) > 2000 {
			return
		}
		s := testSettings()
		s.Hedging = data[0]&1 != 0
		if data[0]&2 != 0 {
			s.HealthChecks, s.Reports = true, ReportsOnHealthCheck
		}
		s.MaxAttempts = 1 + int(data[0]>>2&3)
		if data[0]&16 != 0 {
			s.RetryBudgetWindow = 100 * ms
			s.RetryBudgetMin = 1
			s.RetryBudgetRatio = 0.25
		}
		if data[0]&32 != 0 {
			s.Classes[nonIdempotent].Zones = []int{1}
			s.Classes[idempotent].Kinds = []int{0}
			s.Classes[keyedByFleet].Zones = []int{}
		}
		b, err := New(s, uint64(data[0]))
		if err != nil {
			t.Fatal(err)
		}
		c := &ruleChecker{
			t: t, b: b, settings: s, now: time.Hour,
			requests: map[RequestID]*trackedRequest{}, endpoints: map[ServerID]Endpoint{},
		}
		for id := range RequestID(len(data)) {
			c.step(id, data[id]>>4, int(data[id]&15))
		}
		c.advance(2 * time.Second)
		for id, r := range c.requests {
			if !r.answered {
				t.Fatalf("request %d: got no response, want one", id)
			}
		}
		if len(b.requests) != 0 {
			t.Fatalf("got %d open requests, want 0", len(b.requests))
		}
	})
}

// step handles one legal event, or advances the time. The kind selects the event and detail is its parameter.
func (c *ruleChecker) step(id RequestID, kind byte, detail int) {
	switch {
	case kind < 5:
		class := c.settings.Classes[detail%len(c.settings.Classes)]
		remaining := time.Duration(1+detail) * 60 * time.Millisecond
		c.requests[id] = &trackedRequest{class: class, deadline: c.now + remaining}
		c.requestTimes = append(c.requestTimes, c.now)
		c.handle(Event{Kind: EventRequest, Request: id, Class: detail % len(c.settings.Classes), Remaining: remaining, Retry: detail == 15})
	case kind < 9 && len(c.pending) > 0:
		c.endAttempt(detail%len(c.pending), Outcome(kind*5+byte(detail))%(OutcomeServerDraining+1))
	case kind < 11:
		c.advance(time.Duration(detail) * 20 * time.Millisecond)
	case kind < 12 && len(c.healthChecks) > 0:
		server := c.healthChecks[0]
		c.healthChecks = c.healthChecks[1:]
		c.handle(Event{Kind: EventHealthCheck, Server: server, Outcome: Outcome(detail) % (OutcomeExpired + 1),
			Load: LoadReport{Known: true, InFlight: float64(detail), Queue: -1, ServiceTime: time.Duration(detail) * ms}})
	case kind < 13 && len(c.pending) > 0:
		r := c.requests[c.pending[detail%len(c.pending)].Request]
		if !r.answered {
			r.answered = true
			c.handle(Event{Kind: EventClientClosed, Request: c.pending[detail%len(c.pending)].Request})
		}
	default:
		e := Endpoint{ID: ServerID(detail), Cell: detail % 3, Zone: detail % 2, Kind: detail / 2 % 2, State: EndpointState(kind % 3), Weight: float64(detail)}
		if kind == 15 {
			e.State, e.Start = Ready, c.now
		}
		c.endpoints[e.ID] = e
		c.handle(Event{Kind: EventDiscovery, Endpoints: []Endpoint{e}})
	}
}
