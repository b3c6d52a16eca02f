package simagent

import (
	"runtime"
	"slices"
	"sync"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/scale/result"
)

// List says since when a revision of the list has been in force.
type List struct {
	Revision uint64
	At       []int64 // Unix ns, by agent of the world; 0: not yet, or not hollow
}

// lateP99 is the lag at P99, in ms, beyond which the model has not kept real time.
const lateP99 = 50

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

	Lists   []List // every revision from the first after Begin to the newest heard of
	Configs []Conf // every revision that was begun after Begin
	Control result.AgentControl

	ListCalls, ListFails, WholeLists int64 // of the clients: calls, those of them that failed, whole lists that were told
	Logged                           int64 // lines of the modules

	// Processor time in seconds: of the process; of the modelled calls; of making configurations, which is the platform's;
	// of the garbage collector by the runtime's estimate; and what of the first is neither the second nor the third.
	CPU, ModelCPU, SourceCPU, CollectorCPU, ControlCPU float64

	Heap, Stacks float64 // bytes: live after a collection, less what the empty model takes; of the goroutines
	Goroutines   int
	LagMS        result.Dist // how late the model handled what was due
	KeptUp       bool        // that was within 50 ms for 99 in 100
}

// measure is where the measured part began.
type measure struct {
	mu        sync.Mutex
	empty     float64 // bytes of heap before any agent began
	from      time.Duration
	cpu       time.Duration
	source    int64
	collector float64
	heldFrom  uint64 // the newest revision that any agent held then
}

// base measures the heap of the model alone.
func (m *measure) base() { m.empty, _ = liveHeap() }

// liveHeap collects garbage and returns the bytes of heap and of stacks in use.
func liveHeap() (heap, stacks float64) {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), float64(m.StackInuse)
}

// ready counts the agents that hold the list.
func (f *Fleet) ready() (n int) {
	for _, s := range f.shards {
		s.do(func() {
			for _, a := range f.agents {
				if a.shard == s && a.fresh {
					n++
				}
			}
		})
	}
	return n
}

// Begin begins the measured part.
func (f *Fleet) Begin() {
	m := &f.measure
	m.mu.Lock()
	defer m.mu.Unlock()
	m.from = f.clock.Now()
	m.heldFrom = 0
	for _, s := range f.shards {
		s.do(func() {
			s.counts = counts{From: m.from}
			s.lag = result.NewHist(longestLag)
			s.cpu.start()
			for _, a := range f.agents {
				if a.shard == s {
					m.heldFrom = max(m.heldFrom, a.revision)
					a.held = nil
				}
			}
		})
	}
	f.calls.calls.Store(0)
	f.calls.failed.Store(0)
	f.calls.whole.Store(0)
	m.cpu, m.source, m.collector = cpuTime(processClock), f.source.cpu.spent.Load(), collectorCPU()
}

// Stats tells what was measured. It costs a garbage collection, after the processor time was read. The heap is what is
// live then, less what the empty model took before the agents began: the calls under way and the counts are in it, so that
// an agent's part is an upper figure.
func (f *Fleet) Stats() StatsReply {
	m := &f.measure
	m.mu.Lock()
	defer m.mu.Unlock()
	cpu, collector := cpuTime(processClock), collectorCPU()
	r := StatsReply{
		Agents: len(f.agents), Ready: f.ready(), Seconds: (f.clock.Now() - m.from).Seconds(),
		CPU: (cpu - m.cpu).Seconds(), CollectorCPU: collector - m.collector,
		SourceCPU: time.Duration(f.source.cpu.spent.Load() - m.source).Seconds(),
		ListCalls: f.calls.calls.Load(), ListFails: f.calls.failed.Load(), WholeLists: f.calls.whole.Load(),
		Configs: f.source.since(m.from), Goroutines: runtime.NumGoroutine(),
	}
	all, lag := counts{}, result.NewHist(longestLag)
	heard := map[int][]held{}
	for _, s := range f.shards {
		s.do(func() {
			r.ModelCPU += s.cpu.model().Seconds()
			all.add(&s.counts)
			lag.Merge(s.lag)
			for _, a := range f.agents {
				if a.shard == s {
					heard[a.place] = slices.Clone(a.held)
				}
			}
		})
	}
	r.ControlCPU = r.CPU - r.ModelCPU - r.SourceCPU
	r.Roots, r.FailRoots = all.Roots[peace], all.Roots[failing]
	r.Depths, r.Windows = all.depths(), all.windows()
	r.Again, r.Doubled, r.Logged = all.Again, all.Again[balancer.NonIdempotent], all.Logs
	r.Lists = f.lists(heard)
	r.LagMS = lag.Dist()
	r.KeptUp = r.LagMS.P99 <= lateP99
	r.Heap, r.Stacks = liveHeap()
	r.Heap = max(0, r.Heap-m.empty)
	r.Control = f.control(&r)
	return r
}

// control sums up what control cost the agents, as far as it shows here; bytes and the lists' times show at control.
func (f *Fleet) control(r *StatsReply) result.AgentControl {
	c := result.AgentControl{Agents: len(f.agents)}
	if len(f.agents) == 0 || r.Seconds <= 0 {
		return c
	}
	each := float64(len(f.agents))
	c.CPUPercent = 100 * r.ControlCPU / r.Seconds / each
	c.HeapBytes = r.Heap / each
	took := result.NewHist(longestLag * 60)
	for _, conf := range r.Configs {
		for _, a := range f.agents {
			if at := conf.At[a.place]; at != 0 {
				took.AddDuration(time.Duration(at - conf.Began))
			}
		}
	}
	c.ConfInForce = took.Dist()
	return c
}

// lists turns what the agents heard into times by revision. An agent that heard of several revisions in one answer has
// had them all in force since.
func (f *Fleet) lists(heard map[int][]held) (out []List) {
	newest := f.measure.heldFrom
	for _, all := range heard {
		for _, h := range all {
			newest = max(newest, h.revision)
		}
	}
	for r := f.measure.heldFrom + 1; r <= newest; r++ {
		l := List{Revision: r, At: make([]int64, len(f.world.Agents))}
		for place, all := range heard {
			for _, h := range all {
				if h.revision >= r {
					l.At[place] = h.at
					break
				}
			}
		}
		out = append(out, l)
	}
	return out
}
