package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"example.org/ryeloft/internal/lists"
)

const (
	// shutdownGrace is how long a graceful shutdown waits for calls to be rejected before it closes their connections.
	shutdownGrace = time.Second
	// maxWaitMillis is the longest wait of a watch. A longer requested wait is reduced to it.
	maxWaitMillis = 60_000
)

// Reasons for rejections. They are sent in response bodies, so they are part of the protocol.
const (
	tooManyCallers = "too many callers"
	notSynced      = "no news from above"
)

// errNotSynced is returned when upstream does not respond before the timeout.
var errNotSynced = errors.New("no response from upstream before the timeout")

// HTTP returns a server for listeners that were returned by Listener.
func (r *Relay) HTTP() *http.Server {
	server := r.server.HTTP()
	server.Handler = r.countCalls(server.Handler)
	return server
}

// Listener returns a listener that attributes its connections to one agent. Use agent 0 for a listener that many agents
// share.
func (r *Relay) Listener(l net.Listener, agent int) net.Listener { return r.server.Listener(l, agent) }

// Serve serves calls on a listener until the context ends or the listener fails. The caller runs Run concurrently and
// ends both at the same time, so that waiting calls are rejected immediately.
func (r *Relay) Serve(ctx context.Context, l net.Listener) error {
	server := r.HTTP()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(r.Listener(l, 0)) }() // returns at Shutdown
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownGrace)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		_ = server.Close() // the remaining calls have exceeded shutdownGrace
	}
	return nil
}

// Handler returns a handler for the calls of one agent, or of all agents that share a listener. It is an alternative to
// HTTP and Listener.
func (r *Relay) Handler(agent int) http.Handler { return r.countCalls(r.server.Handler(agent)) }

// countCalls wraps a handler in call admission and counts calls, rejections and response bytes.
func (r *Relay) countCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		counted := &countingWriter{ResponseWriter: w, bodyBytes: &r.counters.bodyBytes}
		r.counters.calls.Add(1)
		r.admit(counted, req, next)
		if counted.status == http.StatusServiceUnavailable && req.Context().Err() == nil {
			r.counters.rejected.Add(1)
		}
	})
}

// admit serves a call, or rejects it if there are too many in flight or the relay is stale.
func (r *Relay) admit(w http.ResponseWriter, req *http.Request, next http.Handler) {
	defer r.counters.open.Add(-1)
	if r.counters.open.Add(1) > int64(r.options.MaxCallers) {
		reject(w, tooManyCallers)
		return
	}
	ctx, cancel := r.callContext(req.Context())
	defer cancel()
	if ctx.Err() != nil {
		reject(w, notSynced)
		return
	}
	r.respond(w, req.WithContext(ctx), next)
}

// callContext derives the context of a call, which is cancelled when this relay may no longer serve calls.
func (r *Relay) callContext(call context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(call)
	r.mu.Lock()
	callsCtx := r.callsCtx
	fresh := r.isFreshLocked(time.Now())
	r.mu.Unlock()
	if !fresh || callsCtx.Err() != nil {
		cancel()
	}
	stop := context.AfterFunc(callsCtx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// respond serves a call once it is known that the caller's revision and the relay's are from the same service and in
// order.
//
// A caller at the relay's own revision is served, even if the list was loaded from disk. Other callers of a restarted
// relay wait for a response from upstream: a full list from disk, or changes that lead to it, could contain endpoints
// that have since been removed.
//
// If a caller is ahead of this relay, either it got a newer revision elsewhere, or upstream has restarted its revision
// numbers. Only the response to an upstream call that began after the caller's distinguishes the two, so the relay
// waits for it.
func (r *Relay) respond(w http.ResponseWriter, req *http.Request, next http.Handler) {
	q, err := parseQuery(req.URL.RawQuery)
	if err != nil { // the lists server reports the error to the caller
		next.ServeHTTP(w, req)
		return
	}
	held, err := r.awaitSync(req.Context(), max(q.wait, aheadWait), r.canRespond(q, time.Now()))
	switch {
	case err == nil && held == 0:
		next.ServeHTTP(w, req)
	case err == nil:
		next.ServeHTTP(w, q.withReducedWait(req, held))
	case errors.Is(err, errNotSynced) && q.hasRevision:
		writeList(w, lists.Encode(q.revision, false, nil)) // the caller continues with its list
	default:
		reject(w, notSynced)
	}
}

// canRespond returns the condition on which a call that arrived at the given time can be served. The condition must be
// evaluated with the mutex held.
func (r *Relay) canRespond(q query, arrived time.Time) func() bool {
	return func() bool {
		revision := r.store.Revision()
		switch {
		case q.hasRevision && q.revision > revision:
			return r.syncedAt.After(arrived)
		case q.hasRevision && q.revision == revision && r.source != "":
			return true
		}
		return !r.syncedAt.IsZero()
	}
}

// query holds the parameters of a call that the relay itself needs. The lists server parses and validates the whole
// call.
type query struct {
	revision    uint64 // the caller's
	hasRevision bool
	wait        time.Duration
}

// parseQuery parses the parameters that the relay needs and ignores all others.
func parseQuery(raw string) (query, error) {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return query{}, err
	}
	q := query{hasRevision: values.Has("after")}
	if q.revision, err = parseNumber(values, "after"); err != nil {
		return query{}, err
	}
	millis, err := parseNumber(values, "wait_ms")
	if err != nil {
		return query{}, err
	}
	q.wait = time.Duration(min(millis, maxWaitMillis)) * time.Millisecond
	return q, nil
}

// parseNumber returns the value of a parameter, or 0 if it is missing.
func parseNumber(values url.Values, name string) (uint64, error) {
	if !values.Has(name) {
		return 0, nil
	}
	return strconv.ParseUint(values.Get(name), 10, 64)
}

// withReducedWait returns the call with its wait reduced by the time that it was held, so that it takes no longer in
// total than its caller requested.
func (q query) withReducedWait(req *http.Request, held time.Duration) *http.Request {
	values := req.URL.Query()
	if values.Has("wait_ms") {
		values.Set("wait_ms", strconv.FormatInt(max(0, q.wait-held).Milliseconds(), 10))
	}
	next := req.Clone(req.Context())
	next.URL.RawQuery = values.Encode()
	return next
}

func writeList(w http.ResponseWriter, text []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text) // a caller whose connection failed retries
}

// reject responds with a 503, upon which the caller tries the next relay.
func reject(w http.ResponseWriter, reason string) {
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// countFullList counts a call if its response was a full list.
func (r *Relay) countFullList(c lists.CallRecord) {
	if c.Status == http.StatusOK && c.Complete {
		r.counters.fullLists.Add(1)
	}
}

// countingWriter counts the bytes of response bodies and records the status.
type countingWriter struct {
	http.ResponseWriter
	bodyBytes *atomic.Int64
	status    int // 0: WriteHeader was not called, which means 200
}

func (w *countingWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

func (w *countingWriter) Write(text []byte) (int, error) {
	n, err := w.ResponseWriter.Write(text)
	w.bodyBytes.Add(int64(n))
	return n, err
}

// Unwrap gives http.ResponseController access to the connection.
func (w *countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
