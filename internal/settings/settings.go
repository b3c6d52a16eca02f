// Package settings reads the settings that operators give an agent and maps their keys and words to the terms of package
// balancer. The agent and the simulator's adapter both use it, so that a key means the same in service and in simulation.
// It holds no state and does no I/O.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"example.org/ryeloft/internal/balancer"
)

// Settings is what a settings text says: the balancer's part, and the names, limits and times for the code around it.
type Settings struct {
	Balancer       balancer.Settings
	ClassNames     []string // by the position of the class in Balancer.Classes
	TenantNames    []string // by the position of the tenant in Balancer.Tenants
	ZoneNames      []string
	KindNames      []string
	ReportFields   []string      // names of the values in a load report, in their order
	ConnectTimeout time.Duration // within which a connection to a server has to be up
	IdleTimeout    time.Duration // after which an idle connection is closed; 0: never
	DrainGrace     time.Duration // from the notification that a server is draining until nothing more may be sent to it
}

// Parse reads a settings text. Keys that it has no use for are ignored. It checks only what it needs to read the rest: the
// ranges of values are checked by balancer.New and by the programs.
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

// MaxMilliseconds bounds what Milliseconds converts: about 31 years, far below what a time.Duration holds.
const MaxMilliseconds = 1e12

// Milliseconds converts milliseconds to a duration, rounded to microseconds. What is out of range becomes 0, which stands
// for an absent value.
func Milliseconds(ms float64) time.Duration {
	if math.IsNaN(ms) || math.Abs(ms) > MaxMilliseconds {
		return 0
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}
