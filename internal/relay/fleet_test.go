package relay

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/lists"
	"example.org/ryeloft/internal/membership"
	"example.org/ryeloft/internal/settings"
)

const (
	// What the service takes for a call and for a line of a whole list, as was seen: 68 ms for a list of 830.
	callCost = 2 * time.Millisecond
	lineCost = 80 * time.Microsecond
	// busyCall is what it took for a call when hundreds came at once.
	busyCall = 5900 * time.Microsecond
	// serviceWait is how long a call may wait for its turn there; one that has waited longer is refused, after its work.
	serviceWait = time.Second

	drainGrace = 300 * time.Millisecond // from when a change counts as told to when nothing more may be sent
	// raceFleet is the largest fleet that is played under the race detector, which cannot hold those of hundreds.
	raceFleet = 12
)

// costs is a gate that works through calls one after the other on the test's clock. A watch that goes on is free.
type costs struct {
	mu   sync.Mutex
	call time.Duration
	free time.Time // when it is done with the calls that it has
}

// after is time.After, but makes no timer that is due already. Under the race detector the runtime (Go 1.26.8) crashes in
// __tsan::SlotLock when a select in simulated time finds such a timer on a processor that has run none yet (selectgo,
// maybeRunChan): it broke off relay's TestFleetHearsInTime twice in some ten runs.
func after(d time.Duration) <-chan time.Time {
	if d > 0 {
		return time.After(d)
	}
	due := make(chan time.Time)
	close(due)
	return due
}

func (c *costs) Admit(ctx context.Context, w lists.Work) (time.Duration, error) {
	work := time.Duration(0)
	if !w.Continues {
		work = c.call
	}
	if w.Complete {
		work += time.Duration(w.Entries) * lineCost
	}
	now := time.Now()
	c.mu.Lock()
	if c.free.Before(now) {
		c.free = now
	}
	begins := c.free
	c.free = begins.Add(work)
	due := c.free.Sub(now)
	c.mu.Unlock()
	select {
	case <-after(due):
	case <-ctx.Done(): // its work is done all the same
		return due, ctx.Err()
	}
	if begins.Sub(now) > serviceWait {
		return due, lists.RejectedError{Cause: "waited too long"}
	}
	return due, nil
}

// service is the one that all share, at an address for each caller, by which it knows who calls.
type service struct {
	*lists.Store
	net   *wires
	costs costs
	addrs []string
	at    []*place
	http  *http.Server
}

func (s *service) up() {
	server := &lists.Server{Store: s.Store, Limiter: &s.costs, Log: quiet}
	s.http = server.HTTP()
	for i, addr := range s.addrs {
		at := s.net.listen(addr)
		s.at = append(s.at, at)
		go s.http.Serve(server.Listener(at, i))
	}
}

func (s *service) down() {
	if s.http != nil {
		s.http.Close()
		for _, p := range s.at {
			p.cut()
		}
		s.http, s.at = nil, nil
	}
}

// agent follows the list as the real one does, with the module and without requests.
type agent struct {
	set      settings.Settings
	balancer *balancer.Balancer
	servers  *membership.Table
	news     chan discovery.WatchEvent
	ask      func()
	timers   []alarm

	mu    sync.Mutex
	heard map[uint64]time.Time // revisions, when each was told first
}

type alarm struct {
	due time.Time
	id  balancer.TimerID
}

const fleetSettings = `{
 "categories":[{"name":"safe","aim":20000,"deadline":30000,"credit":1,"effect":"pure"}],
 "localities":["a"],"skus":["m1"],"replicasOfMe":%d,"rank":%d,"discovery":%q,"tick":5,
 "limits":{"maxAttempts":3,"connectTimeout":2000},
 "rules":{"coldFrom":0.5,"warmAfter":1000,"overloadFactor":2,"drainGrace":300,"mustAskIn":10000,"extraFloor":100,"extraWindow":1000}}`

// fleet is agents, the relays between them and the service, if there are any, and the service.
type fleet struct {
	*service
	agents []*agent
	relays []*running
}

