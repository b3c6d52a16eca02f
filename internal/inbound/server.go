// Package inbound serves the clients: it admits their connections, reads and checks their requests, submits them to a
// Dispatcher and writes the responses.
//
// The Listener owns the connections, and its mutex guards their states. The drainer owns the drain state. Each
// connection has a net/http goroutine, which runs the clientHandler. The package decides only whether a request is
// well-formed and whether the agent has capacity for it.
package inbound

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"example.org/ryeloft/internal/fairshare"
	"example.org/ryeloft/internal/metrics"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/stream"
)

// IdleTimeout is how long a client's connection may be idle: the protocol's IdleGrace plus the time that a response
// takes to reach its client. Without it, connections that are used once and kept open would exhaust the sockets.
const IdleTimeout = IdleGrace + 100*time.Millisecond

// Options configures a Server.
type Options struct {
	Dispatcher  Dispatcher
	Metrics     *metrics.Metrics
	Buffers     *stream.Buffers
	Memory      *stream.Memory // for the heads and the buffered bodies of requests
	MaxRequests int            // the maximum number of open requests; more are rejected
	MaxEvicted  int            // the maximum number of evicted connections that are ending
	Scheduler   *fairshare.Scheduler
	Log         *slog.Logger
	// Done is closed when the agent has ended.
	Done <-chan struct{}
}

// Server serves clients. Its methods may be called by any goroutine.
type Server struct {
	listener *Listener
	handler  *clientHandler
	drain    *drainer
	http     *http.Server
}

// New returns a server that is not serving yet.
func New(o Options) *Server {
	listener := newListener(o.Metrics, o.Memory, o.MaxEvicted, o.Scheduler)
	drain := &drainer{listener: listener, done: o.Done, log: o.Log}
	handler := &clientHandler{
		dispatcher: o.Dispatcher, metrics: o.Metrics, listener: listener, buffers: o.Buffers, memory: o.Memory,
		maxRequests: int64(o.MaxRequests), drain: drain, failOpen: make(chan struct{}),
	}
	return &Server{
		listener: listener, handler: handler, drain: drain,
		http: &http.Server{
			Handler: handler, ReadHeaderTimeout: headTimeout, IdleTimeout: IdleTimeout, MaxHeaderBytes: protocol.MaxHeadBytes,
			DisableGeneralOptionsHandler: true, // net/http would answer OPTIONS * with 200
			ConnContext:                  withConn, ConnState: listener.connState,
			ErrorLog: slog.NewLogLogger(o.Log.Handler(), slog.LevelWarn),
		},
	}
}

// Listener returns the listener that limits the connections.
func (s *Server) Listener() *Listener { return s.listener }

// Serve starts serving the connections of a listener. The channel receives the error with which serving ends, at the
// latest when the server closes.
func (s *Server) Serve(tcp *net.TCPListener) <-chan error {
	s.listener.tcp = tcp
	ended := make(chan error, 1)
	go func() { ended <- s.http.Serve(s.listener) }()
	return ended
}

// SetAccepting marks the agent as accepting clients. It is then ready if it has endpoints and does not drain.
func (s *Server) SetAccepting() { s.handler.accepting.Store(true) }

// CheckReady returns the reason why clients are not accepted, or nil if they are.
func (s *Server) CheckReady() error { return s.handler.checkReady() }

// StartDrain drains the agent until StopDrain. It does not restart a drain that has already started.
func (s *Server) StartDrain() { s.drain.start() }

// StopDrain stops the drain. It returns ErrShuttingDown if the agent still drains because the process shuts down.
func (s *Server) StopDrain() error { return s.drain.stop() }

// StartShutdown drains the agent permanently. A request that begins after killExemption fails if it is still open after
// failAfter, when the caller has to call FailOpenRequests.
func (s *Server) StartShutdown(failAfter time.Duration) { s.drain.shutDown(failAfter) }

// FailOpenRequests answers all open requests as failed, except those whose download has started. It must not be called
// twice.
func (s *Server) FailOpenRequests() { close(s.handler.failOpen) }

// DrainAcceptQueue accepts the connections that wait in the listener's queue and then closes the listener, so that
// another process accepts later ones. It closes idle connections after IdleGrace.
func (s *Server) DrainAcceptQueue() {
	s.drain.closeIdleAfter(IdleGrace)
	s.listener.finishAccepting()
}

// CloseListener closes the listener, and idle connections after newConnGrace. It does not use http.Server.Shutdown,
// which would close a connection whose next request has just been read.
func (s *Server) CloseListener() {
	s.drain.closeIdleAfter(newConnGrace)
	// This fails only on a closed listener.
	_ = s.listener.Close()
}

// Count returns the number of open connections, and how many of them have no request.
func (s *Server) Count() (open, idle int) { return s.listener.count() }

// AwaitEmpty waits until all connections have ended or the context is done.
func (s *Server) AwaitEmpty(ctx context.Context) { s.listener.awaitEmpty(ctx) }

// Close closes all connections immediately.
func (s *Server) Close() {
	s.listener.abort()
	// A connection that fails to close ends with the process.
	_ = s.http.Close()
}
