package simagent

import (
	"runtime"
	"slices"
	"sync"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/scale/result"
)

// ListChange says since when a revision of the list has been in force.
type ListChange struct {
	Revision uint64
	At       []int64 // Unix ns, by agent of the world; 0: not yet, or not hollow
}

// maxLagP99Millis is the lag at P99, in ms, beyond which the model has not kept real time.
const maxLagP99Millis = 50

// StatsReply is what was measured since Begin.
type StatsReply struct {
	Agents  int
	Ready   int // agents that hold the list
	Seconds float64

	Roots, FailRoots int64 // calls at the root, in peace and while the deepest service failed
	Depths           []result.Depth
	Windows          []result.Window
	Doubled          int64    // attempts of side_effect calls that may have run before: must be 0
	Again            [3]int64 // the same by effect: pure, token, side_effect

	Lists   []ListChange   // every revision from the first after Begin to the newest heard of
	Configs []ConfigChange // every revision that was begun after Begin
	Control result.AgentControl

	ListCalls, ListFails, WholeLists int64 // of the clients: calls, those of them that failed, whole lists that were told
	Logged                           int64 // lines of the modules

	// Processor time in seconds: of the process; of the modelled calls; of making configurations, which is the platform's;
	// of the garbage collector by the runtime's estimate; and what of the first is neither the second nor the third.
	CPU, ModelCPU, SourceCPU, CollectorCPU, ControlCPU float64

	Heap, Stacks float64 // bytes: live after a collection, less what the empty model takes; of the goroutines
	Goroutines   int
	LagMS        result.Distribution // how late the model handled what was due
	KeptUp       bool                // that was within 50 ms for 99 in 100
}

// measurement is where the measured part began.
type measurement struct {
	mu                sync.Mutex
	baselineHeapBytes float64 // bytes of heap before any agent began
	startedAt         time.Duration
	cpuAtStart        time.Duration
	sourceCPUAtStart  int64
	gcCPUAtStart      float64
	newestAtStart     uint64 // the newest revision that any agent held then
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
func (f *Fleet) countReady() (n int) {
	for _, s := range f.shards {
		s.doSync(func() {
			for _, a := range f.agents {
				if a.shard == s && a.synced {
					n++
				}
			}
		})
	}
	return n
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
	m.cpuAtStart, m.sourceCPUAtStart, m.gcCPUAtStart = cpuTime(processCPUClock), f.configSource.cpu.spent.Load(), gcCPUSeconds()
}

// Stats tells what was measured. It costs a garbage collection, after the processor time was read. The heap is what is
// live then, less what the empty model took before the agents began: the calls under way and the counts are in it, so that
// an agent's part is an upper figure.
func (f *Fleet) Stats() StatsReply {
	m := &f.measurement
	m.mu.Lock()
	defer m.mu.Unlock()
	cpu, collector := cpuTime(processCPUClock), gcCPUSeconds()
	r := StatsReply{
		Agents: len(f.agents), Ready: f.countReady(), Seconds: (f.clock.Now() - m.startedAt).Seconds(),
		CPU: (cpu - m.cpuAtStart).Seconds(), CollectorCPU: collector - m.gcCPUAtStart,
		SourceCPU: time.Duration(f.configSource.cpu.spent.Load() - m.sourceCPUAtStart).Seconds(),
		ListCalls: f.polls.total.Load(), ListFails: f.polls.failed.Load(), WholeLists: f.polls.fullLists.Load(),
		Configs: f.configSource.changesSince(m.startedAt), Goroutines: runtime.NumGoroutine(),
	}
	all, lag := shardCounts{}, result.NewHistogram(maxLagMillis)
	heard := map[int][]listTime{}
	for _, s := range f.shards {
		s.doSync(func() {
			r.ModelCPU += s.cpu.modelTime().Seconds()
			all.merge(&s.counts)
			lag.Merge(s.lag)
			for _, a := range f.agents {
				if a.shard == s {
					heard[a.position] = slices.Clone(a.listTimes)
				}
			}
		})
	}
	r.ControlCPU = r.CPU - r.ModelCPU - r.SourceCPU
	r.Roots, r.FailRoots = all.roots[phaseHealthy], all.roots[phaseFailing]
	r.Depths, r.Windows = all.depthResults(), all.windowResults()
	r.Again, r.Doubled, r.Logged = all.repeats, all.repeats[balancer.NonIdempotent], all.logLines
	r.Lists = f.listChanges(heard)
	r.LagMS = lag.Distribution()
	r.KeptUp = r.LagMS.P99 <= maxLagP99Millis
	r.Heap, r.Stacks = liveHeap()
	r.Heap = max(0, r.Heap-m.baselineHeapBytes)
	r.Control = f.controlCost(&r)
	return r
}

// controlCost sums up what control cost the agents, as far as it shows here; bytes and the lists' times show at control.
func (f *Fleet) controlCost(r *StatsReply) result.AgentControl {
	c := result.AgentControl{Agents: len(f.agents)}
	if len(f.agents) == 0 || r.Seconds <= 0 {
		return c
	}
	each := float64(len(f.agents))
	c.CPUPercent = 100 * r.ControlCPU / r.Seconds / each
	c.HeapBytes = r.Heap / each
	took := result.NewHistogram(maxLagMillis * 60)
	for _, conf := range r.Configs {
		for _, a := range f.agents {
			if at := conf.At[a.position]; at != 0 {
				took.AddDuration(time.Duration(at - conf.Began))
			}
		}
	}
	c.ConfInForce = took.Distribution()
	return c
}

// listDeliveries turns what the agents heard into times by revision. An agent that heard of several revisions in one answer has
// had them all in force since.
func (f *Fleet) listChanges(heard map[int][]listTime) (out []ListChange) {
	newest := f.measurement.newestAtStart
	for _, all := range heard {
		for _, h := range all {
			newest = max(newest, h.revision)
		}
	}
	for r := f.measurement.newestAtStart + 1; r <= newest; r++ {
		l := ListChange{Revision: r, At: make([]int64, len(f.world.Agents))}
		for place, all := range heard {
			for _, h := range all {
				if h.revision >= r {
					l.At[place] = h.atUnixNano
					break
				}
			}
		}
		out = append(out, l)
	}
	return out
}
