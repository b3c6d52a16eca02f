package relay

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/discovery/discoverytest"
	"example.org/ryeloft/internal/lists"
	"example.org/ryeloft/internal/settings"
)

const (
	// Work of the service per call and per member of a full list, as measured: 68 ms for a list of 830.
	callCost   = 2 * time.Millisecond
	memberCost = 80 * time.Microsecond
	// busyCall is the measured work per call when hundreds arrive at the same time.
	busyCall = 5900 * time.Microsecond
	// maxServiceWait is the longest time in the service's queue. A call that has waited longer is rejected, after its
	// work is done.
	maxServiceWait = time.Second

	// drainGrace is the time from when a drain counts as notified until no more requests may be sent to the server.
	drainGrace = 300 * time.Millisecond
	// raceFleet is the size of the largest fleet with the race detector, which cannot handle fleets of hundreds.
	raceFleet = 12
)

// queuedCalls is a limiter that processes calls one after the other on the fake clock. Continuing a watch costs
// nothing.
type queuedCalls struct {
	queue discoverytest.Queue
	call  time.Duration // work per call
}

func (q *queuedCalls) Admit(ctx context.Context, w lists.Work) (time.Duration, error) {
	work := time.Duration(0)
	if !w.Continues {
		work = q.call
	}
	if w.Complete {
		work += time.Duration(w.Entries) * memberCost
	}
	now := time.Now()
	begins, ends := q.queue.Reserve(work)
	delay := ends.Sub(now)
	select {
	case <-discoverytest.After(delay):
	case <-ctx.Done(): // the service does the work anyway
		return delay, ctx.Err()
	}
	if begins.Sub(now) > maxServiceWait {
		return delay, lists.RejectedError{Cause: "waited too long"}
	}
	return delay, nil
}

// service is the discovery service that all share. It has an address per caller, which identifies the caller.
type service struct {
	*lists.Store
	net       *network
	calls     queuedCalls
	addrs     []string
	listeners []*pipeListener
	http      *http.Server
}

func (s *service) up() {
	server := &lists.Server{Store: s.Store, Limiter: &s.calls, Log: quiet}
	s.http = server.HTTP()
	for i, addr := range s.addrs {
		l := s.net.listen(addr)
		s.listeners = append(s.listeners, l)
		go s.http.Serve(server.Listener(l, i))
	}
}

func (s *service) down() {
	if s.http == nil {
		return
	}
	s.http.Close()
	for _, l := range s.listeners {
		l.cut()
	}
	s.http = nil
	s.listeners = nil
}

const fleetSettings = `{
 "categories":[{"name":"safe","aim":20000,"deadline":30000,"credit":1,"effect":"pure"}],
 "localities":["a"],"skus":["m1"],"replicasOfMe":%d,"rank":%d,"discovery":%q,"tick":5,
 "limits":{"maxAttempts":3,"connectTimeout":2000},
 "rules":{"coldFrom":0.5,"warmAfter":1000,"overloadFactor":2,"drainGrace":300,"mustAskIn":10000,"extraFloor":100,"extraWindow":1000}}`

// fleet consists of agents, the service, and the relays between them, if there are any.
type fleet struct {
	*service
	agents []*discoverytest.Agent
	relays []*runningRelay
}

// startFleet starts the service, the relays and the agents at the same time. If known is true, the agents start with
// the service's list.
func startFleet(t *testing.T, agents, relays int, mode string, known bool, call time.Duration) *fleet {
	n := newNetwork()
	f := &fleet{service: &service{Store: lists.NewStore(100), net: n, calls: queuedCalls{call: call}}}
	var members []discovery.Member
	for i := range agents {
		members = append(members, member(fmt.Sprint("s", i), "Ready", 0))
	}
	f.Reset(1, members)
	var relayAddrs []string
	for i := range relays {
		relayAddrs = append(relayAddrs, fmt.Sprintf("relay-%d:1", i))
		f.addrs = append(f.addrs, fmt.Sprintf("service-of-relay-%d:1", i))
	}
	for i := range agents {
		f.addrs = append(f.addrs, fmt.Sprintf("service-of-%d:1", i))
	}
	f.up()
	t.Cleanup(f.down)
	for i, addr := range relayAddrs {
		f.relays = append(f.relays, startRelayAt(t, n, addr, f.addrs[i], t.TempDir()))
	}
	ctx, stop := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	t.Cleanup(func() { stop(); ended.Wait() })
	for i := range agents {
		a := discoverytest.NewAgent(t, fmt.Appendf(nil, fleetSettings, agents, i, mode), uint64(i))
		client := discovery.New(discovery.Options{
			Addr: f.addrs[relays+i], Name: fmt.Sprint("agent-", i), Relays: relayAddrs, Log: quiet, Dial: n.dial,
			Settings: func() *settings.Settings { return &a.Settings }, OnPoll: func(discovery.PollResult) {},
			Notify: func(event discovery.WatchEvent) {
				if !event.Update.KeepsEndpoints() {
					a.Record(event.Revision)
				}
				a.Notify(ctx, event)
			},
		})
		cached := discovery.WatchEvent{Update: balancer.EndpointsCached}
		if known {
			one := uint64(1)
			client.StartFrom(discovery.EndpointList{Revision: &one, Complete: true, Members: members})
			cached.Members = members
		}
		a.Poll = client.Poll
		ended.Go(func() { a.Run(ctx) })
		a.Notify(ctx, cached)
		ended.Go(func() { client.Run(ctx, nil) })
		f.agents = append(f.agents, a)
	}
	return f
}

