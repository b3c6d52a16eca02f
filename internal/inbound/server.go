// Package inbound serves the clients: it admits their connections, reads and checks their requests, submits them to a
// Dispatcher and writes the answers.
//
// The Listener owns the connections, whose states its mutex orders; the drainer owns whether the agent drains. Each
// connection has a goroutine of net/http's, which runs the clientHandler. Of a request the package decides only whether it
// is well-formed and whether the agent can hold it.
package inbound

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"example.org/ryeloft/internal/metrics"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/stream"
)

// IdleTimeout is how long a client's connection may be without a request: what the protocol grants it, and what an answer
// takes to reach its client. Connections that are used once and kept would otherwise use up the sockets.
const IdleTimeout = IdleGrace + 100*time.Millisecond

// Options are what a Server is made of.
type Options struct {
	Dispatcher  Dispatcher
	Metrics     *metrics.Metrics
	Buffers     *stream.Buffers
	MaxRequests int // that are held at once; more are rejected
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

// New returns a server that does not listen yet.
func New(o Options) *Server {
	listener := newListener(o.Metrics)
	drain := &drainer{listener: listener, done: o.Done, log: o.Log}
	handler := &clientHandler{
		dispatcher: o.Dispatcher, metrics: o.Metrics, listener: listener, buffers: o.Buffers,
		maxRequests: int64(o.MaxRequests), drain: drain, failOpen: make(chan struct{}),
	}
	return &Server{
		listener: listener, handler: handler, drain: drain,
		http: &http.Server{
			Handler: handler, ReadHeaderTimeout: headTimeout, IdleTimeout: IdleTimeout, MaxHeaderBytes: protocol.MaxHeadBytes,
			ConnContext: withConn, ConnState: listener.connState,
			ErrorLog: slog.NewLogLogger(o.Log.Handler(), slog.LevelWarn),
		},
	}
}

// Listener returns what limits the connections.
func (s *Server) Listener() *Listener { return s.listener }

// Serve starts to serve the connections of a listener. The channel gets the error that ends that, at the latest when the
// server closes.
func (s *Server) Serve(tcp *net.TCPListener) <-chan error {
	s.listener.tcp = tcp
	ended := make(chan error, 1)
	go func() { ended <- s.http.Serve(s.listener) }()
	return ended
}

// SetAccepting has the agent be ready, if it has endpoints and does not drain.
func (s *Server) SetAccepting() { s.handler.accepting.Store(true) }

// CheckReady returns why clients are not accepted, nil if they are.
func (s *Server) CheckReady() error { return s.handler.checkReady() }

// StartDrain drains the agent until StopDrain. It has no further effect on a drain that has begun.
func (s *Server) StartDrain() { s.drain.start() }

// StopDrain ends the drain. It returns ErrShuttingDown if the process shuts down all the same.
func (s *Server) StopDrain() error { return s.drain.stop() }

// StartShutdown drains the agent for good. No request that begins late lasts beyond killedAfter, when the caller is to call
// FailOpenRequests.
func (s *Server) StartShutdown(killedAfter time.Duration) { s.drain.shutDown(killedAfter) }

// FailOpenRequests answers all open requests as failed, except those whose answer is a download that has begun. It is called once.
func (s *Server) FailOpenRequests() { close(s.handler.failOpen) }

// DrainAcceptQueue closes the listener after the last connection that waits there, for another process to accept those that come
// later, and idle connections after IdleGrace.
func (s *Server) DrainAcceptQueue() {
	s.drain.closeIdleAfter(IdleGrace)
	s.listener.finishAccepting()
}

// CloseListener closes the listener, and idle connections after newConnGrace. It does not use http.Server.Shutdown, which
// would close a connection whose next request has just been read.
func (s *Server) CloseListener() {
	s.drain.closeIdleAfter(newConnGrace)
	// It fails only on a listener that is closed.
	_ = s.listener.Close()
}

// Count returns how many connections there are, and how many of them have no request.
func (s *Server) Count() (open, idle int) { return s.listener.count() }

// AwaitEmpty waits until all connections have ended, or the context has.
func (s *Server) AwaitEmpty(ctx context.Context) { s.listener.awaitEmpty(ctx) }

// Close closes all connections without any wait.
func (s *Server) Close() {
	s.listener.abort()
	// What fails to close is closed by the end of the process.
	_ = s.http.Close()
}
