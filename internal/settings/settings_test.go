package settings

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/balancer"
)

// fullText has every key that Parse reads, each with a different value.
const fullText = `{
 "accounts":[{"name":"acme","portion":0.25},{"name":"rest","portion":0.75}],
 "categories":[
  {"name":"price-check","aim":380,"deadline":949,"credit":8,"lateWorth":0.2,"effect":"token","dedupScope":"cell","repeatWindow":600,
   "localitiesOnly":[1],"boundTo":[]},
  {"name":"card-sale","aim":2500,"deadline":6000,"credit":10,"lateWorth":0.25,"effect":"side_effect","dedupScope":"zone","repeatWindow":5000,
   "boundTo":[0,1]}],
 "discovery":"subscribe",
 "limits":{"cancel":true,"probes":true,"secondCopies":true,"retryAfter":true,"maxAttempts":6,"idleClose":15000,
  "connectTimeout":250,"maxRetryAfter":2000},
 "localities":["perth-east","bunbury"],"skus":["fast","small"],
 "rank":2,"replicasOfMe":3,
 "report":{"fields":["backlog","recent_ms"],"how":"inline"},
 "rules":{"coldFrom":0.31,"drainGrace":300,"mustAskIn":10000,"overloadFactor":2.5,"warmAfter":8800,
  "extraFloor":4,"extraWindow":7000,"resendRatio":0.15},
 "tick":1.5,"zone":4}`

// fullSettings returns the settings in fullText.
func fullSettings() Settings {
	return Settings{
		Balancer: balancer.Settings{
			Rank: 2, Agents: 3, Zone: 4,
			Classes: []balancer.Class{{
				Name: "price-check", LatencyObjective: 380 * time.Millisecond, Deadline: 949 * time.Millisecond, PriorityWeight: 8, LateWeight: 0.2,
				Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupScopeCell, DedupWindow: 600 * time.Millisecond,
				Zones: []int{1}, Kinds: []int{},
			}, {
				Name: "card-sale", LatencyObjective: 2500 * time.Millisecond, Deadline: 6 * time.Second, PriorityWeight: 10, LateWeight: 0.25,
				Idempotency: balancer.NonIdempotent, DedupScope: balancer.DedupScopeZone, DedupWindow: 5 * time.Second,
				Zones: nil, Kinds: []int{0, 1},
			}},
			Tenants:            []balancer.Tenant{{Quota: 0.25}, {Quota: 0.75}},
			Kinds:              []string{"fast", "small"},
			Reports:            balancer.ReportsInline,
			PollEndpoints:      true,
			MaxPollInterval:    10 * time.Second,
			Tick:               1500 * time.Microsecond,
			MaxAttempts:        6,
			HealthChecks:       true,
			CancelAttempts:     true,
			Hedging:            true,
			AdviseRetryAfter:   true,
			MaxRetryAfter:      2 * time.Second,
			SlowStartMinWeight: 0.31,
			SlowStartDuration:  8800 * time.Millisecond,
			OverloadFactor:     2.5,
			RetryBudgetWindow:  7 * time.Second,
			RetryBudgetMin:     4,
			RetryBudgetRatio:   0.15,
		},
		ClassNames:     []string{"price-check", "card-sale"},
		TenantNames:    []string{"acme", "rest"},
		ZoneNames:      []string{"perth-east", "bunbury"},
		KindNames:      []string{"fast", "small"},
		ReportFields:   []string{"backlog", "recent_ms"},
		ConnectTimeout: 250 * time.Millisecond,
		IdleTimeout:    15 * time.Second,
		DrainGrace:     300 * time.Millisecond,
	}
}

// Every key sets its field.
func TestParseSetsEveryField(t *testing.T) {
	want := fullSettings()
	for _, v := range []reflect.Value{reflect.ValueOf(want), reflect.ValueOf(want.Balancer)} {
		for i := range v.NumField() {
			if v.Field(i).IsZero() {
				t.Errorf("%s.%s is not tested: its wanted value is zero", v.Type(), v.Type().Field(i).Name)
			}
		}
	}
	got, err := Parse([]byte(fullText))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("error %v\ngot  %+v\nwant %+v", err, got, want)
	}
}

// Keys match regardless of case, the last of two equal keys wins, and null values and unknown keys are ignored.
func TestKeyMatching(t *testing.T) {
	upper := strings.NewReplacer(`"coldFrom"`, `"COLDFROM"`, `"replicasOfMe"`, `"ReplicasOfMe"`, `"categories"`, `"cATEGORIES"`, `"skus"`, `"SKUs"`,
		`"dedupScope"`, `"dedupscope"`, `"how"`, `"How"`, `"zone":4`, `"ZONE":4`, `"portion"`, `"Portion"`, `"maxAttempts"`, `"MaxAttempts"`)
	for name, text := range map[string]string{
		"case":          upper.Replace(fullText),
		"twice":         strings.Replace(fullText, `"tick":1.5`, `"tick":7,"Tick":1.5`, 1),
		"twice, object": strings.Replace(fullText, `"limits":{"cancel":true,`, `"limits":{"cancel":true},"limits":{`, 1),
		"null":          strings.Replace(fullText, `"tick":1.5`, `"tick":1.5,"tick":null,"limits":null,"report":null`, 1),
		"unknown":       strings.Replace(fullText, `"tick":1.5`, `"tick":1.5,"fees":{"probe":0.01},"weights":[1]`, 1),
	} {
		got, err := Parse([]byte(text))
		if err != nil || !reflect.DeepEqual(got, fullSettings()) {
			t.Errorf("%s: error %v\ngot  %+v\nwant %+v", name, err, got, fullSettings())
		}
	}
}

