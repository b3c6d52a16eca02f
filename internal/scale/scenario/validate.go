package scenario

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// The largest fleet that can be played.
const (
	maxServers  = 4096
	maxServices = 1024
	maxAgents   = 4096
	maxReal     = 200
	maxDepth    = 14
	maxEvents   = 200
	maxSeconds  = 24 * 3600
	maxMS       = 600_000
	maxCount    = 1 << 20 // of what has no bound of its own
)

// validator keeps the first error: what follows from it would only hide it.
type validator struct{ err error }

func (c *validator) fail(field, format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...))
	}
}

func (c *validator) intInRange(field string, v, least, most int) {
	if v < least || v > most {
		c.fail(field, "must be %d to %d, not %d", least, most, v)
	}
}

// floatInRange lets through what lies between the bounds, which NaN never does.
func (c *validator) floatInRange(field string, v, least, most float64) {
	if !(v >= least && v <= most) {
		c.fail(field, "must be %v to %v, not %v", least, most, v)
	}
}

// floatAbove is number without the lower bound itself.
func (c *validator) floatAbove(field string, v, bound, most float64) {
	if !(v > bound && v <= most) {
		c.fail(field, "must be above %v and at most %v, not %v", bound, most, v)
	}
}

// Validate names the first field that cannot be used, or two that do not go together.
func (s *Scenario) Validate() error {
	var c validator
	if s.Name == "" || strings.ContainsAny(s.Name, "/\\ \t\r\n") {
		c.fail("name", "must be one word, not %q", s.Name)
	}
	c.floatAbove("seconds", s.Seconds, 0, maxSeconds)
	s.checkFleet(&c)
	s.checkAgent(&c)
	s.checkControl(&c)
	s.checkClasses(&c)
	s.checkBudgets(&c)
	s.checkEvents(&c)
	return c.err
}

func (s *Scenario) checkFleet(c *validator) {
	f := &s.Fleet
	c.intInRange("fleet.servers", f.Servers, 1, maxServers)
	c.intInRange("fleet.services", f.Services, 1, maxServices)
	c.intInRange("fleet.agents", f.Agents, 0, maxAgents)
	c.intInRange("fleet.real", f.Real, 0, maxReal)
	c.intInRange("fleet.depth", f.Depth, 1, maxDepth)
	if f.Services > f.Servers {
		c.fail("fleet.services", "%d services cannot have a server each of %d (fleet.servers)", f.Services, f.Servers)
	}
	if f.Services < f.Depth+1 {
		c.fail("fleet.services", "%d services cannot fill the front and %d layers behind it (fleet.depth)", f.Services, f.Depth)
	}
	if f.Real > s.Agents() {
		c.fail("fleet.real", "%d of %d agents (fleet.agents) cannot be real", f.Real, s.Agents())
	}
	c.floatAbove("fleet.calls_per_second", f.CallsPerSecond, 0, 1e7)
	c.intInRange("fleet.regions", f.Regions, 1, 8)
	c.intInRange("fleet.zones", f.Zones, 1, 64)
	if f.Regions > 0 && f.Zones%f.Regions != 0 {
		c.fail("fleet.zones", "%d zones cannot be shared out evenly among %d regions (fleet.regions)", f.Zones, f.Regions)
	}
	c.intInRange("fleet.racks", f.Racks, 1, 256)
	c.floatInRange("fleet.uneven", f.Uneven, 0, 3)
	c.floatAbove("fleet.service_ms", f.ServiceMS, 0, maxMS)
	c.intInRange("fleet.slots", f.Slots, 1, 4096)
	c.intInRange("fleet.queue_slots", f.QueueSlots, 0, maxCount)
	c.floatInRange("fleet.network_ms", f.NetworkMS, 0, maxMS)
	c.floatInRange("fleet.cross_ms", f.CrossMS, 0, maxMS)
	c.floatInRange("fleet.region_ms", f.RegionMS, 0, maxMS)
	c.floatAbove("fleet.cold_from", f.ColdFrom, 0, 1)
	c.floatInRange("fleet.warm_s", f.WarmS, 0, maxSeconds)
	c.floatInRange("fleet.drain_s", f.DrainS, 0, maxSeconds)
	c.floatInRange("fleet.boot_s", f.BootS, 0, maxSeconds)
}

