package relay

import (
	"fmt"
	"net/http"
	"time"
)

// Metrics are what a relay counted since its start, and how it stands.
type Metrics struct {
	Calls     int64         // that came
	FullLists int64         // whole lists handed out
	Rejected  int64         // calls that got a 503
	Bytes     int64         // of answers' bodies
	Open      int64         // calls that are held now
	Waiting   int           // of them, those that wait for their turn to get the whole list
	Staleness time.Duration // since the list was the newest for certain
	Revision  uint64        // 0: no list
}

// Metrics may be called at any time.
func (r *Relay) Metrics() Metrics {
	r.mu.Lock()
	since := r.sinceLocked()
	r.mu.Unlock()
	return Metrics{
		Calls: r.counts.calls.Load(), FullLists: r.counts.whole.Load(), Rejected: r.counts.refused.Load(), Bytes: r.counts.bytes.Load(),
		Open: r.counts.open.Load(), Waiting: r.gate.queued(), Staleness: time.Since(since), Revision: r.store.Revision(),
	}
}

// ServeMetrics answers GET / with the figures, one to a line.
func (r *Relay) ServeMetrics(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodGet || req.URL.Path != "/" {
		http.NotFound(w, req)
		return
	}
	f := r.Metrics()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, line := range []struct {
		name  string
		value any
	}{
		{"relay_calls_total", f.Calls}, {"relay_whole_lists_total", f.FullLists}, {"relay_refused_total", f.Rejected},
		{"relay_answer_bytes_total", f.Bytes}, {"relay_open_calls", f.Open}, {"relay_waiting_calls", f.Waiting},
		{"relay_upstream_age_seconds", f.Staleness.Seconds()}, {"relay_revision", f.Revision},
	} {
		if _, err := fmt.Fprintln(w, line.name, line.value); err != nil {
			return
		}
	}
}
