// Package result defines the measurements of a scale run, as its processes send them to each other and as they are
// written as JSON. Apart from summaries it computes nothing. Its values belong to their caller.
package result

// Sizes are the sizes and rates of a run.
type Sizes struct {
	Servers          int     `json:"servers"`
	Services         int     `json:"services"`
	Agents           int     `json:"agents"` // including real ones
	Real             int     `json:"real"`
	Depth            int     `json:"depth"`
	CallsPerSecond   float64 `json:"calls_per_second"`   // of the whole fleet, at all depths
	ChangesPerMinute float64 `json:"changes_per_minute"` // of the configuration
	Seconds          float64 `json:"seconds"`
	Seed             uint64  `json:"seed"`

	// The numbers of changes and failures in the run. Without them some budgets cannot be measured.
	ListChanges int `json:"list_changes"`
	Configs     int `json:"configs"`
	Failures    int `json:"failures"` // of the deepest service
}

// AgentControl is the cost of control traffic for the simulated or the real agents. Processes send it under its field
// names.
type AgentControl struct {
	Agents           int          `json:"agents"`
	BytesIn          Distribution `json:"bytes_in_per_s"`   // mean of each agent over the run, in bytes per second
	BytesOut         Distribution `json:"bytes_out_per_s"`  // the same for sent bytes
	Worst6s          Distribution `json:"worst_6s_per_s"`   // of each agent: bytes per second, both ways, in its worst 6 s
	CPUPercent       float64      `json:"cpu_percent"`      // of one core, per agent, for control traffic only
	HeapBytes        float64      `json:"heap_bytes"`       // live heap per simulated agent
	RSSBytes         Distribution `json:"rss_bytes"`        // real agents only
	ListInForce      Distribution `json:"list_in_force_ms"` // reported by simulated agents; ListAcknowledged for real ones
	ListAcknowledged Distribution `json:"list_heard_ms"`    // until the agent's next call acknowledges it to control; all agents
	ConfigInForce    Distribution `json:"config_in_force_ms"`
	Undelivered      int          `json:"unheard"` // pairs of an agent and a due change that did not reach it during the run
}

// ControlMachine is the work of one machine of the control plane: control itself, a relay, or the configuration source.
// Processes send it under its field names.
type ControlMachine struct {
	Role       string       `json:"role"`
	Name       string       `json:"name"`
	Calls      int64        `json:"calls"`
	FullLists  int64        `json:"whole_lists"`
	Rejected   int64        `json:"refused"`
	BytesIn    int64        `json:"bytes_in"`
	BytesOut   int64        `json:"bytes_out"`
	CPUPercent float64      `json:"cpu_percent"` // of one core, measured CPU time
	Busy       float64      `json:"busy"`        // share of the run taken by its configured costs
	Worst6s    float64      `json:"worst_6s_busy"`
	QueueMS    Distribution `json:"queue_ms"` // time that calls waited in the queue
	QueueMax   int          `json:"queue_max"`
	RSSBytes   float64      `json:"rss_bytes"`
}

// Depth counts the calls at one depth below the root; root calls have depth 1. Processes send it under its field names.
type Depth struct {
	Depth             int     `json:"depth"`
	Calls             int64   `json:"calls"` // made by attempts at the layer above
	Attempts          int64   `json:"attempts"`
	OK                int64   `json:"ok"`
	Failed            int64   `json:"failed"`
	Rejected          int64   `json:"refused"`
	FailCalls         int64   `json:"fail_calls"` // this and the next two: while the deepest service failed
	FailAttempts      int64   `json:"fail_attempts"`
	FailOK            int64   `json:"fail_ok"`
	PerRoot           float64 `json:"attempts_per_root"`      // attempts at this depth per root call while nothing failed
	FailPerRoot       float64 `json:"fail_attempts_per_root"` // the same while the deepest service failed
	Amplification     float64 `json:"amplification"`          // FailPerRoot divided by PerRoot
	ServedMeanPercent float64 `json:"served_percent"`
}

// Window counts the root calls that began in one second of the run and how many of them were served. Processes send it
// under its field names.
type Window struct {
	Second  int     `json:"second"`
	Roots   int64   `json:"roots"`
	Served  int64   `json:"served"`
	Percent float64 `json:"percent"`
}

// EventResult is the effect of one event of the scenario.
type EventResult struct {
	Kind                  string       `json:"kind"`
	AtSeconds             float64      `json:"at_s"`
	LengthSeconds         float64      `json:"length_s"`
	Affects               int          `json:"affects"`     // number of agents, servers or machines, depending on the kind
	Bytes                 int64        `json:"bytes"`       // control traffic of all agents until 6 s after the event
	InForceMS             Distribution `json:"in_force_ms"` // of the event's changes, at each agent
	Undelivered           int          `json:"unheard"`
	ServedPercent         float64      `json:"served_percent"`  // of the root calls during the event
	ServedBeforePercent   float64      `json:"before_percent"`  // in the 5 s before the event
	RecoveredAfterSeconds float64      `json:"back_after_s"`    // from its end until 90% of ServedBeforePercent; -1: never
	FullLists             int64        `json:"whole_lists"`     // sent by control and relays until 6 s after the event
	Rejected              int64        `json:"control_refused"` // calls rejected by control and relays until 6 s after the event
}

// Added is the latency that real agents add to a call, compared with the same call made directly. The two alternate in
// one run.
type Added struct {
	Through   Distribution `json:"through_ms"`
	Direct    Distribution `json:"direct_ms"`
	MedianMS  float64      `json:"added_median_ms"` // median of the pairs' differences
	P99MS     float64      `json:"added_p99_ms"`    // P99 of Through minus P99 of Direct
	Failed    int          `json:"failed"`
	CallsEach int          `json:"calls_each"`
}

// Budget is one of the operators' limits and the measured value.
type Budget struct {
	Name     string  `json:"name"`
	Measured float64 `json:"measured"`
	Limit    float64 `json:"limit"`
	Unit     string  `json:"unit"`
	OK       bool    `json:"ok"`
}

// Ratio compares a measurement of the simulated agents with that of the real agents in the same run.
type Ratio struct {
	Name      string  `json:"name"`
	Simulated float64 `json:"hollow"`
	Real      float64 `json:"real"`
	Ratio     float64 `json:"ratio"`  // simulated over real
	Factor    float64 `json:"factor"` // the ratio must be between 1/Factor and Factor
	OK        bool    `json:"ok"`
}

// Run holds the measurements of one run.
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
	ModelLagMS        Distribution     `json:"model_lag_ms"`    // how late modelled events were handled
	ModelKeptTime     bool             `json:"model_kept_time"` // the lag was small enough for valid results of calls
	RestartsNotUp     int              `json:"not_up"`          // restarts after which a real agent was not up in time
	LateNotifications int              `json:"late_told"`       // changes sent later than control's configured costs explain
	WallSeconds       float64          `json:"wall_s"`
	Incomplete        string           `json:"incomplete,omitempty"` // why the run ended early
}
