// Package scenario reads the input of a scale run, its sizes, costs, budgets and events, from a TOML file and rejects
// unknown keys. The package keeps no state and starts no goroutines; a Scenario belongs to its caller.
package scenario

// Scenario is the content of one file. Its fields follow the file's keys and are sent to the processes of a run under
// their Go names. The suffix of a field's name states the unit of a time.
type Scenario struct {
	Name    string  `toml:"name"`
	Seed    uint64  `toml:"seed"`
	Seconds float64 `toml:"seconds"` // length of the measurement period

	Fleet   Fleet   `toml:"fleet"`
	Agent   Agent   `toml:"agent"`
	Control Control `toml:"control"`
	Relays  Relays  `toml:"relays"`
	Classes []Class `toml:"classes"`
	Budgets Budgets `toml:"budgets"`
	Events  []Event `toml:"events"`
}

// Fleet is the size and topology of the fleet.
type Fleet struct {
	Servers            int     `toml:"servers"`
	Services           int     `toml:"services"`
	Agents             int     `toml:"agents"` // 0: one per server, see Scenario.Agents
	Real               int     `toml:"real"`   // how many of the agents are processes of bin/agent
	Depth              int     `toml:"depth"`
	CallsPerSecond     float64 `toml:"calls_per_second"` // of all simulated agents together, at all depths
	Regions            int     `toml:"regions"`
	Zones              int     `toml:"zones"`       // in all regions together
	Racks              int     `toml:"racks"`       // in each zone
	Uneven             float64 `toml:"uneven"`      // exponent of the services' sizes by rank; 0: equal sizes
	ServiceMS          float64 `toml:"service_ms"`  // mean processing time of a call at speed 1
	Slots              int     `toml:"slots"`       // requests that a server processes concurrently
	QueueSlots         int     `toml:"queue_slots"` // maximum queue length of a server
	NetworkMS          float64 `toml:"network_ms"`  // one-way latency within a zone
	CrossMS            float64 `toml:"cross_ms"`    // one-way latency between zones
	RegionMS           float64 `toml:"region_ms"`   // one-way latency between regions
	SlowStartMinWeight float64 `toml:"cold_from"`   // share of its full speed at which a server starts
	SlowStartS         float64 `toml:"warm_s"`      // time from its start until a server has its full speed
	DrainS             float64 `toml:"drain_s"`     // from the list that marks a server as draining to the end of its process
	BootS              float64 `toml:"boot_s"`      // from the end of a process to the start of the next one
}

// Agent holds the limits and settings in each agent's configuration.
type Agent struct {
	MemoryMB           int     `toml:"memory_mb"`
	Sockets            int     `toml:"sockets"`
	MaxAttempts        int     `toml:"max_attempts"`
	RetryBudgetRatio   float64 `toml:"retry_ratio"`
	RetryBudgetMin     float64 `toml:"retry_floor"`
	RetryBudgetWindowS float64 `toml:"retry_window_s"`
	MaxPollIntervalS   float64 `toml:"must_ask_in_s"`
}

// Control describes the stand-in for the platform's discovery and configuration source.
type Control struct {
	Machines   int     `toml:"machines"`       // reserved for the control plane
	CallMS     float64 `toml:"call_ms"`        // configured cost of a call that does not continue a watch
	EntryUS    float64 `toml:"line_us"`        // configured cost of each entry in a response
	Parallel   int     `toml:"parallel"`       // calls that it processes concurrently
	RejectMS   float64 `toml:"refuse_ms"`      // a call is rejected after this time in the queue
	Log        int     `toml:"log"`            // revisions with kept changes; agents with older ones get the full list
	NoticeMS   float64 `toml:"notice_ms"`      // from a change of the fleet to the revision that contains it
	PushMS     float64 `toml:"push_ms"`        // configured cost of sending a configuration to one agent
	ChangesDay float64 `toml:"changes_day"`    // configuration changes per day
	PerMinute  float64 `toml:"changes_minute"` // rate in the run; 0: the mean of the day
}

// Relays describes the relays between control and the agents. There are none if Count is 0.
type Relays struct {
	Count         int     `toml:"count"`
	FullListsPerS float64 `toml:"admit_per_s"`     // maximum rate of full lists that each relay sends
	KillAt        float64 `toml:"kill_at_s"`       // time at which one relay is killed; 0: none
	RestartAfter  float64 `toml:"restart_after_s"` // time from the kill to the restart; 0: no restart
}

// These are the idempotency values of calls, as written in files and settings.
const (
	Idempotent        = "pure"
	IdempotentWithKey = "token"
	NonIdempotent     = "side_effect"
)

// Class is a class of calls. Each service belongs to one class.
type Class struct {
	Name               string  `toml:"name"`
	Share              float64 `toml:"share"`  // share of the services in this class
	Idempotency        string  `toml:"effect"` // pure, token or side_effect
	LatencyObjectiveMS float64 `toml:"aim_ms"`
	DeadlineMS         float64 `toml:"deadline_ms"`
	DedupWindowMS      float64 `toml:"window_ms"` // for token: the time during which repeated calls are deduplicated
	PriorityWeight     float64 `toml:"worth"`
}

// Budgets are the operators' limits. A limit of 0 is not checked.
type Budgets struct {
	AddedP99MS   float64 `toml:"added_p99_ms"`
	AgentCPU     float64 `toml:"agent_cpu_percent"` // of a core, for control traffic
	AgentMemMB   float64 `toml:"agent_memory_mb"`
	AgentKBps    float64 `toml:"agent_kb_per_s"`    // for control traffic, in the worst 6 s of the worst agent
	InForceS     float64 `toml:"in_force_s"`        // until a change is in force at the last agent
	ControlBusy  float64 `toml:"control_machines"`  // configured and measured work in the worst 6 s, in machines
	Attempts     float64 `toml:"attempts_per_call"` // at the deepest layer, while it fails relative to while nothing fails
	AddedSamples int     `toml:"added_samples"`     // calls each way that measure the added latency
}

// These are the kinds of events.
const (
	EventConfig      = "config"       // a new configuration for every agent
	EventRestart     = "restart"      // Count agents restart, spread over ForS
	EventReplace     = "replace"      // Count servers drain and are replaced by servers with new ids, spread over ForS
	EventRelease     = "release"      // Share of the servers drain and restart, spread over ForS
	EventMachine     = "machine"      // Count servers and their agents fail at the same time, for ForS
	EventRack        = "rack"         // the servers of rack Count of zone Zone and their agents fail for ForS
	EventZone        = "zone"         // the servers of zone Zone and their agents fail for ForS and return in slow start
	EventRegions     = "regions"      // the regions are partitioned for ForS; control is in region 0
	EventControlLoss = "control-loss" // control is unavailable for ForS, then all agents reconnect
	EventAgentsBack  = "agents-back"  // all agents restart at the same time, without a list
	EventFail        = "fail"         // the deepest service responds with errors for ForS
)

// Event is a disturbance at a time of the run. The meaning of Count, Zone, Share and ForS depends on Kind.
type Event struct {
	Kind  string  `toml:"kind"`
	AtS   float64 `toml:"at_s"`
	ForS  float64 `toml:"for_s"`
	Count int     `toml:"count"`
	Zone  int     `toml:"zone"`
	Share float64 `toml:"share"`
}
