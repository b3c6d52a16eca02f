package simagent

import (
	"runtime"
	"slices"
	"sync"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/scale/result"
)

// ListChange records when a revision of the endpoint list came into force at each agent. It is sent by RPC, so its
// field names are fixed.
type ListChange struct {
	Revision uint64
	At       []int64 // Unix ns, indexed by agent of the world; 0: not yet, or not simulated
}

// maxLagP99Millis is the P99 lag above which the model did not keep up with real time.
const maxLagP99Millis = 50

// StatsReply holds the measurements since Begin. It is sent by RPC, so its field names are fixed.
type StatsReply struct {
	Agents  int
	Ready   int // agents that have the endpoint list
	Seconds float64

	Roots, FailRoots int64 // root calls made while nothing failed, and while the deepest service failed
	Depths           []result.Depth
	Windows          []result.Window
	Duplicates       int64    // attempts of non-idempotent calls that may have been executed already: must be 0
	Retries          [3]int64 // such attempts per idempotency: idempotent, with a key, non-idempotent

	Lists   []ListChange   // every revision from the first after Begin to the newest that any agent received
	Configs []ConfigChange // every revision whose rollout began after Begin
	Control result.AgentControl

	Polls, PollFailures, FullLists int64 // polls of discovery, failed polls, full lists received
	Logged                         int64 // log lines of the balancers

	// CPU time in seconds: of the process; of the modelled calls; of rendering configurations, which the platform does
	// in reality; of the garbage collector as estimated by the runtime; and CPU - ModelCPU - SourceCPU.
	CPU, ModelCPU, SourceCPU, CollectorCPU, ControlCPU float64

	Heap, Stacks float64 // bytes: live heap after a collection, less that of the empty model; goroutine stacks
	Goroutines   int
	LagMS        result.Distribution // delay with which the model handled events
	KeptTime     bool                // the P99 of LagMS was at most maxLagP99Millis
}

// measurement is the state at the beginning of the measurement period. mu serializes Begin and Stats.
type measurement struct {
	mu                sync.Mutex
	baselineHeapBytes float64 // before any agent started
	startedAt         time.Duration
	cpuAtStart        time.Duration
	sourceCPUAtStart  int64
	gcCPUAtStart      float64
	newestAtStart     uint64 // newest revision of the list that any agent had
}

// recordBaseline measures the heap of the model without agents' processes.
func (m *measurement) recordBaseline() { m.baselineHeapBytes, _ = liveHeap() }

// liveHeap collects garbage and returns the bytes of live heap and of stacks in use.
func liveHeap() (heap, stacks float64) {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), float64(m.StackInuse)
}

// countReady returns the number of agents that have received the list from discovery.
func (f *Fleet) countReady() (ready int) {
	for _, s := range f.shards {
		s.doSync(func() {
			for _, a := range f.agents {
				if a.shard == s && a.synced {
					ready++
				}
			}
		})
	}
	return ready
}

// Begin begins the measurement period and resets all counts.
func (f *Fleet) Begin() {
	m := &f.measurement
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startedAt = f.clock.Now()
	m.newestAtStart = 0
	for _, s := range f.shards {
		s.doSync(func() {
			s.counts = shardCounts{startedAt: m.startedAt}
			s.lag = result.NewHistogram(maxLagMillis)
			s.cpu.start()
			for _, a := range f.agents {
				if a.shard == s {
					m.newestAtStart = max(m.newestAtStart, a.revision)
					a.listTimes = nil
				}
			}
		})
	}
	f.polls.total.Store(0)
	f.polls.failed.Store(0)
	f.polls.fullLists.Store(0)
	m.cpuAtStart = cpuTime(processCPUClock)
	m.sourceCPUAtStart = f.configSource.cpu.spent.Load()
	m.gcCPUAtStart = gcCPUSeconds()
}

