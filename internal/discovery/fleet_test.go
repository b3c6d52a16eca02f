package discovery_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/discovery/discoverytest"
	"example.org/ryeloft/internal/settings"
)

// maxServiceWait is the maxWait of most services.
const maxServiceWait = time.Second

// service is a discovery service that runs on the test's clock. It processes calls one after the other and rejects
// those that took too long, after it has processed them. A watch that continues the previous call costs it nothing.
type service struct {
	queue discoverytest.Queue

	mu                  sync.Mutex
	cost                time.Duration // of a call
	down                bool
	unreachable         bool      // connections are not established
	hangs               bool      // calls are accepted and never answered
	rejectsLate         bool      // while down, rejects calls after maxWait, like calls that time out in the queue
	rejectsUntil        time.Time // until then every rejectEvery-th call is rejected
	rejectEvery         int
	rejections          *rand.Rand // if not nil, a quarter of the calls is rejected immediately
	calls               int
	callsWithWork       int // calls that cost work
	revision            uint64
	changed             chan struct{} // closed at the next change
	broken              chan struct{} // closed when the calls now in flight break
	brokenCallsHang     bool          // broken calls hang; else they are reset
	chargesWatches      bool          // a watch after a poll of the full list costs a call of its own
	rejectsEarly        bool          // calls that would take too long are rejected on arrival; rejections cost nothing
	keepsWatches        bool          // a watch that continues the previous call is not rejected
	rejectionEndsOthers bool          // a rejection also rejects the agent's other calls
	rejectionTime       time.Duration // from the start of a call to its rejection
	maxWait             time.Duration // for queueing and work; a call that takes longer is rejected
}

func newService(cost time.Duration) *service {
	return &service{cost: cost, maxWait: maxServiceWait, revision: 1, changed: make(chan struct{}), broken: make(chan struct{})}
}

// rejectionTime is how long the operators' service takes to reject a call.
const rejectionTime = 30 * time.Millisecond

// newServiceLikeOperators returns a service that rejects calls like the operators' service (trial f50a0546).
func newServiceLikeOperators(cost time.Duration) *service {
	s := newService(cost)
	s.rejectsEarly = true
	s.keepsWatches = true
	s.rejectionEndsOthers = true
	s.rejectionTime = rejectionTime
	return s
}

// change publishes a new revision of the list.
func (s *service) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// breakCalls breaks the calls in flight: they hang or are reset.
func (s *service) breakCalls(hang bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brokenCallsHang = hang
	close(s.broken)
	s.broken = make(chan struct{})
}

// workCount returns how many calls cost the service work.
func (s *service) workCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callsWithWork
}

func (s *service) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
}

// setUnresponsive sets whether calls get no response: either they hang, or no connection is established.
func (s *service) setUnresponsive(unresponsive, hangs bool) {
	s.mu.Lock()
	s.unreachable = unresponsive && !hangs
	s.hangs = unresponsive && hangs
	s.mu.Unlock()
}

func (s *service) setCost(cost time.Duration) {
	s.mu.Lock()
	s.cost = cost
	s.mu.Unlock()
}

// rejectFor makes the service reject calls with 503 for the given time.
func (s *service) rejectFor(span time.Duration) {
	s.mu.Lock()
	s.rejectsUntil = time.Now().Add(span)
	s.rejectEvery = 1
	s.mu.Unlock()
}

// rejectQuarter makes the service immediately reject a quarter of the calls, chosen at random by a seed.
func (s *service) rejectQuarter(seed uint64) {
	s.mu.Lock()
	s.rejections = rand.New(rand.NewPCG(seed, 4))
	s.mu.Unlock()
}

// admission is how a service treats a new call.
type admission struct {
	unreachable, hangs bool
	down, rejectsLate  bool
	rejected           bool
	done               time.Time     // when the work on the call is done
	broken             chan struct{} // closed when the call breaks
}

func (s *service) admit(continues bool) admission {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	a := admission{unreachable: s.unreachable, hangs: s.hangs, down: s.down, rejectsLate: s.rejectsLate, done: now, broken: s.broken}
	a.rejected = now.Before(s.rejectsUntil) && s.calls%s.rejectEvery == 0
	if !a.rejected && s.rejections != nil {
		a.rejected = s.rejections.IntN(4) == 0
	}
	if s.rejectsEarly && s.queue.End(s.cost).Sub(now) > s.maxWait {
		a.rejected = true
	}
	if s.keepsWatches && continues {
		a.rejected = false
	}
	free := continues || s.down || s.unreachable || s.hangs || s.rejectsEarly && a.rejected
	if !free {
		s.callsWithWork++
		_, a.done = s.queue.Reserve(s.cost)
	}
	return a
}

