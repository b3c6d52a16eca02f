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

// ids are the members of a list by name and state, in order.
func formatMembers(l discovery.EndpointList) string {
	var all []string
	for _, m := range l.Members {
		all = append(all, m.ID+m.State[:1])
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

// is checks a reply: its revision, whether it is the full list, and who is in it.
func (got callResult) check(t *testing.T, what string, revision uint64, complete bool, members string) {
	t.Helper()
	if got.status != http.StatusOK || *got.list.Revision != revision || got.list.Complete != complete || formatMembers(got.list) != members {
		t.Errorf("%s: %+v (%s), want revision %d, complete %v, %q", what, got, formatMembers(got.list), revision, complete, members)
	}
}

// A relay answers as its upstream does, and what changes there reaches its watches at once.
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
		got.check(t, "a watch", 9, false, "xT")
		if late := time.Since(changed); late > time.Millisecond {
			t.Errorf("the change comes %v later", late)
		}
		a.apply(10, member("y", "Gone", 0))
		time.Sleep(time.Millisecond)
		call(t, n, r.addr, "?after=7&wait_ms=0").check(t, "who is behind", 10, false, "xT yG")
		call(t, n, r.addr, "").check(t, "the full list", 10, true, "xT")
		got = call(t, n, r.addr, "?after=10&wait_ms=1500")
		got.check(t, "nothing new", 10, false, "")
		if got.took != 1500*time.Millisecond {
			t.Errorf("nothing new is answered after %v", got.took)
		}
		a.apply(11) // a revision of no changes
		time.Sleep(upstreamWatchWait)
		synctest.Wait() // the watch of upstream ends in this moment
		call(t, n, r.addr, "?after=10&wait_ms=0").check(t, "no changes", 11, false, "")
		for _, query := range []string{"?after=x", "?after=1&wait_ms=-1", "?after=1&later=1", "?after=%zz"} {
			if got := call(t, n, r.addr, query); got.status != http.StatusBadRequest {
				t.Errorf("%s: %d", query, got.status)
			}
		}
		f := r.Metrics()
		if f.Calls != 10 || f.FullLists != 2 || f.Rejected != 0 || f.Open != 0 || f.Waiting != 0 || f.Bytes < 500 || f.Staleness > upstreamWatchWait || f.Revision != 11 {
			t.Errorf("%+v", f)
		}
	})
}

// A restart needs nobody: a caller that holds the list that was stored goes on with it, and no other is answered before upstream has
// answered.
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
					t.Errorf("the full list without an answer from upstream: %+v", got)
				}
				got := call(t, n, r.addr, "?after=8&wait_ms=500")
				got.check(t, "who holds it", 8, false, "")
				if got.took != 500*time.Millisecond {
					t.Errorf("who holds it is answered after %v", got.took)
				}
				if got := call(t, n, r.addr, "?after=7&wait_ms=0"); got.status == http.StatusOK && len(got.list.Members) > 0 {
					t.Errorf("who is behind gets %s", formatMembers(got.list))
				}
				a.apply(9, member("x", "Gone", 0))
				a.up()
				time.Sleep(time.Second)
				call(t, n, r.addr, "?after=9&wait_ms=0").check(t, "then who is ahead", 9, false, "")
				call(t, n, r.addr, "").check(t, "then the full list", 9, true, "yR zR")
				if name == "stored" {
					call(t, n, r.addr, "?after=8&wait_ms=0").check(t, "then who held it", 9, false, "xG")
				} else {
					call(t, n, r.addr, "?after=8&wait_ms=0").check(t, "then who held it", 9, true, "yR zR")
				}
			})
		})
	}
}

