package lists

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ryeloft/internal/discovery"
)

// get makes a call to a handler and returns the response.
func get(h http.Handler, query string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path+query, nil))
	return w
}

func TestRequests(t *testing.T) {
	s := &Server{Store: NewStore(8)}
	s.Store.Reset(41, readyMembers(2))
	for _, c := range []struct {
		method, target, body string
		status               int
		want                 string // contained in the response body
	}{
		{"GET", Path, "", 200, `"revision":41,"complete":true`},
		{"GET", Path + "?after=41", "", 200, `"revision":41,"complete":false,"members":[]`},
		{"GET", Path + "?after=41&wait_ms=0", "", 200, `"revision":41,"complete":false`},
		{"GET", Path + "?wait_ms=20000", "", 200, `"revision":41,"complete":true`},
		{"GET", Path + "?after=99&wait_ms=20000", "", 200, `"revision":41,"complete":true`},
		{"GET", Path + "?after=", "", 400, "after"},
		{"GET", Path + "?after=-1", "", 400, "after"},
		{"GET", Path + "?after=4e1", "", 400, "after"},
		{"GET", Path + "?after=99999999999999999999", "", 400, "after"},
		{"GET", Path + "?after=41&after=41", "", 400, "after"},
		{"GET", Path + "?after=41&wait_ms=1.5", "", 400, "wait_ms"},
		{"GET", Path + "?after=41&wait_ms=soon", "", 400, "wait_ms"},
		{"GET", Path + "?after=41&wait=20000", "", 400, `"wait"`},
		{"GET", Path + "?after=%zz", "", 400, "query"},
		{"GET", Path + "?after=41;wait_ms=0", "", 400, "query"},
		{"GET", Path, "text", 400, "body"},
		{"HEAD", Path, "", 405, ""},
		{"POST", Path, "", 405, "only GET"},
		{"DELETE", Path, "", 405, "only GET"},
		{"GET", Path + "/", "", 404, ""},
		{"GET", "/", "", 404, ""},
		{"POST", "/discovery", "", 404, ""},
	} {
		t.Run(c.method+" "+c.target, func(t *testing.T) {
			w := httptest.NewRecorder()
			r := httptest.NewRequest(c.method, c.target, strings.NewReader(c.body))
			s.Handler(0).ServeHTTP(w, r)
			if w.Code != c.status || !strings.Contains(w.Body.String(), c.want) {
				t.Errorf("got %d %s, want %d with %s", w.Code, w.Body, c.status, c.want)
			}
			if allow := w.Header().Get("Allow"); (allow == "GET") != (c.status == 405) {
				t.Errorf("Allow header of a %d: got %q", c.status, allow)
			}
		})
	}
}

// Without a list, the server must not send a response that an agent could apply as a list.
func TestNoList(t *testing.T) {
	s := &Server{Store: NewStore(8)}
	for _, query := range []string{"", "?after=0", "?after=3&wait_ms=1000"} {
		if w := get(s.Handler(0), query); w.Code != 503 {
			t.Errorf("%q: got %d %s, want 503", query, w.Code, w.Body)
		}
	}
}

