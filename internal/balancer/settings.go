package balancer

import (
	"fmt"
	"slices"
	"time"
)

// Idempotency says whether a request may run more than once.
type Idempotency uint8

// The values of Idempotency.
const (
	// Idempotent requests may be repeated on any server.
	Idempotent Idempotency = iota
	// IdempotentWithKey requests carry a key by which the servers of one DedupScope drop a repeat during DedupWindow.
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
	// Name identifies the class when the settings change.
	Name string
	// LatencyObjective is the time within which an answer earns all of PriorityWeight.
	LatencyObjective time.Duration
	// Deadline is how long a client waits over all its retries.
	Deadline time.Duration
	// PriorityWeight is what an answer earns; requests of little weight are shed first.
	PriorityWeight float64
	// LateWeight is the share of PriorityWeight that an answer earns between LatencyObjective and Deadline.
	LateWeight float64
	// Idempotency says whether a request may run more than once.
	Idempotency Idempotency
	// DedupScope and DedupWindow count for IdempotentWithKey only.
	DedupScope DedupScope
	// DedupWindow is how long repeats of an IdempotentWithKey request are dropped, counted from the first attempt that
	// may have run.
	DedupWindow time.Duration
	// Zones are the only zones that the class may be sent to; nil allows any, an empty slice none.
	Zones []int
	// Kinds are the only kinds of machine that the class may be sent to, likewise.
	Kinds []int
}

// Tenant describes one of the customers that share the fleet.
type Tenant struct {
	// Quota is the tenant's share of the fleet's capacity.
	Quota float64
}

// ReportMode says where servers report their load.
type ReportMode uint8

// The values of ReportMode.
const (
	// ReportsOff says that servers report nothing.
	ReportsOff ReportMode = iota
	// ReportsInline says that reports come with answers.
	ReportsInline
	// ReportsOnHealthCheck says that reports come with health checks.
	ReportsOnHealthCheck
)

// Settings configure a Balancer. New and Adopt check them.
type Settings struct {
	// Rank is the number of this agent among all Agents, from 0.
	Rank int
	// Agents is how many agents there are.
	Agents int
	// Zone is this agent's zone; below 0 it is not known.
	Zone int
	// Classes are the kinds of requests, at least one; Event.Class is a position in them.
	Classes []Class
	// Tenants share the fleet, if there are any; Event.Tenant is a position in them.
	Tenants []Tenant
	// Kinds are the names of the kinds of machine, if there are any; Endpoint.Kind is a position in them.
	Kinds []string
	// Reports says where servers report their load.
	Reports ReportMode
	// PollEndpoints says that the endpoint list comes only after ActionPollEndpoints.
	PollEndpoints bool
	// MaxPollInterval is the longest that an agent may go without polling the endpoint list.
	MaxPollInterval time.Duration
	// Tick is the shortest time between two batches of events.
	Tick time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// HealthChecks allows ActionHealthCheck.
	HealthChecks bool
	// CancelAttempts allows ActionCancel.
	CancelAttempts bool
	// Hedging allows a request to have two attempts in flight.
	Hedging bool
	// AdviseRetryAfter says that rejected clients are told when to retry.
	AdviseRetryAfter bool
	// MaxRetryAfter bounds Action.RetryAfter; 0 is no bound.
	MaxRetryAfter time.Duration
	// SlowStartMinWeight is the least share of its capacity that a server has at its start. It has all of it after
	// SlowStartDuration at the latest.
	SlowStartMinWeight float64
	SlowStartDuration  time.Duration
	// OverloadFactor is the multiple of its present capacity at which a server that warms up breaks down.
	OverloadFactor float64
	// RetryBudgetWindow is the sliding window of the retry budget; 0 stands for the default budget. In any window an
	// agent makes at most RetryBudgetMin retries, and RetryBudgetRatio more for each request that came in it.
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

// validation keeps the first invalid setting that it is told of.
type validation struct {
	err *SettingError
}

// reject keeps a setting as invalid if it is the first one.
func (v *validation) reject(field string, value any, invalid bool) {
	if invalid && v.err == nil {
		v.err = &SettingError{Field: field, Value: value}
	}
}

// check returns a *SettingError of the first invalid setting. Comparisons are negated where NaN has to be rejected too.
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

// check tells v of the invalid settings of a class; path is that of the class.
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