// Each named value of the settings maps to its value in package balancer.
func TestEnumValues(t *testing.T) {
	class := func(key, value string) string {
		return fmt.Sprintf(`{"categories":[{"effect":"pure",%q:%q}]}`, key, value)
	}
	for value, want := range map[string]balancer.Idempotency{
		"pure": balancer.Idempotent, "token": balancer.IdempotentWithKey, "side_effect": balancer.NonIdempotent,
	} {
		if s, err := Parse([]byte(class("effect", value))); err != nil || s.Balancer.Classes[0].Idempotency != want {
			t.Errorf("effect %s: got %+v, error %v, want %v", value, s.Balancer.Classes, err, want)
		}
	}
	for value, want := range map[string]balancer.DedupScope{
		"": balancer.DedupScopeFleet, "all": balancer.DedupScopeFleet, "zone": balancer.DedupScopeZone, "cell": balancer.DedupScopeCell,
	} {
		if s, err := Parse([]byte(class("dedupScope", value))); err != nil || s.Balancer.Classes[0].DedupScope != want {
			t.Errorf("dedupScope %s: got %+v, error %v, want %v", value, s.Balancer.Classes, err, want)
		}
	}
	for value, want := range map[string]balancer.ReportMode{
		"": balancer.ReportsOff, "off": balancer.ReportsOff, "inline": balancer.ReportsInline, "on_probe": balancer.ReportsOnHealthCheck,
	} {
		if s, err := Parse(fmt.Appendf(nil, `{"report":{"how":%q}}`, value)); err != nil || s.Balancer.Reports != want {
			t.Errorf("report.how %s: got %v, error %v, want %v", value, s.Balancer.Reports, err, want)
		}
	}
	for value, want := range map[string]bool{"": false, "automatic": false, "subscribe": true} {
		if s, err := Parse(fmt.Appendf(nil, `{"discovery":%q}`, value)); err != nil || s.Balancer.PollEndpoints != want {
			t.Errorf("discovery %s: got PollEndpoints %v, error %v, want %v", value, s.Balancer.PollEndpoints, err, want)
		}
	}
}

// Each error names the key and its invalid value.
func TestParseErrors(t *testing.T) {
	for text, want := range map[string]string{
		`{`:                        `settings: unexpected end of JSON input`,
		`{"report":{"how":"odd"}}`: `settings: report.how "odd" is unknown`,
		`{"categories":[{}]}`:      `settings: categories[0].effect "" is unknown`,
		`{"categories":[{"effect":"pure"},{"effect":"odd"}]}`:                         `settings: categories[1].effect "odd" is unknown`,
		`{"categories":[{"effect":"pure","dedupScope":"rack"}]}`:                      `settings: categories[0].dedupScope "rack" is unknown`,
		`{"categories":[{"effect":"pure","localitiesOnly":[0]}]}`:                     `settings: categories[0].localitiesOnly: 0 is not an index below 0`,
		`{"categories":[{"effect":"pure","boundTo":[1.5]}],"skus":["a","b"]}`:         `settings: categories[0].boundTo: 1.5 is not an index below 2`,
		`{"categories":[{"effect":"odd"}],"report":{"how":"odd"}}`:                    `settings: report.how "odd" is unknown`,
		`{"categories":[{"effect":"pure","localitiesOnly":[9],"dedupScope":"rack"}]}`: `settings: categories[0].dedupScope "rack" is unknown`,
	} {
		if _, err := Parse([]byte(text)); err == nil || err.Error() != want {
			t.Errorf("%s: got error %v, want %s", text, err, want)
		}
	}
}

// Each name in the settings sets its field of a load report; invalid values leave it absent.
func TestLoadFields(t *testing.T) {
	unknown := UnknownLoad()
	for name, want := range map[string]balancer.LoadReport{
		"outstanding": {Known: true, InFlight: 7, Queue: unknown.Queue, ServiceTime: unknown.ServiceTime},
		"backlog":     {Known: true, InFlight: unknown.InFlight, Queue: 7, ServiceTime: unknown.ServiceTime},
		"recent_ms":   {Known: true, InFlight: unknown.InFlight, Queue: unknown.Queue, ServiceTime: 7 * time.Millisecond},
		"utilization": {Known: true, InFlight: unknown.InFlight, Queue: unknown.Queue, ServiceTime: unknown.ServiceTime},
	} {
		got := UnknownLoad()
		SetLoadField(&got, name, 7)
		if got != want {
			t.Errorf("%s: got %+v, want %+v", name, got, want)
		}
		for _, invalid := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
			got := UnknownLoad()
			SetLoadField(&got, name, invalid)
			if got != unknown {
				t.Errorf("%s %v: got %+v, want %+v", name, invalid, got, unknown)
			}
		}
	}
}

// Values outside the range of a duration become 0; fractions of a millisecond are kept to the microsecond.
func TestMillisecondsRange(t *testing.T) {
	for _, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 1e300} {
		if d := Milliseconds(v); d != 0 {
			t.Errorf("%v: got %v, want 0", v, d)
		}
	}
	if d := Milliseconds(1.2345); d != 1235*time.Microsecond && d != 1234*time.Microsecond {
		t.Errorf("1.2345 ms: got %v, want 1.234ms or 1.235ms", d)
	}
}

// An agent without a zone setting has no zone, which is -1 rather than the first zone.
func TestZone(t *testing.T) {
	for text, want := range map[string]int{`{}`: -1, `{"zone":0}`: 0, `{"zone":3}`: 3} {
		s, err := Parse([]byte(text))
		if err != nil || s.Balancer.Zone != want {
			t.Errorf("%s: got zone %d, error %v, want %d", text, s.Balancer.Zone, err, want)
		}
	}
}
