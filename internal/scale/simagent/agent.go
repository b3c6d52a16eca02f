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

// maxOpenRequests is the limit of open requests per agent. An agent at the limit rejects further requests, like a real
// agent that has run out of sockets.
const maxOpenRequests = 2048

// agent is a simulated agent: an agent's event loop without sockets to clients and servers. Only its shard's goroutine
// accesses it, except for the fields that processMu guards.
type agent struct {
	shard              *shard
	position           int     // index into the world's agents
	server             *server // colocated with the agent
	rootCallsPerSecond float64

	settings      atomic.Pointer[settings.Settings] // stored by the shard, also loaded by the discovery client
	balancer      *balancer.Balancer
	endpoints     *membership.Table
	serversByID   map[balancer.ServerID]*server
	pollEndpoints func()
	classIndex    map[string]int // class indexes in the settings, by name
	incarnation   uint32         // incremented when a process starts or ends; events of earlier incarnations are dropped
	isUp          bool
	hasList       bool // the process has an endpoint list, possibly a cached one
	wasReady      bool // this or an earlier process had a list, so the application makes calls
	synced        bool // the process has received the list from discovery
	revision      uint64
	now           time.Duration // never runs backwards
	requests      map[balancer.RequestID]*call
	lastID        balancer.RequestID
	controlPlane  bool // the current event counts as control plane work
	events        []balancer.Event
	actions       []balancer.Action
	listTimes     []listTime // since the measurement period began

	processMu      sync.Mutex // serializes starts, stops and reloads; guards the fields below
	config         *config.Config
	configRevision int
	process        *process
}

// listTime records when a revision of the endpoint list came into force.
type listTime struct {
	revision   uint64
	atUnixNano int64
}

// startProcess replaces the agent's process with a new one that has the settings of cfg. The shard calls it.
func (a *agent) startProcess(cfg *config.Config, lb *balancer.Balancer, pollEndpoints func()) {
	a.stopProcess()
	a.balancer = lb
	a.pollEndpoints = pollEndpoints
	a.isUp = true
	a.settings.Store(&cfg.Settings)
	a.endpoints = membership.New(nil)
	a.serversByID = map[balancer.ServerID]*server{}
	a.requests = map[balancer.RequestID]*call{}
	a.lastID = 0
	a.indexClasses(&cfg.Settings)
	if a.rootCallsPerSecond > 0 {
		a.scheduleRootCall()
	}
}

// stopProcess ends the process and all its open requests. The shard calls it.
func (a *agent) stopProcess() {
	a.incarnation++
	a.isUp = false
	a.hasList = false
	a.synced = false
	open := a.requests
	a.requests = nil
	for _, c := range open {
		for number := range c.attempts {
			a.dropAttempt(c, number)
		}
		a.finish(c, callFailed)
	}
}

func (a *agent) indexClasses(set *settings.Settings) {
	a.classIndex = make(map[string]int, len(set.ClassNames))
	for i, name := range set.ClassNames {
		a.classIndex[name] = i
	}
}

// onWatchEvent passes an event of the discovery client to the balancer, as a real agent's event loop does.
func (a *agent) onWatchEvent(incarnation uint32, watchEvent discovery.WatchEvent) {
	if incarnation != a.incarnation || !a.isUp {
		return
	}
	a.shard.cpu.measureControl(func() {
		ev := watchEvent.Event(a.resolveEndpoints(watchEvent.Members))
		a.handleControlEvent(ev)
		if watchEvent.Update.KeepsEndpoints() {
			return
		}
		for _, id := range a.endpoints.RemoveGone(watchEvent.Update, ev.Endpoints) {
			delete(a.serversByID, id)
		}
		a.hasList = a.endpoints.Len() > 0 || a.hasList
		a.wasReady = a.wasReady || a.hasList
	})
	if watchEvent.Update == balancer.EndpointsReplaced || watchEvent.Update == balancer.EndpointsChanged {
		a.recordListInForce(watchEvent.Revision)
	}
}

// recordListInForce records that the balancer has applied a revision of the endpoint list.
func (a *agent) recordListInForce(revision uint64) {
	a.revision = revision
	a.listTimes = append(a.listTimes, listTime{revision, int64(a.shard.clock.Now())})
	if a.hasList && !a.synced {
		a.synced = true
		a.shard.fleet.recordSynced()
	}
}