// startFleet starts all at once. Agents that know a list hold the service's.
func startFleet(t *testing.T, agents, relays int, mode string, known bool, call time.Duration) *fleet {
	w := newWires()
	f := &fleet{service: &service{Store: lists.NewStore(100), net: w, costs: costs{call: call}}}
	var members []discovery.Member
	for i := range agents {
		members = append(members, member(fmt.Sprint("s", i), "Ready", 0))
	}
	f.Reset(1, members)
	var at []string
	for i := range relays {
		at = append(at, fmt.Sprintf("relay-%d:1", i))
		f.addrs = append(f.addrs, fmt.Sprintf("service-of-relay-%d:1", i))
	}
	for i := range agents {
		f.addrs = append(f.addrs, fmt.Sprintf("service-of-%d:1", i))
	}
	f.up()
	t.Cleanup(f.down)
	for i, addr := range at {
		f.relays = append(f.relays, startRelayAt(t, w, addr, f.addrs[i], t.TempDir()))
	}
	ctx, stop := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	t.Cleanup(func() { stop(); ended.Wait() })
	for i := range agents {
		a := newAgent(t, agents, i, mode)
		d := discovery.New(discovery.Options{
			Addr: f.addrs[relays+i], Name: fmt.Sprint("agent-", i), Relays: at, Log: quiet, Dial: w.dial,
			Settings: func() *settings.Settings { return &a.set }, OnPoll: func(discovery.PollResult) {}, Notify: func(n discovery.WatchEvent) { a.told(ctx, n) },
		})
		cached := discovery.WatchEvent{Update: balancer.EndpointsCached}
		if known {
			one := uint64(1)
			d.StartFrom(discovery.EndpointList{Revision: &one, Complete: true, Members: members})
			cached.Members = members
		}
		a.ask = d.Poll
		ended.Go(func() { a.decide(ctx) })
		a.told(ctx, cached)
		ended.Go(func() { d.Run(ctx, nil) })
		f.agents = append(f.agents, a)
	}
	return f
}

func newAgent(t *testing.T, agents, rank int, mode string) *agent {
	a := &agent{servers: membership.New(nil), news: make(chan discovery.WatchEvent, 256), heard: map[uint64]time.Time{}}
	var err error
	if a.set, err = settings.Parse(fmt.Appendf(nil, fleetSettings, agents, rank, mode)); err != nil {
		t.Fatal(err)
	}
	if a.balancer, err = balancer.New(a.set.Balancer, uint64(rank)); err != nil {
		t.Fatal(err)
	}
	return a
}

func (a *agent) told(ctx context.Context, n discovery.WatchEvent) {
	if !n.Update.KeepsEndpoints() && n.Update != balancer.EndpointsCached {
		a.mu.Lock()
		if _, ok := a.heard[n.Revision]; !ok {
			a.heard[n.Revision] = time.Now()
		}
		a.mu.Unlock()
	}
	select {
	case a.news <- n:
	case <-ctx.Done():
	}
}

// decide has the module hear of the list and of its timers, and asks when it says so, until the context ends.
func (a *agent) decide(ctx context.Context) {
	for {
		var wake <-chan time.Time
		next := 0
		for i, t := range a.timers {
			if t.due.Before(a.timers[next].due) {
				next = i
			}
		}
		if len(a.timers) > 0 {
			wake = after(time.Until(a.timers[next].due))
		}
		select {
		case n := <-a.news:
			entries := a.servers.Endpoints(&a.set, n.Members)
			a.handle(n.Event(entries))
			a.servers.RemoveGone(n.Update, entries)
		case <-wake:
			id := a.timers[next].id
			a.timers = slices.Delete(a.timers, next, next+1)
			a.handle(balancer.Event{Kind: balancer.EventTimer, TimerID: id})
		case <-ctx.Done():
			return
		}
	}
}

func (a *agent) handle(ev balancer.Event) {
	for _, act := range a.balancer.Handle(time.Duration(time.Now().UnixNano()), ev, nil) {
		switch act.Kind {
		case balancer.ActionSetTimer:
			a.timers = append(a.timers, alarm{due: time.Now().Add(act.Delay), id: act.TimerID})
		case balancer.ActionPollEndpoints:
			a.ask()
		}
	}
}

// late counts the agents that have not heard a revision by a moment, and says how much later the last one has.
func (f *fleet) late(revision uint64, by time.Time) (late int, worst time.Duration) {
	for _, a := range f.agents {
		a.mu.Lock()
		at, ok := a.heard[revision]
		a.mu.Unlock()
		switch {
		case !ok:
			late, worst = late+1, time.Hour
		case at.After(by):
			late, worst = late+1, max(worst, at.Sub(by))
		}
	}
	return late, worst
}

// sizes are the fleets that are played: the target's, and one that the race detector can hold.
func sizes() []int {
	if testing.Short() {
		return []int{raceFleet}
	}
	return []int{raceFleet, 830}
}

