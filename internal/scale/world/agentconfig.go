package world

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"example.org/ryeloft/internal/scale/scenario"
)

// EchoService is the name of the service that AddEcho adds, and of its class.
const EchoService = "echo"

// These are the times of the echo class, whose servers respond immediately.
const (
	echoLatencyObjectiveMS = 250
	echoDeadlineMS         = 2000
)

// AddEcho adds an idempotent service of layer 0 whose servers are real sockets: one at each address, assigned to the
// zones in rotation. Every process of a run must add the same addresses; otherwise their worlds differ.
func (w *World) AddEcho(addrs []string) {
	class := max(0, slices.IndexFunc(w.Scenario.Classes, func(c scenario.Class) bool { return c.Idempotency == scenario.Idempotent }))
	w.Services = append(w.Services, Service{Name: EchoService, Class: class})
	for i, addr := range addrs {
		w.addServer(len(w.Services)-1, i%len(w.Zones), 0, 1)
		w.Servers[len(w.Servers)-1].Addr = addr
	}
}

// echoService returns the position of the echo service, or -1 if there is none.
func (w *World) echoService() int {
	if last := len(w.Services) - 1; w.Services[last].Name == EchoService {
		return last
	}
	return -1
}

// settingsJSON contains only those settings that the agents use, because every agent receives them at each change. A
// test limits the encoded size to 3,000 bytes.
type settingsJSON struct {
	Classes    []classJSON `json:"categories"`
	Localities []string    `json:"localities"`
	Kinds      []string    `json:"skus"`
	Agents     int         `json:"replicasOfMe"`
	Index      int         `json:"rank"`
	Zone       int         `json:"zone"`
	Discovery  string      `json:"discovery"`
	Tick       float64     `json:"tick"`
	Report     reportJSON  `json:"report"`
	Limits     limitsJSON  `json:"limits"`
	Rules      rulesJSON   `json:"rules"`
}

// classJSON is the class of the calls to one service. Times are in milliseconds.
type classJSON struct {
	Name             string  `json:"name"`
	LatencyObjective float64 `json:"aim"`
	Deadline         float64 `json:"deadline"`
	PriorityWeight   float64 `json:"credit"`
	Idempotency      string  `json:"effect"`
	DedupWindow      float64 `json:"repeatWindow,omitempty"`
	Kinds            []int   `json:"boundTo"`
}

type reportJSON struct {
	Fields []string `json:"fields"`
	Mode   string   `json:"how"`
}

type limitsJSON struct {
	MaxAttempts    int     `json:"maxAttempts"`
	Cancel         bool    `json:"cancel"`
	Hedging        bool    `json:"secondCopies"`
	RetryAfter     bool    `json:"retryAfter"`
	ConnectTimeout float64 `json:"connectTimeout"`
	IdleClose      float64 `json:"idleClose"`
}

type rulesJSON struct {
	SlowStartMinWeight float64 `json:"coldFrom"`
	OverloadFactor     float64 `json:"overloadFactor"`
	SlowStartDuration  float64 `json:"warmAfter"`
	DrainGrace         float64 `json:"drainGrace"`
	MaxPollInterval    float64 `json:"mustAskIn"`
	RetryBudgetRatio   float64 `json:"resendRatio"`
	RetryBudgetMin     float64 `json:"extraFloor"`
	RetryBudgetWindow  float64 `json:"extraWindow"`
}

// Settings returns the settings of an agent in a revision from 0 on, as JSON. Each revision has a different text. After
// AddEcho, a real agent may call the echo service.
func (w *World) Settings(agent int, revision int) []byte {
	return mustMarshal(w.settings(agent, revision, w.Agents[agent].Real))
}

