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

// maxOpenRequests is how many requests an agent has open at once at most; one more is refused, as where an agent's sockets are
// all in use.
const maxOpenRequests = 2048

// agent is one hollow agent: what its loop is, without sockets towards clients and servers. All but its life's guarded
// part is its shard's.
type agent struct {
	shard              *shard
	position           int // among the world's agents
	server             *server
	rootCallsPerSecond float64 // calls a second that begin here

	settings      atomic.Pointer[settings.Settings] // the shard swaps it; the client reads it
	balancer      *balancer.Balancer
	endpoints     *membership.Table
	serversByID   map[balancer.ServerID]*server
	pollEndpoints func()         // asks discovery for the list
	classIndex    map[string]int // positions of the settings' classes, by name
	incarnation   uint32         // counts its processes: what belongs to an earlier one is dropped
	isUp          bool
	hasList       bool // a list has come
	wasReady      bool // it was ready in this life or an earlier one: its application calls it
	synced        bool // and it is no old one
	revision      uint64
	now           time.Duration // never runs backwards
	requests      map[balancer.RequestID]*call
	lastID        balancer.RequestID
	forControl    bool // what is handled now is control's
	events        []balancer.Event
	actions       []balancer.Action
	listTimes     []listTime // what it heard of lists since the measured part began

	processMu      sync.Mutex // guards what follows: one start, stop or reload at a time
	cfg            *config.Config
	configRevision int // revision of its configuration
	process        *process
}

// listTime says that a list's revision was in force from some time on.
type listTime struct {
	revision   uint64
	atUnixNano int64 // Unix ns
}

// startProcess makes the agent a new process, which knows what its configuration says. The shard calls it.
func (a *agent) startProcess(cfg *config.Config, decisions *balancer.Balancer, ask func()) {
	a.stopProcess()
	a.balancer, a.pollEndpoints, a.isUp = decisions, ask, true
	a.settings.Store(&cfg.Settings)
	a.endpoints, a.serversByID = membership.New(nil), map[balancer.ServerID]*server{}
	a.requests, a.lastID = map[balancer.RequestID]*call{}, 0
	a.indexClasses(&cfg.Settings)
	if a.rootCallsPerSecond > 0 {
		s := a.shard
		s.queue.push(event{kind: eventRootCall, due: s.now + s.exponential(1/a.rootCallsPerSecond), agent: a, incarnation: a.incarnation})
	}
}

// stopProcess drops the process and all that it had open.
func (a *agent) stopProcess() {
	a.incarnation++
	a.isUp, a.hasList, a.synced = false, false, false
	open := a.requests
	a.requests = nil
	for _, c := range open {
		for n := range c.attempts {
			a.dropAttempt(c, n)
		}
		a.finish(c, callFailed)
	}
}

// indexClasses takes in the names of the settings' classes.
func (a *agent) indexClasses(set *settings.Settings) {
	a.classIndex = make(map[string]int, len(set.ClassNames))
	for i, name := range set.ClassNames {
		a.classIndex[name] = i
	}
}

// onWatchEvent hands what discovery tells to the module, as the agent's loop does.
func (a *agent) onWatchEvent(life uint32, n discovery.WatchEvent) {
	if life != a.incarnation || !a.isUp {
		return
	}
	a.shard.cpu.measureControl(func() {
		a.forControl = true
		ev := n.Event(a.resolveEndpoints(n.Members))
		a.handle(ev)
		a.forControl = false
		if n.Update.KeepsEndpoints() {
			return
		}
		for _, id := range a.endpoints.RemoveGone(n.Update, ev.Endpoints) {
			delete(a.serversByID, id)
		}
		a.hasList = a.endpoints.Len() > 0 || a.hasList
		a.wasReady = a.wasReady || a.hasList
	})
	if n.Update == balancer.EndpointsReplaced || n.Update == balancer.EndpointsChanged {
		a.recordListInForce(n.Revision)
	}
}

