package balancer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The state of a Balancer and its construction. What is done with it is in balancer.go.

type server struct {
	Endpoint
	rank     float64       // place on the ring of all servers
	base     float64       // speed by the list's first weight
	slow     float64       // times slower than its kind, learnt
	built    float64       // speed in the present line
	used     time.Duration // when it last answered over a connection, 0 if never
	inFlight int           // own attempts out
	silent   int           // of these, those that have been silent for longer than the patience
	since    int           // sends since the last report
	load     LoadReport    // its last report
	loadAt   time.Duration
	probing  bool
	full     time.Duration // passed by until then: it had no room
	resets   int           // of its connections since it last answered
	health   []health      // by class
}

// health is what a server's answers to one class say.
type health struct {
	bad   float64       // failures of late, halved by each success
	until time.Duration // ejected until then
	times int           // ejections in a row
	used  time.Duration // when it last answered, 0 if never
}

func (s *server) tellsQueue() bool { return s.load.Known && s.load.Queue >= 0 }

func (s *server) restart(e *Endpoint) {
	s.slow, s.full, s.resets, s.used, s.load.Known = 1, 0, 0, 0, false
	clear(s.health)
	if s.base = e.Weight; !(e.Weight > 0 && e.Weight < math.MaxFloat32) {
		s.base = 1
	}
}

type attempt struct {
	server *server
	sent   time.Duration
	ahead  float64 // requests that its server held, and itself
	blamed float64 // for its silence
	checks int     // for it
	out    bool
	ran    bool // may have run
}

// lost says that its server, which has reported since, holds less than this agent alone has sent it.
func (a *attempt) lost() bool {
	s := a.server
	return s.load.Known && s.loadAt > a.sent && s.load.InFlight >= 0 && s.load.InFlight < float64(s.inFlight)
}

type request struct {
	id            RequestID
	class         *class
	tenant        int
	deadline, aim time.Duration
	attempts      []attempt
	unsent        int // of these, those that ended as Leaving
	out           int // attempts out
	ended         bool
	begun         bool // it cannot be had again, nor its answer
	draws         int
}

type class struct {
	Class
	index int           // of its name, here and in servers' health
	first time.Duration // how long a client's first try waits
	usual mean          // time of an answer, seconds
	line  line
}

// line is what the requests of one class are drawn from: only servers that are open to it.
type line struct {
	servers  []*server // in the design's order
	mu       []float64 // their present speeds
	speeds   sums      // of these
	pairs    sums      // of the pairs' weights
	farther  float64
	pass     []float64     // chance that a send to a server is let through while it is cold
	usualSum float64       // speed of the line when all of it is warm, its highest of late
	epoch    int           // of the Balancer when it was built
	next     time.Duration // when time alone changes it
}

// kind is what servers of one kind of machine have in common.
type kind struct {
	ratio mean    // time of an answer over its class's
	seen  float64 // answers that its pace was learnt from
}

// history keeps when things happened, oldest first, as far back as anyone asks.
type history []time.Duration

const longestHistory = 4096

func (h *history) add(at time.Duration) {
	if len(*h) >= longestHistory {
		*h = append((*h)[:0], (*h)[longestHistory/2:]...)
	}
	*h = append(*h, at)
}

// since counts what happened at a time or later.
func (h history) since(from time.Duration) int {
	i, _ := slices.BinarySearch(h, from)
	return len(h) - i
}

// mean is a moving mean; its first sample is taken whole.
type mean struct {
	v     float64
	known bool
}

func (m *mean) add(x, weight float64) {
	if !m.known {
		m.v, m.known = x, true
	}
	m.v += weight * (x - m.v)
}

// Balancer decides for one agent. It is not safe for concurrent use.
type Balancer struct {
	set          Settings
	rng          *rand.Rand
	now          time.Duration
	out          []Action
	classes      []*class
	names        []string // of all classes that there have been, by index
	servers      map[ServerID]*server
	ring         []*server // all servers, by rank
	epoch        int       // counts the changes that are worth new lines
	seen         float64   // answers that kinds' paces were learnt from
	open         map[RequestID]*request
	kinds        map[int]*kind
	service      mean      // time of an answer, seconds
	queue        [2]mean   // requests that servers say wait, at far ones and at near ones
	ahead        mean      // requests that were ahead of it, and itself
	typical      mean      // held over speed of the pairs' shorter, as drawn
	crowd        float64   // between crowdAlone and crowd
	late         mean      // time of an answer over its aim
	pressure     float64   // share of the usual requests to shed
	mix          []float64 // of late, by tenant
	worth        float64   // mean worth of the classes
	taken        history   // requests, for the retry budget and the size of the line
	extra        history   // attempts beyond a request's first
	listFailures int       // calls for the list that failed in a row
	listRefusals int       // the last of them that were refused at once
	listTimers   uint64    // timers for the next one, so far; only the last one counts
	logs         int       // lines since logsFrom
	logsFrom     time.Duration
	eased        time.Duration // when pressure last went down by itself
}

