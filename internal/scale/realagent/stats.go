package realagent

import (
	"slices"
	"time"

	"example.org/ryeloft/internal/scale/procstat"
	"example.org/ryeloft/internal/scale/result"
)

const bytesPerMB = 1 << 20

// maxMegabytes bounds the memory that histograms distinguish.
const maxMegabytes = 64 << 10

// Stats are the measurements of the real agents since Begin.
type Stats struct {
	Agents     int
	IdleAgents int     // agents without calls, of which CPUPercent is
	CPUPercent float64 // of one core, an idle agent: mean
	// CallCPUMS is what one call costs a busy agent in processor time, ms: all that it used, less what an idle one did.
	// It is 0 without calls, and too large by control's part where no agent is idle.
	CallCPUMS     float64
	RSSBytes      result.Distribution // now
	PeakBytes     result.Distribution // the largest each present process has had
	ConfigInForce *result.Histogram   // ms, from the beginning of the change: all agents and changes
	Configs       []ConfigChange
	StartupMS     result.Distribution // of restarted agents, from their process's beginning until they take clients
	Each          []AgentStats
}

// AgentStats are the measurements of one agent; memory is 0 where none runs.
type AgentStats struct {
	Position   int // in the world
	Name       string
	PID        int // 0: it does not run
	Busy       bool
	CPUPercent float64 // of one core, restarts included
	RSSBytes   float64
	PeakBytes  float64
	Calls      int64 // that were made through it
	Restarts   int64
}

// Begin begins the measured part: all measurements start from here.
func (f *Fleet) Begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startedAt = time.Now()
	f.configInForce = result.NewHistogram(maxInForceMillis)
	f.changes = nil
	f.startupTimes = result.NewHistogram(maxInForceMillis)
	for _, a := range f.agents {
		a.calls.Store(0)
		a.restarts.Store(0)
		a.mu.Lock()
		a.cpuAtStart = a.cpuTime()
		a.mu.Unlock()
	}
}

// Stats returns the measurements.
func (f *Fleet) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	wall := time.Since(f.startedAt)
	s := Stats{
		Agents: len(f.agents), ConfigInForce: result.NewHistogram(maxInForceMillis), Configs: slices.Clone(f.changes),
		StartupMS: f.startupTimes.Distribution(),
	}
	s.ConfigInForce.Merge(f.configInForce)
	for _, a := range f.agents {
		s.Each = append(s.Each, a.stats(wall))
	}
	s.summarize(wall)
	return s
}

// summarize computes the fleet's measurements from the agents'.
func (s *Stats) summarize(wall time.Duration) {
	rss := result.NewHistogram(maxMegabytes)
	peak := result.NewHistogram(maxMegabytes)
	var idle, busy float64
	var calls int64
	for _, a := range s.Each {
		if a.PID != 0 {
			rss.Add(a.RSSBytes / bytesPerMB)
			peak.Add(a.PeakBytes / bytesPerMB)
		}
		calls += a.Calls
		if a.Busy {
			busy += a.CPUPercent
		} else {
			idle += a.CPUPercent
			s.IdleAgents++
		}
	}
	s.RSSBytes = inBytes(rss.Distribution())
	s.PeakBytes = inBytes(peak.Distribution())
	if s.IdleAgents > 0 {
		s.CPUPercent = idle / float64(s.IdleAgents)
	}
	if calls > 0 {
		percent := busy - s.CPUPercent*float64(s.Agents-s.IdleAgents)
		s.CallCPUMS = percent / 100 * float64(wall) / float64(time.Millisecond) / float64(calls)
	}
}

// inBytes turns a distribution of megabytes into one of bytes.
func inBytes(d result.Distribution) result.Distribution {
	for _, v := range []*float64{&d.Mean, &d.P50, &d.P99, &d.Max} {
		*v *= bytesPerMB
	}
	return d
}

// stats are one agent's measurements.
func (a *agent) stats(wall time.Duration) AgentStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := AgentStats{Position: a.position, Name: a.name, Busy: a.busy, Calls: a.calls.Load(), Restarts: a.restarts.Load()}
	s.CPUPercent = 100 * float64(a.cpuTime()-a.cpuAtStart) / float64(wall)
	if a.process != nil {
		s.PID = a.process.cmd.Process.Pid
		s.RSSBytes, s.PeakBytes = procstat.HeldAndPeakBytes(s.PID)
	}
	return s
}

// cpuTime is the processor time that all processes of an agent have used so far. mu is held.
func (a *agent) cpuTime() time.Duration {
	if a.process == nil {
		return a.exitedCPU
	}
	return a.exitedCPU + procstat.ThreadsCPU(a.process.cmd.Process.Pid)
}
