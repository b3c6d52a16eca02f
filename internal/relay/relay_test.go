package relay

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
	"unsafe"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
)

// formatMembers formats the members of a list, sorted by ID, each with the first letter of its state.
func formatMembers(l discovery.EndpointList) string {
	var all []string
	for _, m := range l.Members {
		all = append(all, m.ID+m.State[:1])
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

// check checks the revision, the completeness and the members of a response.
func (got callResult) check(t *testing.T, what string, revision uint64, complete bool, members string) {
	t.Helper()
	if got.status != http.StatusOK || *got.list.Revision != revision || got.list.Complete != complete || formatMembers(got.list) != members {
		t.Errorf("%s: got %+v (%s), want revision %d, complete %v, %q", what, got, formatMembers(got.list), revision, complete, members)
	}
}

// A relay must respond as its upstream does, and a change at upstream must reach the relay's watches immediately.
func TestServesUpstreamList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a := newUpstream(t, n, 7, member("x", "Ready", 0), member("y", "Ready", 0))
		r := startRelay(t, n, "relay:1", t.TempDir())
		call(t, n, r.addr, "").check(t, "the full list", 7, true, "xR yR")
		watched := make(chan callResult)
		go func() { watched <- call(t, n, r.addr, "?after=7&wait_ms=20000") }()
		time.Sleep(3 * time.Second)
		changed := time.Now()
		a.apply(9, member("x", "Terminating", 0))
		got := <-watched
		got.check(t, "watch", 9, false, "xT")
		if delay := time.Since(changed); delay > time.Millisecond {
			t.Errorf("the change reached the watch after %v, want at most 1ms", delay)
		}
		a.apply(10, member("y", "Gone", 0))
		time.Sleep(time.Millisecond)
		call(t, n, r.addr, "?after=7&wait_ms=0").check(t, "caller that is behind", 10, false, "xT yG")
		call(t, n, r.addr, "").check(t, "the full list", 10, true, "xT")
		got = call(t, n, r.addr, "?after=10&wait_ms=1500")
		got.check(t, "watch without a change", 10, false, "")
		if got.took != 1500*time.Millisecond {
			t.Errorf("watch without a change: got a response after %v, want 1.5s", got.took)
		}
		a.apply(11) // a revision without changes
		time.Sleep(upstreamWatchWait)
		synctest.Wait() // the watch at upstream ends now
		call(t, n, r.addr, "?after=10&wait_ms=0").check(t, "revision without changes", 11, false, "")
		for _, query := range []string{"?after=x", "?after=1&wait_ms=-1", "?after=1&later=1", "?after=%zz"} {
			if got := call(t, n, r.addr, query); got.status != http.StatusBadRequest {
				t.Errorf("%s: got %d, want 400", query, got.status)
			}
		}
		m := r.Metrics()
		if m.Calls != 10 || m.FullLists != 2 || m.Rejected != 0 || m.Open != 0 || m.Waiting != 0 || m.Bytes < 500 || m.Staleness > upstreamWatchWait || m.Revision != 11 {
			t.Errorf("got metrics %+v, want 10 calls, 2 full lists, at least 500 bytes, revision 11 and nothing rejected, open, waiting or stale", m)
		}
	})
}