// agentTransport is the transport of one agent to the simulated services.
type agentTransport struct {
	mu           sync.Mutex
	services     map[string]*service
	truncateNext bool          // the next response is truncated
	answered     time.Time     // when the last call was answered
	full         bool          // the last call was for the full list
	rejected     chan struct{} // closed when the next call is rejected; nil until a call waits for it
}

// continues reports whether a call continues a watch, which costs the service nothing.
func (c *agentTransport) continues(s *service, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.chargesWatches && c.full {
		return false
	}
	return now.Sub(c.answered) <= 200*time.Millisecond
}

func (c *agentTransport) setFull(full bool) {
	c.mu.Lock()
	c.full = full
	c.mu.Unlock()
}

// dialTimeout is how long an unanswered dial takes.
const dialTimeout = time.Second

// dialTimesOut simulates an unanswered dial.
func dialTimesOut(ctx context.Context) error {
	select {
	case <-time.After(dialTimeout):
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitRejected returns a channel that is closed when a call of the agent is rejected.
func (c *agentTransport) awaitRejected() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rejected == nil {
		c.rejected = make(chan struct{})
	}
	return c.rejected
}

// reject rejects a call, and the agent's other calls if the service has rejectionEndsOthers set.
func (c *agentTransport) reject(ctx context.Context, s *service) (*http.Response, error) {
	if s.rejectionTime > 0 {
		select {
		case <-time.After(s.rejectionTime):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.rejectionEndsOthers && c.rejected != nil {
		close(c.rejected)
		c.rejected = nil
	}
	return unavailable(), nil
}

func unavailable() *http.Response {
	return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}
}

func (c *agentTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	now := time.Now()
	s := c.services[r.URL.Host]
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	wait := time.Duration(ms) * time.Millisecond
	continues := c.continues(s, now)
	c.setFull(r.URL.RawQuery == "")
	a := s.admit(continues)
	switch {
	case a.unreachable:
		return nil, dialTimesOut(r.Context())
	case a.hangs:
		<-r.Context().Done()
		return nil, r.Context().Err()
	case a.down && a.rejectsLate:
		select {
		case <-time.After(s.maxWait):
			return unavailable(), nil
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	case a.down:
		return nil, errors.New("connection refused")
	case a.rejected:
		return c.reject(r.Context(), s)
	}
	end := now.Add(max(wait, time.Until(a.done)))
	if a.done.After(now) {
		select {
		case <-discoverytest.After(time.Until(a.done)):
		case <-c.awaitRejected():
			return unavailable(), nil
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
		if a.done.Sub(now) > s.maxWait {
			return unavailable(), nil
		}
	}
	return c.awaitChange(r.Context(), s, a.broken, after, wait > 0, end)
}

// awaitChange answers a poll immediately, and a watch at the next change or at its end.
func (c *agentTransport) awaitChange(
	ctx context.Context, s *service, broken chan struct{}, after uint64, watches bool, end time.Time,
) (*http.Response, error) {
	for {
		s.mu.Lock()
		revision := s.revision
		changed := s.changed
		s.mu.Unlock()
		if revision > after || !watches {
			return c.respond(revision), nil
		}
		select {
		case <-changed:
		case <-discoverytest.After(time.Until(end)):
			return c.respond(revision), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-broken:
			s.mu.Lock()
			hang := s.brokenCallsHang
			s.mu.Unlock()
			if !hang {
				return nil, io.ErrUnexpectedEOF
			}
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
}

// respond returns a list of one endpoint whose cell is the revision, by which the receiver can identify the list.
func (c *agentTransport) respond(revision uint64) *http.Response {
	c.mu.Lock()
	c.answered = time.Now()
	c.mu.Unlock()
	text := listText(int(revision), true, memberText("x", "10.0.0.1:80", "Ready", int(revision)))
	if c.takeTruncateNext() {
		text = text[:len(text)/2]
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(text)))}
}

func (c *agentTransport) takeTruncateNext() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	truncate := c.truncateNext
	c.truncateNext = false
	return truncate
}

const testSettings = `{
 "categories":[{"name":"safe","aim":20000,"deadline":30000,"credit":1,"effect":"pure"}],
 "localities":["a"],"skus":["m1"],"replicasOfMe":1,"rank":0,"discovery":"automatic","tick":5,
 "limits":{"maxAttempts":3,"connectTimeout":2000},
 "rules":{"coldFrom":0.5,"warmAfter":1000,"overloadFactor":2,"extraFloor":100,"extraWindow":1000}}`

// pollMode is the setting that selects poll mode.
const pollMode = `"discovery":"subscribe"`

// testSettingsWith returns testSettings with the given discovery mode and additional rules.
func testSettingsWith(mode, rules string) string {
	return strings.NewReplacer(`"discovery":"automatic"`, mode, `"extraFloor"`, rules+`"extraFloor"`).Replace(testSettings)
}

var discard = slog.New(slog.DiscardHandler)

func listText(revision int, complete bool, members ...string) []byte {
	return fmt.Appendf(nil, `{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(members, ","))
}

func memberText(id, addr, state string, cell int) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":"m1","cell":%d,"phase":%q,"size":1,"up_since_ms":0}`,
		id, addr, cell, state)
}

// firstRoundEndedRecord is recorded by a fleetAgent, in addition to the cells of lists, when it starts to serve.
const firstRoundEndedRecord = 1 << 40

// fleetAgent is one agent of a fleet. It follows the list and records the cells that it is notified of.
type fleetAgent struct {
	agentTransport
	*discoverytest.Agent
	migrations chan discovery.Target
}

func (f *fleetAgent) notify(ctx context.Context, event discovery.WatchEvent) {
	for _, m := range event.Members {
		f.Record(uint64(m.Cell))
	}
	f.Notify(ctx, event)
}

// startSynced starts a fleet of agents that hold revision 1 of the list. They run until the test ends.
func startSynced(t *testing.T, agents int, text string, services map[string]*service) []*fleetAgent {
	return startFleet(t, agents, text, services, listText(1, true, memberText("x", "10.0.0.1:80", "Ready", 1)), 0)
}

// startFleet starts a fleet of agents that hold a list. The seed is for their random numbers.
func startFleet(t *testing.T, agents int, text string, services map[string]*service, list []byte, seed uint64) []*fleetAgent {
	ranks := make([]int, agents)
	for i := range ranks {
		ranks[i] = i
	}
	return startRanks(t, agents, ranks, text, services, list, seed)
}

// startRanks is like startFleet, but starts only the agents of the given ranks.
func startRanks(
	t *testing.T, agents int, ranks []int, text string, services map[string]*service, list []byte, seed uint64,
) []*fleetAgent {
	known, err := discovery.Parse(list)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	t.Cleanup(func() { stop(); ended.Wait() })
	fleet := make([]*fleetAgent, len(ranks))
	for i, rank := range ranks {
		agentText := strings.Replace(text, `"replicasOfMe":1,"rank":0`, fmt.Sprintf(`"replicasOfMe":%d,"rank":%d`, agents, rank), 1)
		f := &fleetAgent{
			agentTransport: agentTransport{services: services},
			Agent:          discoverytest.NewAgent(t, []byte(agentText), seed<<32+uint64(rank)),
			migrations:     make(chan discovery.Target),
		}
		client := discovery.New(discovery.Options{
			Addr: "old", Settings: func() *settings.Settings { return &f.Settings }, Log: discard,
			Notify: func(event discovery.WatchEvent) { f.notify(ctx, event) }, OnPoll: func(discovery.PollResult) {},
		})
		client.SetTransport(f)
		client.StartFrom(known)
		f.Poll = client.Poll
		ended.Go(func() { f.Run(ctx) })
		ended.Go(func() { client.Run(ctx, f.migrations) })
		ended.Go(func() {
			select {
			case <-client.FirstRound():
				f.Record(firstRoundEndedRecord)
			case <-ctx.Done():
			}
		})
		f.notify(ctx, discovery.WatchEvent{Update: balancer.EndpointsCached, Members: known.Members})
		fleet[i] = f
	}
	return fleet
}

// maxRaceFleet is the largest fleet that is simulated under the race detector, whose runtime crashes at random with
// larger ones ("CHECK failed: tsan_rtl.cpp:346", or 282). test.sh runs those without it.
const maxRaceFleet = 6

const drainGrace = 300 * time.Millisecond // from when a change counts as notified to when sending must stop

// However calls for the list fail, each agent of a fleet must receive a drain at most drainGrace after it counts as
// notified, and the fleet's calls must not overload the service. The drain immediately follows another change, so all
// watches begin together.
func TestChangesArriveBeforeDeadline(t *testing.T) {
	for _, fleet := range []struct {
		agents          int
		maxPollInterval time.Duration // 0: push mode
	}{
		{3, 10 * time.Second}, {6, 3 * time.Second}, {60, 10 * time.Second}, {350, 10 * time.Second},
		{350, 60 * time.Second}, {3, 60 * time.Second}, {3, 0}, {350, 0},
	} {
		if testing.Short() && fleet.agents > maxRaceFleet {
			continue
		}
		mode := `"discovery":"automatic"`
		rules := `"drainGrace":300,`
		// Measured at the service on join+mass: for 300 agents it answered 170 calls per second, none later than a
		// single one; 6 agents wait 0.2 to 0.3 s for one. In push mode calls cost nothing.
		cost := min(300*time.Millisecond, 2*time.Second/time.Duration(fleet.agents))
		if fleet.maxPollInterval == 0 {
			cost = 0
		}
		if fleet.maxPollInterval > 0 {
			mode = pollMode
			rules += fmt.Sprintf(`"mustAskIn":%d,`, fleet.maxPollInterval.Milliseconds())
		}
		text := testSettingsWith(mode, rules)
		// After a failed call a change counts as notified 6 s after discovery had it and was reachable; earlier if the
		// settings require more frequent polls, and immediately in push mode if the call has ended.
		failed := min(fleet.maxPollInterval, 6*time.Second)
		for name, c := range map[string]struct {
			fail     func(*service)
			notified time.Duration // after the change
		}{
			"hanging watches": {func(s *service) { s.breakCalls(true) }, 6 * time.Second},
			"reset watches":   {func(s *service) { s.breakCalls(false) }, failed},
			"an outage": {func(s *service) { // the time counts from the end of the outage
				s.setDown(true)
				s.breakCalls(false)
				time.Sleep(8 * time.Second)
				s.setDown(false)
			}, failed},
			"an outage with late rejections": {func(s *service) {
				s.rejectsLate = true
				s.setDown(true)
				s.breakCalls(false)
				time.Sleep(8 * time.Second)
				s.setDown(false)
			}, failed},
			"a long outage with late rejections": {func(s *service) {
				s.rejectsLate = true
				s.setDown(true)
				s.breakCalls(false)
				time.Sleep(30 * time.Second)
				s.setDown(false)
			}, failed},
			"a long outage": {func(s *service) {
				s.setDown(true)
				s.breakCalls(false)
				time.Sleep(50 * time.Second)
				s.setDown(false)
			}, failed},
			"rejections": {func(s *service) {
				s.rejectFor(time.Second)
				s.breakCalls(false)
			}, failed},
		} {
			if name == "rejections" && fleet.maxPollInterval < 6*time.Second {
				continue // the remaining time is shorter than a call
			}
			if strings.HasSuffix(name, "outage with late rejections") && fleet.maxPollInterval < 6*time.Second {
				continue // likewise: a call that began before the end of the outage is rejected a second after it
			}
			t.Run(fmt.Sprintf("%s/%d agents/%v", name, fleet.agents, fleet.maxPollInterval), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newService(cost)
					all := startSynced(t, fleet.agents, text, map[string]*service{"old": s})
					time.Sleep(max(10*time.Second, fleet.maxPollInterval))
					s.change()
					time.Sleep(10 * time.Millisecond) // no new watch has ended within this time
					synctest.Wait()
					c.fail(s)
					time.Sleep(100 * time.Millisecond)
					notified := time.Now().Add(c.notified)
					s.change()
					time.Sleep(20 * time.Second)
					late := 0
					worst := time.Duration(0)
					for i, f := range all {
						received, ok := f.RecordedAt(3)
						if !ok {
							t.Fatalf("agent %d does not receive the change", i)
						}
						if delay := received.Sub(notified); delay > drainGrace {
							late++
							worst = max(worst, delay)
						}
					}
					if late > 0 {
						t.Errorf("%d of %d agents receive the change too late, up to %v after it counted as notified", late, len(all), worst)
					}
				})
			})
		}
	}
}