// A watch must end at the first change, when its wait expires, or immediately if there already is a change.
func TestWatch(t *testing.T) {
	list := step{true, 10, "a:Ready b:Ready"}
	drain := step{false, 11, "b:Terminating"}
	leave := step{false, 12, "b:Gone c:Ready"}
	for _, c := range []struct {
		name    string
		before  []step
		query   string
		at      time.Duration // when the changes are applied, one right after the other
		changes []step
		took    time.Duration
		want    string
	}{
		{"no change", []step{list}, "?after=10&wait_ms=20000", 0, nil, 20 * time.Second, `10 false `},
		{"no wait", []step{list}, "?after=10&wait_ms=0", time.Second, []step{drain}, 0, `10 false `},
		{"wait over a minute", []step{list}, "?after=10&wait_ms=90000", 0, nil, time.Minute, `10 false `},
		{"largest wait", []step{list}, "?after=10&wait_ms=18446744073709551615", 0, nil, time.Minute, `10 false `},
		{"change", []step{list}, "?after=10&wait_ms=20000", 5 * time.Second, []step{drain}, 5 * time.Second, `11 false b:Terminating`},
		{"two changes before the call", []step{list, drain, leave}, "?after=10&wait_ms=20000", 0, nil, 0, `12 false b:Gone c:Ready`},
		{"revision without changes", []step{list}, "?after=10&wait_ms=20000", time.Second, []step{{false, 11, ""}}, time.Second, `11 false `},
		{"behind", []step{list, drain}, "?after=10&wait_ms=20000", 0, nil, 0, `11 false b:Terminating`},
		{"ahead", []step{list}, "?after=11&wait_ms=20000", 0, nil, 0, `10 true a:Ready b:Ready`},
		{"before the log", []step{list}, "?after=3&wait_ms=20000", 0, nil, 0, `10 true a:Ready b:Ready`},
		{"reset", []step{list}, "?after=10&wait_ms=20000", time.Second, []step{{true, 3, "d:Ready"}}, time.Second, `3 true d:Ready`},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &Server{Store: NewStore(8)}
				for _, step := range c.before {
					step.apply(t, s.Store)
				}
				began := time.Now()
				responses := make(chan *httptest.ResponseRecorder)
				go func() { responses <- get(s.Handler(0), c.query) }()
				var w *httptest.ResponseRecorder
				select {
				case w = <-responses:
				case <-func() <-chan time.Time {
					if c.changes == nil {
						return nil
					}
					return time.After(c.at)
				}():
					for _, step := range c.changes {
						step.apply(t, s.Store)
					}
					w = <-responses
				}
				took, l := time.Since(began), parse(t, w.Body.Bytes())
				got := fmt.Sprintf("%d %v %s", *l.Revision, l.Complete, formatMembers(l.Members))
				if took != c.took || w.Code != 200 || got != c.want {
					t.Errorf("got %d %s after %v, want 200 %s after %v", w.Code, got, took, c.want, c.took)
				}
			})
		})
	}
}

// After two changes in immediate succession, a watch must return both, or only the first if it wakes between them. In
// that case the next call must return the second.
func TestWatchOfTwoChanges(t *testing.T) {
	const first, second, both = "11 false b:Terminating", "12 false b:Gone c:Ready", "12 false b:Gone c:Ready"
	for name, c := range map[string]struct {
		between bool // the watch wakes between the changes
		want    []string
	}{
		"wakes between them": {true, []string{first + "|" + second}},
		"wakes at any time":  {false, []string{both, first + "|" + second}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &Server{Store: NewStore(8)}
				step{true, 10, "a:Ready b:Ready"}.apply(t, s.Store)
				responses := make(chan *httptest.ResponseRecorder)
				watch := func(after uint64) {
					go func() { responses <- get(s.Handler(0), fmt.Sprintf("?after=%d&wait_ms=20000", after)) }()
				}
				watch(10)
				synctest.Wait()
				began := time.Now()
				step{false, 11, "b:Terminating"}.apply(t, s.Store)
				if c.between {
					synctest.Wait() // the watch has its response
				}
				step{false, 12, "b:Gone c:Ready"}.apply(t, s.Store)
				var got []string
				for revision := uint64(10); revision < 12; {
					w := <-responses
					l := parse(t, w.Body.Bytes())
					got = append(got, fmt.Sprintf("%d %v %s", *l.Revision, l.Complete, formatMembers(l.Members)))
					if w.Code != 200 || time.Since(began) != 0 || *l.Revision <= revision {
						t.Fatalf("got %d after %v: %q, want 200 immediately with a newer revision", w.Code, time.Since(began), got)
					}
					revision = *l.Revision
					watch(revision)
				}
				if !slices.Contains(c.want, strings.Join(got, "|")) {
					t.Errorf("got %q, want one of %q", got, c.want)
				}
				if w := <-responses; w.Code != 200 || time.Since(began) != 20*time.Second {
					t.Errorf("without a change: got %d after %v, want 200 after 20s", w.Code, time.Since(began))
				}
			})
		})
	}
}