// After a restart without upstream, a caller at the revision of the stored list must be able to continue with it. All
// other callers must wait until upstream responds: the stored list may contain endpoints that have since been removed.
func TestRestartsFromDisk(t *testing.T) {
	for name, damage := range map[string]func(path string){
		"stored": func(string) {},
		"damaged": func(path string) {
			text, _ := os.ReadFile(path)
			os.WriteFile(path, text[:len(text)-1], 0o600)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, state := newNetwork(), t.TempDir()
				a := newUpstream(t, n, 7, member("x", "Ready", 0), member("y", "Ready", 0))
				r := startRelay(t, n, "relay:1", state)
				time.Sleep(time.Second)
				a.apply(8, member("z", "Ready", 0))
				time.Sleep(time.Millisecond)
				r.stop() // stores the last list
				damage(filepath.Join(state, listFileName))
				a.down()
				r = startRelay(t, n, "relay:1", state)
				if got := call(t, n, r.addr, ""); got.status != http.StatusServiceUnavailable || got.took > discovery.RelayFullListTimeout {
					t.Errorf("full list without a response from upstream: got %+v, want 503 within %v", got, discovery.RelayFullListTimeout)
				}
				got := call(t, n, r.addr, "?after=8&wait_ms=500")
				got.check(t, "caller at the stored revision", 8, false, "")
				if got.took != 500*time.Millisecond {
					t.Errorf("caller at the stored revision: got a response after %v, want 500ms", got.took)
				}
				if got := call(t, n, r.addr, "?after=7&wait_ms=0"); got.status == http.StatusOK && len(got.list.Members) > 0 {
					t.Errorf("caller that is behind: got %s, want no members", formatMembers(got.list))
				}
				a.apply(9, member("x", "Gone", 0))
				a.up()
				time.Sleep(time.Second)
				call(t, n, r.addr, "?after=9&wait_ms=0").check(t, "upstream back, caller that was ahead", 9, false, "")
				call(t, n, r.addr, "").check(t, "upstream back, full list", 9, true, "yR zR")
				if name == "stored" {
					call(t, n, r.addr, "?after=8&wait_ms=0").check(t, "upstream back, caller at the stored revision", 9, false, "xG")
				} else {
					call(t, n, r.addr, "?after=8&wait_ms=0").check(t, "upstream back, caller at the stored revision", 9, true, "yR zR")
				}
			})
		})
	}
}

// When upstream has lost its log and sends the full list, callers that watch this relay must still get only the
// changes.
func TestFullListBecomesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a := newUpstream(t, n, 7, member("x", "Ready", 0), member("y", "Ready", 0), member("z", "Ready", 0))
		r := startRelay(t, n, "relay:1", t.TempDir())
		time.Sleep(time.Second)
		a.Reset(20, []discovery.Member{member("y", "Terminating", 0), member("z", "Ready", 0), member("v", "Ready", 0)})
		time.Sleep(upstreamWatchWait)
		call(t, n, r.addr, "?after=7&wait_ms=0").check(t, "caller in the relay's log", 20, false, "vR xG yT")
		call(t, n, r.addr, "?after=3&wait_ms=0").check(t, "caller before the relay's log", 20, true, "vR yT zR")
	})
}

// No caller may get an older list after a newer one. A caller that is ahead must wait for the response to a later
// upstream call. If that has no newer revision, upstream has restarted its revision numbers, and the caller must get
// the full list. Without a response, the caller must continue with its list.
func TestNoOlderListAfterNewer(t *testing.T) {
	for name, c := range map[string]struct {
		then     func(*upstream) // runs 100 ms after the call
		query    string
		took     [2]time.Duration
		revision uint64
		complete bool
		members  string
		status   int
	}{
		"catches up": {
			then:  func(a *upstream) { a.apply(12, member("y", "Gone", 0)) },
			query: "?after=12&wait_ms=2000", took: [2]time.Duration{2 * time.Second, 2 * time.Second}, revision: 12,
		},
		"catches up and passes the caller": {
			then:  func(a *upstream) { a.apply(12, member("y", "Gone", 0)); a.apply(13, member("x", "Terminating", 0)) },
			query: "?after=12&wait_ms=2000", took: [2]time.Duration{100 * time.Millisecond, 101 * time.Millisecond}, revision: 13, members: "xT yG",
		},
		"revisions restarted": {
			then:  func(a *upstream) {},
			query: "?after=12&wait_ms=2000", took: [2]time.Duration{upstreamWatchWait, 2 * upstreamWatchWait}, revision: 7, complete: true, members: "xR yR",
		},
		"revisions restarted, no wait": {
			then:  func(a *upstream) {},
			query: "?after=12&wait_ms=0", took: [2]time.Duration{upstreamWatchWait, aheadWait}, revision: 7, complete: true, members: "xR yR",
		},
		"lost, no wait": {
			then:  func(a *upstream) { a.down() },
			query: "?after=12&wait_ms=0", took: [2]time.Duration{aheadWait, aheadWait}, revision: 12,
		},
		"lost": {
			then:  func(a *upstream) { a.down() },
			query: "?after=12&wait_ms=1000", took: [2]time.Duration{time.Second, time.Second}, revision: 12,
		},
		"lost, long wait": {
			then:  func(a *upstream) { a.down() },
			query: "?after=12&wait_ms=20000", took: [2]time.Duration{staleAfter - 2*upstreamWatchWait, staleAfter}, status: 503,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				a := newUpstream(t, n, 7, member("x", "Ready", 0), member("y", "Ready", 0))
				r := startRelay(t, n, "relay:1", t.TempDir())
				time.Sleep(time.Second + 50*time.Millisecond)
				if strings.HasPrefix(name, "lost") {
					a.down() // before it can respond
				}
				go func() {
					time.Sleep(100 * time.Millisecond)
					c.then(a)
				}()
				got := call(t, n, r.addr, c.query)
				if c.status != 0 {
					if got.status != c.status {
						t.Errorf("got %+v, want status %d", got, c.status)
					}
				} else {
					got.check(t, name, c.revision, c.complete, c.members)
				}
				if got.took < c.took[0] || got.took > c.took[1] {
					t.Errorf("got a response after %v, want %v to %v", got.took, c.took[0], c.took[1])
				}
				time.Sleep(100 * time.Millisecond)
			})
		})
	}
}