// Upstream has lost its log and sends the full list: callers that follow this relay get the changes all the same.
func TestFullListBecomesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a := newUpstream(t, n, 7, member("x", "Ready", 0), member("y", "Ready", 0), member("z", "Ready", 0))
		r := startRelay(t, n, "relay:1", t.TempDir())
		time.Sleep(time.Second)
		a.Reset(20, []discovery.Member{member("y", "Terminating", 0), member("z", "Ready", 0), member("v", "Ready", 0)})
		time.Sleep(upstreamWatchWait)
		call(t, n, r.addr, "?after=7&wait_ms=0").check(t, "who follows", 20, false, "vR xG yT")
		call(t, n, r.addr, "?after=3&wait_ms=0").check(t, "who does not", 20, true, "vR yT zR")
	})
}

// Nobody gets an older list after a newer one. A caller that is ahead waits for an answer from upstream to a later call; if
// that is no newer, the service counts anew, and the full list follows; without one, the caller goes on by its list.
func TestNoOlderListAfterNewer(t *testing.T) {
	for name, c := range map[string]struct {
		then     func(*upstream) // 100 ms after the call has come
		query    string
		took     [2]time.Duration
		revision uint64
		complete bool
		members  string
		status   int
	}{
		"catches up to it": {
			then:  func(a *upstream) { a.apply(12, member("y", "Gone", 0)) },
			query: "?after=12&wait_ms=2000", took: [2]time.Duration{2 * time.Second, 2 * time.Second}, revision: 12,
		},
		"catches up beyond it": {
			then:  func(a *upstream) { a.apply(12, member("y", "Gone", 0)); a.apply(13, member("x", "Terminating", 0)) },
			query: "?after=12&wait_ms=2000", took: [2]time.Duration{100 * time.Millisecond, 101 * time.Millisecond}, revision: 13, members: "xT yG",
		},
		"counts anew": {
			then:  func(a *upstream) {},
			query: "?after=12&wait_ms=2000", took: [2]time.Duration{upstreamWatchWait, 2 * upstreamWatchWait}, revision: 7, complete: true, members: "xR yR",
		},
		"counts anew, no wait": {
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
		"lost for long": {
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
					a.down() // before it could answer
				}
				go func() {
					time.Sleep(100 * time.Millisecond)
					c.then(a)
				}()
				got := call(t, n, r.addr, c.query)
				if c.status != 0 {
					if got.status != c.status {
						t.Errorf("%+v, want status %d", got, c.status)
					}
				} else {
					got.check(t, name, c.revision, c.complete, c.members)
				}
				if got.took < c.took[0] || got.took > c.took[1] {
					t.Errorf("took %v, want %v to %v", got.took, c.took[0], c.took[1])
				}
				time.Sleep(100 * time.Millisecond)
			})
		})
	}
}

// A relay that has had no answer from upstream for staleAfter rejects calls, those that wait too, so that its callers fail over; once
// it has one it answers again. A call that was answered before counts from when it was made.
func TestStaleRelayRejects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a := newUpstream(t, n, 7, member("x", "Ready", 0))
		r := startRelay(t, n, "relay:1", t.TempDir())
		time.Sleep(10 * time.Second)
		lost := time.Now()
		a.down()
		time.Sleep(time.Second)
		call(t, n, r.addr, "?after=7&wait_ms=100").check(t, "soon after", 7, false, "")
		if got := call(t, n, r.addr, "?after=7&wait_ms=20000"); got.status != http.StatusServiceUnavailable || got.retryAfter != "" {
			t.Errorf("a watch: %+v", got)
		}
		if after := time.Since(lost); after > staleAfter || after < staleAfter-2*upstreamWatchWait {
			t.Errorf("the watch is rejected %v after the loss", after)
		}
		time.Sleep(upstreamWatchWait)
		for _, query := range []string{"", "?after=7&wait_ms=1000", "?after=9&wait_ms=1000", "?after=3&wait_ms=0"} {
			if got := call(t, n, r.addr, query); got.status != http.StatusServiceUnavailable || got.took > 0 || got.retryAfter != "" {
				t.Errorf("%q: %+v", query, got)
			}
		}
		if f := r.Metrics(); f.Rejected != 5 || f.Staleness < staleAfter {
			t.Errorf("%+v", f)
		}
		time.Sleep(time.Minute)
		a.apply(8, member("x", "Terminating", 0))
		a.up()
		time.Sleep(2 * maxUpstreamBackoff)
		call(t, n, r.addr, "?after=7&wait_ms=1000").check(t, "again", 8, false, "xT")
	})
}

