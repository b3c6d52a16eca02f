package simagent

import (
	"runtime"
	"slices"
	"sync"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/scale/result"
)

// ListChange says since when a revision of the endpoint list has been in force. Its fields are part of a message.
type ListChange struct {
	Revision uint64
	At       []int64 // Unix ns, by agent of the world; 0: not yet, or not simulated
}

// maxLagP99Millis is the lag at P99 beyond which the model has not kept real time.
const maxLagP99Millis = 50

// StatsReply is what was measured since Begin. Its fields are part of a message.
type StatsReply struct {
	Agents  int
	Ready   int // agents that hold the list
	Seconds float64

	Roots, FailRoots int64 // root calls, and those made while the deepest service failed
	Depths           []result.Depth
	Windows          []result.Window
	Duplicates       int64    // attempts of non-idempotent calls that may have executed before: must be 0
	Retries          [3]int64 // such attempts by idempotency: idempotent, with a key, not

	Lists   []ListChange   // every revision from the first after Begin to the newest that an agent got
	Configs []ConfigChange // every revision whose rollout began after Begin
	Control result.AgentControl

	Polls, PollFailures, FullLists int64 // polls of discovery, failed ones, full lists that came
	Logged                         int64 // log lines of the balancers

	// Processor time in seconds: of the process; of the modelled calls; of making configurations, which is the platform's;
	// of the garbage collector by the runtime's estimate; and what of the first is neither the second nor the third.
	CPU, ModelCPU, SourceCPU, CollectorCPU, ControlCPU float64

	Heap, Stacks float64 // bytes: live after a collection, less what the empty model takes; of the goroutines
	Goroutines   int
	LagMS        result.Distribution // how late the model handled events
	KeptTime     bool                // LagMS was within maxLagP99Millis for 99 in 100
}

// measurement is the state at the beginning of the measured part.
type measurement struct {
	mu                sync.Mutex
	baselineHeapBytes float64 // before any agent was started
	startedAt         time.Duration
	cpuAtStart        time.Duration
	sourceCPUAtStart  int64
	gcCPUAtStart      float64
	newestAtStart     uint64 // newest revision of the list that any agent held
}

// recordBaseline measures the heap of the model alone.
func (m *measurement) recordBaseline() { m.baselineHeapBytes, _ = liveHeap() }

// liveHeap collects garbage and returns the bytes of heap and of stacks in use.
func liveHeap() (heap, stacks float64) {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), float64(m.StackInuse)
}

// countReady counts the agents that hold the list.
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

// Begin begins the measured part.
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

// Stats reports what was measured. It costs a garbage collection, after the processor time was read. The calls in flight
// and the counts are part of the heap, so that an agent's share is an upper figure.
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

// addCounts fills in what the shards counted.
func (r *StatsReply) addCounts(c *shardCounts) {
	r.Roots = c.roots[phaseHealthy]
	r.FailRoots = c.roots[phaseFailing]
	r.Depths = c.depthResults()
	r.Windows = c.windowResults()
	r.Retries = c.retries
	r.Duplicates = c.retries[balancer.NonIdempotent]
	r.Logged = c.logLines
}

// controlCost sums up what control cost the agents, as far as it shows here; bytes and the times of lists show at control.
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

// listChanges turns the agents' list times into times by revision. An agent that got several revisions in one answer has
// had all of them in force since.
func (f *Fleet) listChanges(times map[int][]listTime) (changes []ListChange) {
	newest := f.measurement.newestAtStart
	for _, ofAgent := range times {
		for _, t := range ofAgent {
			newest = max(newest, t.revision)
		}
	}
	for revision := f.measurement.newestAtStart + 1; revision <= newest; revision++ {
		change := ListChange{Revision: revision, At: make([]int64, len(f.world.Agents))}
		for position, ofAgent := range times {
			i := slices.IndexFunc(ofAgent, func(t listTime) bool { return t.revision >= revision })
			if i >= 0 {
				change.At[position] = ofAgent[i].atUnixNano
			}
		}
		changes = append(changes, change)
	}
	return changes
}