// A relay without a response from upstream for staleAfter must reject all calls, including waiting ones, so that its
// callers fail over. After the next response it must serve calls again. The time counts from the start of the last
// successful upstream call.
func TestStaleRelayRejects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a := newUpstream(t, n, 7, member("x", "Ready", 0))
		r := startRelay(t, n, "relay:1", t.TempDir())
		time.Sleep(10 * time.Second)
		lost := time.Now()
		a.down()
		time.Sleep(time.Second)
		call(t, n, r.addr, "?after=7&wait_ms=100").check(t, "soon after the loss", 7, false, "")
		if got := call(t, n, r.addr, "?after=7&wait_ms=20000"); got.status != http.StatusServiceUnavailable || got.retryAfter != "" {
			t.Errorf("watch: got %+v, want 503 without Retry-After", got)
		}
		if after := time.Since(lost); after > staleAfter || after < staleAfter-2*upstreamWatchWait {
			t.Errorf("watch: got rejection %v after the loss, want %v to %v", after, staleAfter-2*upstreamWatchWait, staleAfter)
		}
		time.Sleep(upstreamWatchWait)
		for _, query := range []string{"", "?after=7&wait_ms=1000", "?after=9&wait_ms=1000", "?after=3&wait_ms=0"} {
			if got := call(t, n, r.addr, query); got.status != http.StatusServiceUnavailable || got.took > 0 || got.retryAfter != "" {
				t.Errorf("%q: got %+v, want an immediate 503 without Retry-After", query, got)
			}
		}
		if m := r.Metrics(); m.Rejected != 5 || m.Staleness < staleAfter {
			t.Errorf("got metrics %+v, want 5 rejected and a staleness of at least %v", m, staleAfter)
		}
		time.Sleep(time.Minute)
		a.apply(8, member("x", "Terminating", 0))
		a.up()
		time.Sleep(2 * maxUpstreamBackoff)
		call(t, n, r.addr, "?after=7&wait_ms=1000").check(t, "after the outage", 8, false, "xT")
	})
}

