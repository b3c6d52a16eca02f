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
	// What the service takes for a call and for a member of a full list, as was seen: 68 ms for a list of 830.
	callCost   = 2 * time.Millisecond
	memberCost = 80 * time.Microsecond
	// busyCall is what it took for a call when hundreds came at once.
	busyCall = 5900 * time.Microsecond
	// maxServiceWait is how long a call may wait for its turn there; one that has waited longer is rejected, after its work.
	maxServiceWait = time.Second

	drainGrace = 300 * time.Millisecond // from when a change counts as notified to when nothing more may be sent
	// raceFleet is the largest fleet that is played under the race detector, which cannot hold those of hundreds.
	raceFleet = 12
)

// queuedCalls is a limiter that works through calls one after the other on the test's clock. A watch that continues is free.
type queuedCalls struct {
	queue discoverytest.Queue
	call  time.Duration // what a call costs
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
	case <-ctx.Done(): // its work is done all the same
		return delay, ctx.Err()
	}
	if begins.Sub(now) > maxServiceWait {
		return delay, lists.RejectedError{Cause: "waited too long"}
	}
	return delay, nil
}

// service is the one that all share, at an address for each caller, by which it knows who calls.
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

// fleet is agents, the relays between them and the service, if there are any, and the service.
type fleet struct {
	*service
	agents []*discoverytest.Agent
	relays []*runningRelay
}

// startFleet starts all at once. Agents that know a list hold the service's.
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

// late counts the agents that have not received a revision by a time, and says how much later the last one has.
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

// sizes are the fleets that are played: the target's, and one that the race detector can hold.
func sizes() []int {
	if testing.Short() {
		return []int{raceFleet}
	}
	return []int{raceFleet, 830}
}

// All agents start without a list, as after a loss of all. Through five relays all have one within 6 s, in both modes; the service
// alone, which takes 68 ms for each full list of 830, works for callers that have given up.
func TestFleetStartsWithoutAList(t *testing.T) {
	for _, agents := range sizes() {
		for _, mode := range []string{"subscribe", "automatic"} {
			for _, relays := range []int{0, 5} {
				if agents < 830 && relays == 0 {
					continue // no overload
				}
				t.Run(fmt.Sprintf("%s/%d agents/%d relays", mode, agents, relays), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						begun := time.Now()
						f := startFleet(t, agents, relays, mode, false, callCost)
						time.Sleep(15 * time.Second)
						late, worst := f.late(1, begun.Add(balancer.NotifyBoundAfterFailure))
						switch {
						case relays > 0 && late > 0:
							t.Errorf("%d of %d agents have no list after %v, the last one %v later", late, agents, balancer.NotifyBoundAfterFailure, worst)
						case relays == 0 && late < agents/2:
							t.Errorf("only %d of %d agents have no list after %v: the test does not show what relays are for", late, agents, balancer.NotifyBoundAfterFailure)
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

// Whatever happens to relays or the service, each agent receives a drain before it counts as notified: 6 s after the service
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
			"one falls silent":      {func(f *fleet) { f.stopResponding(0) }, busyCall},
			"three fall silent":     {func(f *fleet) { f.stopResponding(0, 1, 2) }, busyCall},
			"one loses the service": {func(f *fleet) { f.net.kill(f.addrs[0]) }, busyCall},
			"one ends":              {func(f *fleet) { f.relays[0].stop() }, busyCall},
			"a short outage":        {func(f *fleet) { f.outage(time.Second) }, busyCall},
			"an outage":             {func(f *fleet) { f.outage(8 * time.Second) }, busyCall},
			"a long outage":         {func(f *fleet) { f.outage(20 * time.Second) }, busyCall},
			"all relays are killed": {func(f *fleet) { f.kill(0, 1, 2, 3, 4) }, callCost},
			"all fall silent":       {func(f *fleet) { f.stopResponding(0, 1, 2, 3, 4) }, callCost},
			"all lose the service":  {func(f *fleet) { f.isolateRelays() }, callCost},
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
						t.Errorf("%d of %d agents receive the change too late, up to %v", late, agents, worst)
					}
					_, worst := f.late(2, changed)
					t.Logf("the last one receives it %v after the change", worst)
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

// cutOff has the service be there for agents and no relay.
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
