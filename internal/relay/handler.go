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
	// shutdownGrace is how long calls have to be rejected in at the end, before their connections are cut.
	shutdownGrace = time.Second
	// maxWaitMillis is the longest wait of a watch; longer ones are cut to it.
	maxWaitMillis = 60_000
)

// The texts of rejections, which are part of the answers.
const (
	tooManyCallers = "too many callers"
	notSynced      = "no news from above"
)

// errNotSynced is the end of a wait for an answer from upstream.
var errNotSynced = errors.New("no answer from upstream in time")

// HTTP returns a server for listeners that come from Listener.
func (r *Relay) HTTP() *http.Server {
	server := r.server.HTTP()
	server.Handler = r.countCalls(server.Handler)
	return server
}

// Listener has a listener's callers known as one agent's; those behind one that many share are agent 0.
func (r *Relay) Listener(l net.Listener, agent int) net.Listener { return r.server.Listener(l, agent) }

// Serve answers at a listener until the context ends or the listener breaks. The caller runs Run beside it and ends both together,
// so that calls that wait are then rejected at once.
func (r *Relay) Serve(ctx context.Context, l net.Listener) error {
	server := r.HTTP()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(r.Listener(l, 0)) }() // ends with Shutdown
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownGrace)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		_ = server.Close() // calls have had their time; nobody is left to tell
	}
	return nil
}

// Handler answers one agent, or all who share a listener, without HTTP or Listener.
func (r *Relay) Handler(agent int) http.Handler { return r.countCalls(r.server.Handler(agent)) }

// countCalls counts calls and what becomes of them on their way to the server of lists.
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

// admit answers a call if that is not one too many and the relay is not stale.
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

// callContext is the context of a call, which ends when this relay may no longer answer.
func (r *Relay) callContext(call context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(call)
	r.mu.Lock()
	live := r.callsCtx
	fresh := r.isFreshLocked(time.Now())
	r.mu.Unlock()
	if !fresh || live.Err() != nil {
		cancel()
	}
	stop := context.AfterFunc(live, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// answer answers a call once the caller's revision and the relay's are known to be of the same service and in order.
//
// A caller that holds the very list of this relay goes on with it, also if that was loaded from the disk. A full list from the
// disk, or changes that lead to it, could name endpoints that have been removed since; a restarted relay answers other callers only
// once upstream has answered.
//
// A caller that is ahead of this relay has got more elsewhere, or upstream counts anew. Which of the two it is shows in an answer
// from upstream to a call that began after the caller's; until then the relay does not answer.
func (r *Relay) respond(w http.ResponseWriter, req *http.Request, next http.Handler) {
	q, err := parseQuery(req.URL.RawQuery)
	if err != nil { // the server of lists says what is wrong
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
		writeList(w, lists.Encode(q.revision, false, nil)) // the caller goes on with the list that it holds
	default:
		reject(w, notSynced)
	}
}

// canRespond returns the condition on which a call that came at a time can be answered. Its caller holds the mutex.
func (r *Relay) canRespond(q query, arrived time.Time) func() bool {
	return func() bool {
		revision := r.store.Revision()
		switch {
		case q.hasRevision && q.revision > revision:
			return r.syncedAt.After(arrived)
		case q.hasRevision && q.revision == revision && r.hasList:
			return true
		}
		return !r.syncedAt.IsZero()
	}
}

// query is what this relay has to know of a call that the server of lists parses completely.
type query struct {
	revision    uint64 // that the caller holds
	hasRevision bool
	wait        time.Duration
}

// parseQuery parses what it knows of a query.
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

// parseNumber is 0 for a parameter that is not there.
func parseNumber(values url.Values, name string) (uint64, error) {
	if !values.Has(name) {
		return 0, nil
	}
	return strconv.ParseUint(values.Get(name), 10, 64)
}

// shorten is a call with less of its wait: together with how long it was held it is not to last longer than its caller wants.
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
	_, _ = w.Write(text) // a caller that has gone calls again
}

// reject sends a caller to the next relay.
func reject(w http.ResponseWriter, why string) { http.Error(w, why, http.StatusServiceUnavailable) }

// countFullList counts the full lists among the calls that the server of lists has ended.
func (r *Relay) countFullList(c lists.CallRecord) {
	if c.Status == http.StatusOK && c.Complete {
		r.counters.fullLists.Add(1)
	}
}

// countingWriter counts the bytes of answers' bodies and notes the status.
type countingWriter struct {
	http.ResponseWriter
	bodyBytes *atomic.Int64
	status    int // 0: not written, which means 200
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

// Unwrap lets http.ResponseController find the connection.
func (w *countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
