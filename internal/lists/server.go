package lists

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

// Path is where the list is.
const Path = "/discovery/hosts"

const (
	// WatchContinuation is how long after its last answer a watch continues with its next call; a later one starts a new watch.
	WatchContinuation = 200 * time.Millisecond

	maxHeaderBytes = 4 << 10          // the library allows as much again
	headerTimeout  = 5 * time.Second  // for a caller to send its headers
	writeTimeout   = 10 * time.Second // for a caller to take its answer in
	idleTimeout    = 90 * time.Second // for a connection without a call

	defaultMaxCalls = 4 // in flight, an agent
	defaultMaxConns = 8 // open, a Listener
)

// Limiter holds calls back as long as their work takes, and rejects some. It is safe for concurrent use.
type Limiter interface {
	// Admit returns when the work is done, and how much of that time was planned: the work and the wait for its turn,
	// whatever the clock made of it. A call that it fails gets a 503, with Retry-After if the error is a RejectedError that
	// names one. It may stop waiting when the context ends.
	Admit(ctx context.Context, w Work) (time.Duration, error)
}

// Work is what a call asks of the server in one piece: its beginning, unless it continues a watch, and an answer.
type Work struct {
	Agent     int
	Continues bool // the call began before, or continues a watch; only the members are work
	Complete  bool // the answer is a full list
	Entries   int  // members of the answer; 0 if there is none yet
}

// RejectedError is the error of a call that is to be retried.
type RejectedError struct {
	RetryAfter time.Duration // 0: not stated
	Cause      string
}

// Error is also the text of the answer, so its wording is part of the protocol.
func (r RejectedError) Error() string { return "refused: " + r.Cause }

// CallRecord is one call as it ended.
type CallRecord struct {
	Agent         int
	Status        int // 0: the caller had gone, or did not take the answer
	SinceRevision uint64
	HasSince      bool // a revision was given
	Revision      uint64
	Complete      bool
	Entries       int
	HeldAt        time.Time     // when it began to wait for a change; zero if it did not
	QueueDelay    time.Duration // what the limiter planned for the answer
	WrittenAt     time.Time     // when the answer had been written
}

// Server answers calls from a store. Its exported fields are set before the first call and not changed; a mutex guards its
// callers, each of which guards its own state.
//
// An answer is fixed before it enters the limiter, so that what is written is what was admitted; what changes meanwhile is
// in the answer to the watch's next call.
type Server struct {
	Store            *Store
	Limiter          Limiter                                        // nil: calls cost nothing
	OnAcknowledge    func(agent int, revision uint64, at time.Time) // if not nil: an agent's call says that it holds this revision
	OnCallDone       func(CallRecord)                               // if not nil: a call has ended
	MaxCallsPerAgent int                                            // in flight, an agent; 0: defaultMaxCalls. More get 503
	MaxConns         int                                            // open, a Listener; 0: defaultMaxConns. More are closed
	Log              *slog.Logger                                   // of the library's complaints; nil: its own

	mu      sync.Mutex
	callers map[int]*caller
}

// HTTP returns a server, bounded in what it reads and how long it waits, for any number of listeners, each of which must
// come from Listener.
func (s *Server) HTTP() *http.Server {
	server := &http.Server{
		Handler:           http.HandlerFunc(serveCaller),
		ConnContext:       s.withCaller,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	if s.Log != nil {
		server.ErrorLog = slog.NewLogLogger(s.Log.Handler(), slog.LevelWarn)
	}
	return server
}

// callerKey is where the context of a connection holds its caller.
type callerKey struct{}

func (s *Server) withCaller(ctx context.Context, c net.Conn) context.Context {
	if agentConn, ok := c.(*conn); ok {
		ctx = context.WithValue(ctx, callerKey{}, s.caller(agentConn.listener.agent))
	}
	return ctx
}

func serveCaller(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(callerKey{}).(*caller)
	if !ok {
		http.Error(w, "a listener without an agent", http.StatusInternalServerError)
		return
	}
	c.ServeHTTP(w, r)
}

// Handler answers one agent, or all who share a listener: then MaxCallsPerAgent has to be enough for them.
func (s *Server) Handler(agent int) http.Handler { return s.caller(agent) }

func (s *Server) caller(agent int) *caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.callers[agent]; c != nil {
		return c
	}
	if s.callers == nil {
		s.callers = make(map[int]*caller)
	}
	c := &caller{server: s, agent: agent}
	s.callers[agent] = c
	return c
}
