package settings

import (
	"fmt"
	"math"

	"example.org/ryeloft/internal/balancer"
)

// document is the JSON form of the settings. The Go names are the terms of the field, the tags are the operators' keys.
// Numbers are decoded as floats because integers may be written with fractions. Times are in milliseconds.
type document struct {
	Rank      float64  `json:"rank"`
	Agents    float64  `json:"replicasOfMe"`
	Zone      *float64 `json:"zone"` // absent: unknown
	Zones     []string `json:"localities"`
	Kinds     []string `json:"skus"`
	Classes   []class  `json:"categories"`
	Tenants   []tenant `json:"accounts"`
	Discovery string   `json:"discovery"`
	Reports   reports  `json:"report"`
	Limits    limits   `json:"limits"`
	Rules     rules    `json:"rules"`
	Tick      float64  `json:"tick"`
}

type class struct {
	Name             string    `json:"name"`
	LatencyObjective float64   `json:"aim"`
	Deadline         float64   `json:"deadline"`
	PriorityWeight   float64   `json:"credit"`
	LateWeight       float64   `json:"lateWorth"`
	Idempotency      string    `json:"effect"`
	DedupScope       string    `json:"dedupScope"`
	DedupWindow      float64   `json:"repeatWindow"`
	Zones            []float64 `json:"localitiesOnly"` // indexes into document.Zones; absent: any; empty: none
	Kinds            []float64 `json:"boundTo"`        // indexes into document.Kinds; absent: any; empty: none
}

type tenant struct {
	Name  string  `json:"name"`
	Quota float64 `json:"portion"`
}

type reports struct {
	Fields []string `json:"fields"`
	Mode   string   `json:"how"`
}

type limits struct {
	CancelAttempts   bool    `json:"cancel"`
	HealthChecks     bool    `json:"probes"`
	Hedging          bool    `json:"secondCopies"`
	AdviseRetryAfter bool    `json:"retryAfter"`
	MaxRetryAfter    float64 `json:"maxRetryAfter"`
	MaxAttempts      float64 `json:"maxAttempts"`
	ConnectTimeout   float64 `json:"connectTimeout"`
	IdleTimeout      float64 `json:"idleClose"`
}

type rules struct {
	MaxPollInterval    float64 `json:"mustAskIn"`
	DrainGrace         float64 `json:"drainGrace"`
	SlowStartMinWeight float64 `json:"coldFrom"`
	SlowStartDuration  float64 `json:"warmAfter"`
	OverloadFactor     float64 `json:"overloadFactor"`
	RetryBudgetWindow  float64 `json:"extraWindow"`
	RetryBudgetMin     float64 `json:"extraFloor"`
	RetryBudgetRatio   float64 `json:"resendRatio"`
}

// discoveryByPolling is the discovery setting of a platform that reports endpoint changes only to agents that poll it.
const discoveryByPolling = "subscribe"

var idempotencyByName = map[string]balancer.Idempotency{
	"pure":        balancer.Idempotent,
	"token":       balancer.IdempotentWithKey,
	"side_effect": balancer.NonIdempotent,
}

var dedupScopeByName = map[string]balancer.DedupScope{
	"":     balancer.DedupScopeFleet,
	"all":  balancer.DedupScopeFleet,
	"zone": balancer.DedupScopeZone,
	"cell": balancer.DedupScopeCell,
}

var reportModeByName = map[string]balancer.ReportMode{
	"":         balancer.ReportsOff,
	"off":      balancer.ReportsOff,
	"inline":   balancer.ReportsInline,
	"on_probe": balancer.ReportsOnHealthCheck,
}