// When a caller disconnects, its watch must end and no longer count as a call in flight.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan CallRecord, 1)
		s := &Server{Store: NewStore(8), MaxCallsPerAgent: 1, OnCallDone: func(c CallRecord) { ended <- c }}
		s.Store.Reset(1, readyMembers(1))
		ctx, disconnect := context.WithCancel(t.Context())
		r := httptest.NewRequest(http.MethodGet, Path+"?after=1&wait_ms=20000", nil).WithContext(ctx)
		go s.Handler(0).ServeHTTP(httptest.NewRecorder(), r)
		synctest.Wait()
		if w := get(s.Handler(0), ""); w.Code != 503 {
			t.Errorf("second concurrent call: got %d, want 503", w.Code)
		}
		if c := <-ended; c.Status != 503 {
			t.Errorf("second concurrent call: got record %+v, want status 503", c)
		}
		if w := get(s.Handler(1), ""); w.Code != 200 {
			t.Errorf("another agent's call: got %d, want 200", w.Code)
		}
		<-ended
		disconnect()
		if c := <-ended; c.Status != 0 || c.HeldAt.IsZero() || !c.WrittenAt.IsZero() {
			t.Errorf("watch: got record %+v, want status 0 after a wait, with nothing written", c)
		}
		synctest.Wait()
		if w := get(s.Handler(0), ""); w.Code != 200 {
			t.Errorf("call after the disconnect: got %d, want 200", w.Code)
		}
	})
}

// recordingLimiter records work, delays it and, if err is set, rejects it.
type recordingLimiter struct {
	mu    sync.Mutex
	works []Work
	delay time.Duration
	err   error
}

func (l *recordingLimiter) Admit(ctx context.Context, w Work) (time.Duration, error) {
	l.mu.Lock()
	l.works = append(l.works, w)
	delay := l.delay
	err := l.err
	l.mu.Unlock()
	select {
	case <-time.After(delay):
		return delay, err
	case <-ctx.Done():
		return delay, ctx.Err()
	}
}

func (l *recordingLimiter) takeWorks() []Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	works := l.works
	l.works = nil
	return works
}

// The limiter must be given the work of a call: starting it, unless it continues a watch, and the members of its
// response.
func TestWorkPerCall(t *testing.T) {
	const agent = 3
	begins := func(complete bool, members int) Work { return Work{Agent: agent, Complete: complete, Entries: members} }
	continues := func(complete bool, members int) Work {
		return Work{Agent: agent, Continues: true, Complete: complete, Entries: members}
	}
	for _, c := range []struct {
		name   string
		first  string        // query of a previous call, if any
		pause  time.Duration // between the two calls
		query  string
		change string // applied during the call, if any
		want   []Work
	}{
		{"full list", "", 0, "", "", []Work{begins(true, 2)}},
		{"new watch, no change", "", 0, "?after=10&wait_ms=1000", "", []Work{begins(false, 0)}},
		{"new watch, change", "", 0, "?after=10&wait_ms=1000", "b:Gone c:Ready", []Work{begins(false, 0), continues(false, 2)}},
		{"new watch, behind", "", 0, "?after=9&wait_ms=1000", "", []Work{begins(true, 2)}},
		{"after a full list", "?", 0, "?after=10&wait_ms=1000", "", []Work{begins(false, 0)}},
		{"continues", "?after=10", WatchContinuation, "?after=10&wait_ms=1000", "", nil},
		{"continues to a change", "?after=10", WatchContinuation, "?after=10&wait_ms=1000", "b:Gone", []Work{continues(false, 1)}},
		{"continues to a full list", "?after=10", WatchContinuation, "?after=9&wait_ms=1000", "", []Work{continues(true, 2)}},
		{"after too long a pause", "?after=10", WatchContinuation + time.Millisecond, "?after=10&wait_ms=1000", "", []Work{begins(false, 0)}},
		{"full list after a watch", "?after=10", 0, "", "", []Work{begins(true, 2)}},
		{"after a bad call", "?after=10&wait=0", 0, "?after=10&wait_ms=1000", "", []Work{begins(false, 0)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &recordingLimiter{delay: 5 * time.Millisecond}
				var last CallRecord
				s := &Server{Store: NewStore(8), Limiter: l, OnCallDone: func(c CallRecord) { last = c }}
				step{true, 10, "a:Ready b:Ready"}.apply(t, s.Store)
				if c.first != "" {
					get(s.Handler(agent), c.first)
					time.Sleep(c.pause) // on the fake clock
					l.takeWorks()
				}
				began := time.Now()
				ended := make(chan *httptest.ResponseRecorder)
				go func() { ended <- get(s.Handler(agent), c.query) }()
				if c.change != "" {
					time.Sleep(100 * time.Millisecond)
					step{false, 11, c.change}.apply(t, s.Store)
				}
				if w := <-ended; w.Code != 200 {
					t.Errorf("got status %d, want 200", w.Code)
				}
				got := l.takeWorks()
				if fmt.Sprint(got) != fmt.Sprint(c.want) {
					t.Errorf("got work %+v, want %+v", got, c.want)
				}
				if c.change != "" && (time.Since(began) != 105*time.Millisecond || last.QueueDelay != l.delay || last.HeldAt.IsZero()) {
					t.Errorf("got a response after %v and record %+v, want it after 105ms with a wait and QueueDelay %v", time.Since(began), last, l.delay)
				}
			})
		})
	}
}

