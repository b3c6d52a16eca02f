package lists

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// Path is where the list is.
const Path = "/discovery/hosts"

const (
	// WatchContinuation is how long after its last answer a watch goes on with its next call; a later one starts a new watch.
	WatchContinuation = 200 * time.Millisecond

	maxWait     = time.Minute      // of a watch; longer ones are cut to it
	maxHeader   = 4 << 10          // bytes; the library allows as much again
	headerGrace = 5 * time.Second  // for a caller to send its headers
	writeGrace  = 10 * time.Second // for a caller to take its answer in
	idleGrace   = 90 * time.Second // for a connection without a call
	callsEach   = 4                // open at a time, an agent
	connsEach   = 8                // likewise
)

// Limiter holds calls back as long as their work takes, and refuses some. It is safe for concurrent use.
type Limiter interface {
	// Admit returns when the work is done, and how much of that time was due: the work and the wait for its turn, by
	// plan, whatever the clock made of it. A call that it fails gets a 503, with Retry-After if the error is Refused
	// and says so. It may stop waiting when the context ends.
	Admit(ctx context.Context, w Work) (time.Duration, error)
}

// Work is what a call asks of the server in one piece: its beginning, unless it goes on with a watch, and an answer.
type Work struct {
	Agent     int
	Continues bool // the call began before, or goes on with a watch; only the lines are work
	Complete  bool // the answer is a whole list
	Entries   int  // of the answer; 0 if there is nothing to tell yet
}

// RejectedError is the error of a call that is to come again.
type RejectedError struct {
	RetryAfter time.Duration // 0: not said when
	Cause      string
}

func (r RejectedError) Error() string { return "refused: " + r.Cause }

// CallRecord is one call as it ended.
type CallRecord struct {
	Agent         int
	Status        int // 0: the caller had gone, or did not take the answer
	SinceRevision uint64
	HasSince      bool // After was asked for
	Revision      uint64
	Complete      bool
	Entries       int
	HeldAt        time.Time     // when it began to wait for something newer; zero if it did not
	QueueDelay    time.Duration // what the gate took for the answer by its own plan
	WrittenAt     time.Time     // when the answer had been written
}

// Server answers calls from a store. Its fields are set before the first call and not changed.
//
// An answer is fixed before it enters the gate, so that what is written is what was paid for; what changes meanwhile is
// told by the watch's next call.
type Server struct {
	Store            *Store
	Limiter          Limiter                                        // nil: calls cost nothing
	OnAcknowledge    func(agent int, revision uint64, at time.Time) // if not nil: an agent's call says that it holds this revision
	OnCallDone       func(CallRecord)                               // if not nil: a call has ended
	MaxCallsPerAgent int                                            // open at a time, an agent; 0 for 4. More get 503
	MaxConns         int                                            // open at a time, a Listener; 0 for 8. More are closed
	Log              *slog.Logger                                   // of the library's complaints; nil for its own

	mu      sync.Mutex
	callers map[int]*caller
}

// HTTP returns a server, bounded in what it reads and how long it waits, for any number of listeners, each of which must
// come from Listener.
func (s *Server) HTTP() *http.Server {
	h := &http.Server{
		Handler:           http.HandlerFunc(serveTagged),
		ConnContext:       s.tag,
		ReadHeaderTimeout: headerGrace, IdleTimeout: idleGrace, MaxHeaderBytes: maxHeader,
	}
	if s.Log != nil {
		h.ErrorLog = slog.NewLogLogger(s.Log.Handler(), slog.LevelWarn)
	}
	return h
}

// callerKey is where the context of a connection holds its caller.
type callerKey struct{}

func (s *Server) tag(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*conn); ok {
		ctx = context.WithValue(ctx, callerKey{}, s.caller(t.l.agent))
	}
	return ctx
}

func serveTagged(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(callerKey{}).(*caller)
	if !ok {
		http.Error(w, "a listener without an agent", http.StatusInternalServerError)
		return
	}
	c.ServeHTTP(w, r)
}

// Handler answers one agent, or all who share a listener: then Calls has to be enough for them.
func (s *Server) Handler(agent int) http.Handler { return s.caller(agent) }

func (s *Server) caller(agent int) *caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.callers[agent]
	if c == nil {
		if s.callers == nil {
			s.callers = make(map[int]*caller)
		}
		c = &caller{s: s, agent: agent}
		s.callers[agent] = c
	}
	return c
}

// caller is one agent's side of the server.
type caller struct {
	s     *Server
	agent int

	mu      sync.Mutex
	open    int
	watched time.Time // when its last watch was answered; zero if it has none
}