// Stats returns the measurements. It runs a garbage collection after reading the CPU time. The heap includes the calls
// in flight and the counts, so the heap per agent is an upper bound.
func (f *Fleet) Stats() StatsReply {
	m := &f.measurement
	m.mu.Lock()
	defer m.mu.Unlock()
	cpu := cpuTime(processCPUClock)
	gcCPU := gcCPUSeconds()
	r := StatsReply{
		Agents: len(f.agents), Ready: f.countReady(), Seconds: (f.clock.Now() - m.startedAt).Seconds(),
		CPU: (cpu - m.cpuAtStart).Seconds(), CollectorCPU: gcCPU - m.gcCPUAtStart,
		SourceCPU: time.Duration(f.configSource.cpu.spent.Load() - m.sourceCPUAtStart).Seconds(),
		Polls:     f.polls.total.Load(), PollFailures: f.polls.failed.Load(), FullLists: f.polls.fullLists.Load(),
		Configs: f.configSource.changesSince(m.startedAt), Goroutines: runtime.NumGoroutine(),
	}
	counts := shardCounts{}
	lag := result.NewHistogram(maxLagMillis)
	times := map[int][]listTime{}
	for _, s := range f.shards {
		s.doSync(func() {
			r.ModelCPU += s.cpu.modelTime().Seconds()
			counts.merge(&s.counts)
			lag.Merge(s.lag)
			for _, a := range f.agents {
				if a.shard == s {
					times[a.position] = slices.Clone(a.listTimes)
				}
			}
		})
	}
	r.addCounts(&counts)
	r.ControlCPU = r.CPU - r.ModelCPU - r.SourceCPU
	r.Lists = f.listChanges(times)
	r.LagMS = lag.Distribution()
	r.KeptTime = r.LagMS.P99 <= maxLagP99Millis
	r.Heap, r.Stacks = liveHeap()
	r.Heap = max(0, r.Heap-m.baselineHeapBytes)
	r.Control = f.controlCost(&r)
	return r
}

// addCounts fills in the shards' counts.
func (r *StatsReply) addCounts(c *shardCounts) {
	r.Roots = c.roots[phaseHealthy]
	r.FailRoots = c.roots[phaseFailing]
	r.Depths = c.depthResults()
	r.Windows = c.windowResults()
	r.Retries = c.retries
	r.Duplicates = c.retries[balancer.NonIdempotent]
	r.Logged = c.logLines
}

// controlCost summarizes the agents' control plane cost as far as this process can measure it. Bytes and list times are
// measured by the discovery service.
func (f *Fleet) controlCost(r *StatsReply) result.AgentControl {
	cost := result.AgentControl{Agents: len(f.agents)}
	if len(f.agents) == 0 || r.Seconds <= 0 {
		return cost
	}
	agents := float64(len(f.agents))
	cost.CPUPercent = 100 * r.ControlCPU / r.Seconds / agents
	cost.HeapBytes = r.Heap / agents
	inForce := result.NewHistogram(maxLagMillis * 60)
	for _, change := range r.Configs {
		for _, a := range f.agents {
			if at := change.At[a.position]; at != 0 {
				inForce.AddDuration(time.Duration(at - change.Began))
			}
		}
	}
	cost.ConfigInForce = inForce.Distribution()
	return cost
}

// listChanges converts the list times per agent to times per revision. If one response brought an agent several
// revisions, all of them came into force at that time.
func (f *Fleet) listChanges(times map[int][]listTime) (changes []ListChange) {
	newest := f.measurement.newestAtStart
	for _, agentTimes := range times {
		for _, t := range agentTimes {
			newest = max(newest, t.revision)
		}
	}
	for revision := f.measurement.newestAtStart + 1; revision <= newest; revision++ {
		change := ListChange{Revision: revision, At: make([]int64, len(f.world.Agents))}
		for position, agentTimes := range times {
			i := slices.IndexFunc(agentTimes, func(t listTime) bool { return t.revision >= revision })
			if i >= 0 {
				change.At[position] = agentTimes[i].atUnixNano
			}
		}
		changes = append(changes, change)
	}
	return changes
}