// After a migration, revisions belong to another service. Its full list must replace the old one, whether its revision
// is lower, equal or higher.
func TestMigrate(t *testing.T) {
	for _, revision := range []uint64{3, 7, 100} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork()
			newUpstream(t, n, 7, member("x", "Ready", 0))
			other := &upstream{Store: newUpstream(t, newNetwork(), revision, member("y", "Ready", 0)).Store, net: n, addr: "other:1"}
			other.up()
			t.Cleanup(other.down)
			r := startRelay(t, n, "relay:1", t.TempDir())
			time.Sleep(time.Second)
			r.Migrate(t.Context(), "upstream:1", 60)
			time.Sleep(time.Second)
			call(t, n, r.addr, "?after=7&wait_ms=0").check(t, "same address", 7, false, "")
			r.Migrate(t.Context(), "other:1", 60)
			time.Sleep(time.Second)
			call(t, n, r.addr, "").check(t, "other address", revision, true, "yR")
			if revision != 7 { // the protocol cannot distinguish the two revisions 7
				call(t, n, r.addr, "?after=7&wait_ms=0").check(t, "caller with the old list", revision, true, "yR")
			}
		})
	}
}

// A relay that restarts with another discovery address must not continue from the list that it stored: the revisions of
// the new service are unrelated. It once mixed both lists, and its agents sent to servers that had been drained.
func TestRestartAtOtherUpstream(t *testing.T) {
	for _, revision := range []uint64{3, 7, 100} {
		for _, moved := range []bool{false, true} { // by Migrate, before the restart
			t.Run(fmt.Sprintf("revision %d, moved before %v", revision, moved), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n, state := newNetwork(), t.TempDir()
					newUpstream(t, n, 7, member("x", "Ready", 0), member("y", "Ready", 0))
					other := &upstream{Store: newUpstream(t, newNetwork(), 1, member("y", "Ready", 0), member("z", "Ready", 0)).Store, net: n, addr: "other:1"}
					other.apply(revision, member("y", "Terminating", 0))
					other.up()
					t.Cleanup(other.down)
					r := startRelay(t, n, "relay:1", state)
					time.Sleep(time.Second)
					if moved {
						r.Migrate(t.Context(), other.addr, 60)
						time.Sleep(time.Second)
					}
					r.stop() // stores the last list
					r = startRelayAt(t, n, "relay:1", other.addr, state)
					time.Sleep(time.Second)
					call(t, n, r.addr, "").check(t, "the full list", revision, true, "yT zR")
					r.stop()
					r = startRelay(t, n, "relay:1", state)
					time.Sleep(time.Second)
					call(t, n, r.addr, "").check(t, "back at the first service", 7, true, "xR yR")
				})
			})
		}
	}
}

// At shutdown, a relay must reject waiting calls immediately, accept no more connections and store its list.
func TestShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, state := newNetwork(), t.TempDir()
		a := newUpstream(t, n, 7, member("x", "Ready", 0))
		r := startRelay(t, n, "relay:1", state)
		time.Sleep(time.Second)
		var waiting sync.WaitGroup
		for range 20 {
			waiting.Go(func() {
				if got := call(t, n, r.addr, "?after=8&wait_ms=20000"); got.status == http.StatusOK {
					t.Errorf("waiting watch: got %+v, want a rejection", got)
				}
			})
		}
		a.apply(8, member("x", "Terminating", 0))
		time.Sleep(time.Second)
		began := time.Now()
		r.stop()
		waiting.Wait()
		if took := time.Since(began); took > shutdownGrace {
			t.Errorf("shutdown: got %v, want at most %v", took, shutdownGrace)
		}
		if got := call(t, n, r.addr, ""); got.status != 0 {
			t.Errorf("call after the shutdown: got %+v, want no response", got)
		}
		if l, err := (listFile{dir: state}).load(); err != nil || *l.Revision != 8 {
			t.Errorf("stored list: got %+v, error %v, want revision 8", l, err)
		}
	})
}

// The list must be stored when it has changed, but at most once per saveInterval.
func TestSaveInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, state := newNetwork(), t.TempDir()
		a := newUpstream(t, n, 1, member("x", "Ready", 0))
		startRelay(t, n, "relay:1", state)
		stored := map[uint64]bool{}
		for revision := uint64(2); revision <= 600; revision++ {
			a.apply(revision, member("x", "Ready", int(revision)))
			time.Sleep(100 * time.Millisecond)
			if l, err := (listFile{dir: state}).load(); err == nil {
				stored[*l.Revision] = true
			}
		}
		if n := len(stored); n < 10 || n > 14 {
			t.Errorf("lists stored in a minute: got %d, want 10 to 14", n)
		}
		time.Sleep(saveInterval)
		if l, err := (listFile{dir: state}).load(); err != nil || *l.Revision != 600 {
			t.Errorf("stored list: got %+v, error %v, want revision 600", l, err)
		}
	})
}