// late returns the number of agents that did not receive a revision by the given time, and the delay of the last one,
// or an hour if one has not received it at all.
func (f *fleet) late(revision uint64, by time.Time) (late int, worst time.Duration) {
	for _, a := range f.agents {
		at, ok := a.RecordedAt(revision)
		switch {
		case !ok:
			late++
			worst = time.Hour
		case at.After(by):
			late++
			worst = max(worst, at.Sub(by))
		}
	}
	return late, worst
}

// sizes returns the fleet sizes to test: the target's, and one that the race detector can handle.
func sizes() []int {
	if testing.Short() {
		return []int{raceFleet}
	}
	return []int{raceFleet, 830}
}

// All agents start without a list, as after a total outage. With five relays, all must have one within 6 s, in both
// modes. The service alone, which needs 68 ms per full list of 830, spends its time on calls that have already timed
// out.
func TestFleetStartsWithoutAList(t *testing.T) {
	for _, agents := range sizes() {
		for _, mode := range []string{"subscribe", "automatic"} {
			for _, relays := range []int{0, 5} {
				if agents < 830 && relays == 0 {
					continue // no overload
				}
				t.Run(fmt.Sprintf("%s/%d agents/%d relays", mode, agents, relays), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						began := time.Now()
						f := startFleet(t, agents, relays, mode, false, callCost)
						time.Sleep(15 * time.Second)
						late, worst := f.late(1, began.Add(balancer.NotifyBoundAfterFailure))
						switch {
						case relays > 0 && late > 0:
							t.Errorf("got %d of %d agents without a list after %v, the last one late by %v, want none", late, agents, balancer.NotifyBoundAfterFailure, worst)
						case relays == 0 && late < agents/2:
							t.Errorf("got only %d of %d agents without a list after %v: the test does not overload the service", late, agents, balancer.NotifyBoundAfterFailure)
						}
						t.Logf("%d agents late, the last one by %v", late, worst)
						for _, r := range f.relays {
							t.Logf("%+v", r.Metrics())
						}
					})
				})
			}
		}
	}
}

// After any failure of relays or the service, each agent must receive a drain in time: 6 s after the service had it and
// was reachable, when it counts as notified, plus drainGrace. With no relay left, the service must notify all agents
// itself: 830 calls of 2 ms take 1.7 s, while at 5.9 ms they would take 4.9 s, which is too long.
func TestFleetHearsInTime(t *testing.T) {
	for _, agents := range sizes() {
		for name, c := range map[string]struct {
			fail func(*fleet)
			call time.Duration // work of the service per call
		}{
			"one relay is killed":         {func(f *fleet) { f.kill(0) }, busyCall},
			"three relays are killed":     {func(f *fleet) { f.kill(0, 1, 2) }, busyCall},
			"one stops responding":        {func(f *fleet) { f.stopResponding(0) }, busyCall},
			"three stop responding":       {func(f *fleet) { f.stopResponding(0, 1, 2) }, busyCall},
			"one loses the service":       {func(f *fleet) { f.net.kill(f.addrs[0]) }, busyCall},
			"one shuts down":              {func(f *fleet) { f.relays[0].stop() }, busyCall},
			"a short outage":              {func(f *fleet) { f.outage(time.Second) }, busyCall},
			"an outage":                   {func(f *fleet) { f.outage(8 * time.Second) }, busyCall},
			"a long outage":               {func(f *fleet) { f.outage(20 * time.Second) }, busyCall},
			"all relays are killed":       {func(f *fleet) { f.kill(0, 1, 2, 3, 4) }, callCost},
			"all relays stop responding":  {func(f *fleet) { f.stopResponding(0, 1, 2, 3, 4) }, callCost},
			"all relays lose the service": {func(f *fleet) { f.isolateRelays() }, callCost},
		} {
			t.Run(fmt.Sprintf("%s/%d agents", name, agents), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startFleet(t, agents, 5, "subscribe", true, c.call)
					time.Sleep(10 * time.Second)
					c.fail(f)
					changed := time.Now()
					if err := f.Apply(2, []discovery.Member{member("s1", "Terminating", 0)}); err != nil {
						t.Fatal(err)
					}
					time.Sleep(30 * time.Second)
					if late, worst := f.late(2, changed.Add(balancer.NotifyBoundAfterFailure+drainGrace)); late > 0 {
						t.Errorf("got %d of %d agents that received the change late, by up to %v, want none", late, agents, worst)
					}
					_, worst := f.late(2, changed)
					t.Logf("the last agent received the change after %v", worst)
				})
			})
		}
	}
}

func (f *fleet) stopResponding(relays ...int) {
	for _, i := range relays {
		f.net.stopResponding(f.relays[i].addr)
	}
}

// isolateRelays makes the service reachable for agents but not for relays.
func (f *fleet) isolateRelays() {
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