// New returns a Balancer that knows no server yet. Its error names the setting that cannot be right.
func New(s Settings, seed uint64) (*Balancer, error) {
	b := &Balancer{
		rng: rand.New(rand.NewPCG(seed, 0)), servers: map[ServerID]*server{}, open: map[RequestID]*request{},
	}
	return b, b.Adopt(s)
}

// Adopt takes settings in place of the present ones, all or none. What is learnt of servers stays, and of classes under
// their names; a request under way keeps the class it was taken with.
func (b *Balancer) Adopt(s Settings) error {
	if err := s.check(); err != nil {
		return fmt.Errorf("balancer: %w", err)
	}
	if s.RetryBudgetWindow == 0 {
		s.RetryBudgetWindow, s.RetryBudgetMin, s.RetryBudgetRatio = seconds(retrySpan), retryFloor, retryRatio
	}
	old := b.classes
	if b.kinds == nil || !slices.Equal(b.set.Kinds, s.Kinds) { // what is learnt of them goes by place
		b.kinds, b.seen = map[int]*kind{}, 0
	}
	b.set, b.epoch, b.classes, b.worth, b.mix = s, b.epoch+1, nil, 0, nil
	// What a server is sent by others between its report and a request is unknown, and grows with their number.
	b.crowd = crowd + (crowdAlone-crowd)/math.Sqrt(float64(s.Agents))
	for _, c := range s.Classes {
		n := &class{Class: c, index: slices.Index(b.names, c.Name), usual: mean{c.LatencyObjective.Seconds() / 3, true}}
		if i := slices.IndexFunc(old, func(o *class) bool { return o.Name == c.Name }); i >= 0 {
			n.usual, n.first = old[i].usual, old[i].first
		}
		if n.index < 0 {
			n.index, b.names = len(b.names), append(b.names, c.Name)
		}
		b.classes, b.worth = append(b.classes, n), b.worth+c.PriorityWeight/float64(len(s.Classes))
	}
	for _, t := range s.Tenants {
		b.mix = append(b.mix, t.Quota) // until they are seen
	}
	for _, s := range b.ring {
		s.rank, s.health = b.order(s.ID), append(s.health, make([]health, len(b.names)-len(s.health))...)
	}
	b.sortRing()
	return nil
}

func (b *Balancer) sortRing() {
	slices.SortFunc(b.ring, func(x, y *server) int { return cmp.Compare(x.rank, y.rank) })
}

// SettingError says which field of Settings has a value that it cannot have.
type SettingError struct {
	// Field is the path of the field, such as Classes[1].Deadline.
	Field string
	Value any
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s cannot be %v", e.Field, e.Value)
}

// check returns a *SettingError of the first field that has a value that it cannot have.
func (s *Settings) check() error {
	var first error
	wrong := func(field string, value any, is bool) {
		if is && first == nil {
			first = &SettingError{Field: field, Value: value}
		}
	}
	wrong("Agents", s.Agents, s.Agents < 1)
	wrong("Rank", s.Rank, s.Rank < 0 || s.Rank >= s.Agents)
	wrong("MaxAttempts", s.MaxAttempts, s.MaxAttempts < 1)
	wrong("SlowStartMinWeight", s.SlowStartMinWeight, !(s.SlowStartMinWeight > 0 && s.SlowStartMinWeight <= 1))
	wrong("SlowStartDuration", s.SlowStartDuration, s.SlowStartDuration < 0)
	wrong("OverloadFactor", s.OverloadFactor, !(s.OverloadFactor > 0))
	wrong("RetryBudgetWindow", s.RetryBudgetWindow, s.RetryBudgetWindow < 0)
	wrong("RetryBudgetMin", s.RetryBudgetMin, !(s.RetryBudgetMin >= 0))
	wrong("RetryBudgetRatio", s.RetryBudgetRatio, !(s.RetryBudgetRatio >= 0))
	wrong("Tick", s.Tick, s.Tick < 0)
	wrong("MaxPollInterval", s.MaxPollInterval, s.PollEndpoints && s.MaxPollInterval <= 0)
	wrong("Classes", "empty", len(s.Classes) == 0)
	for i, c := range s.Classes {
		at := fmt.Sprintf("Classes[%d].", i)
		wrong(at+"LatencyObjective", c.LatencyObjective, c.LatencyObjective <= 0)
		wrong(at+"Deadline", c.Deadline, c.Deadline < c.LatencyObjective)
		wrong(at+"PriorityWeight", c.PriorityWeight, !(c.PriorityWeight >= 0))
		wrong(at+"Idempotency", c.Idempotency, c.Idempotency > NonIdempotent)
		wrong(at+"DedupScope", c.DedupScope, c.DedupScope > DedupScopeCell)
		wrong(at+"DedupWindow", c.DedupWindow, c.DedupWindow < 0)
		wrong(at+"Zones", c.Zones, slices.ContainsFunc(c.Zones, negative))
		wrong(at+"Kinds", c.Kinds, slices.ContainsFunc(c.Kinds, negative))
	}
	for i, t := range s.Tenants {
		wrong(fmt.Sprintf("Tenants[%d].Quota", i), t.Quota, !(t.Quota >= 0))
	}
	return first
}

