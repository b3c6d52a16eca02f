// Package settings parses the operators' settings of an agent and maps their keys and values to the types of package
// balancer. The agent and the simulator's adapter both use it, so that a key means the same in production and in
// simulation. It keeps no state and does no I/O.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"example.org/ryeloft/internal/balancer"
)

// Settings are the parsed settings: those of the balancer, and the names, timeouts and grace periods that its callers
// use.
type Settings struct {
	Balancer       balancer.Settings
	ClassNames     []string // parallel to Balancer.Classes
	TenantNames    []string // parallel to Balancer.Tenants
	ZoneNames      []string
	KindNames      []string
	ReportFields   []string      // names of the values in a load report, in order
	ConnectTimeout time.Duration // for establishing a connection to a server
	IdleTimeout    time.Duration // after which an idle connection is closed; 0: never
	DrainGrace     time.Duration // how long a server may still be sent requests after the notification that it drains
}

// Parse parses a settings text. It ignores unknown keys and checks only what the conversion needs. balancer.New and the
// calling programs check the ranges of values.
func Parse(text []byte) (Settings, error) {
	var doc document
	if err := json.Unmarshal(text, &doc); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	parsed, err := doc.settings()
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return parsed, nil
}

// MaxMilliseconds is the largest absolute value that Milliseconds converts: about 31 years, far below the maximum of
// time.Duration.
const MaxMilliseconds = 1e12

// Milliseconds converts milliseconds to a duration, rounded to microseconds. NaN and values beyond MaxMilliseconds
// become 0, which stands for an absent value.
func Milliseconds(ms float64) time.Duration {
	if math.IsNaN(ms) || math.Abs(ms) > MaxMilliseconds {
		return 0
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}
