package lists

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// maxWait is the longest wait of a watch. A longer requested wait is reduced to it.
const maxWait = time.Minute

// Query parameters of the protocol.
const (
	sinceParam = "after"
	waitParam  = "wait_ms"
)

// query holds the parsed parameters of a call.
type query struct {
	since    uint64
	hasSince bool // whether the call names a revision
	wait     time.Duration
}

// waits reports whether the response has no changes and the call's wait has not expired.
func (q *query) waits(r Response, arrived time.Time) bool {
	return q.hasSince && !r.Complete && r.Revision == q.since && time.Since(arrived) < q.wait
}

// parseRequest parses a call. On an error it also returns the status of the response.
func parseRequest(r *http.Request) (query, int, error) {
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
		if err := q.set(name, v); err != nil {
			return query{}, http.StatusBadRequest, err
		}
	}
	return q, 0, nil
}

// set sets a parameter. An unknown parameter is an error: with a misspelt wait, a watch would never wait and its caller
// would repeat it in a tight loop.
func (q *query) set(name string, values []string) error {
	if name != sinceParam && name != waitParam {
		return fmt.Errorf("%.40q: no such parameter", name)
	}
	if len(values) > 1 {
		return fmt.Errorf("%s: given %d times", name, len(values))
	}
	n, err := strconv.ParseUint(values[0], 10, 64)
	if err != nil {
		return fmt.Errorf("%s: %.40q is no number from 0 on", name, values[0])
	}
	if name == sinceParam {
		q.since = n
		q.hasSince = true
		return nil
	}
	q.wait = time.Duration(min(n, uint64(maxWait.Milliseconds()))) * time.Millisecond
	return nil
}
