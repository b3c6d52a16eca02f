package relay

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// counters are a relay's counters since its start, and open, the number of calls in flight.
type counters struct{ calls, fullLists, rejected, bodyBytes, open atomic.Int64 }

// Metrics are a relay's counters since its start and its current state.
type Metrics struct {
	Calls     int64         // calls received
	FullLists int64         // full lists sent
	Rejected  int64         // calls rejected with a 503
	Bytes     int64         // bytes of response bodies
	Open      int64         // calls in flight
	Waiting   int           // calls in flight that wait for a slot for the full list
	Staleness time.Duration // time since the list was last known to be the newest
	Revision  uint64        // 0: no list
}

// Metrics returns the current metrics. Any goroutine may call it.
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

// ServeMetrics responds to GET / with the metrics, one per line.
func (r *Relay) ServeMetrics(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodGet || req.URL.Path != "/" {
		http.NotFound(w, req)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, line := range r.Metrics().lines() {
		if _, err := fmt.Fprintln(w, line.name, line.value); err != nil {
			return // the reader has disconnected
		}
	}
}

// metricLine is a metric's exported name and value.
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
