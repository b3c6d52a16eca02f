// Package scenario reads what a scale run plays: sizes, costs, budgets and events, from a strict TOML file. A Scenario has
// no owner but its holder; the package starts nothing and keeps nothing.
package scenario

// Scenario is one file. Its fields follow the file's keys, and are sent to the parts of a run by their own names. Times are
// in the unit with which a field's name ends.
type Scenario struct {
	Name    string  `toml:"name"`
	Seed    uint64  `toml:"seed"`
	Seconds float64 `toml:"seconds"` // of the run's measured part

	Fleet   Fleet   `toml:"fleet"`
	Agent   Agent   `toml:"agent"`
	Control Control `toml:"control"`
	Relays  Relays  `toml:"relays"`
	Classes []Class `toml:"classes"`
	Budgets Budgets `toml:"budgets"`
	Events  []Event `toml:"events"`
}

// Fleet is the size and shape of the world.
type Fleet struct {
	Servers            int     `toml:"servers"`
	Services           int     `toml:"services"`
	Agents             int     `toml:"agents"` // 0: one beside each server, see Scenario.Agents
	Real               int     `toml:"real"`   // of the agents are processes of bin/agent
	Depth              int     `toml:"depth"`
	CallsPerSecond     float64 `toml:"calls_per_second"` // of all simulated agents, at all depths
	Regions            int     `toml:"regions"`
	Zones              int     `toml:"zones"`       // in all
	Racks              int     `toml:"racks"`       // in each zone
	Uneven             float64 `toml:"uneven"`      // exponent of the services' sizes by rank; 0: all equal
	ServiceMS          float64 `toml:"service_ms"`  // mean time of work of one call at speed 1
	Slots              int     `toml:"slots"`       // requests that a server works on at once
	QueueSlots         int     `toml:"queue_slots"` // requests that may wait at a server
	NetworkMS          float64 `toml:"network_ms"`  // one way within a zone
	CrossMS            float64 `toml:"cross_ms"`    // one way between zones
	RegionMS           float64 `toml:"region_ms"`   // one way between regions
	SlowStartMinWeight float64 `toml:"cold_from"`   // share of its speed that a server starts with
	SlowStartS         float64 `toml:"warm_s"`
	DrainS             float64 `toml:"drain_s"` // from when the list says that a server drains to the end of its process
	BootS              float64 `toml:"boot_s"`  // from there to the next process
}

// Agent is what each agent's configuration grants and sets.
type Agent struct {
	MemoryMB           int     `toml:"memory_mb"`
	Sockets            int     `toml:"sockets"`
	MaxAttempts        int     `toml:"max_attempts"`
	RetryBudgetRatio   float64 `toml:"retry_ratio"`
	RetryBudgetMin     float64 `toml:"retry_floor"`
	RetryBudgetWindowS float64 `toml:"retry_window_s"`
	MaxPollIntervalS   float64 `toml:"must_ask_in_s"`
}

// Control describes the stand-in for the platform's discovery and source of configuration.
type Control struct {
	Machines   int     `toml:"machines"`       // set aside for control
	CallMS     float64 `toml:"call_ms"`        // stated cost of a call that does not continue a watch
	EntryUS    float64 `toml:"line_us"`        // stated cost of each line of an answer
	Parallel   int     `toml:"parallel"`       // calls that it works on at once
	RejectMS   float64 `toml:"refuse_ms"`      // a call that has waited so long is rejected
	Log        int     `toml:"log"`            // revisions whose changes it keeps; agents with older ones get the full list
	NoticeMS   float64 `toml:"notice_ms"`      // from a change in the world to its revision
	PushMS     float64 `toml:"push_ms"`        // stated cost of handing a configuration to one agent
	ChangesDay float64 `toml:"changes_day"`    // changes of configuration a day
	PerMinute  float64 `toml:"changes_minute"` // as played; 0: as the day's mean
}

// Relays stand between control and the agents; none where Count is 0.
type Relays struct {
	Count         int     `toml:"count"`
	FullListsPerS float64 `toml:"admit_per_s"` // full lists that each hands out a second at most
	KillAt        float64 `toml:"kill_at_s"`   // one relay is killed then; 0: none
	RestartAfter  float64 `toml:"restart_after_s"`
}

// The idempotency of calls, as files and settings name it.
const (
	Idempotent        = "pure"
	IdempotentWithKey = "token"
	NonIdempotent     = "side_effect"
)

// Class is a class of calls. Each service belongs to one, by its share.
type Class struct {
	Name               string  `toml:"name"`
	Share              float64 `toml:"share"`  // of the services
	Idempotency        string  `toml:"effect"` // pure, token or side_effect
	LatencyObjectiveMS float64 `toml:"aim_ms"`
	DeadlineMS         float64 `toml:"deadline_ms"`
	DedupWindowMS      float64 `toml:"window_ms"` // token: how long repeated calls are deduplicated
	PriorityWeight     float64 `toml:"worth"`
}

// Budgets are the operators' limits; 0 leaves one out.
type Budgets struct {
	AddedP99MS   float64 `toml:"added_p99_ms"`
	AgentCPU     float64 `toml:"agent_cpu_percent"` // of a core, for control
	AgentMemMB   float64 `toml:"agent_memory_mb"`
	AgentKBps    float64 `toml:"agent_kb_per_s"`    // for control: the worst 6 s of the worst agent
	InForceS     float64 `toml:"in_force_s"`        // the last agent
	ControlBusy  float64 `toml:"control_machines"`  // machines' worth of stated and real work in the worst 6 s
	Attempts     float64 `toml:"attempts_per_call"` // at the deepest layer while it fails, over those while nothing fails
	AddedSamples int     `toml:"added_samples"`
}

// The kinds of events.
const (
	EventConfig      = "config"       // a new configuration for every agent
	EventRestart     = "restart"      // Count agents restart, spread over ForS
	EventReplace     = "replace"      // Count servers drain and are replaced by new ids, spread over ForS
	EventRelease     = "release"      // Share of the servers drain and come back as new processes, spread over ForS
	EventMachine     = "machine"      // Count servers vanish at once, and their agents with them, for ForS
	EventRack        = "rack"         // the servers of rack Count of zone Zone vanish for ForS, and their agents with them
	EventZone        = "zone"         // the servers of zone Zone vanish for ForS and come back cold, and their agents with them
	EventRegions     = "regions"      // the regions are partitioned for ForS; control is in region 0
	EventControlLoss = "control-loss" // control is down for ForS, and all agents come back to it
	EventAgentsBack  = "agents-back"  // all agents restart at once, with no list
	EventFail        = "fail"         // the deepest service answers errors for ForS
)

// Event is something that happens in the run. What Count, Zone, Share and ForS mean depends on Kind.
type Event struct {
	Kind  string  `toml:"kind"`
	AtS   float64 `toml:"at_s"`
	ForS  float64 `toml:"for_s"`
	Count int     `toml:"count"`
	Zone  int     `toml:"zone"`
	Share float64 `toml:"share"`
}