// begin admits a call, and tells whether it goes on with a watch.
func (c *caller) begin(q query, now time.Time) (goesOn, ok bool) {
	limit := c.s.MaxCallsPerAgent
	if limit == 0 {
		limit = callsEach
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open >= limit {
		return false, false
	}
	c.open++
	return q.known && !c.watched.IsZero() && now.Sub(c.watched) <= WatchContinuation, true
}

// end notes how a call went. Only an answered watch can be gone on with.
func (c *caller) end(call *CallRecord) {
	c.mu.Lock()
	c.open--
	c.watched = time.Time{}
	if call.HasSince && call.Status == http.StatusOK {
		c.watched = call.WrittenAt
	}
	c.mu.Unlock()
}

func (c *caller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	call := CallRecord{Agent: c.agent}
	defer func() {
		if c.s.OnCallDone != nil {
			c.s.OnCallDone(call)
		}
	}()
	q, status, err := read(r)
	if err != nil {
		call.Status = status
		refuse(w, status, err)
		return
	}
	call.SinceRevision, call.HasSince = q.after, q.known
	goesOn, ok := c.begin(q, now)
	if !ok {
		call.Status = http.StatusServiceUnavailable
		refuse(w, call.Status, RejectedError{Cause: "too many calls at a time"})
		return
	}
	defer c.end(&call)
	if c.s.OnAcknowledge != nil && q.known && q.after <= c.s.Store.Revision() {
		c.s.OnAcknowledge(c.agent, q.after, now)
	}
	a, err := c.answer(r.Context(), q, now, goesOn, &call)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, err)
		if r.Context().Err() == nil {
			call.Status = http.StatusServiceUnavailable
		}
		return
	}
	call.Revision, call.Complete, call.Entries = a.Revision, a.Complete, a.Entries
	if write(w, a.Body) == nil {
		call.Status, call.WrittenAt = http.StatusOK, time.Now()
	}
}

// errEmpty answers for a store without a list. Danger: an empty list would say that all servers are gone.
var errEmpty = errors.New("no list yet")

// answer finds what to answer and pays for it; a watch with nothing newer to tell waits first.
func (c *caller) answer(ctx context.Context, q query, now time.Time, goesOn bool, call *CallRecord) (Answer, error) {
	a, changed := c.look(q)
	if a.Body == nil {
		return a, errEmpty
	}
	waits := q.waits(a, now)
	work := Work{Agent: c.agent, Continues: goesOn, Complete: a.Complete}
	if !waits {
		work.Entries = a.Entries
	}
	if err := c.enter(ctx, work, call); err != nil || !waits {
		return a, err
	}
	call.HeldAt = time.Now()
	wait := time.NewTimer(time.Until(now.Add(q.wait)))
	defer wait.Stop()
	for q.waits(a, now) {
		select {
		case <-changed:
		case <-wait.C:
		case <-ctx.Done():
			return a, ctx.Err()
		}
		a, changed = c.look(q)
	}
	return a, c.enter(ctx, Work{Agent: c.agent, Continues: true, Complete: a.Complete, Entries: a.Entries}, call)
}

// look is the answer of now and what is closed when there will be another.
func (c *caller) look(q query) (Answer, <-chan struct{}) {
	changed := c.s.Store.Changed()
	return c.s.Store.Since(q.after, q.known), changed
}

// enter pays for work, if there is any.
func (c *caller) enter(ctx context.Context, w Work, call *CallRecord) error {
	if c.s.Limiter == nil || w.Continues && w.Entries == 0 {
		return nil
	}
	due, err := c.s.Limiter.Admit(ctx, w)
	call.QueueDelay = due
	return err
}

// query is what a call asks for.
type query struct {
	after uint64
	known bool // after was given
	wait  time.Duration
}

// waits tells whether there is nothing newer yet and the call's time is not over.
func (q *query) waits(a Answer, arrived time.Time) bool {
	return q.known && !a.Complete && a.Revision == q.after && time.Since(arrived) < q.wait
}

// read takes a request apart; an error comes with its status. Danger: a parameter that is not known must not pass: a
// watch with its wait misspelt would be a call that never waits, made again and again.
func read(r *http.Request) (query, int, error) {
	switch {
	case r.URL.Path != Path:
		return query{}, http.StatusNotFound, errors.New("no such page")
	case r.Method != http.MethodGet:
		return query{}, http.StatusMethodNotAllowed, errors.New("only GET")
	case r.ContentLength != 0:
		return query{}, http.StatusBadRequest, errors.New("body: there must be none")
	}
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return query{}, http.StatusBadRequest, fmt.Errorf("query: %w", err)
	}
	var q query
	for name, v := range values {
		n, err := strconv.ParseUint(v[0], 10, 64)
		switch {
		case name != "after" && name != "wait_ms":
			err = fmt.Errorf("%.40q: no such parameter", name)
		case len(v) > 1:
			err = fmt.Errorf("%s: given %d times", name, len(v))
		case err != nil:
			err = fmt.Errorf("%s: %.40q is no number from 0 on", name, v[0])
		case name == "after":
			q.after, q.known = n, true
		default:
			q.wait = time.Duration(min(n, uint64(maxWait.Milliseconds()))) * time.Millisecond
		}
		if err != nil {
			return query{}, http.StatusBadRequest, err
		}
	}
	return q, 0, nil
}

// refuse answers a call without a list.
func refuse(w http.ResponseWriter, status int, err error) {
	var r RejectedError
	switch {
	case status == http.StatusMethodNotAllowed:
		w.Header().Set("Allow", http.MethodGet)
	case errors.As(err, &r) && r.RetryAfter > 0:
		w.Header().Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', -1, 64))
	case status == http.StatusBadRequest: // the rest of it, if there is any, is not worth reading
		w.Header().Set("Connection", "close")
	}
	http.Error(w, err.Error(), status)
}

// write sends an answer and returns when the system has taken it whole. A caller that does not read loses its
// connection.
func write(w http.ResponseWriter, text []byte) error {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c := http.NewResponseController(w)
	if c.SetWriteDeadline(time.Now().Add(writeGrace)) == nil { // a connection, unlike a test's recorder, has one
		defer c.SetWriteDeadline(time.Time{})
	}
	if _, err := w.Write(text); err != nil {
		return err
	}
	return c.Flush()
}
