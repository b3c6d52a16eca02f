package relay

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// counters are what a relay counts since its start.
type counters struct{ calls, fullLists, rejected, bodyBytes, open atomic.Int64 }

// Metrics are what a relay counted since its start, and its present state.
type Metrics struct {
	Calls     int64         // that came
	FullLists int64         // full lists handed out
	Rejected  int64         // calls that got a 503
	Bytes     int64         // of answers' bodies
	Open      int64         // calls that are in flight now
	Waiting   int           // of them, those that wait for their turn to get the full list
	Staleness time.Duration // since the list was known to be the newest
	Revision  uint64        // 0: no list
}

// Metrics may be called by any goroutine.
func (r *Relay) Metrics() Metrics {
	r.mu.Lock()
	syncedAt := r.syncedAtLocked()
	r.mu.Unlock()
	return Metrics{
		Calls:     r.counters.calls.Load(),
		FullLists: r.counters.fullLists.Load(),
		Rejected:  r.counters.rejected.Load(),
		Bytes:     r.counters.bodyBytes.Load(),
		Open:      r.counters.open.Load(),
		Waiting:   r.limiter.queued(),
		Staleness: time.Since(syncedAt),
		Revision:  r.store.Revision(),
	}
}

// ServeMetrics answers GET / with the metrics, one to a line.
func (r *Relay) ServeMetrics(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodGet || req.URL.Path != "/" {
		http.NotFound(w, req)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, line := range r.Metrics().lines() {
		if _, err := fmt.Fprintln(w, line.name, line.value); err != nil {
			return // the reader has gone
		}
	}
}

// metricLine is a metric under the name that monitoring knows it by.
type metricLine struct {
	name  string
	value any
}

func (m Metrics) lines() []metricLine {
	return []metricLine{
		{"relay_calls_total", m.Calls},
		{"relay_whole_lists_total", m.FullLists},
		{"relay_refused_total", m.Rejected},
		{"relay_answer_bytes_total", m.Bytes},
		{"relay_open_calls", m.Open},
		{"relay_waiting_calls", m.Waiting},
		{"relay_upstream_age_seconds", m.Staleness.Seconds()},
		{"relay_revision", m.Revision},
	}
}
