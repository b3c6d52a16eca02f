// Package settings reads the settings that the operators give an agent and places the figures of load reports.
// Both programs use it, so that the simulator and the service mean the same by a name.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"example.org/ryeloft/internal/balancer"
)

// facts mirrors the keys of the settings text that the module has a use for. Others are passed over.
type facts struct {
	Accounts []struct {
		Name    string
		Portion float64
	}
	Categories []struct {
		Aim, Deadline, Credit, LateWorth, RepeatWindow float64

		Name, Effect, DedupScope string

		LocalitiesOnly, BoundTo []float64 // absent: any; empty: none
	}
	Discovery string
	Limits    struct {
		Cancel, Probes, SecondCopies, RetryAfter bool
		MaxAttempts, IdleClose                   float64
		ConnectTimeout, MaxRetryAfter            float64
	}
	Localities, Skus   []string
	Rank, ReplicasOfMe float64
	Report             struct {
		Fields []string
		How    string
	}
	Rules struct {
		ColdFrom, DrainGrace, MustAskIn, OverloadFactor, WarmAfter float64
		ExtraFloor, ExtraWindow, ResendRatio                       float64
	}
	Tick float64
	Zone *float64
}

var effects = map[string]balancer.Idempotency{
	"pure": balancer.Idempotent, "token": balancer.IdempotentWithKey, "side_effect": balancer.NonIdempotent,
}

var scopes = map[string]balancer.DedupScope{
	"": balancer.DedupScopeFleet, "all": balancer.DedupScopeFleet,
	"zone": balancer.DedupScopeZone, "cell": balancer.DedupScopeCell,
}

var reportModes = map[string]balancer.ReportMode{
	"": balancer.ReportsOff, "off": balancer.ReportsOff,
	"inline": balancer.ReportsInline, "on_probe": balancer.ReportsOnHealthCheck,
}

// Settings is what one text of settings says: the module's part, and the names and limits around it.
type Settings struct {
	Balancer             balancer.Settings
	ClassNames           []string // the names behind the module's positions
	TenantNames          []string
	ZoneNames, KindNames []string
	ReportFields         []string      // names of the values in a load report
	ConnectTimeout       time.Duration // a connection that is not up by then has failed
	IdleTimeout          time.Duration // a connection that is idle for so long is closed; 0: never
	DrainGrace           time.Duration // to stop sending to a backend after it has counted as told that it leaves
}

// Parse reads the settings text.
func Parse(text []byte) (Settings, error) {
	var f facts
	if err := json.Unmarshal(text, &f); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	all := Settings{
		ZoneNames: f.Localities, KindNames: f.Skus,
		ReportFields:   f.Report.Fields,
		ConnectTimeout: Milliseconds(f.Limits.ConnectTimeout),
		IdleTimeout:    Milliseconds(f.Limits.IdleClose),
		DrainGrace:     Milliseconds(f.Rules.DrainGrace),
	}
	s := &all.Balancer
	*s = balancer.Settings{
		Rank: int(f.Rank), Agents: int(f.ReplicasOfMe), Kinds: f.Skus,
		PollEndpoints:      f.Discovery == "subscribe",
		MaxPollInterval:    Milliseconds(f.Rules.MustAskIn),
		Tick:               Milliseconds(f.Tick),
		MaxAttempts:        int(f.Limits.MaxAttempts),
		HealthChecks:       f.Limits.Probes,
		CancelAttempts:     f.Limits.Cancel,
		Hedging:            f.Limits.SecondCopies,
		AdviseRetryAfter:   f.Limits.RetryAfter,
		MaxRetryAfter:      Milliseconds(f.Limits.MaxRetryAfter),
		SlowStartMinWeight: f.Rules.ColdFrom,
		SlowStartDuration:  Milliseconds(f.Rules.WarmAfter),
		OverloadFactor:     f.Rules.OverloadFactor,
		RetryBudgetWindow:  Milliseconds(f.Rules.ExtraWindow),
		RetryBudgetMin:     f.Rules.ExtraFloor,
		RetryBudgetRatio:   f.Rules.ResendRatio,
	}
	s.Zone = -1
	if f.Zone != nil {
		s.Zone = int(*f.Zone)
	}
	var ok bool
	if s.Reports, ok = reportModes[f.Report.How]; !ok {
		return all, fmt.Errorf("settings: report.how %q is unknown", f.Report.How)
	}
	for i, c := range f.Categories {
		all.ClassNames = append(all.ClassNames, c.Name)
		effect, ok := effects[c.Effect]
		if !ok {
			return all, fmt.Errorf("settings: categories[%d].effect %q is unknown", i, c.Effect)
		}
		scope, ok := scopes[c.DedupScope]
		if !ok {
			return all, fmt.Errorf("settings: categories[%d].dedupScope %q is unknown", i, c.DedupScope)
		}
		zones, err := indices(c.LocalitiesOnly, len(f.Localities))
		if err != nil {
			return all, fmt.Errorf("settings: categories[%d].localitiesOnly: %w", i, err)
		}
		kinds, err := indices(c.BoundTo, len(f.Skus))
		if err != nil {
			return all, fmt.Errorf("settings: categories[%d].boundTo: %w", i, err)
		}
		s.Classes = append(s.Classes, balancer.Class{
			Name:             c.Name,
			LatencyObjective: Milliseconds(c.Aim), Deadline: Milliseconds(c.Deadline), PriorityWeight: c.Credit, LateWeight: c.LateWorth,
			Idempotency: effect, DedupScope: scope, DedupWindow: Milliseconds(c.RepeatWindow),
			Zones: zones, Kinds: kinds,
		})
	}
	for _, a := range f.Accounts {
		all.TenantNames = append(all.TenantNames, a.Name)
		s.Tenants = append(s.Tenants, balancer.Tenant{Quota: a.Portion})
	}
	return all, nil
}

// Milliseconds turns milliseconds into a duration; what no duration can hold becomes 0, the absent value.
func Milliseconds(ms float64) time.Duration {
	if math.IsNaN(ms) || math.Abs(ms) > 1e12 {
		return 0
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

// indices turns a list of positions among n names into integers; a nil list stays nil.
func indices(list []float64, n int) ([]int, error) {
	if list == nil {
		return nil, nil
	}
	out := make([]int, 0, len(list))
	for _, v := range list {
		if v != math.Trunc(v) || v < 0 || v >= float64(n) {
			return nil, fmt.Errorf("%v is no position among %d", v, n)
		}
		out = append(out, int(v))
	}
	return out, nil
}

// UnknownLoad is a load report without any figure.
func UnknownLoad() balancer.LoadReport {
	return balancer.LoadReport{InFlight: -1, Queue: -1, ServiceTime: -1}
}

// SetLoadField puts the figure with a name of the settings into a report; what cannot be a figure stays absent.
func SetLoadField(l *balancer.LoadReport, name string, v float64) {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return
	}
	l.Known = true
	switch name {
	case "outstanding":
		l.InFlight = v
	case "backlog":
		l.Queue = v
	case "recent_ms":
		l.ServiceTime = Milliseconds(v)
	}
}
