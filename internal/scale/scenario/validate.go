package scenario

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// These are the limits of a scenario.
const (
	maxServers  = 4096
	maxServices = 1024
	maxAgents   = 4096
	maxReal     = 200
	maxDepth    = 14
	maxEvents   = 200
	maxSeconds  = 24 * 3600
	maxMS       = 600_000
	maxCount    = 1 << 20 // limit of values without a more specific one
)

// validator keeps the first error, because later ones may be consequences of it.
type validator struct{ err error }

func (v *validator) fail(field, format string, args ...any) {
	if v.err == nil {
		v.err = fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...))
	}
}

func (v *validator) intInRange(field string, value, lowest, highest int) {
	if value < lowest || value > highest {
		v.fail(field, "must be %d to %d, not %d", lowest, highest, value)
	}
}

// floatInRange accepts values from lowest to highest. It rejects NaN.
func (v *validator) floatInRange(field string, value, lowest, highest float64) {
	if !(value >= lowest && value <= highest) {
		v.fail(field, "must be %v to %v, not %v", lowest, highest, value)
	}
}

// floatAbove accepts values above bound, up to highest. It rejects NaN.
func (v *validator) floatAbove(field string, value, bound, highest float64) {
	if !(value > bound && value <= highest) {
		v.fail(field, "must be above %v and at most %v, not %v", bound, highest, value)
	}
}

// Validate returns an error that names the first invalid field or the first two inconsistent fields.
func (s *Scenario) Validate() error {
	var v validator
	if s.Name == "" || strings.ContainsAny(s.Name, "/\\ \t\r\n") {
		v.fail("name", "must be one word, not %q", s.Name)
	}
	v.floatAbove("seconds", s.Seconds, 0, maxSeconds)
	s.checkFleet(&v)
	s.checkAgent(&v)
	s.checkControl(&v)
	s.checkClasses(&v)
	s.checkBudgets(&v)
	s.checkEvents(&v)
	return v.err
}

func (s *Scenario) checkFleet(v *validator) {
	f := &s.Fleet
	v.intInRange("fleet.servers", f.Servers, 1, maxServers)
	v.intInRange("fleet.services", f.Services, 1, maxServices)
	v.intInRange("fleet.agents", f.Agents, 0, maxAgents)
	v.intInRange("fleet.real", f.Real, 0, maxReal)
	v.intInRange("fleet.depth", f.Depth, 1, maxDepth)
	if f.Services > f.Servers {
		v.fail("fleet.services", "%d services need at least as many servers, not %d (fleet.servers)", f.Services, f.Servers)
	}
	if f.Services < f.Depth+1 {
		v.fail("fleet.services", "%d services are too few for the front layer and %d layers below it (fleet.depth)", f.Services, f.Depth)
	}
	if f.Real > s.Agents() {
		v.fail("fleet.real", "%d real agents, but the fleet has only %d agents (fleet.agents)", f.Real, s.Agents())
	}
	v.floatAbove("fleet.calls_per_second", f.CallsPerSecond, 0, 1e7)
	v.intInRange("fleet.regions", f.Regions, 1, 8)
	v.intInRange("fleet.zones", f.Zones, 1, 64)
	if f.Regions > 0 && f.Zones%f.Regions != 0 {
		v.fail("fleet.zones", "%d zones cannot be divided evenly among %d regions (fleet.regions)", f.Zones, f.Regions)
	}
	v.intInRange("fleet.racks", f.Racks, 1, 256)
	v.floatInRange("fleet.uneven", f.Uneven, 0, 3)
	v.floatAbove("fleet.service_ms", f.ServiceMS, 0, maxMS)
	v.intInRange("fleet.slots", f.Slots, 1, 4096)
	v.intInRange("fleet.queue_slots", f.QueueSlots, 0, maxCount)
	v.floatInRange("fleet.network_ms", f.NetworkMS, 0, maxMS)
	v.floatInRange("fleet.cross_ms", f.CrossMS, 0, maxMS)
	v.floatInRange("fleet.region_ms", f.RegionMS, 0, maxMS)
	v.floatAbove("fleet.cold_from", f.SlowStartMinWeight, 0, 1)
	v.floatInRange("fleet.warm_s", f.SlowStartS, 0, maxSeconds)
	v.floatInRange("fleet.drain_s", f.DrainS, 0, maxSeconds)
	v.floatInRange("fleet.boot_s", f.BootS, 0, maxSeconds)
}

