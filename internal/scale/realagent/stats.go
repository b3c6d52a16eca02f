package realagent

import (
	"slices"
	"time"

	"example.org/ryeloft/internal/scale/procstat"
	"example.org/ryeloft/internal/scale/result"
)

const bytesPerMB = 1 << 20

// maxMegabytes is the upper bound of the memory histograms.
const maxMegabytes = 64 << 10

// Stats holds the measurements of the real agents since Begin.
type Stats struct {
	Agents     int
	IdleAgents int     // agents without calls
	CPUPercent float64 // of one core, mean over the idle agents
	// CallCPUMS is the CPU time per call of a busy agent, in ms: the CPU time of the busy agents beyond that of idle
	// ones, divided by their calls. It is 0 without calls. If no agent is idle, it also includes the cost of control
	// traffic.
	CallCPUMS     float64
	RSSBytes      result.Distribution // current
	PeakBytes     result.Distribution // peak of each current process
	ConfigInForce *result.Histogram   // ms since the start of the change, over all agents and changes
	Configs       []ConfigChange
	StartupMS     result.Distribution // of restarted agents, from the start of the process until it accepts clients
	Each          []AgentStats
}

// AgentStats holds the measurements of one agent. Memory is 0 if its process does not run.
type AgentStats struct {
	Position   int // in the world
	Name       string
	PID        int // 0: it does not run
	Busy       bool
	CPUPercent float64 // of one core, including all processes of the agent
	RSSBytes   float64
	PeakBytes  float64
	Calls      int64 // made through the agent
	Restarts   int64
}

// Begin resets all measurements and starts the measurement period.
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

// Stats returns the measurements since Begin.
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

// summarize computes the fleet's measurements from those of the agents.
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

// inBytes converts a distribution from megabytes to bytes.
func inBytes(d result.Distribution) result.Distribution {
	for _, v := range []*float64{&d.Mean, &d.P50, &d.P99, &d.Max} {
		*v *= bytesPerMB
	}
	return d
}

// stats returns the agent's measurements over the time wall.
func (a *agent) stats(wall time.Duration) AgentStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := AgentStats{Position: a.position, Name: a.name, Busy: a.busy, Calls: a.calls.Load(), Restarts: a.restarts.Load()}
	s.CPUPercent = 100 * float64(a.cpuTime()-a.cpuAtStart) / float64(wall)
	if a.process != nil {
		s.PID = a.process.cmd.Process.Pid
		s.RSSBytes, s.PeakBytes = procstat.ResidentAndPeakBytes(s.PID)
	}
	return s
}

// cpuTime returns the CPU time that all processes of the agent have used. Callers must hold mu.
func (a *agent) cpuTime() time.Duration {
	if a.process == nil {
		return a.exitedCPU
	}
	return a.exitedCPU + procstat.ThreadsCPU(a.process.cmd.Process.Pid)
}