// After a migration the revisions are another service's: the full list of the new one replaces all, lower or higher.
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
			call(t, n, r.addr, "?after=7&wait_ms=0").check(t, "no migration", 7, false, "")
			r.Migrate(t.Context(), "other:1", 60)
			time.Sleep(time.Second)
			call(t, n, r.addr, "").check(t, "a migration", revision, true, "yR")
			if revision != 7 { // which the protocol cannot tell from the other seventh
				call(t, n, r.addr, "?after=7&wait_ms=0").check(t, "who held the old list", revision, true, "yR")
			}
		})
	}
}

// At its end a relay rejects calls that wait at once, accepts no more connections and stores what it has.
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
					t.Errorf("a watch that waits: %+v", got)
				}
			})
		}
		a.apply(8, member("x", "Terminating", 0))
		time.Sleep(time.Second)
		began := time.Now()
		r.stop()
		waiting.Wait()
		if took := time.Since(began); took > shutdownGrace {
			t.Errorf("the end takes %v", took)
		}
		if got := call(t, n, r.addr, ""); got.status != 0 {
			t.Errorf("after the end: %+v", got)
		}
		if l, err := (listFile{dir: state}).load(); err != nil || *l.Revision != 8 {
			t.Errorf("stored %+v, error %v", l, err)
		}
	})
}

// The list goes to the disk when it has changed, and no more often than stated.
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
			t.Errorf("%d lists are stored in a minute", n)
		}
		time.Sleep(saveInterval)
		if l, err := (listFile{dir: state}).load(); err != nil || *l.Revision != 600 {
			t.Errorf("stored %+v, error %v", l, err)
		}
	})
}

// More callers than stated are rejected at once.
func TestMaxCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		newUpstream(t, n, 7, member("x", "Ready", 0))
		r := startRelay(t, n, "relay:1", t.TempDir())
		r.options.MaxCallers = 3 // before the first call
		time.Sleep(time.Second)
		var waiting sync.WaitGroup
		for range 3 {
			waiting.Go(func() { call(t, n, r.addr, "?after=7&wait_ms=1000").check(t, "a watch", 7, false, "") })
		}
		time.Sleep(100 * time.Millisecond)
		if got := call(t, n, r.addr, "?after=7&wait_ms=1000"); got.status != http.StatusServiceUnavailable || got.took > 0 {
			t.Errorf("a fourth: %+v", got)
		}
		waiting.Wait()
		call(t, n, r.addr, "").check(t, "then", 7, true, "xR")
	})
}

// recorder notes where the text lies that it is given.
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

// A change is encoded once for all that wait for it, however many they are.
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
				t.Fatalf("caller %d is written %d bytes in %d parts, not those of the first", i, c.n, len(c.at))
			}
		}
	})
}

// The bounds fit: who is ahead is answered within a call's time, who waits for its full list too, and what a relay that is
// stale has missed can still be had elsewhere.
func TestBounds(t *testing.T) {
	for what, ok := range map[string]bool{
		"two watches of upstream fit into the time for who is ahead": 2*upstreamWatchWait < aheadWait,
		"that fits into a call":                                          aheadWait < discovery.RelayTimeout,
		"an answer and a slot fit into a call for the full list":         aheadWait+maxQueueDelay < discovery.RelayFullListTimeout,
		"several watches and their pauses fit into the time to be stale": 3*(upstreamWatchWait+maxUpstreamBackoff) < staleAfter,
		"a stale relay leaves time for others":                           staleAfter <= balancer.NotifyBoundAfterFailure/3,
	} {
		if !ok {
			t.Errorf("not so: %s", what)
		}
	}
}