func (s *Scenario) checkAgent(v *validator) {
	a := &s.Agent
	v.intInRange("agent.memory_mb", a.MemoryMB, 16, maxCount)
	v.intInRange("agent.sockets", a.Sockets, 128, maxCount)
	v.intInRange("agent.max_attempts", a.MaxAttempts, 1, 100)
	v.floatInRange("agent.retry_ratio", a.RetryBudgetRatio, 0, 100)
	v.floatInRange("agent.retry_floor", a.RetryBudgetMin, 0, 1e6)
	v.floatAbove("agent.retry_window_s", a.RetryBudgetWindowS, 0, maxSeconds)
	v.floatAbove("agent.must_ask_in_s", a.MaxPollIntervalS, 0, maxSeconds)
}

func (s *Scenario) checkControl(v *validator) {
	k := &s.Control
	v.intInRange("control.machines", k.Machines, 1, 1000)
	v.floatInRange("control.call_ms", k.CallMS, 0, maxMS)
	v.floatInRange("control.line_us", k.EntryUS, 0, 1000*maxMS)
	v.intInRange("control.parallel", k.Parallel, 1, 1000)
	v.floatAbove("control.refuse_ms", k.RejectMS, 0, maxMS)
	v.intInRange("control.log", k.Log, 0, maxCount)
	v.floatInRange("control.notice_ms", k.NoticeMS, 0, maxMS)
	v.floatInRange("control.push_ms", k.PushMS, 0, maxMS)
	v.floatInRange("control.changes_day", k.ChangesDay, 0, 1e6)
	v.floatInRange("control.changes_minute", k.PerMinute, 0, 600)

	r := &s.Relays
	v.intInRange("relays.count", r.Count, 0, 16)
	if r.Count == 0 {
		if *r != (Relays{}) {
			v.fail("relays.count", "must be above 0 if other keys of relays are set")
		}
		return
	}
	v.floatAbove("relays.admit_per_s", r.FullListsPerS, 0, 1e6)
	v.floatInRange("relays.kill_at_s", r.KillAt, 0, s.Seconds)
	v.floatInRange("relays.restart_after_s", r.RestartAfter, 0, maxSeconds)
}

var idempotencies = []string{Idempotent, IdempotentWithKey, NonIdempotent}

func (s *Scenario) checkClasses(v *validator) {
	shares := 0.0
	if len(s.Classes) == 0 {
		v.fail("classes", "must not be empty")
	}
	for i, k := range s.Classes {
		prefix := fmt.Sprintf("classes[%d].", i)
		if k.Name == "" || slices.ContainsFunc(s.Classes[:i], func(o Class) bool { return o.Name == k.Name }) {
			v.fail(prefix+"name", "%q is empty or a duplicate", k.Name)
		}
		if !slices.Contains(idempotencies, k.Idempotency) {
			v.fail(prefix+"effect", "%q is not one of %s", k.Idempotency, strings.Join(idempotencies, ", "))
		}
		v.floatInRange(prefix+"share", k.Share, 0, 1)
		v.floatAbove(prefix+"aim_ms", k.LatencyObjectiveMS, 0, maxMS)
		v.floatInRange(prefix+"deadline_ms", k.DeadlineMS, k.LatencyObjectiveMS, maxMS)
		v.floatInRange(prefix+"worth", k.PriorityWeight, 0, 1e6)
		if k.Idempotency == IdempotentWithKey {
			v.floatAbove(prefix+"window_ms", k.DedupWindowMS, 0, 24*3600*1000)
		} else if k.DedupWindowMS != 0 {
			v.fail(prefix+"window_ms", "is allowed only with the effect token")
		}
		shares += k.Share
	}
	if math.Abs(shares-1) > 1e-6 {
		v.fail("classes", "the shares must add up to 1, not %v", shares)
	}
}

func (s *Scenario) checkBudgets(v *validator) {
	b := &s.Budgets
	v.floatInRange("budgets.added_p99_ms", b.AddedP99MS, 0, maxMS)
	v.floatInRange("budgets.agent_cpu_percent", b.AgentCPU, 0, 1e5)
	v.floatInRange("budgets.agent_memory_mb", b.AgentMemMB, 0, maxCount)
	v.floatInRange("budgets.agent_kb_per_s", b.AgentKBps, 0, 1e9)
	v.floatInRange("budgets.in_force_s", b.InForceS, 0, maxSeconds)
	v.floatInRange("budgets.control_machines", b.ControlBusy, 0, 1000)
	v.floatInRange("budgets.attempts_per_call", b.Attempts, 0, 1e6)
	v.intInRange("budgets.added_samples", b.AddedSamples, 0, maxCount)
}