// A service that cannot answer all agents within the bound must be polled less often until it has answered them. Agents
// that kept to the bound would keep it busy with calls that have already timed out, and none would be answered.
func TestOverloadedServiceAnswersAllAgents(t *testing.T) {
	agents := 60
	if testing.Short() {
		agents = maxRaceFleet
	}
	text := testSettingsWith(pollMode, `"mustAskIn":10000,`)
	synctest.Test(t, func(t *testing.T) {
		s := newService(6 * time.Second / time.Duration(agents))
		all := startSynced(t, agents, text, map[string]*service{"old": s})
		s.change()
		time.Sleep(time.Minute)
		s.breakCalls(true)
		s.change()
		time.Sleep(time.Minute)
		for i, f := range all {
			if _, ok := f.RecordedAt(3); !ok {
				t.Errorf("agent %d does not receive the change", i)
			}
		}
	})
}

// A response that is truncated or malformed counts as notified when it is written, so the next call must follow
// immediately even if the agent's rank is high. If that response is unusable too, further calls are staggered by rank.
func TestTruncatedResponseIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		text := testSettingsWith(pollMode, `"mustAskIn":10000,"drainGrace":300,`)
		text = strings.Replace(text, `"replicasOfMe":1,"rank":0`, `"replicasOfMe":350,"rank":349`, 1)
		s := newService(10 * time.Millisecond)
		f := startSynced(t, 1, text, map[string]*service{"old": s})[0]
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		f.truncateNext = true
		f.mu.Unlock()
		s.change()
		time.Sleep(drainGrace)
		if _, ok := f.RecordedAt(2); !ok {
			t.Errorf("change not received %v after a truncated response", drainGrace)
		}
	})
}

