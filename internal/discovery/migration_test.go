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

// watched answers watches with the revision that it has, and notes what each call asked.
type watched struct {
	mu       sync.Mutex
	revision int
	changed  chan struct{}
	asked    []string // host and query
}

func (w *watched) RoundTrip(r *http.Request) (*http.Response, error) {
	var after int
	_, err := fmt.Sscanf(r.URL.Query().Get("after"), "%d", &after)
	whole := err != nil
	wait, _ := time.ParseDuration("0" + r.URL.Query().Get("wait_ms") + "ms")
	w.mu.Lock()
	w.asked = append(w.asked, r.URL.Host+"?"+r.URL.RawQuery)
	changed := w.changed
	w.mu.Unlock()
	if !whole && wait > 0 {
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
	if whole || w.revision > after {
		members = `{"id":"x","host_port":"10.0.0.1:80","phase":"Ready"}`
	}
	text := fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, w.revision, whole, members)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text))}, nil
}

func (w *watched) change() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	close(w.changed)
	w.changed = make(chan struct{})
}

// calls are how many asked for the whole list so far, and how many there were.
func (w *watched) calls() (whole, all int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, q := range w.asked {
		if strings.HasSuffix(q, "?") {
			whole++
		}
	}
	return whole, len(w.asked)
}

// A configuration that is reloaded names discovery's address again. Where it is the same, the watch that runs goes on, and
// nobody asks for the whole list; where only the settings say that lists are asked for now, or no longer, the calls are
// made anew with the revision held; where it is another address, the whole list comes first.
func TestOnlyAMoveAsksForTheWholeList(t *testing.T) {
	for name, c := range map[string]struct {
		before, after bool // asked for
		addr          string
		whole         int  // calls for the whole list, the first one among them
		goesOn        bool // the watch
	}{
		"pushed":              {false, false, "old", 1, true},
		"asked":               {true, true, "old", 1, true},
		"asked from then on":  {false, true, "old", 1, false},
		"pushed from then on": {true, false, "old", 1, false},
		"pushed and moved":    {false, false, "new", 2, false},
		"asked and moved":     {true, true, "new", 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				w := &watched{revision: 1, changed: make(chan struct{})}
				var set atomic.Pointer[settings.Settings]
				have := func(asked bool) {
					set.Store(&settings.Settings{Balancer: balancer.Settings{Agents: 1, PollEndpoints: asked}})
				}
				have(c.before)
				var mu sync.Mutex
				var revisions []uint64
				var d *Client
				d = New(Options{
					Addr: "old", Settings: set.Load, OnPoll: func(PollResult) {}, Log: slog.New(slog.DiscardHandler),
					Notify: func(n WatchEvent) {
						if n.Update.KeepsEndpoints() {
							d.Poll() // as the module does, later
							return
						}
						mu.Lock()
						defer mu.Unlock()
						revisions = append(revisions, n.Revision)
					},
				})
				d.SetTransport(w)
				moves := make(chan Target)
				ended := make(chan struct{})
				go func() { d.Run(ctx, moves); close(ended) }()
				d.Poll()
				synctest.Wait()
				_, before := w.calls()
				have(c.after)
				moves <- Target{Addr: c.addr}
				synctest.Wait()
				if _, now := w.calls(); (now == before) != c.goesOn {
					t.Errorf("%d calls before the reload, %d at once after it", before, now)
				}
				for range 3 {
					w.change()
					time.Sleep(10 * time.Millisecond)
				}
				mu.Lock()
				if !slices.Contains(revisions, 4) {
					t.Errorf("told revisions %v, want 4 among them", revisions)
				}
				mu.Unlock()
				if whole, _ := w.calls(); whole != c.whole {
					t.Errorf("%d calls for the whole list, want %d: %q", whole, c.whole, w.asked)
				}
				stop()
				<-ended
			})
		})
	}
}
