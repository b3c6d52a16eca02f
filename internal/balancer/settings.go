package balancer

import (
	"fmt"
	"slices"
	"time"
)

// Idempotency specifies whether a request may run more than once.
type Idempotency uint8

// The values of Idempotency.
const (
	// Idempotent requests may be repeated on any server.
	Idempotent Idempotency = iota
	// IdempotentWithKey requests carry an idempotency key. Within DedupWindow, the servers of one DedupScope drop
	// repeats of the same key.
	IdempotentWithKey
	// NonIdempotent requests must never run twice.
	NonIdempotent
)

// DedupScope is the group of servers that recognize each other's idempotency keys.
type DedupScope uint8

// The values of DedupScope.
const (
	// DedupScopeFleet is all servers.
	DedupScopeFleet DedupScope = iota
	// DedupScopeZone is the servers of one zone.
	DedupScopeZone
	// DedupScopeCell is the servers of one cell.
	DedupScopeCell
)

// Class describes one kind of request.
type Class struct {
	// Name identifies the class across changes of the settings.
	Name string
	// LatencyObjective is the latency up to which a response has the full value PriorityWeight.
	LatencyObjective time.Duration
	// Deadline is how long a client waits in total, including its retries.
	Deadline time.Duration
	// PriorityWeight is the value of a response; requests with low weights are shed first.
	PriorityWeight float64
	// LateWeight is the share of PriorityWeight that a response has between LatencyObjective and Deadline.
	LateWeight float64
	// Idempotency specifies whether a request may run more than once.
	Idempotency Idempotency
	// DedupScope is the group of servers that drop repeats. It applies only to IdempotentWithKey.
	DedupScope DedupScope
	// DedupWindow is how long repeats are dropped, counted from the first attempt that may have run. It applies only to
	// IdempotentWithKey.
	DedupWindow time.Duration
	// Zones restricts the class to servers in these zones; nil allows all zones, an empty slice none.
	Zones []int
	// Kinds restricts the class to these machine kinds; nil allows all kinds, an empty slice none.
	Kinds []int
}

// Tenant describes one of the customers that share the fleet.
type Tenant struct {
	// Quota is the tenant's share of the fleet's capacity.
	Quota float64
}

// ReportMode specifies how servers report their load.
type ReportMode uint8

// The values of ReportMode.
const (
	// ReportsOff means that servers do not report their load.
	ReportsOff ReportMode = iota
	// ReportsInline means that responses carry load reports.
	ReportsInline
	// ReportsOnHealthCheck means that health checks return load reports.
	ReportsOnHealthCheck
)

// Settings configures a Balancer. New and Adopt validate it.
type Settings struct {
	// Rank is the index of this agent among all agents, from 0 to Agents-1.
	Rank int
	// Agents is the number of agents in the fleet.
	Agents int
	// Zone is this agent's zone; a negative value means unknown.
	Zone int
	// Classes are the request classes, at least one; Event.Class is an index into them.
	Classes []Class
	// Tenants are the customers that share the fleet; may be empty. Event.Tenant is an index into them.
	Tenants []Tenant
	// Kinds are the names of the machine kinds; may be empty. Endpoint.Kind is an index into them.
	Kinds []string
	// Reports specifies how servers report their load.
	Reports ReportMode
	// PollEndpoints means that the endpoint list arrives only in response to ActionPollEndpoints.
	PollEndpoints bool
	// MaxPollInterval is the maximum time that an agent may go without polling the endpoint list.
	MaxPollInterval time.Duration
	// Tick is the minimum time between two batches of events.
	Tick time.Duration
	// MaxAttempts is the maximum number of attempts per request.
	MaxAttempts int
	// HealthChecks allows ActionHealthCheck.
	HealthChecks bool
	// CancelAttempts allows ActionCancel.
	CancelAttempts bool
	// Hedging allows a request to have more than one attempt in flight.
	Hedging bool
	// AdviseRetryAfter sets Action.RetryAfter in rejections.
	AdviseRetryAfter bool
	// MaxRetryAfter limits Action.RetryAfter; 0 means no limit.
	MaxRetryAfter time.Duration
	// SlowStartMinWeight is the minimum share of its capacity that a server has when it starts.
	SlowStartMinWeight float64
	// SlowStartDuration is the time after which a started server has its full capacity at the latest.
	SlowStartDuration time.Duration
	// OverloadFactor is the multiple of its current capacity at which a server that is warming up breaks down.
	OverloadFactor float64
	// RetryBudgetWindow is the sliding window of the retry budget; 0 selects the default budget. In any window an agent
	// makes at most RetryBudgetMin retries plus RetryBudgetRatio retries per request that arrived in the window.
	RetryBudgetWindow time.Duration
	RetryBudgetMin    float64
	RetryBudgetRatio  float64
}