// resolveEndpoints converts list members to the balancer's endpoints and looks up the modelled servers behind them.
func (a *agent) resolveEndpoints(members []discovery.Member) []balancer.Endpoint {
	endpoints := a.endpoints.Endpoints(a.settings.Load(), members)
	for i, endpoint := range endpoints {
		if endpoint.State == balancer.Removed {
			continue
		}
		if s := a.shard.fleet.serverOf(members[i]); s != nil {
			a.serversByID[endpoint.ID] = s
		}
	}
	return endpoints
}

// adoptSettings replaces the settings, as a real agent's event loop does. On an error it changes nothing.
func (a *agent) adoptSettings(next *settings.Settings) (err error) {
	a.shard.cpu.measureControl(func() {
		err = a.balancer.Adopt(next.Balancer)
		if err != nil {
			return
		}
		old := a.settings.Swap(next)
		a.indexClasses(next)
		sameNames := slices.Equal(old.ZoneNames, next.ZoneNames) && slices.Equal(old.KindNames, next.KindNames)
		if sameNames || a.endpoints.Len() == 0 {
			return
		}
		// The balancer identifies zones and kinds by their indexes in the settings. These have changed, so all
		// endpoints are replaced.
		a.handleControlEvent(balancer.Event{
			Kind: balancer.EventDiscovery, Update: balancer.EndpointsReplaced, Endpoints: a.resolveEndpoints(a.endpoints.Members()),
		})
	})
	return err
}

// handleControlEvent handles an event of the control plane. The timers it sets count as control plane work too.
func (a *agent) handleControlEvent(ev balancer.Event) {
	a.controlPlane = true
	a.handle(ev)
	a.controlPlane = false
}

// handle passes an event to the balancer and performs the resulting actions, then does the same for the events that
// these actions append.
func (a *agent) handle(ev balancer.Event) {
	a.events = append(a.events, ev)
	for i := 0; i < len(a.events); i++ { // perform may append to a.events
		a.now = max(a.now, a.shard.now)
		a.actions = a.balancer.Handle(a.now, a.events[i], a.actions[:0])
		for j := range a.actions {
			a.perform(&a.actions[j])
		}
	}
	a.events = a.events[:0]
}

func (a *agent) perform(action *balancer.Action) {
	c := a.requests[action.Request]
	switch action.Kind {
	case balancer.ActionSend:
		if c != nil {
			a.send(c, action)
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
		if c != nil && action.Attempt < len(c.attempts) {
			a.cancelAttempt(c, action.Attempt)
		}
	case balancer.ActionSetTimer:
		a.shard.queue.push(event{
			kind: eventTimer, due: a.now + action.Delay, agent: a, incarnation: a.incarnation, token: uint64(action.TimerID),
			controlPlane: a.controlPlane,
		})
	case balancer.ActionHealthCheck:
		a.healthCheck(action.Server)
	case balancer.ActionPollEndpoints:
		a.pollEndpoints()
	case balancer.ActionLog:
		a.shard.counts.logLines++ // counted but not written, because there are too many agents
	}
}

// onTimer passes a due timer to the balancer. A timer set while handling an endpoint list polls discovery and counts as
// control plane work.
func (a *agent) onTimer(ev *event) {
	if ev.incarnation != a.incarnation || !a.isUp {
		return
	}
	fire := func() { a.handle(balancer.Event{Kind: balancer.EventTimer, TimerID: balancer.TimerID(ev.token)}) }
	if ev.controlPlane {
		a.shard.cpu.measureControl(fire)
	} else {
		fire()
	}
}

// scheduleRootCall schedules the next root call of the agent's application after an exponentially distributed delay.
func (a *agent) scheduleRootCall() {
	due := a.shard.now + a.shard.exponential(1/a.rootCallsPerSecond)
	a.shard.queue.push(event{kind: eventRootCall, due: due, agent: a, incarnation: a.incarnation})
}

// startRootCall schedules the next root call and makes one, if the server is up, the application makes calls and
// Options.RootCallsFrom has passed.
func (a *agent) startRootCall(incarnation uint32) {
	if incarnation != a.incarnation {
		return
	}
	a.scheduleRootCall()
	s := a.shard
	if a.server.state != serverUp || !a.wasReady || s.now < s.fleet.rootCallsFrom {
		return
	}
	calls := s.fleet.world.Services[a.server.service].Calls
	if len(calls) == 0 {
		return
	}
	phase := s.currentPhase()
	second := s.counts.countRootCall(phase, s.now)
	a.startCall(request{
		service: pickService(s.rng.Float64(), calls), remaining: math.MaxInt64, phase: phase, second: second, root: true,
	})
}
