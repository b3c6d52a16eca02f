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

// maxOpenRequests is how many requests an agent has open at most; one more is rejected, as by an agent without sockets.
const maxOpenRequests = 2048

// agent is a simulated agent: an agent's event loop without sockets towards clients and servers. It belongs to its shard,
// but for what processMu guards.
type agent struct {
	shard              *shard
	position           int // among the world's agents
	server             *server
	rootCallsPerSecond float64

	settings      atomic.Pointer[settings.Settings] // stored by the shard, loaded by the discovery client too
	balancer      *balancer.Balancer
	endpoints     *membership.Table
	serversByID   map[balancer.ServerID]*server
	pollEndpoints func()
	classIndex    map[string]int // positions of the settings' classes, by name
	incarnation   uint32         // counts its processes; what belongs to an earlier one is dropped
	isUp          bool
	hasList       bool // the process has an endpoint list, be it a cached one
	wasReady      bool // this or an earlier process had a list: the application makes calls
	synced        bool // the process has got the list from discovery
	revision      uint64
	now           time.Duration // never runs backwards
	requests      map[balancer.RequestID]*call
	lastID        balancer.RequestID
	controlPlane  bool // the event being handled is accounted to control
	events        []balancer.Event
	actions       []balancer.Action
	listTimes     []listTime // since the measured part began

	processMu      sync.Mutex // one start, stop or reload at a time; guards what follows
	config         *config.Config
	configRevision int
	process        *process
}

// listTime says since when a revision of the endpoint list has been in force.
type listTime struct {
	revision   uint64
	atUnixNano int64
}

// startProcess makes the agent a new process, which knows what its configuration says. The shard calls it.
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

// stopProcess ends the process with all that it has open. The shard calls it.
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

// onWatchEvent hands an event of the discovery client to the balancer, as a real agent's loop does.
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

// recordListInForce notes that the balancer has a revision of the list.
func (a *agent) recordListInForce(revision uint64) {
	a.revision = revision
	a.listTimes = append(a.listTimes, listTime{revision, int64(a.shard.clock.Now())})
	if a.hasList && !a.synced {
		a.synced = true
		a.shard.fleet.recordSynced()
	}
}

// resolveEndpoints translates the members of a list for the balancer and finds the modelled servers behind them.
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

// adoptSettings replaces the settings, or leaves all as it is and returns an error, as a real agent's loop does.
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
		// The balancer knows zones and kinds by their positions in the settings, which have changed for all endpoints.
		a.handleControlEvent(balancer.Event{
			Kind: balancer.EventDiscovery, Update: balancer.EndpointsReplaced, Endpoints: a.resolveEndpoints(a.endpoints.Members()),
		})
	})
	return err
}

// handleControlEvent handles an event whose timers are accounted to control as well.
func (a *agent) handleControlEvent(ev balancer.Event) {
	a.controlPlane = true
	a.handle(ev)
	a.controlPlane = false
}

// handle hands an event to the balancer and performs its actions, and so on with the events that these cause.
func (a *agent) handle(ev balancer.Event) {
	a.events = append(a.events, ev)
	for i := 0; i < len(a.events); i++ { // perform may append to it
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
		a.shard.counts.logLines++ // nobody reads the logs of so many agents
	}
}

// onTimer hands a due timer to the balancer. One that an endpoint list set polls discovery, and is accounted to control.
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

// scheduleRootCall draws when the agent's application makes its next call.
func (a *agent) scheduleRootCall() {
	due := a.shard.now + a.shard.exponential(1/a.rootCallsPerSecond)
	a.shard.queue.push(event{kind: eventRootCall, due: due, agent: a, incarnation: a.incarnation})
}

// startRootCall makes a root call, if the agent and its application are there, and schedules the next.
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