// SettingError reports an invalid setting.
type SettingError struct {
	// Field is the path of the field, such as Classes[1].Deadline.
	Field string
	// Value is the invalid value.
	Value any
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s cannot be %v", e.Field, e.Value)
}

// validation records the first invalid setting.
type validation struct {
	err *SettingError
}

// reject records a setting if it is invalid and no other one is recorded.
func (v *validation) reject(field string, value any, invalid bool) {
	if invalid && v.err == nil {
		v.err = &SettingError{Field: field, Value: value}
	}
}

// check returns a *SettingError for the first invalid setting. Comparisons are negated where NaN must also be rejected.
func (s *Settings) check() error {
	var v validation
	v.reject("Agents", s.Agents, s.Agents < 1)
	v.reject("Rank", s.Rank, s.Rank < 0 || s.Rank >= s.Agents)
	v.reject("MaxAttempts", s.MaxAttempts, s.MaxAttempts < 1)
	v.reject("SlowStartMinWeight", s.SlowStartMinWeight, !(s.SlowStartMinWeight > 0 && s.SlowStartMinWeight <= 1))
	v.reject("SlowStartDuration", s.SlowStartDuration, s.SlowStartDuration < 0)
	v.reject("OverloadFactor", s.OverloadFactor, !(s.OverloadFactor > 0))
	v.reject("RetryBudgetWindow", s.RetryBudgetWindow, s.RetryBudgetWindow < 0)
	v.reject("RetryBudgetMin", s.RetryBudgetMin, !(s.RetryBudgetMin >= 0))
	v.reject("RetryBudgetRatio", s.RetryBudgetRatio, !(s.RetryBudgetRatio >= 0))
	v.reject("Tick", s.Tick, s.Tick < 0)
	v.reject("MaxPollInterval", s.MaxPollInterval, s.PollEndpoints && s.MaxPollInterval <= 0)
	v.reject("Classes", "empty", len(s.Classes) == 0)
	for i := range s.Classes {
		s.Classes[i].check(&v, fmt.Sprintf("Classes[%d].", i))
	}
	for i, tenant := range s.Tenants {
		v.reject(fmt.Sprintf("Tenants[%d].Quota", i), tenant.Quota, !(tenant.Quota >= 0))
	}
	if v.err != nil {
		return v.err
	}
	return nil
}

// check reports the invalid settings of a class to v; path is the prefix of the field names.
func (c *Class) check(v *validation, path string) {
	v.reject(path+"LatencyObjective", c.LatencyObjective, c.LatencyObjective <= 0)
	v.reject(path+"Deadline", c.Deadline, c.Deadline < c.LatencyObjective)
	v.reject(path+"PriorityWeight", c.PriorityWeight, !(c.PriorityWeight >= 0))
	v.reject(path+"Idempotency", c.Idempotency, c.Idempotency > NonIdempotent)
	v.reject(path+"DedupScope", c.DedupScope, c.DedupScope > DedupScopeCell)
	v.reject(path+"DedupWindow", c.DedupWindow, c.DedupWindow < 0)
	v.reject(path+"Zones", c.Zones, slices.ContainsFunc(c.Zones, isNegative))
	v.reject(path+"Kinds", c.Kinds, slices.ContainsFunc(c.Kinds, isNegative))
}

func isNegative(i int) bool { return i < 0 }
