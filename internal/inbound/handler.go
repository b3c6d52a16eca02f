package inbound

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"example.org/ryeloft/internal/dispatch"
	"example.org/ryeloft/internal/metrics"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/settings"
	"example.org/ryeloft/internal/stream"
)

// overLimitRetryAfter is the Retry-After for a request that exceeds the agent's own limit.
const overLimitRetryAfter = time.Second

// ErrNotReady is returned when the agent cannot serve clients yet.
var ErrNotReady = errors.New("not up yet: no list of backends, or no listener")

// Dispatcher answers requests. dispatch.Loop implements it and documents the methods.
type Dispatcher interface {
	Settings() *settings.Settings
	Now() time.Duration
	Ready() bool
	Admit(context.Context, *dispatch.Request) bool
	Submit(*dispatch.Request)
	Abandon(*dispatch.Request)
}

// clientHandler submits clients' requests to the dispatcher and writes its responses to the clients. net/http calls it
// from one goroutine per connection.
type clientHandler struct {
	dispatcher  Dispatcher
	metrics     *metrics.Metrics
	listener    *Listener
	buffers     *stream.Buffers
	memory      *stream.Memory
	maxRequests int64
	drain       *drainer
	failOpen    chan struct{} // closed to fail all open requests, because the process is about to be killed

	openRequests atomic.Int64
	accepting    atomic.Bool
}

// exchange is a request that has begun, with the connection and the writer for its response.
type exchange struct {
	w       http.ResponseWriter
	r       *http.Request
	conn    *clientConn
	request *dispatch.Request
}

// upload returns the request's body if it is too long to be buffered, and otherwise nil.
func (x *exchange) upload() *stream.Upload { return x.request.Upstream.Upload() }

// ServeHTTP implements http.Handler.
func (h *clientHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// net/http reads the rest of a body after the response, and would wait for it without a limit. Setting the deadline
	// fails only on a closed connection.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(stream.BodyGrace))
	defer connOf(r).endParsing(r)
	if isLongLine(r) {
		w.Header().Set("Connection", "close")
	}
	if bad := checkFraming(r); bad != nil {
		h.rejectBadRequest(w, bad)
		return
	}
	if r.URL.Path == protocol.PathReady {
		h.serveReady(w)
		return
	}
	request, err := h.readRequest(w, r)
	var bad *badRequestError
	if errors.As(err, &bad) {
		h.rejectBadRequest(w, bad)
		return
	}
	x := &exchange{w: w, r: r, conn: connOf(r), request: request}
	if errors.Is(err, errNoMemory) && h.listener.beginRequest(x.conn) {
		w.Header().Set("Connection", "close") // the body has not been read
		h.rejectOverLimit(x)
		return
	}
	if err != nil || x.conn.leftWhileBusy() || !h.listener.beginRequest(x.conn) { // the connection has ended
		if request != nil {
			request.Memory.Release()
		}
		panic(http.ErrAbortHandler)
	}
	h.serve(x)
}

// serveReady answers a readiness check.
func (h *clientHandler) serveReady(w http.ResponseWriter) {
	if err := h.checkReady(); err != nil {
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// checkReady returns the reason why clients are not accepted, or nil if they are.
func (h *clientHandler) checkReady() error {
	if err := h.drain.reason(); err != nil {
		return err
	}
	if !h.accepting.Load() || !h.dispatcher.Ready() {
		return ErrNotReady
	}
	return nil
}

// serve submits a request to the dispatcher and answers it, or rejects it if the agent is at its limit.
func (h *clientHandler) serve(x *exchange) {
	if upload := x.upload(); upload != nil {
		upload.OnComplete = func() {
			h.metrics.RequestOpened()
			h.listener.uploadComplete(x.conn)
		}
		defer h.closeUpload(x)
		if !upload.Reserve(h.buffers) {
			x.request.Memory.Release()
			h.rejectOverLimit(x)
			return
		}
	} else {
		h.metrics.RequestOpened()
		defer h.metrics.RequestClosed()
	}
	x.conn.account.Pause()
	defer h.openRequests.Add(-1)
	if h.openRequests.Add(1) > h.maxRequests || !h.dispatcher.Admit(x.r.Context(), x.request) {
		x.request.Memory.Release()
		if x.r.Context().Err() != nil { // the client has left
			panic(http.ErrAbortHandler)
		}
		h.rejectOverLimit(x)
		return
	}
	h.dispatcher.Submit(x.request)
	response := h.awaitResponse(x)
	x.conn.account.Start()
	defer response.Memory.Release()
	if response.Download != nil {
		h.respondWithDownload(x, response)
		return
	}
	began := time.Now()
	if !response.Arrived.IsZero() {
		h.metrics.HopTook(metrics.HopReturned, began.Sub(response.Arrived))
	}
	h.respond(x, response)
	h.metrics.HopTook(metrics.HopAnswered, time.Since(began))
}

// closeUpload closes the upload of a request that has ended.
func (h *clientHandler) closeUpload(x *exchange) {
	upload := x.upload()
	upload.Close(http.NewResponseController(x.w))
	if upload.Complete() {
		h.metrics.RequestClosed()
	}
}

// awaitResponse returns the response to a submitted request. It abandons the request if its time limit is reached, if all
// open requests are to fail, or if the client closes the connection. It writes nothing itself, so that its stack is free
// again while a client reads a long response.
func (h *clientHandler) awaitResponse(x *exchange) dispatch.Response {
	var limit <-chan time.Time
	if remaining, limited := h.drain.requestLimit(); limited {
		limit = time.After(remaining)
	}
	select {
	case response := <-x.request.Response():
		return h.deliverable(x, response, limit != nil)
	case <-limit:
	case <-h.failOpen:
	case <-x.r.Context().Done():
		x.conn.account.Start()
		h.dispatcher.Abandon(x.request)
		// If a handler returns without a response, net/http sends status 200, which a client that has closed only its
		// write side would receive.
		panic(http.ErrAbortHandler)
	}
	h.dispatcher.Abandon(x.request)
	return dispatch.Response{Status: protocol.StatusFailed}
}

// deliverable returns the response to write instead of the dispatcher's. If the request's time is limited, that is no
// download, because it may take any time and its status cannot be changed once it has started.
func (h *clientHandler) deliverable(x *exchange, response dispatch.Response, limited bool) dispatch.Response {
	switch {
	case response.Status == 0:
		panic(http.ErrAbortHandler)
	case response.Download == nil:
		return response
	case limited || x.upload() != nil && h.drain.limitsRequests():
		response.Drop()
		return dispatch.Response{Status: protocol.StatusFailed}
	}
	return response
}

// rejectOverLimit rejects a request because the agent is at its own limit, with Retry-After if the settings allow it.
func (h *clientHandler) rejectOverLimit(x *exchange) {
	h.metrics.RequestOverLimit()
	rejected := dispatch.Response{Status: protocol.StatusRejected}
	if set := &h.dispatcher.Settings().Balancer; set.AdviseRetryAfter {
		rejected.RetryAfter = min(overLimitRetryAfter, cmp.Or(set.MaxRetryAfter, overLimitRetryAfter))
	}
	h.respond(x, rejected)
}