// All agents start without a list, as after a loss of all. Through five relays all have heard within 6 s, whichever way
// lists come; the service alone, which takes 68 ms for each whole list of 830, works for callers that have given up.
func TestFleetStartsWithoutAList(t *testing.T) {
	for _, agents := range sizes() {
		for _, mode := range []string{"subscribe", "automatic"} {
			for _, relays := range []int{0, 5} {
				if agents < 830 && relays == 0 {
					continue // no jam
				}
				t.Run(fmt.Sprintf("%s/%d agents/%d relays", mode, agents, relays), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						begun := time.Now()
						f := startFleet(t, agents, relays, mode, false, callCost)
						time.Sleep(15 * time.Second)
						late, worst := f.late(1, begun.Add(balancer.NotifyBoundAfterFailure))
						switch {
						case relays > 0 && late > 0:
							t.Errorf("%d of %d agents have heard nothing after %v, the last one %v later", late, agents, balancer.NotifyBoundAfterFailure, worst)
						case relays == 0 && late < agents/2:
							t.Errorf("only %d of %d agents have heard nothing after %v: the test does not show what relays are for", late, agents, balancer.NotifyBoundAfterFailure)
						}
						t.Logf("%d late, the last one by %v", late, worst)
						for _, r := range f.relays {
							t.Logf("%+v", r.Metrics())
						}
					})
				})
			}
		}
	}
}

// Whatever happens to relays or the service, each agent hears of a drain before it counts as told: 6 s after the service
// had it and could be reached, and drainGrace. With no relay left that is for the service alone to do: 830 calls of 2 ms
// are 1.7 s of its work; at 5.9 ms they would be 4.9 s, which is more than there is time for.
func TestFleetHearsInTime(t *testing.T) {
	for _, agents := range sizes() {
		for name, c := range map[string]struct {
			happens func(*fleet)
			call    time.Duration // what a call costs the service
		}{
			"one relay is killed":   {func(f *fleet) { f.kill(0) }, busyCall},
			"three are killed":      {func(f *fleet) { f.kill(0, 1, 2) }, busyCall},
			"one falls silent":      {func(f *fleet) { f.hush(0) }, busyCall},
			"three fall silent":     {func(f *fleet) { f.hush(0, 1, 2) }, busyCall},
			"one loses the service": {func(f *fleet) { f.net.kill(f.addrs[0]) }, busyCall},
			"one ends":              {func(f *fleet) { f.relays[0].stop() }, busyCall},
			"a short outage":        {func(f *fleet) { f.outage(time.Second) }, busyCall},
			"an outage":             {func(f *fleet) { f.outage(8 * time.Second) }, busyCall},
			"a long outage":         {func(f *fleet) { f.outage(20 * time.Second) }, busyCall},
			"all relays are killed": {func(f *fleet) { f.kill(0, 1, 2, 3, 4) }, callCost},
			"all fall silent":       {func(f *fleet) { f.hush(0, 1, 2, 3, 4) }, callCost},
			"all lose the service":  {func(f *fleet) { f.cutOff() }, callCost},
		} {
			t.Run(fmt.Sprintf("%s/%d agents", name, agents), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startFleet(t, agents, 5, "subscribe", true, c.call)
					time.Sleep(10 * time.Second)
					c.happens(f)
					changed := time.Now()
					if err := f.Apply(2, []discovery.Member{member("s1", "Terminating", 0)}); err != nil {
						t.Fatal(err)
					}
					time.Sleep(30 * time.Second)
					if late, worst := f.late(2, changed.Add(balancer.NotifyBoundAfterFailure+drainGrace)); late > 0 {
						t.Errorf("%d of %d agents hear too late, up to %v", late, agents, worst)
					}
					_, worst := f.late(2, changed)
					t.Logf("the last one hears %v after the change", worst)
				})
			})
		}
	}
}

func (f *fleet) hush(relays ...int) {
	for _, i := range relays {
		f.net.hush(f.relays[i].addr)
	}
}

// cutOff has the service be there for agents and no relay.
func (f *fleet) cutOff() {
	for i := range f.relays {
		f.net.kill(f.addrs[i])
	}
}

func (f *fleet) outage(span time.Duration) {
	f.down()
	time.Sleep(span)
	f.up()
}

func (f *fleet) kill(relays ...int) {
	for _, i := range relays {
		f.net.kill(f.relays[i].addr)
	}
}
