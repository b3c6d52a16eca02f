// Package result holds what a scale run measured, in the form in which its parts hand it on and in which it is written
// as JSON and as text. It computes nothing but summaries.
package result

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Distribution is a distribution in the unit of its owner's name. N 0 means that nothing was measured.
type Distribution struct {
	N    int64   `json:"n"`
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
}

// stepsPerUnit is how many steps of a Hist one unit has: three digits of figures from a thousandth on.
const stepsPerUnit = 1000

// Histogram collects figures not below 0, to three significant digits, in bounded memory.
type Histogram struct{ h *hdrhistogram.Histogram }

// NewHistogram returns an empty histogram for figures up to the largest one; what is above counts as that.
func NewHistogram(largest float64) *Histogram {
	return &Histogram{hdrhistogram.New(1, int64(largest*stepsPerUnit)+1, 3)}
}

// Add takes in one figure.
func (h *Histogram) Add(v float64) {
	n := min(max(int64(v*stepsPerUnit), 0), h.h.HighestTrackableValue())
	_ = h.h.RecordValue(n) // it is within the bounds
}

// AddDuration takes in a time, in milliseconds.
func (h *Histogram) AddDuration(d time.Duration) { h.Add(float64(d) / float64(time.Millisecond)) }

// Merge takes in all of another histogram.
func (h *Histogram) Merge(o *Histogram) { h.h.Merge(o.h) }

// Distribution sums the figures up.
func (h *Histogram) Distribution() Distribution {
	if h.h.TotalCount() == 0 {
		return Distribution{}
	}
	return Distribution{
		N: h.h.TotalCount(), Mean: h.h.Mean() / stepsPerUnit,
		P50: float64(h.h.ValueAtQuantile(50)) / stepsPerUnit,
		P99: float64(h.h.ValueAtQuantile(99)) / stepsPerUnit,
		Max: float64(h.h.Max()) / stepsPerUnit,
	}
}

// Sizes are what a run was played with.
type Sizes struct {
	Servers          int     `json:"servers"`
	Services         int     `json:"services"`
	Agents           int     `json:"agents"` // real ones among them
	Real             int     `json:"real"`
	Depth            int     `json:"depth"`
	CallsPerSecond   float64 `json:"calls_per_second"`   // of the fleet, at all depths
	ChangesPerMinute float64 `json:"changes_per_minute"` // of the configuration
	Seconds          float64 `json:"seconds"`
	Seed             uint64  `json:"seed"`

	// What was played, without which some figures have nothing to be measured by.
	ListChanges int `json:"list_changes"`
	Configs     int `json:"configs"`
	Failures    int `json:"failures"` // of the deepest service
}

// AgentControl is what control cost the agents of one sort, hollow or real.
type AgentControl struct {
	Agents      int          `json:"agents"`
	BytesIn     Distribution `json:"bytes_in_per_s"`   // mean of each agent over the run, bytes a second
	BytesOut    Distribution `json:"bytes_out_per_s"`  //
	Worst6s     Distribution `json:"worst_6s_per_s"`   // of each agent: in and out, bytes a second over its worst 6 s
	CPUPercent  float64      `json:"cpu_percent"`      // of one core, an agent, for control alone
	HeapBytes   float64      `json:"heap_bytes"`       // live, an agent; hollow ones
	RSSBytes    Distribution `json:"rss_bytes"`        // real ones
	ListInForce Distribution `json:"list_in_force_ms"` // hollow ones by themselves, real ones as ListHeard
	ListHeard   Distribution `json:"list_heard_ms"`    // as control hears of it, by the agent's next call; both sorts
	ConfInForce Distribution `json:"config_in_force_ms"`
	Unheard     int          `json:"unheard"` // pairs of an agent and a change that had not come when the run ended, of those due
}

// ControlMachine is what one machine of the control side did: control itself, a relay, or the source of configuration.
type ControlMachine struct {
	Role       string       `json:"role"`
	Name       string       `json:"name"`
	Calls      int64        `json:"calls"`
	WholeLists int64        `json:"whole_lists"`
	Refused    int64        `json:"refused"`
	BytesIn    int64        `json:"bytes_in"`
	BytesOut   int64        `json:"bytes_out"`
	CPUPercent float64      `json:"cpu_percent"` // of one core, real processor time
	Busy       float64      `json:"busy"`        // share of the run that its stated costs took
	Worst6s    float64      `json:"worst_6s_busy"`
	QueueMS    Distribution `json:"queue_ms"` // how long calls waited for their turn
	QueueMax   int          `json:"queue_max"`
	RSSBytes   float64      `json:"rss_bytes"`
}