func (s *Scenario) checkAgent(c *validator) {
	a := &s.Agent
	c.intInRange("agent.memory_mb", a.MemoryMB, 16, maxCount)
	c.intInRange("agent.sockets", a.Sockets, 128, maxCount)
	c.intInRange("agent.max_attempts", a.MaxAttempts, 1, 100)
	c.floatInRange("agent.retry_ratio", a.RetryRatio, 0, 100)
	c.floatInRange("agent.retry_floor", a.RetryFloor, 0, 1e6)
	c.floatAbove("agent.retry_window_s", a.RetryWindow, 0, maxSeconds)
	c.floatAbove("agent.must_ask_in_s", a.MustAskInS, 0, maxSeconds)
}

func (s *Scenario) checkControl(c *validator) {
	k := &s.Control
	c.intInRange("control.machines", k.Machines, 1, 1000)
	c.floatInRange("control.call_ms", k.CallMS, 0, maxMS)
	c.floatInRange("control.line_us", k.LineUS, 0, 1000*maxMS)
	c.intInRange("control.parallel", k.Parallel, 1, 1000)
	c.floatAbove("control.refuse_ms", k.RefuseMS, 0, maxMS)
	c.intInRange("control.log", k.Log, 0, maxCount)
	c.floatInRange("control.notice_ms", k.NoticeMS, 0, maxMS)
	c.floatInRange("control.push_ms", k.PushMS, 0, maxMS)
	c.floatInRange("control.changes_day", k.ChangesDay, 0, 1e6)
	c.floatInRange("control.changes_minute", k.PerMinute, 0, 600)

	r := &s.Relays
	c.intInRange("relays.count", r.Count, 0, 16)
	if r.Count == 0 {
		if *r != (Relays{}) {
			c.fail("relays.count", "is 0, so that the other keys of relays mean nothing")
		}
		return
	}
	c.floatAbove("relays.admit_per_s", r.AdmitPerS, 0, 1e6)
	c.floatInRange("relays.kill_at_s", r.KillAt, 0, s.Seconds)
	c.floatInRange("relays.restart_after_s", r.RestartAfter, 0, maxSeconds)
}

var idempotencies = []string{"pure", "token", "side_effect"}

func (s *Scenario) checkClasses(c *validator) {
	shares := 0.0
	if len(s.Classes) == 0 {
		c.fail("classes", "there is none")
	}
	for i, k := range s.Classes {
		at := fmt.Sprintf("classes[%d].", i)
		if k.Name == "" || slices.ContainsFunc(s.Classes[:i], func(o Class) bool { return o.Name == k.Name }) {
			c.fail(at+"name", "%q is empty or taken", k.Name)
		}
		if !slices.Contains(idempotencies, k.Effect) {
			c.fail(at+"effect", "%q is none of %s", k.Effect, strings.Join(idempotencies, ", "))
		}
		c.floatInRange(at+"share", k.Share, 0, 1)
		c.floatAbove(at+"aim_ms", k.AimMS, 0, maxMS)
		c.floatInRange(at+"deadline_ms", k.DeadlineMS, k.AimMS, maxMS)
		c.floatInRange(at+"worth", k.Worth, 0, 1e6)
		if k.Effect == "token" {
			c.floatAbove(at+"window_ms", k.WindowMS, 0, 24*3600*1000)
		} else if k.WindowMS != 0 {
			c.fail(at+"window_ms", "only the effect token has one")
		}
		shares += k.Share
	}
	if math.Abs(shares-1) > 1e-6 {
		c.fail("classes", "the shares must make 1, not %v", shares)
	}
}

