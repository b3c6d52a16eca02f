package simagent

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/config"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/membership"
	"example.org/ryeloft/internal/settings"
)

// mostOpen is how many requests an agent has open at once at most; one more is refused, as where an agent's sockets are
// all in use.
const mostOpen = 2048

// agent is one hollow agent: what its loop is, without sockets towards clients and servers. All but its life's guarded
// part is its shard's.
type agent struct {
	shard  *shard
	place  int // among the world's agents
	server *server
	roots  float64 // calls a second that begin here

	set      atomic.Pointer[settings.Settings] // the shard swaps it; the client reads it
	balancer *balancer.Balancer
	servers  *membership.Table
	targets  map[balancer.ServerID]*server
	ask      func()         // asks discovery for the list
	classOf  map[string]int // positions of the settings' classes, by name
	life     uint32         // counts its processes: what belongs to an earlier one is dropped
	up       bool
	ready    bool // a list has come
	served   bool // it was ready in this life or an earlier one: its application calls it
	fresh    bool // and it is no old one
	revision uint64
	now      time.Duration // never runs backwards
	requests map[balancer.RequestID]*call
	lastID   balancer.RequestID
	control  bool // what is handled now is control's
	events   []balancer.Event
	actions  []balancer.Action
	held     []held // what it heard of lists since the measured part began

	process sync.Mutex // guards what follows: one start, stop or reload at a time
	cfg     *config.Config
	conf    int // revision of its configuration
	running *life
}

// held says that a list's revision was in force from some time on.
type held struct {
	revision uint64
	at       int64 // Unix ns
}

// begin makes the agent a new process, which knows what its configuration says. The shard calls it.
func (a *agent) begin(cfg *config.Config, decisions *balancer.Balancer, ask func()) {
	a.end()
	a.balancer, a.ask, a.up = decisions, ask, true
	a.set.Store(&cfg.Settings)
	a.servers, a.targets = membership.New(nil), map[balancer.ServerID]*server{}
	a.requests, a.lastID = map[balancer.RequestID]*call{}, 0
	a.know(&cfg.Settings)
	if a.roots > 0 {
		s := a.shard
		s.queue.push(event{kind: rootCall, due: s.now + s.exponential(1/a.roots), agent: a, life: a.life})
	}
}

// end drops the process and all that it had open.
func (a *agent) end() {
	a.life++
	a.up, a.ready, a.fresh = false, false, false
	open := a.requests
	a.requests = nil
	for _, c := range open {
		for n := range c.attempts {
			a.giveUp(c, n)
		}
		a.finish(c, failed)
	}
}

// know takes in the names of the settings' classes.
func (a *agent) know(set *settings.Settings) {
	a.classOf = make(map[string]int, len(set.ClassNames))
	for i, name := range set.ClassNames {
		a.classOf[name] = i
	}
}

// told hands what discovery tells to the module, as the agent's loop does.
func (a *agent) told(life uint32, n discovery.WatchEvent) {
	if life != a.life || !a.up {
		return
	}
	a.shard.cpu.forControl(func() {
		a.control = true
		ev := n.Event(a.entries(n.Members))
		a.handle(ev)
		a.control = false
		if n.Update.KeepsEndpoints() {
			return
		}
		for _, id := range a.servers.RemoveGone(n.Update, ev.Endpoints) {
			delete(a.targets, id)
		}
		a.ready = a.servers.Len() > 0 || a.ready
		a.served = a.served || a.ready
	})
	if n.Update == balancer.EndpointsReplaced || n.Update == balancer.EndpointsChanged {
		a.inForce(n.Revision)
	}
}

// inForce notes that the module has a revision of the list.
func (a *agent) inForce(revision uint64) {
	a.revision = revision
	a.held = append(a.held, held{revision, int64(a.shard.clock.Now())})
	if a.ready && !a.fresh {
		a.fresh = true
		a.shard.fleet.readied()
	}
}

