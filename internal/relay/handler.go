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

// stopTimeout is how long calls have to be refused in at the end, before their connections are cut.
const endGrace = time.Second

// longestWaitMS is the longest wait of a watch; longer ones are cut to it.
const longestWaitMS = 60_000

// HTTP returns a server for listeners that come from Listener.
func (r *Relay) HTTP() *http.Server {
	h := r.server.HTTP()
	h.Handler = r.front(h.Handler)
	return h
}

// Listener tells a listener's callers apart from others', as one agent; those behind one that many share are agent 0.
func (r *Relay) Listener(l net.Listener, agent int) net.Listener { return r.server.Listener(l, agent) }

// Serve answers at a listener until the context ends or the listener breaks. The caller runs Run beside it and ends both
// together: whoever waits is then refused at once.
func (r *Relay) Serve(ctx context.Context, l net.Listener) error {
	h := r.HTTP()
	failed := make(chan error, 1)
	go func() { failed <- h.Serve(r.Listener(l, 0)) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), endGrace)
	defer cancel()
	if err := h.Shutdown(end); err != nil {
		h.Close()
	}
	return nil
}

// Handler answers one agent, or all who share a listener, without HTTP or Listener.
func (r *Relay) Handler(agent int) http.Handler { return r.front(r.server.Handler(agent)) }

// front lets a call through to the server of lists when this relay may answer it.
func (r *Relay) front(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c := &counted{ResponseWriter: w, bytes: &r.counts.bytes}
		r.counts.calls.Add(1)
		r.bounded(c, req, next)
		if c.status == http.StatusServiceUnavailable && req.Context().Err() == nil {
			r.counts.refused.Add(1)
		}
	})
}

// bounded answers a call if it is not one too many.
func (r *Relay) bounded(w http.ResponseWriter, req *http.Request, next http.Handler) {
	defer r.counts.open.Add(-1)
	if r.counts.open.Add(1) > int64(r.o.MaxCallers) {
		refuse(w, "too many callers")
		return
	}
	ctx, cancel := r.serving(req.Context())
	defer cancel()
	if ctx.Err() != nil {
		refuse(w, "no news from above")
		return
	}
	r.answer(w, req.WithContext(ctx), next)
}

// serving is the context of a call, which ends when this relay may no longer answer.
func (r *Relay) serving(call context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(call)
	r.mu.Lock()
	live := r.live
	fresh := r.freshLocked(time.Now())
	r.mu.Unlock()
	if !fresh || live.Err() != nil {
		cancel()
	}
	stop := context.AfterFunc(live, cancel)
	return ctx, func() { stop(); cancel() }
}

// answer lets a call through once what it holds can be told from what this relay holds.
//
// Who holds the very list that is here goes on by it, be it one from the disk. Danger: a whole list from the disk, or
// changes that lead to it, would name servers that have gone, and whoever has no list would send to them; a restarted
// relay tells those nothing until the service above has answered.
//
// Who is ahead of this relay has heard more elsewhere, or the service above counts anew. Which of the two it is shows in
// an answer from above that was asked for after the call came. Until then nothing is told.
func (r *Relay) answer(w http.ResponseWriter, req *http.Request, next http.Handler) {
	q, ok := peek(req.URL.RawQuery)
	if !ok { // the server says what is wrong
		next.ServeHTTP(w, req)
		return
	}
	arrived := time.Now()
	may := func() bool { // with r.mu held
		revision := r.store.Revision()
		switch {
		case q.known && q.after > revision:
			return r.heard.After(arrived)
		case q.known && q.after == revision && r.listed:
			return true
		}
		return !r.heard.IsZero()
	}
	kept, err := r.await(req.Context(), max(q.wait, aheadHold), may)
	switch {
	case err == nil && kept == 0:
		next.ServeHTTP(w, req)
	case err == nil:
		next.ServeHTTP(w, q.less(req, kept))
	case errors.Is(err, errNoNews) && q.known:
		// Its caller goes on by the list that it holds.
		write(w, lists.Encode(q.after, false, nil))
	default:
		refuse(w, "no news from above")
	}
}

// errNoNews is the end of a wait for an answer from above.
var errNoNews = errors.New("no news from above")

// await returns when a condition that is looked at after each answer from above holds, and how long that took: 0 if it
// held at once.
func (r *Relay) await(ctx context.Context, longest time.Duration, holds func() bool) (time.Duration, error) {
	began := time.Now()
	timer := time.NewTimer(longest)
	defer timer.Stop()
	for first := true; ; first = false {
		r.mu.Lock()
		ok, news := holds(), r.news
		r.mu.Unlock()
		switch {
		case ok && first:
			return 0, nil
		case ok:
			return time.Since(began), nil
		}
		select {
		case <-news:
		case <-timer.C:
			return time.Since(began), errNoNews
		case <-ctx.Done():
			return time.Since(began), ctx.Err()
		}
	}
}

// query is what this relay has to know of a call that the server of lists reads whole.
type query struct {
	after uint64
	known bool // after was given
	wait  time.Duration
}

// peek reads a query as far as it can be read.
func peek(raw string) (query, bool) {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return query{}, false
	}
	number := func(name string) (n uint64) {
		if err == nil && values.Has(name) {
			n, err = strconv.ParseUint(values.Get(name), 10, 64)
		}
		return n
	}
	q := query{after: number("after"), known: values.Has("after")}
	q.wait = time.Duration(min(number("wait_ms"), longestWaitMS)) * time.Millisecond
	return q, err == nil
}

// less is the same call with less of its wait left: together they are not to last longer than its caller wants.
func (q query) less(req *http.Request, kept time.Duration) *http.Request {
	values := req.URL.Query()
	if values.Has("wait_ms") {
		values.Set("wait_ms", strconv.FormatInt(max(0, q.wait-kept).Milliseconds(), 10))
	}
	next := req.Clone(req.Context())
	next.URL.RawQuery = values.Encode()
	return next
}

func write(w http.ResponseWriter, text []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text) // a caller that has gone asks again
}

// refuse sends a caller to the next relay.
func refuse(w http.ResponseWriter, why string) { http.Error(w, why, http.StatusServiceUnavailable) }

// done counts the whole lists of calls that the server of lists has ended.
func (r *Relay) done(c lists.CallRecord) {
	if c.Status == http.StatusOK && c.Complete {
		r.counts.whole.Add(1)
	}
}

// counted counts the bytes of answers' bodies and notes the status.
type counted struct {
	http.ResponseWriter
	bytes  *atomic.Int64
	status int // 0: not written, which is to say 200
}

func (c *counted) WriteHeader(status int) {
	c.status = status
	c.ResponseWriter.WriteHeader(status)
}

func (c *counted) Write(text []byte) (int, error) {
	n, err := c.ResponseWriter.Write(text)
	c.bytes.Add(int64(n))
	return n, err
}

// Unwrap lets http.ResponseController find the connection.
func (c *counted) Unwrap() http.ResponseWriter { return c.ResponseWriter }