func (w *World) settings(agent, revision int, echo bool) settingsJSON {
	s := w.Scenario
	t := settingsJSON{
		Localities: w.Zones, Agents: len(w.Agents), Index: agent,
		Zone: w.Servers[w.Agents[agent].Server].Zone, Discovery: "subscribe", Tick: 1,
		Report: reportJSON{Fields: []string{"outstanding", "backlog", "recent_ms"}, Mode: "inline"},
		Limits: limitsJSON{
			MaxAttempts: s.Agent.MaxAttempts, Cancel: true, Hedging: true, RetryAfter: true,
			ConnectTimeout: 250, IdleClose: 30000,
		},
		Rules: rulesJSON{
			SlowStartMinWeight: s.Fleet.SlowStartMinWeight, OverloadFactor: 2, SlowStartDuration: s.Fleet.SlowStartS * 1000, DrainGrace: 300,
			MaxPollInterval:  s.Agent.MaxPollIntervalS * 1000,
			RetryBudgetRatio: s.Agent.RetryBudgetRatio, RetryBudgetMin: s.Agent.RetryBudgetMin, RetryBudgetWindow: s.Agent.RetryBudgetWindowS * 1000,
		},
	}
	for _, service := range w.Services {
		t.Kinds = append(t.Kinds, service.Name)
	}
	for _, service := range w.Classes(agent, echo) {
		t.Classes = append(t.Classes, w.classSettings(service, revision))
	}
	return t
}

// Classes returns the services that an agent's classes represent, in the order of its settings: those that its own
// service calls, then the echo service if echo is true and the service exists. Settings need at least one class, so an
// agent that calls no service has the class of its own service.
func (w *World) Classes(agent int, echo bool) (out []int) {
	own := w.Servers[w.Agents[agent].Server].Service
	for _, c := range w.Services[own].Calls {
		out = append(out, c.Service)
	}
	if e := w.echoService(); echo && e >= 0 {
		out = append(out, e)
	}
	if len(out) == 0 {
		out = append(out, own)
	}
	return out
}

// classSettings returns the class of a service. Each revision lengthens the deadline by a microsecond, which changes
// the text but no decision of an agent.
func (w *World) classSettings(service, revision int) classJSON {
	s := &w.Services[service]
	class := &w.Scenario.Classes[s.Class]
	c := classJSON{
		Name: s.Name, LatencyObjective: class.LatencyObjectiveMS, Deadline: class.DeadlineMS,
		PriorityWeight: class.PriorityWeight, Idempotency: class.Idempotency, DedupWindow: class.DedupWindowMS, Kinds: []int{service},
	}
	if service == w.echoService() {
		c.LatencyObjective = echoLatencyObjectiveMS
		c.Deadline = echoDeadlineMS
		c.PriorityWeight = 1
		c.Idempotency = scenario.Idempotent
		c.DedupWindow = 0
	}
	c.Deadline = math.Round(float64(c.Deadline*1000)+float64(revision)) / 1000
	return c
}

// ConfigOptions contains the parts of an agent's configuration that do not follow from the world.
type ConfigOptions struct {
	Listen, Discovery string   // host and port
	Console           string   // host and port; empty: none
	Relays            []string // host and port of each
	Revision          int      // of the settings
	CachedEndpoints   []byte   // a full list in the discovery service's format; nil: none
	Echo              bool     // whether the agent may call the echo service, if there is one
	Seed              uint64
}

// configJSON is an agent's configuration file.
type configJSON struct {
	Name            string             `json:"name"`
	Listen          string             `json:"listen"`
	Discovery       string             `json:"discovery"`
	Console         string             `json:"console,omitempty"`
	Relays          []string           `json:"relays,omitempty"`
	Seed            string             `json:"seed"`
	Limits          resourceLimitsJSON `json:"limits"`
	CachedEndpoints json.RawMessage    `json:"known,omitempty"`
	Settings        settingsJSON       `json:"settings"`
}

type resourceLimitsJSON struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config returns an agent's configuration as JSON. It panics if CachedEndpoints is not valid JSON.
func (w *World) Config(agent int, o ConfigOptions) []byte {
	return mustMarshal(configJSON{
		Name: w.Agents[agent].Name, Listen: o.Listen, Discovery: o.Discovery, Console: o.Console, Relays: o.Relays,
		Seed:            fmt.Sprintf("%016x", o.Seed),
		Limits:          resourceLimitsJSON{Cores: 1, MemoryMB: w.Scenario.Agent.MemoryMB, Sockets: w.Scenario.Agent.Sockets},
		CachedEndpoints: o.CachedEndpoints, Settings: w.settings(agent, o.Revision, o.Echo),
	})
}

// mustMarshal marshals plain types, which fails only if a RawMessage is not valid JSON.
func mustMarshal(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}