// settings converts the document. It returns a *FieldError for the first invalid key.
func (d *document) settings() (Settings, error) {
	s := Settings{
		Balancer:       d.balancerSettings(),
		ZoneNames:      d.Zones,
		KindNames:      d.Kinds,
		ReportFields:   d.Reports.Fields,
		ConnectTimeout: Milliseconds(d.Limits.ConnectTimeout),
		IdleTimeout:    Milliseconds(d.Limits.IdleTimeout),
		DrainGrace:     Milliseconds(d.Rules.DrainGrace),
	}
	mode, ok := reportModeByName[d.Reports.Mode]
	if !ok {
		return Settings{}, unknownValue("report.how", d.Reports.Mode)
	}
	s.Balancer.Reports = mode
	for i := range d.Classes {
		converted, err := d.class(i)
		if err != nil {
			return Settings{}, err
		}
		s.Balancer.Classes = append(s.Balancer.Classes, converted)
		s.ClassNames = append(s.ClassNames, converted.Name)
	}
	for _, t := range d.Tenants {
		s.Balancer.Tenants = append(s.Balancer.Tenants, balancer.Tenant{Quota: t.Quota})
		s.TenantNames = append(s.TenantNames, t.Name)
	}
	return s, nil
}

// balancerSettings converts the balancer's settings other than classes, tenants and the report mode.
func (d *document) balancerSettings() balancer.Settings {
	zone := -1
	if d.Zone != nil {
		zone = int(*d.Zone)
	}
	return balancer.Settings{
		Rank:               int(d.Rank),
		Agents:             int(d.Agents),
		Zone:               zone,
		Kinds:              d.Kinds,
		PollEndpoints:      d.Discovery == discoveryByPolling,
		MaxPollInterval:    Milliseconds(d.Rules.MaxPollInterval),
		Tick:               Milliseconds(d.Tick),
		MaxAttempts:        int(d.Limits.MaxAttempts),
		HealthChecks:       d.Limits.HealthChecks,
		CancelAttempts:     d.Limits.CancelAttempts,
		Hedging:            d.Limits.Hedging,
		AdviseRetryAfter:   d.Limits.AdviseRetryAfter,
		MaxRetryAfter:      Milliseconds(d.Limits.MaxRetryAfter),
		SlowStartMinWeight: d.Rules.SlowStartMinWeight,
		SlowStartDuration:  Milliseconds(d.Rules.SlowStartDuration),
		OverloadFactor:     d.Rules.OverloadFactor,
		RetryBudgetWindow:  Milliseconds(d.Rules.RetryBudgetWindow),
		RetryBudgetMin:     d.Rules.RetryBudgetMin,
		RetryBudgetRatio:   d.Rules.RetryBudgetRatio,
	}
}

// class converts the request class at the given index.
func (d *document) class(index int) (balancer.Class, error) {
	c := &d.Classes[index]
	key := func(name string) string { return fmt.Sprintf("categories[%d].%s", index, name) }
	idempotency, ok := idempotencyByName[c.Idempotency]
	if !ok {
		return balancer.Class{}, unknownValue(key("effect"), c.Idempotency)
	}
	scope, ok := dedupScopeByName[c.DedupScope]
	if !ok {
		return balancer.Class{}, unknownValue(key("dedupScope"), c.DedupScope)
	}
	zones, err := indexes(c.Zones, len(d.Zones))
	if err != nil {
		return balancer.Class{}, &FieldError{Field: key("localitiesOnly"), Err: err}
	}
	kinds, err := indexes(c.Kinds, len(d.Kinds))
	if err != nil {
		return balancer.Class{}, &FieldError{Field: key("boundTo"), Err: err}
	}
	return balancer.Class{
		Name:             c.Name,
		LatencyObjective: Milliseconds(c.LatencyObjective),
		Deadline:         Milliseconds(c.Deadline),
		PriorityWeight:   c.PriorityWeight,
		LateWeight:       c.LateWeight,
		Idempotency:      idempotency,
		DedupScope:       scope,
		DedupWindow:      Milliseconds(c.DedupWindow),
		Zones:            zones,
		Kinds:            kinds,
	}, nil
}

// indexes converts the indexes in list, which refer to a list of n names, to integers. It returns nil for a nil list.
func indexes(list []float64, n int) ([]int, error) {
	if list == nil {
		return nil, nil
	}
	out := make([]int, 0, len(list))
	for _, v := range list {
		if v != math.Trunc(v) || v < 0 || v >= float64(n) {
			return nil, fmt.Errorf("%v is not an index below %d", v, n)
		}
		out = append(out, int(v))
	}
	return out, nil
}
