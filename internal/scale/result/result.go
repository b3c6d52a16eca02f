// Package result holds what a scale run measured, in the form in which its parts hand it on and in which it is written
// as JSON. It computes nothing but summaries; its values have no owner but their holder.
package result

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

	// What was played, without which some budgets cannot be measured.
	ListChanges int `json:"list_changes"`
	Configs     int `json:"configs"`
	Failures    int `json:"failures"` // of the deepest service
}

// AgentControl is what control cost the agents of one sort, simulated or real. Parts send it by its fields' names.
type AgentControl struct {
	Agents           int          `json:"agents"`
	BytesIn          Distribution `json:"bytes_in_per_s"`   // mean of each agent over the run, bytes a second
	BytesOut         Distribution `json:"bytes_out_per_s"`  //
	Worst6s          Distribution `json:"worst_6s_per_s"`   // of each agent: in and out, bytes a second over its worst 6 s
	CPUPercent       float64      `json:"cpu_percent"`      // of one core, an agent, for control alone
	HeapBytes        float64      `json:"heap_bytes"`       // live, an agent; simulated ones
	RSSBytes         Distribution `json:"rss_bytes"`        // real ones
	ListInForce      Distribution `json:"list_in_force_ms"` // simulated ones by themselves, real ones as ListAcknowledged
	ListAcknowledged Distribution `json:"list_heard_ms"`    // as control sees it acknowledged, by the agent's next call; both sorts
	ConfigInForce    Distribution `json:"config_in_force_ms"`
	Undelivered      int          `json:"unheard"` // undelivered: pairs of an agent and a change that was due and had not come when the run ended
}

// ControlMachine is what one machine of the control side did: control itself, a relay, or the source of configuration.
// Parts send it by its fields' names.
type ControlMachine struct {
	Role       string       `json:"role"`
	Name       string       `json:"name"`
	Calls      int64        `json:"calls"`
	FullLists  int64        `json:"whole_lists"`
	Rejected   int64        `json:"refused"`
	BytesIn    int64        `json:"bytes_in"`
	BytesOut   int64        `json:"bytes_out"`
	CPUPercent float64      `json:"cpu_percent"` // of one core, real processor time
	Busy       float64      `json:"busy"`        // share of the run that its stated costs took
	Worst6s    float64      `json:"worst_6s_busy"`
	QueueMS    Distribution `json:"queue_ms"` // how long calls waited for their turn
	QueueMax   int          `json:"queue_max"`
	RSSBytes   float64      `json:"rss_bytes"`
}

// Depth is what happened to calls at one depth below the root, 1 being the first. Parts send it by its fields' names.
type Depth struct {
	Depth             int     `json:"depth"`
	Calls             int64   `json:"calls"` // that attempts at the layer above made
	Attempts          int64   `json:"attempts"`
	OK                int64   `json:"ok"`
	Failed            int64   `json:"failed"`
	Rejected          int64   `json:"refused"`
	FailCalls         int64   `json:"fail_calls"` // the same while a deep service failed
	FailAttempts      int64   `json:"fail_attempts"`
	FailOK            int64   `json:"fail_ok"`
	PerRoot           float64 `json:"attempts_per_root"`      // attempts at this depth for each root call while nothing failed
	FailPerRoot       float64 `json:"fail_attempts_per_root"` // while a deep service failed
	Amplification     float64 `json:"amplification"`          // the second over the first
	ServedMeanPercent float64 `json:"served_percent"`
}

// Window is how many root calls began in one second of the run, and how many of them were served. Parts send it by its
// fields' names.
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
	ServedPercent         float64      `json:"served_percent"`  // of the root calls, meanwhile
	ServedBeforePercent   float64      `json:"before_percent"`  // in the 5 s before
	RecoveredAfterSeconds float64      `json:"back_after_s"`    // from its end until nine tenths of ServedBeforePercent are served; -1: not within the run
	FullLists             int64        `json:"whole_lists"`     // written by control and relays meanwhile
	Rejected              int64        `json:"control_refused"` // calls rejected by control and relays meanwhile
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

// Budget is one of the operators' limits and what a run measured of it.
type Budget struct {
	Name     string  `json:"name"`
	Measured float64 `json:"measured"`
	Limit    float64 `json:"limit"`
	Unit     string  `json:"unit"`
	OK       bool    `json:"ok"`
}

// Ratio compares a measurement of the simulated agents with that of the real ones of the same run.
type Ratio struct {
	Name      string  `json:"name"`
	Simulated float64 `json:"hollow"`
	Real      float64 `json:"real"`
	Ratio     float64 `json:"ratio"`  // simulated over real
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
	ModelLagMS        Distribution     `json:"model_lag_ms"`    // how late modelled calls were handled
	ModelKeptTime     bool             `json:"model_kept_time"` // the lag was small enough for the results of calls to hold
	RestartsNotUp     int              `json:"not_up"`          // restarts of real agents after which one was not up in time
	LateNotifications int              `json:"late_told"`       // changes that control notified later than its stated costs explain
	WallSeconds       float64          `json:"wall_s"`
	Incomplete        string           `json:"incomplete,omitempty"` // why the run ended early
}
