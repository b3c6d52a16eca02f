package lists

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

// Path is the URL path of the list.
const Path = "/discovery/hosts"

const (
	// WatchContinuation is the longest time from a watch's last response to the next call that continues it. A later
	// call starts a new watch.
	WatchContinuation = 200 * time.Millisecond

	maxHeaderBytes = 4 << 10          // net/http allows as much again
	headerTimeout  = 5 * time.Second  // for a caller to send its headers
	writeTimeout   = 10 * time.Second // for a caller to read its response
	idleTimeout    = 90 * time.Second // for a connection without a call

	defaultMaxCalls = 4 // in flight, per agent
	defaultMaxConns = 8 // open, per Listener
)

// Limiter delays calls by the time that their work takes, and rejects some. It is safe for concurrent use.
type Limiter interface {
	// Admit returns when the work is done. It also returns the planned delay: the time in the queue and of the work
	// itself, whatever the actual timing. A call for which it returns an error gets a 503, with Retry-After if the
	// error is a RejectedError that states one. It may return early when the context ends.
	Admit(ctx context.Context, w Work) (time.Duration, error)
}

// Work is work that a call causes: starting the call, unless it continues a watch, and sending the response. If the
// call waits for a change, the two are admitted separately, before and after the wait.
type Work struct {
	Agent     int
	Continues bool // the call has started already or continues a watch: only the members are work
	Complete  bool // the response is a full list
	Entries   int  // members of the response; 0 if there is none yet
}

// RejectedError is returned for a call that its caller should retry.
type RejectedError struct {
	RetryAfter time.Duration // 0: not stated
	Cause      string
}

// Error returns the text that is also the body of the response, so its wording is part of the protocol.
func (r RejectedError) Error() string { return "refused: " + r.Cause }

// CallRecord describes a call that has ended.
type CallRecord struct {
	Agent         int
	Status        int // 0: the caller disconnected or did not read the response
	SinceRevision uint64
	HasSince      bool // whether the call named a revision
	Revision      uint64
	Complete      bool
	Entries       int
	HeldAt        time.Time     // when it began to wait for a change; zero if it did not wait
	QueueDelay    time.Duration // delay of the response as planned by the limiter
	WrittenAt     time.Time     // when the response was fully written
}

// Server serves calls from a store. Its exported fields are set before the first call and not changed afterwards. A
// mutex guards the map of callers; each caller guards its own state.
//
// A response is fixed before it enters the limiter, so that what is written is what was admitted. Changes during the
// delay are in the response to the watch's next call.
type Server struct {
	Store   *Store
	Limiter Limiter // nil: calls are admitted without delay
	// OnAcknowledge, if not nil, is called when an agent's call shows that it holds a revision.
	OnAcknowledge func(agent int, revision uint64, at time.Time)
	// OnCallDone, if not nil, is called when a call has ended.
	OnCallDone func(CallRecord)
	// MaxCallsPerAgent limits the calls in flight per agent; 0 means defaultMaxCalls. Calls beyond it get a 503.
	MaxCallsPerAgent int
	// MaxConns limits the open connections per Listener; 0 means defaultMaxConns. Connections beyond it are closed.
	MaxConns int
	Log      *slog.Logger // for errors of net/http; nil: its default logger

	mu      sync.Mutex
	callers map[int]*caller
}

// HTTP returns a server, with limits on header size and on waiting times, for any number of listeners, each of which
// must come from Listener.
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

// callerKey is the context key of a connection's caller.
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

// Handler returns a handler for the calls of one agent, or of all agents that share a listener. MaxCallsPerAgent must
// then be enough for all of them.
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