// Depth is what happened to calls at one depth below the root, 1 being the first.
type Depth struct {
	Depth             int     `json:"depth"`
	Calls             int64   `json:"calls"` // wanted: attempts of the layer above that ran here
	Attempts          int64   `json:"attempts"`
	OK                int64   `json:"ok"`
	Failed            int64   `json:"failed"`
	Refused           int64   `json:"refused"`
	FailCalls         int64   `json:"fail_calls"` // the same while a deep service failed
	FailAttempts      int64   `json:"fail_attempts"`
	FailOK            int64   `json:"fail_ok"`
	PerRoot           float64 `json:"attempts_per_root"`      // attempts at this depth for each call at the root, in peace
	FailPerRoot       float64 `json:"fail_attempts_per_root"` // while a deep service failed
	Amplification     float64 `json:"amplification"`          // the second over the first
	ServedMeanPercent float64 `json:"served_percent"`
}

// Window is what was served in one second of the run.
type Window struct {
	Second  int     `json:"second"`
	Roots   int64   `json:"roots"`
	Served  int64   `json:"served"`
	Percent float64 `json:"percent"`
}

// EventResult is one event of the scenario as it was played.
type EventResult struct {
	Kind                  string       `json:"kind"`
	AtSeconds             float64      `json:"at_s"`
	LengthSeconds         float64      `json:"length_s"`
	Affects               int          `json:"affects"`     // agents, servers or machines, by its kind
	Bytes                 int64        `json:"bytes"`       // of control in and out, all agents, in the event and 6 s after it
	InForceMS             Distribution `json:"in_force_ms"` // of the changes that it made, at each agent
	Undelivered           int          `json:"unheard"`
	ServedPercent         float64      `json:"served_percent"`  // of the calls at the root, meanwhile
	ServedBeforePercent   float64      `json:"before_percent"`  // in the 5 s before
	RecoveredAfterSeconds float64      `json:"back_after_s"`    // from its end until nine tenths of before are served again; -1: not within the run
	FullLists             int64        `json:"whole_lists"`     // that control and relays wrote meanwhile
	Refused               int64        `json:"control_refused"` // calls of control and relays meanwhile
}

// Added is the time that a real agent adds to a call, against the same call made directly, in turn in one run.
type Added struct {
	Through   Distribution `json:"through_ms"`
	Direct    Distribution `json:"direct_ms"`
	MedianMS  float64      `json:"added_median_ms"` // of the pairs' differences
	P99MS     float64      `json:"added_p99_ms"`    // P99 of the one less P99 of the other
	Failed    int          `json:"failed"`
	CallsEach int          `json:"calls_each"`
}

// Budget is one line of what the target allows.
type Budget struct {
	Name     string  `json:"name"`
	Measured float64 `json:"measured"`
	Limit    float64 `json:"limit"`
	Unit     string  `json:"unit"`
	OK       bool    `json:"ok"`
}

// Ratio holds a figure of the hollow agents against the real ones' of the same run.
type Ratio struct {
	Name      string  `json:"name"`
	Simulated float64 `json:"hollow"`
	Real      float64 `json:"real"`
	Ratio     float64 `json:"ratio"`  // hollow over real
	Factor    float64 `json:"factor"` // the ratio may lie between 1/Factor and Factor
	OK        bool    `json:"ok"`
}

// Run is all that one run measured.
type Run struct {
	Scenario          string           `json:"scenario"`
	Sizes             Sizes            `json:"sizes"`
	Simulated         AgentControl     `json:"hollow"`
	Real              AgentControl     `json:"real"`
	Control           []ControlMachine `json:"control"`
	Depths            []Depth          `json:"depths"`
	Windows           []Window         `json:"windows"`
	Events            []EventResult    `json:"events"`
	Added             Added            `json:"added"`
	Ratios            []Ratio          `json:"ratios"`
	Budgets           []Budget         `json:"budgets"`
	ModelLagMS        Distribution     `json:"model_lag_ms"`    // how late modelled calls were handled; what they found is told as of their own time
	ModelKeptTime     bool             `json:"model_kept_time"` // that was little enough for what is said of calls to hold
	RestartsNotUp     int              `json:"not_up"`          // restarts of real agents after which one was not up in its time
	LateNotifications int              `json:"late_told"`       // changes that the stand-in itself told later than its stated costs explain
	WallSeconds       float64          `json:"wall_s"`
	Incomplete        string           `json:"incomplete,omitempty"` // why the run was cut short
}