// After a migration by SIGHUP the agents must stagger their polls of the new service, with time left for a retry.
func TestStaggersPollsAfterMigration(t *testing.T) {
	for _, agents := range []int{1, 6, 60} {
		if testing.Short() && agents > maxRaceFleet {
			continue
		}
		for _, rejects := range []time.Duration{0, time.Second} {
			text := testSettingsWith(pollMode, `"mustAskIn":10000,`)
			synctest.Test(t, func(t *testing.T) {
				old, next := newService(time.Millisecond), newService(min(300*time.Millisecond, 2*time.Second/time.Duration(agents)))
				next.change()
				all := startSynced(t, agents, text, map[string]*service{"old": old, "new": next})
				time.Sleep(10 * time.Second)
				next.rejectFor(rejects)
				for _, f := range all {
					f.migrations <- discovery.Target{Addr: "new"}
				}
				migrated := time.Now()
				time.Sleep(10 * time.Second)
				for i, f := range all {
					if at, ok := f.RecordedAt(2); !ok || at.Sub(migrated) > 4*time.Second {
						t.Errorf("agent %d of %d, rejected for %v: updated %v after the migration (%v), want at most 4s", i, agents, rejects, at.Sub(migrated), ok)
					}
				}
			})
		}
	}
}

// Of agents that start together without a list, such as a tenth or seven tenths of a fleet, nine in ten must have one
// within 10 s although discovery rejects every other call at first.
func TestReadyInTime(t *testing.T) {
	text := testSettingsWith(pollMode, `"mustAskIn":10000,`)
	for _, agents := range []int{3, 35, 245} {
		if testing.Short() && agents > maxRaceFleet {
			continue
		}
		synctest.Test(t, func(t *testing.T) {
			s := newService(2 * 2 * time.Second / 350) // full lists cost more than watches
			s.rejectFor(5 * time.Second)
			s.rejectEvery = 2
			start := time.Now()
			all := startFleet(t, agents, text, map[string]*service{"old": s}, listText(1, false), 0)
			time.Sleep(10 * time.Second)
			ready := 0
			for _, f := range all {
				if at, ok := f.RecordedAt(1); ok && at.Sub(start) <= 10*time.Second {
					ready++
				}
			}
			if ready < agents*9/10 {
				t.Errorf("%d of %d agents are ready, want %d", ready, agents, agents*9/10)
			}
		})
	}
}

// expectInTime simulates a fleet once per seed and checks that each agent receives the change before the end of the
// time in which it may still send to an endpoint that the change removed.
func expectInTime(t *testing.T, seeds uint64, lateness func(t *testing.T, seed uint64) []time.Duration) {
	t.Helper()
	agents, late, worst := 0, 0, time.Duration(0)
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			for _, delay := range lateness(t, seed) {
				agents++
				if delay > drainGrace {
					late++
					worst = max(worst, delay)
				}
			}
		})
	}
	if late > 0 {
		t.Errorf("%d of %d agents receive the change too late, up to %v after it counted as notified", late, agents, worst)
	}
}