// A call that the limiter rejects must get a 503, and a watch must not continue after it.
func TestLimiterRejects(t *testing.T) {
	for _, c := range []struct {
		err   error
		after string
	}{
		{RejectedError{Cause: "waited too long"}, ""},
		{RejectedError{RetryAfter: 1500 * time.Millisecond}, "1.5"},
		{fmt.Errorf("relay: %w", RejectedError{RetryAfter: 2 * time.Second}), "2"},
		{errors.New("out of order"), ""},
	} {
		l := &recordingLimiter{}
		s := &Server{Store: NewStore(8), Limiter: l}
		s.Store.Reset(1, readyMembers(1))
		get(s.Handler(0), "?after=1")
		l.err = c.err
		if w := get(s.Handler(0), ""); w.Code != 503 || w.Header().Get("Retry-After") != c.after {
			t.Errorf("%v: got %d, Retry-After %q, want 503, Retry-After %q", c.err, w.Code, w.Header().Get("Retry-After"), c.after)
		}
		l.err = nil
		l.takeWorks()
		get(s.Handler(0), "?after=1")
		if got := l.takeWorks(); len(got) != 1 || got[0].Continues {
			t.Errorf("%v: next call: got work %+v, want one that does not continue a watch", c.err, got)
		}
	}
}

// A call must acknowledge its agent's revision, unless that is ahead of the store or the call is invalid.
func TestAcknowledge(t *testing.T) {
	var acknowledged []string
	s := &Server{Store: NewStore(8), OnAcknowledge: func(agent int, revision uint64, _ time.Time) {
		acknowledged = append(acknowledged, fmt.Sprint(agent, ":", revision))
	}}
	s.Store.Reset(10, readyMembers(1))
	for agent, query := range []string{"", "?after=10", "?after=11", "?after=4", "?after=x"} {
		get(s.Handler(agent), query)
	}
	if got := strings.Join(acknowledged, " "); got != "1:10 3:4" {
		t.Errorf("acknowledged: got %q, want %q", got, "1:10 3:4")
	}
}

// Many agents watch the list while it changes, some from before the start of the log. All must end up with the same
// list.
func TestFollowers(t *testing.T) {
	const followers, last = 64, 300
	s := &Server{Store: NewStore(16), MaxCallsPerAgent: 1}
	s.Store.Reset(0, readyMembers(20))
	var all sync.WaitGroup
	final := make([]map[string]discovery.Member, followers)
	for i := range followers {
		all.Go(func() {
			held := make(map[string]discovery.Member)
			after, known := uint64(0), false
			for after < last {
				query := ""
				if known {
					query = fmt.Sprintf("?after=%d&wait_ms=60000", after)
				}
				w := get(s.Handler(i), query)
				l, err := discovery.Parse(w.Body.Bytes())
				if err != nil || known && !l.Complete && *l.Revision <= after {
					t.Errorf("after %d: got %d %s, error %v, want a full list or a newer revision", after, w.Code, w.Body, err)
					return
				}
				if l.Complete {
					clear(held)
				}
				for _, m := range l.Members {
					if m.Removed() {
						delete(held, m.ID)
					} else {
						held[m.ID] = m
					}
				}
				after = *l.Revision
				known = true
			}
			final[i] = held
		})
	}
	for r := uint64(1); r <= last; r++ {
		state := []string{"Terminating", "Gone", "Ready"}[r%3]
		if err := s.Store.Apply(r, []discovery.Member{member(fmt.Sprintf("s-%d", r%31), state)}); err != nil {
			t.Fatal(err)
		}
	}
	all.Wait()
	want := make(map[string]discovery.Member)
	for _, m := range s.Store.Members() {
		want[m.ID] = m
	}
	for i, held := range final {
		if fmt.Sprint(held) != fmt.Sprint(want) {
			t.Errorf("follower %d: got %v, want %v", i, held, want)
		}
	}
}
