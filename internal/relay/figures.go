package relay

import (
	"fmt"
	"net/http"
	"time"
)

// Figures are what a relay counted since its start, and how it stands.
type Figures struct {
	Calls    int64         // that came
	Whole    int64         // whole lists handed out
	Refused  int64         // calls that got a 503
	Bytes    int64         // of answers' bodies
	Open     int64         // calls that are held now
	Waiting  int           // of them, those that wait for their turn to get the whole list
	Age      time.Duration // since the list was the newest for certain
	Revision uint64        // 0: no list
}

// Figures may be called at any time.
func (r *Relay) Figures() Figures {
	r.mu.Lock()
	since := r.sinceLocked()
	r.mu.Unlock()
	return Figures{
		Calls: r.counts.calls.Load(), Whole: r.counts.whole.Load(), Refused: r.counts.refused.Load(), Bytes: r.counts.bytes.Load(),
		Open: r.counts.open.Load(), Waiting: r.gate.queued(), Age: time.Since(since), Revision: r.store.Revision(),
	}
}

// ServeFigures answers GET / with the figures, one to a line.
func (r *Relay) ServeFigures(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodGet || req.URL.Path != "/" {
		http.NotFound(w, req)
		return
	}
	f := r.Figures()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, line := range []struct {
		name  string
		value any
	}{
		{"relay_calls_total", f.Calls}, {"relay_whole_lists_total", f.Whole}, {"relay_refused_total", f.Refused},
		{"relay_answer_bytes_total", f.Bytes}, {"relay_open_calls", f.Open}, {"relay_waiting_calls", f.Waiting},
		{"relay_upstream_age_seconds", f.Age.Seconds()}, {"relay_revision", f.Revision},
	} {
		if _, err := fmt.Fprintln(w, line.name, line.value); err != nil {
			return
		}
	}
}
