package lists

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// errNoListYet is returned while the store has no list: an empty list would mean that all endpoints are removed.
var errNoListYet = errors.New("no list yet")

// caller holds the server's state for one agent.
type caller struct {
	server *Server
	agent  int

	mu          sync.Mutex
	inFlight    int
	respondedAt time.Time // when the last call's response was written; zero if that was not a watch or failed
}

// begin counts a call as in flight, unless there are too many, and reports whether it continues a watch.
func (c *caller) begin(q query, now time.Time) (continues, ok bool) {
	limit := c.server.MaxCallsPerAgent
	if limit == 0 {
		limit = defaultMaxCalls
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight >= limit {
		return false, false
	}
	c.inFlight++
	continues = q.hasSince && !c.respondedAt.IsZero() && now.Sub(c.respondedAt) <= WatchContinuation
	return continues, true
}

// end records how a call ended. Only a watch whose response was written can be continued.
func (c *caller) end(record *CallRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	c.respondedAt = time.Time{}
	if record.HasSince && record.Status == http.StatusOK {
		c.respondedAt = record.WrittenAt
	}
}

// ServeHTTP serves a call and reports how it ended to OnCallDone.
func (c *caller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	record := CallRecord{Agent: c.agent}
	defer func() {
		if c.server.OnCallDone != nil {
			c.server.OnCallDone(record)
		}
	}()
	c.serve(w, r, &record)
}

func (c *caller) serve(w http.ResponseWriter, r *http.Request, record *CallRecord) {
	now := time.Now()
	q, status, err := parseRequest(r)
	if err != nil {
		record.Status = status
		writeError(w, status, err)
		return
	}
	record.SinceRevision = q.since
	record.HasSince = q.hasSince
	continues, ok := c.begin(q, now)
	if !ok {
		record.Status = http.StatusServiceUnavailable
		writeError(w, record.Status, RejectedError{Cause: "too many calls at a time"})
		return
	}
	defer c.end(record)
	if c.server.OnAcknowledge != nil && q.hasSince && q.since <= c.server.Store.Revision() {
		c.server.OnAcknowledge(c.agent, q.since, now)
	}
	response, err := c.awaitResponse(r.Context(), q, now, continues, record)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		if r.Context().Err() == nil {
			record.Status = http.StatusServiceUnavailable
		}
		return
	}
	record.Revision = response.Revision
	record.Complete = response.Complete
	record.Entries = response.Entries
	if writeResponse(w, response.Body) == nil {
		record.Status = http.StatusOK
		record.WrittenAt = time.Now()
	}
}

// awaitResponse returns the response to a call once the limiter has admitted it. A watch without changes first waits
// for one.
func (c *caller) awaitResponse(ctx context.Context, q query, now time.Time, continues bool, record *CallRecord) (Response, error) {
	response, changed := c.lookUp(q)
	if response.Body == nil {
		return response, errNoListYet
	}
	waits := q.waits(response, now)
	work := Work{Agent: c.agent, Continues: continues, Complete: response.Complete}
	if !waits {
		work.Entries = response.Entries
	}
	if err := c.admit(ctx, work, record); err != nil || !waits {
		return response, err
	}
	record.HeldAt = time.Now()
	timeout := time.NewTimer(time.Until(now.Add(q.wait)))
	defer timeout.Stop()
	for q.waits(response, now) {
		select {
		case <-changed:
		case <-timeout.C:
		case <-ctx.Done():
			return response, ctx.Err()
		}
		response, changed = c.lookUp(q)
	}
	work = Work{Agent: c.agent, Continues: true, Complete: response.Complete, Entries: response.Entries}
	return response, c.admit(ctx, work, record)
}

// lookUp returns the current response and a channel that is closed when the list changes.
func (c *caller) lookUp(q query) (Response, <-chan struct{}) {
	changed := c.server.Store.Changed()
	return c.server.Store.Since(q.since, q.hasSince), changed
}

// admit passes work, if there is any, to the limiter and waits until it is admitted.
func (c *caller) admit(ctx context.Context, w Work, record *CallRecord) error {
	if c.server.Limiter == nil || w.Continues && w.Entries == 0 {
		return nil
	}
	planned, err := c.server.Limiter.Admit(ctx, w)
	record.QueueDelay = planned
	return err
}

// writeError writes an error response.
func writeError(w http.ResponseWriter, status int, err error) {
	var rejected RejectedError
	switch {
	case status == http.StatusMethodNotAllowed:
		w.Header().Set("Allow", http.MethodGet)
	case errors.As(err, &rejected) && rejected.RetryAfter > 0:
		w.Header().Set("Retry-After", strconv.FormatFloat(rejected.RetryAfter.Seconds(), 'f', -1, 64))
	case status == http.StatusBadRequest: // an unread body is discarded with the connection
		w.Header().Set("Connection", "close")
	}
	http.Error(w, err.Error(), status)
}

// writeResponse writes a response and returns when the kernel has accepted all of it. The connection of a caller that
// does not read is closed after writeTimeout.
func writeResponse(w http.ResponseWriter, text []byte) error {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	controller := http.NewResponseController(w)
	if controller.SetWriteDeadline(time.Now().Add(writeTimeout)) == nil { // a recorder in tests has no deadlines
		defer func() { _ = controller.SetWriteDeadline(time.Time{}) }() // fails only on a closed connection
	}
	if _, err := w.Write(text); err != nil {
		return err
	}
	return controller.Flush()
}
