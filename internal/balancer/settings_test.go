package balancer

import (
	"errors"
	"math"
	"strings"
	"testing"
)

// An invalid setting must be rejected, and the error must name its field, or operators cannot find it.
func TestNewReportsInvalidSetting(t *testing.T) {
	for field, invalidate := range map[string]func(*Settings){
		"Agents":                      func(s *Settings) { s.Agents = 0 },
		"Rank":                        func(s *Settings) { s.Rank = 1 },
		"MaxAttempts":                 func(s *Settings) { s.MaxAttempts = 0 },
		"SlowStartMinWeight":          func(s *Settings) { s.SlowStartMinWeight = math.NaN() },
		"SlowStartDuration":           func(s *Settings) { s.SlowStartDuration = -1 },
		"OverloadFactor":              func(s *Settings) { s.OverloadFactor = 0 },
		"MaxPollInterval":             func(s *Settings) { s.PollEndpoints = true },
		"Classes ":                    func(s *Settings) { s.Classes = nil },
		"Classes[1].LatencyObjective": func(s *Settings) { s.Classes[1].LatencyObjective = 0 },
		"Classes[0].Deadline":         func(s *Settings) { s.Classes[0].Deadline = ms },
		"Classes[2].PriorityWeight":   func(s *Settings) { s.Classes[2].PriorityWeight = math.NaN() },
		"Classes[0].Zones":            func(s *Settings) { s.Classes[0].Zones = []int{0, -1} },
		"Classes[0].Kinds":            func(s *Settings) { s.Classes[0].Kinds = []int{-1} },
		"Classes[3].Idempotency":      func(s *Settings) { s.Classes[3].Idempotency = NonIdempotent + 1 },
		"Classes[3].DedupScope":       func(s *Settings) { s.Classes[3].DedupScope = DedupScopeCell + 1 },
		"Classes[1].DedupWindow":      func(s *Settings) { s.Classes[1].DedupWindow = -1 },
		"RetryBudgetWindow":           func(s *Settings) { s.RetryBudgetWindow = -1 },
		"RetryBudgetMin":              func(s *Settings) { s.RetryBudgetMin = math.NaN() },
		"RetryBudgetRatio":            func(s *Settings) { s.RetryBudgetRatio = -0.1 },
		"Tenants[0].Quota":            func(s *Settings) { s.Tenants = []Tenant{{Quota: -1}} },
	} {
		s := testSettings()
		invalidate(&s)
		_, err := New(s, 1)
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: got error %v, want one that names the field", field, err)
		}
		var invalid *SettingError
		if !errors.As(err, &invalid) || invalid.Field != strings.TrimSpace(field) {
			t.Errorf("%s: got error %v with SettingError %+v, want its Field to be %q", field, err, invalid, strings.TrimSpace(field))
		}
	}
}