func (s *Scenario) checkBudgets(c *validator) {
	b := &s.Budgets
	c.floatInRange("budgets.added_p99_ms", b.AddedP99MS, 0, maxMS)
	c.floatInRange("budgets.agent_cpu_percent", b.AgentCPU, 0, 1e5)
	c.floatInRange("budgets.agent_memory_mb", b.AgentMemMB, 0, maxCount)
	c.floatInRange("budgets.agent_kb_per_s", b.AgentKBps, 0, 1e9)
	c.floatInRange("budgets.in_force_s", b.InForceS, 0, maxSeconds)
	c.floatInRange("budgets.control_machines", b.ControlBusy, 0, 1000)
	c.floatInRange("budgets.attempts_per_call", b.Attempts, 0, 1e6)
	c.intInRange("budgets.added_samples", b.AddedSamples, 0, maxCount)
}

// The keys of an event beside kind and at_s.
const (
	allowsDuration   = 1 << iota // for_s, which may be 0
	requiresDuration             // for_s, above 0
	allowsCount
	allowsShare
	allowsZone
)

var eventKeys = map[string]int{
	"config":       0,
	"restart":      allowsDuration | allowsCount,
	"replace":      allowsDuration | allowsCount,
	"release":      allowsDuration | allowsShare,
	"machine":      allowsDuration | requiresDuration | allowsCount,
	"rack":         allowsDuration | requiresDuration | allowsCount | allowsZone,
	"zone":         allowsDuration | requiresDuration | allowsZone,
	"regions":      allowsDuration | requiresDuration,
	"control-loss": allowsDuration | requiresDuration,
	"agents-back":  0,
	"fail":         allowsDuration | requiresDuration,
}

func (s *Scenario) checkEvents(c *validator) {
	c.intInRange("events", len(s.Events), 0, maxEvents)
	for i, e := range s.Events {
		at := fmt.Sprintf("events[%d].", i)
		has, known := eventKeys[e.Kind]
		if !known {
			c.fail(at+"kind", "%q is unknown", e.Kind)
		}
		c.floatInRange(at+"at_s", e.AtS, 0, s.Seconds)
		c.floatInRange(at+"for_s", e.ForS, 0, maxSeconds)
		c.floatInRange(at+"share", e.Share, 0, 1)
		if has&requiresDuration != 0 && e.ForS == 0 {
			c.fail(at+"for_s", "must be above 0 for %s", e.Kind)
		}
		for _, key := range []struct {
			name string
			flag int
			said bool
		}{{"for_s", allowsDuration, e.ForS != 0}, {"count", allowsCount, e.Count != 0}, {"share", allowsShare, e.Share != 0}, {"zone", allowsZone, e.Zone != 0}} {
			if key.said && has&key.flag == 0 {
				c.fail(at+key.name, "means nothing for %s", e.Kind)
			}
		}
		s.checkTargets(c, at, e)
		if end := s.EventEnd(e); end > s.Seconds {
			c.fail(at+"at_s", "the event lasts until %v s, the run only until %v (seconds)", end, s.Seconds)
		}
	}
}

// checkTargets checks what an event hits against the size of the fleet.
func (s *Scenario) checkTargets(c *validator, at string, e Event) {
	f := &s.Fleet
	switch e.Kind {
	case "restart":
		c.intInRange(at+"count", e.Count, 1, s.Agents())
	case "replace", "machine":
		c.intInRange(at+"count", e.Count, 1, f.Servers)
	case "release":
		c.floatAbove(at+"share", e.Share, 0, 1)
	case "rack":
		c.intInRange(at+"count", e.Count, 0, f.Racks-1)
		c.intInRange(at+"zone", e.Zone, 0, f.Zones-1)
	case "zone":
		c.intInRange(at+"zone", e.Zone, 0, f.Zones-1)
	case "regions":
		if f.Regions < 2 {
			c.fail(at+"kind", "regions needs two of them, not %d (fleet.regions)", f.Regions)
		}
	}
}

// EventEnd is when the last change that an event makes by itself is made, in seconds of the run: what drains last has to
// drain, to start and to be listed again, and what vanished to be listed again.
func (s *Scenario) EventEnd(e Event) float64 {
	end := e.AtS + e.ForS
	switch e.Kind {
	case "replace", "release":
		end += s.Fleet.DrainS + s.Fleet.BootS + s.Control.NoticeMS/1000
	case "machine", "rack", "zone":
		end += s.Control.NoticeMS / 1000
	}
	return end
}