func negative(i int) bool { return i < 0 }

func (b *Balancer) act(a Action) { b.out = append(b.out, a) }

// log writes a line for the operators, 20 in any minute: one agent must not drown the others' lines.
func (b *Balancer) log(format string, args ...any) {
	if b.now-b.logsFrom >= time.Minute {
		b.logsFrom, b.logs = b.now, 0
	}
	if b.logs++; b.logs <= 20 {
		b.act(Action{Kind: ActionLog, Text: fmt.Sprintf(format, args...)})
	}
}

func (b *Balancer) kind(s *server) *kind {
	k := b.kinds[s.Kind]
	if k == nil {
		k = &kind{ratio: mean{1, true}}
		b.kinds[s.Kind] = k
	}
	return k
}

// sums are running sums of weights, for draws by weight in logarithmic time.
type sums []float64

func (s sums) add(weight float64) sums { return append(s, s.span(0, len(s))+weight) }

// span is the sum of the weights i to j-1, those that exist.
func (s sums) span(i, j int) float64 {
	upTo := func(k int) float64 {
		if k = min(k, len(s)); k <= 0 {
			return 0
		}
		return s[k-1]
	}
	return upTo(j) - upTo(i)
}

// pick draws an index by weight, u being uniform in [0, 1).
func (s sums) pick(u float64) int {
	i, _ := slices.BinarySearch(s, u*s[len(s)-1])
	return min(i, len(s)-1)
}

// entry finds the server of a line of the list, or puts it last on the ring; one not known that is gone stays so.
func (b *Balancer) entry(e *Endpoint) *server {
	s := b.servers[e.ID]
	if s == nil && e.State != Removed {
		s = &server{rank: b.order(e.ID), health: make([]health, len(b.names))}
		b.servers[e.ID], b.ring = s, append(b.ring, s)
	}
	return s
}

// EjectedEndpoints counts the listed servers that are ejected for every class.
func (b *Balancer) EjectedEndpoints(now time.Duration) (n int) {
	for _, s := range b.ring {
		in := slices.ContainsFunc(b.classes, func(c *class) bool { return s.health[c.index].until <= now })
		if !in && s.State != Removed {
			n++
		}
	}
	return n
}

// Handle takes one event and appends what must be done to out.
func (b *Balancer) Handle(now time.Duration, ev Event, out []Action) []Action {
	b.now, b.out = max(now, b.now), out
	switch ev.Kind {
	case EventDiscovery:
		b.onList(&ev)
	case EventRequest:
		b.onRequest(&ev)
	case EventOutcome:
		b.onOutcome(&ev)
	case EventStreaming:
		if r := b.open[ev.Request]; r != nil {
			r.begun = true
		}
	case EventClientClosed:
		if r := b.open[ev.Request]; r != nil {
			b.end(r, false)
		}
	case EventTimer:
		b.onTimer(ev.TimerID)
	case EventHealthCheck:
		b.onProbed(&ev)
	}
	out, b.out = b.out, nil
	return out
}

// The upper bits of a TimerID say what the timer is for; of timerCheck the lower ones hold an attempt and its request.
const (
	timerPoll  TimerID = 1 << 56
	timerCheck TimerID = 3 << 56
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