// Calls beyond MaxCallers must be rejected immediately.
func TestMaxCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		newUpstream(t, n, 7, member("x", "Ready", 0))
		r := startRelay(t, n, "relay:1", t.TempDir())
		r.options.MaxCallers = 3 // before the first call
		time.Sleep(time.Second)
		var waiting sync.WaitGroup
		for range 3 {
			waiting.Go(func() { call(t, n, r.addr, "?after=7&wait_ms=1000").check(t, "watch", 7, false, "") })
		}
		time.Sleep(100 * time.Millisecond)
		if got := call(t, n, r.addr, "?after=7&wait_ms=1000"); got.status != http.StatusServiceUnavailable || got.took > 0 {
			t.Errorf("fourth call: got %+v, want an immediate 503", got)
		}
		waiting.Wait()
		call(t, n, r.addr, "").check(t, "call after the watches", 7, true, "xR")
	})
}

// recorder is an http.ResponseWriter that records the addresses of the data written to it.
type recorder struct {
	header http.Header
	at     []*byte
	n      int
}

func (r *recorder) Header() http.Header { return r.header }
func (r *recorder) WriteHeader(int)     {}
func (r *recorder) Flush()              {}
func (r *recorder) Write(text []byte) (int, error) {
	r.at = append(r.at, unsafe.SliceData(text))
	r.n += len(text)
	return len(text), nil
}

// A change must be encoded once for all waiting callers, not once per caller.
func TestCallersShareEncodings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers = 830
		n := newNetwork()
		var members []discovery.Member
		for i := range callers {
			members = append(members, member(fmt.Sprint("s", i), "Ready", 0))
		}
		a := newUpstream(t, n, 7, members...)
		r := startRelay(t, n, "relay:1", t.TempDir())
		time.Sleep(time.Second)
		h := r.Handler(0)
		recorders := make([]*recorder, callers)
		var waiting sync.WaitGroup
		for i := range recorders {
			recorders[i] = &recorder{header: http.Header{}}
			waiting.Go(func() {
				h.ServeHTTP(recorders[i], httptest.NewRequest("GET", "/discovery/hosts?after=7&wait_ms=20000", nil))
			})
		}
		time.Sleep(time.Second)
		a.apply(8, members[3], members[4])
		waiting.Wait()
		for i, c := range recorders {
			if len(c.at) != 1 || c.at[0] != recorders[0].at[0] || c.n != recorders[0].n || c.n == 0 {
				t.Fatalf("caller %d: got %d bytes in %d writes, want one write of the same memory as for caller 0", i, c.n, len(c.at))
			}
		}
	})
}

// The constants must be consistent: a caller that is ahead or waits for its full list must get a response before its
// timeout, and after a relay becomes stale there must be time to get the missed changes elsewhere.
func TestBounds(t *testing.T) {
	for what, ok := range map[string]bool{
		"two upstream watches fit into aheadWait":                         2*upstreamWatchWait < aheadWait,
		"aheadWait fits into the timeout of a call":                       aheadWait < discovery.RelayTimeout,
		"aheadWait and maxQueueDelay fit into the timeout of a full list": aheadWait+maxQueueDelay < discovery.RelayFullListTimeout,
		"three upstream watches with backoff fit into staleAfter":         3*(upstreamWatchWait+maxUpstreamBackoff) < staleAfter,
		"staleAfter is at most a third of the notification bound":         staleAfter <= balancer.NotifyBoundAfterFailure/3,
	} {
		if !ok {
			t.Errorf("not true: %s", what)
		}
	}
}
