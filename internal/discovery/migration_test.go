package discovery

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
)

// watchedService answers polls and watches with its current revision and records each request.
type watchedService struct {
	mu       sync.Mutex
	revision int
	changed  chan struct{}
	requests []string // host and query
}

func (w *watchedService) RoundTrip(r *http.Request) (*http.Response, error) {
	var after int
	_, err := fmt.Sscanf(r.URL.Query().Get("after"), "%d", &after)
	full := err != nil
	wait, _ := time.ParseDuration("0" + r.URL.Query().Get("wait_ms") + "ms")
	w.mu.Lock()
	w.requests = append(w.requests, r.URL.Host+"?"+r.URL.RawQuery)
	changed := w.changed
	w.mu.Unlock()
	if !full && wait > 0 {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	members := ""
	if full || w.revision > after {
		members = `{"id":"x","host_port":"10.0.0.1:80","phase":"Ready"}`
	}
	text := fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, w.revision, full, members)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text))}, nil
}

func (w *watchedService) change() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	close(w.changed)
	w.changed = make(chan struct{})
}

// calls returns the number of polls of the full list and of all calls.
func (w *watchedService) calls() (full, all int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, q := range w.requests {
		if strings.HasSuffix(q, "?") {
			full++
		}
	}
	return full, len(w.requests)
}

// Every reload of the configuration names discovery's address again. If it is unchanged, the current watch must
// continue and the full list must not be polled; if only the mode changes, the calls restart with the held revision; if
// the address changes, the full list is polled.
func TestOnlyMigrationPollsFullList(t *testing.T) {
	for name, c := range map[string]struct {
		before, after bool // poll mode
		addr          string
		full          int  // polls of the full list, including the first one
		continues     bool // the watch is not interrupted
	}{
		"push mode":           {false, false, "old", 1, true},
		"poll mode":           {true, true, "old", 1, true},
		"push to poll mode":   {false, true, "old", 1, false},
		"poll to push mode":   {true, false, "old", 1, false},
		"push mode, migrated": {false, false, "new", 2, false},
		"poll mode, migrated": {true, true, "new", 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				w := &watchedService{revision: 1, changed: make(chan struct{})}
				var set atomic.Pointer[settings.Settings]
				setMode := func(poll bool) {
					set.Store(&settings.Settings{Balancer: balancer.Settings{Agents: 1, PollEndpoints: poll}})
				}
				setMode(c.before)
				var mu sync.Mutex
				var revisions []uint64
				var d *Client
				d = New(Options{
					Addr: "old", Settings: set.Load, OnPoll: func(PollResult) {}, Log: slog.New(slog.DiscardHandler),
					Notify: func(event WatchEvent) {
						if event.Update.KeepsEndpoints() {
							d.Poll() // as the balancer does, later
							return
						}
						mu.Lock()
						defer mu.Unlock()
						revisions = append(revisions, event.Revision)
					},
				})
				d.SetTransport(w)
				migrations := make(chan Target)
				ended := make(chan struct{})
				go func() { d.Run(ctx, migrations); close(ended) }()
				d.Poll()
				synctest.Wait()
				_, before := w.calls()
				setMode(c.after)
				migrations <- Target{Addr: c.addr}
				synctest.Wait()
				if _, now := w.calls(); (now == before) != c.continues {
					t.Errorf("%d calls before the reload, %d immediately after it, want no new call: %v", before, now, c.continues)
				}
				for range 3 {
					w.change()
					time.Sleep(10 * time.Millisecond)
				}
				mu.Lock()
				if !slices.Contains(revisions, 4) {
					t.Errorf("notified of revisions %v, want them to include 4", revisions)
				}
				mu.Unlock()
				if full, _ := w.calls(); full != c.full {
					t.Errorf("%d polls of the full list, want %d: %q", full, c.full, w.requests)
				}
				stop()
				<-ended
			})
		})
	}
}