// entries turns the members of a list into the module's terms and finds the modelled servers behind them.
func (a *agent) entries(members []discovery.Member) []balancer.Endpoint {
	entries := a.servers.Endpoints(a.set.Load(), members)
	for i, e := range entries {
		if e.State == balancer.Removed {
			continue
		}
		if s := a.shard.fleet.at(members[i]); s != nil {
			a.targets[e.ID] = s
		}
	}
	return entries
}

// adopt swaps the settings for others, in the module and here, or leaves all as it is, as the agent's loop does.
func (a *agent) adopt(next *settings.Settings) (err error) {
	a.shard.cpu.forControl(func() {
		if err = a.balancer.Adopt(next.Balancer); err != nil {
			return
		}
		old := a.set.Swap(next)
		a.know(next)
		if slices.Equal(old.ZoneNames, next.ZoneNames) && slices.Equal(old.KindNames, next.KindNames) || a.servers.Len() == 0 {
			return
		}
		// Danger: zones and kinds are positions in the settings' lists, and those have changed under the servers.
		a.control = true
		a.handle(balancer.Event{Kind: balancer.EventDiscovery, Update: balancer.EndpointsReplaced, Endpoints: a.entries(a.servers.Members())})
		a.control = false
	})
	return err
}

// handle hands an event to the module and carries out what it answers, and so on with the events that come of it.
func (a *agent) handle(ev balancer.Event) {
	a.events = append(a.events, ev)
	for i := 0; i < len(a.events); i++ { // act may add to them
		a.now = max(a.now, a.shard.now)
		a.actions = a.balancer.Handle(a.now, a.events[i], a.actions[:0])
		for j := range a.actions {
			a.act(&a.actions[j])
		}
	}
	a.events = a.events[:0]
}

// act carries out one action.
func (a *agent) act(act *balancer.Action) {
	c := a.requests[act.Request]
	switch act.Kind {
	case balancer.ActionSend:
		if c != nil {
			a.attempt(c, act)
		}
	case balancer.ActionReject:
		if c != nil {
			a.finish(c, refused)
		}
	case balancer.ActionFail:
		if c != nil {
			a.finish(c, failed)
		}
	case balancer.ActionCancel:
		if c != nil && act.Attempt < len(c.attempts) {
			a.giveUpSoon(c, act.Attempt)
		}
	case balancer.ActionSetTimer:
		a.shard.queue.push(event{
			kind: timer, due: a.now + act.Delay, agent: a, life: a.life, token: uint64(act.TimerID), control: a.control,
		})
	case balancer.ActionHealthCheck:
		a.probe(act.Server)
	case balancer.ActionPollEndpoints:
		a.ask()
	case balancer.ActionLog:
		a.shard.counts.Logs++ // nobody reads what so many agents say
	}
}

// timer hands a timer that fell due to the module. One that asks for the list came of a list, and is control's.
func (a *agent) timer(ev *event) {
	if ev.life != a.life || !a.up {
		return
	}
	fire := func() { a.handle(balancer.Event{Kind: balancer.EventTimer, TimerID: balancer.TimerID(ev.token)}) }
	if ev.control {
		a.shard.cpu.forControl(fire)
	} else {
		fire()
	}
}

// root makes a call at the root, if the agent and its application are there, and says when the next one comes.
func (a *agent) root(life uint32) {
	if life != a.life {
		return
	}
	s := a.shard
	s.queue.push(event{kind: rootCall, due: s.now + s.exponential(1/a.roots), agent: a, life: life})
	if a.server.state != serving || !a.served || s.now < s.fleet.rootsFrom {
		return
	}
	calls := s.fleet.world.Services[a.server.service].Calls
	if len(calls) == 0 {
		return
	}
	phase := s.phase()
	second := s.counts.begin(phase, s.now)
	a.request(request{service: pick(s.rng.Float64(), calls), phase: phase, second: second, root: true, left: math.MaxInt64})
}