// recordListInForce notes that the module has a revision of the list.
func (a *agent) recordListInForce(revision uint64) {
	a.revision = revision
	a.listTimes = append(a.listTimes, listTime{revision, int64(a.shard.clock.Now())})
	if a.hasList && !a.synced {
		a.synced = true
		a.shard.fleet.noteSynced()
	}
}

// resolveEndpoints turns the members of a list into the module's terms and finds the modelled servers behind them.
func (a *agent) resolveEndpoints(members []discovery.Member) []balancer.Endpoint {
	entries := a.endpoints.Endpoints(a.settings.Load(), members)
	for i, e := range entries {
		if e.State == balancer.Removed {
			continue
		}
		if s := a.shard.fleet.serverOf(members[i]); s != nil {
			a.serversByID[e.ID] = s
		}
	}
	return entries
}

// adoptSettings swaps the settings for others, in the module and here, or leaves all as it is, as the agent's loop does.
func (a *agent) adoptSettings(next *settings.Settings) (err error) {
	a.shard.cpu.measureControl(func() {
		if err = a.balancer.Adopt(next.Balancer); err != nil {
			return
		}
		old := a.settings.Swap(next)
		a.indexClasses(next)
		if slices.Equal(old.ZoneNames, next.ZoneNames) && slices.Equal(old.KindNames, next.KindNames) || a.endpoints.Len() == 0 {
			return
		}
		// Danger: zones and kinds are positions in the settings' lists, and those have changed under the servers.
		a.forControl = true
		a.handle(balancer.Event{Kind: balancer.EventDiscovery, Update: balancer.EndpointsReplaced, Endpoints: a.resolveEndpoints(a.endpoints.Members())})
		a.forControl = false
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
			a.perform(&a.actions[j])
		}
	}
	a.events = a.events[:0]
}

// perform carries out one action.
func (a *agent) perform(act *balancer.Action) {
	c := a.requests[act.Request]
	switch act.Kind {
	case balancer.ActionSend:
		if c != nil {
			a.send(c, act)
		}
	case balancer.ActionReject:
		if c != nil {
			a.finish(c, callRejected)
		}
	case balancer.ActionFail:
		if c != nil {
			a.finish(c, callFailed)
		}
	case balancer.ActionCancel:
		if c != nil && act.Attempt < len(c.attempts) {
			a.cancelAttempt(c, act.Attempt)
		}
	case balancer.ActionSetTimer:
		a.shard.queue.push(event{
			kind: eventTimer, due: a.now + act.Delay, agent: a, incarnation: a.incarnation, token: uint64(act.TimerID), forControl: a.forControl,
		})
	case balancer.ActionHealthCheck:
		a.healthCheck(act.Server)
	case balancer.ActionPollEndpoints:
		a.pollEndpoints()
	case balancer.ActionLog:
		a.shard.counts.logLines++ // nobody reads what so many agents say
	}
}

// onTimer hands a timer that fell due to the module. One that asks for the list came of a list, and is control's.
func (a *agent) onTimer(ev *event) {
	if ev.incarnation != a.incarnation || !a.isUp {
		return
	}
	fire := func() { a.handle(balancer.Event{Kind: balancer.EventTimer, TimerID: balancer.TimerID(ev.token)}) }
	if ev.forControl {
		a.shard.cpu.measureControl(fire)
	} else {
		fire()
	}
}

// startRootCall makes a call at the root, if the agent and its application are there, and says when the next one comes.
func (a *agent) startRootCall(life uint32) {
	if life != a.incarnation {
		return
	}
	s := a.shard
	s.queue.push(event{kind: eventRootCall, due: s.now + s.exponential(1/a.rootCallsPerSecond), agent: a, incarnation: life})
	if a.server.state != serverUp || !a.wasReady || s.now < s.fleet.rootCallsFrom {
		return
	}
	calls := s.fleet.world.Services[a.server.service].Calls
	if len(calls) == 0 {
		return
	}
	phase := s.phase()
	second := s.counts.countRootCall(phase, s.now)
	a.startCall(request{service: pickService(s.rng.Float64(), calls), phase: phase, second: second, root: true, remaining: math.MaxInt64})
}
