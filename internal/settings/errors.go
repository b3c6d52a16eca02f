package settings

import (
	"errors"
	"fmt"
	"strings"

	"example.org/ryeloft/internal/balancer"
)

// FieldError reports which field of the settings or of a configuration is invalid, and why.
type FieldError struct {
	// Field is the path of the field's key, such as categories[1].effect.
	Field string
	// Problem completes a sentence that begins with Field, such as "must be above 0". It is empty if Err has the
	// reason.
	Problem string
	Err     error
}

func (e *FieldError) Error() string {
	if e.Problem == "" {
		return e.Field + ": " + e.Err.Error()
	}
	return e.Field + " " + e.Problem
}

func (e *FieldError) Unwrap() error { return e.Err }

func unknownValue(field, value string) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf("%q is unknown", value)}
}

// ValueError is a *balancer.SettingError with the setting's key, the name that operators know.
type ValueError struct {
	// Key is the path of the key, such as categories[1].deadline.
	Key     string
	Setting *balancer.SettingError
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("setting %s (%s) cannot be %v", e.Setting.Field, e.Key, e.Setting.Value)
}

func (e *ValueError) Unwrap() error { return e.Setting }

// WithKey returns a *ValueError if err is a *balancer.SettingError for a field that has a key, and any other error
// unchanged.
func WithKey(err error) error {
	var setting *balancer.SettingError
	if !errors.As(err, &setting) {
		return err
	}
	key := keyOf(setting.Field)
	if key == "" {
		return err
	}
	return &ValueError{Key: key, Setting: setting}
}

// keyByField maps the fields of balancer.Settings to the keys of the settings text.
var keyByField = map[string]string{
	"Rank":                       "rank",
	"Agents":                     "replicasOfMe",
	"Zone":                       "zone",
	"Classes":                    "categories",
	"Classes[].Name":             "categories[].name",
	"Classes[].LatencyObjective": "categories[].aim",
	"Classes[].Deadline":         "categories[].deadline",
	"Classes[].PriorityWeight":   "categories[].credit",
	"Classes[].LateWeight":       "categories[].lateWorth",
	"Classes[].Idempotency":      "categories[].effect",
	"Classes[].DedupScope":       "categories[].dedupScope",
	"Classes[].DedupWindow":      "categories[].repeatWindow",
	"Classes[].Zones":            "categories[].localitiesOnly",
	"Classes[].Kinds":            "categories[].boundTo",
	"Tenants":                    "accounts",
	"Tenants[].Quota":            "accounts[].portion",
	"Kinds":                      "skus",
	"Reports":                    "report.how",
	"PollEndpoints":              "discovery",
	"MaxPollInterval":            "rules.mustAskIn",
	"Tick":                       "tick",
	"MaxAttempts":                "limits.maxAttempts",
	"HealthChecks":               "limits.probes",
	"CancelAttempts":             "limits.cancel",
	"Hedging":                    "limits.secondCopies",
	"AdviseRetryAfter":           "limits.retryAfter",
	"MaxRetryAfter":              "limits.maxRetryAfter",
	"SlowStartMinWeight":         "rules.coldFrom",
	"SlowStartDuration":          "rules.warmAfter",
	"OverloadFactor":             "rules.overloadFactor",
	"RetryBudgetWindow":          "rules.extraWindow",
	"RetryBudgetMin":             "rules.extraFloor",
	"RetryBudgetRatio":           "rules.resendRatio",
}

// keyOf returns the key of a field of balancer.Settings, given as a Go path such as Classes[1].Deadline, or "" if there
// is no such field.
func keyOf(field string) string {
	before, rest, indexed := strings.Cut(field, "[")
	if !indexed {
		return keyByField[field]
	}
	index, after, _ := strings.Cut(rest, "]")
	key := keyByField[before+"[]"+after]
	return strings.Replace(key, "[]", "["+index+"]", 1)
}