// eventKeySet is the set of keys that an event may or must have in addition to kind and at_s.
type eventKeySet int

const (
	allowsDuration   eventKeySet = 1 << iota // for_s, which may be 0
	requiresDuration                         // for_s, above 0
	allowsCount
	allowsShare
	allowsZone
)

// eventKeys maps each kind of event to its keys.
var eventKeys = map[string]eventKeySet{
	EventConfig:      0,
	EventRestart:     allowsDuration | allowsCount,
	EventReplace:     allowsDuration | allowsCount,
	EventRelease:     allowsDuration | allowsShare,
	EventMachine:     allowsDuration | requiresDuration | allowsCount,
	EventRack:        allowsDuration | requiresDuration | allowsCount | allowsZone,
	EventZone:        allowsDuration | requiresDuration | allowsZone,
	EventRegions:     allowsDuration | requiresDuration,
	EventControlLoss: allowsDuration | requiresDuration,
	EventAgentsBack:  0,
	EventFail:        allowsDuration | requiresDuration,
}

func (s *Scenario) checkEvents(v *validator) {
	v.intInRange("events", len(s.Events), 0, maxEvents)
	for i, e := range s.Events {
		prefix := fmt.Sprintf("events[%d].", i)
		keys, known := eventKeys[e.Kind]
		if !known {
			v.fail(prefix+"kind", "%q is unknown", e.Kind)
		}
		v.floatInRange(prefix+"at_s", e.AtS, 0, s.Seconds)
		v.floatInRange(prefix+"for_s", e.ForS, 0, maxSeconds)
		v.floatInRange(prefix+"share", e.Share, 0, 1)
		if keys&requiresDuration != 0 && e.ForS == 0 {
			v.fail(prefix+"for_s", "must be above 0 for %s", e.Kind)
		}
		checkEventKeys(v, prefix, e, keys)
		s.checkTargets(v, prefix, e)
		if end := s.EventEnd(e); end > s.Seconds {
			v.fail(prefix+"at_s", "the event ends at %v s, after the run, which ends at %v s (seconds)", end, s.Seconds)
		}
	}
}

// checkEventKeys rejects keys that have no meaning for the event's kind.
func checkEventKeys(v *validator, prefix string, e Event, allowed eventKeySet) {
	for _, key := range []struct {
		name    string
		flag    eventKeySet
		present bool
	}{
		{"for_s", allowsDuration, e.ForS != 0},
		{"count", allowsCount, e.Count != 0},
		{"share", allowsShare, e.Share != 0},
		{"zone", allowsZone, e.Zone != 0},
	} {
		if key.present && allowed&key.flag == 0 {
			v.fail(prefix+key.name, "is not allowed for %s", e.Kind)
		}
	}
}

// checkTargets checks the targets of an event against the size of the fleet.
func (s *Scenario) checkTargets(v *validator, prefix string, e Event) {
	f := &s.Fleet
	switch e.Kind {
	case EventRestart:
		v.intInRange(prefix+"count", e.Count, 1, s.Agents())
	case EventReplace, EventMachine:
		v.intInRange(prefix+"count", e.Count, 1, f.Servers)
	case EventRelease:
		v.floatAbove(prefix+"share", e.Share, 0, 1)
	case EventRack:
		v.intInRange(prefix+"count", e.Count, 0, f.Racks-1)
		v.intInRange(prefix+"zone", e.Zone, 0, f.Zones-1)
	case EventZone:
		v.intInRange(prefix+"zone", e.Zone, 0, f.Zones-1)
	case EventRegions:
		if f.Regions < 2 {
			v.fail(prefix+"kind", "regions needs at least 2 regions, not %d (fleet.regions)", f.Regions)
		}
	}
}

// EventEnd returns the time of an event's last change, in seconds since the start of the run. If servers drain or fail,
// it is the time at which the last of them is listed again.
func (s *Scenario) EventEnd(e Event) float64 {
	end := e.AtS + e.ForS
	switch e.Kind {
	case EventReplace, EventRelease:
		end += s.Fleet.DrainS + s.Fleet.BootS + s.Control.NoticeMS/1000
	case EventMachine, EventRack, EventZone:
		end += s.Control.NoticeMS / 1000
	}
	return end
}
