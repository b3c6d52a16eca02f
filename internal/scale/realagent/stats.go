package realagent

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"example.org/ryeloft/internal/scale/result"
)

// maxMegabytes is the most memory that the histograms can tell.
const maxMegabytes = 64 << 10

// Stats are the figures of the real agents since Begin.
type Stats struct {
	Agents     int
	IdleAgents int     // agents without a call, of which CPUPercent is
	CPUPercent float64 // of one core, a quiet agent: mean
	// CallCPUMS is what one call costs a busy agent in processor time, ms: all that it used, less what a quiet one did.
	// It is 0 without calls, and too large by control's part where no agent is quiet.
	CallCPUMS   float64
	RSSBytes    result.Distribution // now
	PeakBytes   result.Distribution // the largest each present process has had
	ConfInForce *result.Histogram   // ms, from the beginning of the change: all agents and changes
	Configs     []ConfigChange
	StartupMS   result.Distribution // of restarted agents, from their process's beginning until they take clients
	Each        []AgentStats
}

// AgentStats are the figures of one agent; memory is 0 where none runs.
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

// Begin begins the measured part: all figures start from here.
func (f *Fleet) Begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startedAt = time.Now()
	f.configInForce, f.changes, f.startupTimes = result.NewHistogram(maxInForceMillis), nil, result.NewHistogram(maxInForceMillis)
	for _, a := range f.agents {
		a.calls.Store(0)
		a.restarts.Store(0)
		a.mu.Lock()
		a.cpuAtStart = a.cpuTime()
		a.mu.Unlock()
	}
}

// Stats gathers the figures.
func (f *Fleet) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	wall := time.Since(f.startedAt)
	s := Stats{Agents: len(f.agents), ConfInForce: result.NewHistogram(maxInForceMillis), Configs: slices.Clone(f.changes), StartupMS: f.startupTimes.Distribution()}
	s.ConfInForce.Merge(f.configInForce)
	for _, a := range f.agents {
		s.Each = append(s.Each, a.stats(wall))
	}
	s.summarize(wall)
	return s
}

// summarize computes the fleet's figures from the agents'.
func (s *Stats) summarize(wall time.Duration) {
	rss, peak := result.NewHistogram(maxMegabytes), result.NewHistogram(maxMegabytes)
	quiet, busy, calls := 0.0, 0.0, int64(0)
	for _, a := range s.Each {
		if a.PID != 0 {
			rss.Add(a.RSSBytes / (1 << 20))
			peak.Add(a.PeakBytes / (1 << 20))
		}
		calls += a.Calls
		if a.Busy {
			busy += a.CPUPercent
		} else {
			quiet += a.CPUPercent
			s.IdleAgents++
		}
	}
	s.RSSBytes, s.PeakBytes = inBytes(rss.Distribution()), inBytes(peak.Distribution())
	if s.IdleAgents > 0 {
		s.CPUPercent = quiet / float64(s.IdleAgents)
	}
	if calls > 0 {
		percent := busy - s.CPUPercent*float64(s.Agents-s.IdleAgents)
		s.CallCPUMS = percent / 100 * float64(wall) / float64(time.Millisecond) / float64(calls)
	}
}

// inBytes turns a distribution of megabytes into one of bytes.
func inBytes(d result.Distribution) result.Distribution {
	for _, v := range []*float64{&d.Mean, &d.P50, &d.P99, &d.Max} {
		*v *= 1 << 20
	}
	return d
}

// stats are one agent's figures.
func (a *agent) stats(wall time.Duration) AgentStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := AgentStats{Position: a.position, Name: a.name, Busy: a.busy, Calls: a.calls.Load(), Restarts: a.restarts.Load()}
	s.CPUPercent = 100 * float64(a.cpuTime()-a.cpuAtStart) / float64(wall)
	if a.process != nil {
		s.PID = a.process.cmd.Process.Pid
		s.RSSBytes, s.PeakBytes = memory(s.PID)
	}
	return s
}

// processCPU is what all processes of an agent have used so far. The mutex is held.
func (a *agent) cpuTime() time.Duration {
	if a.process == nil {
		return a.exitedCPU
	}
	return a.exitedCPU + threadsCPU(a.process.cmd.Process.Pid)
}

// threadsCPU is the time that a process's threads have run on a core, to the nanosecond, where /proc/PID/stat would give
// hundredths of a second. Go's threads stay; of a process that has just ended it is 0.
func threadsCPU(pid int) (sum time.Duration) {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // the pattern is right
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // a thread that has just ended
		}
		ran, _, _ := bytes.Cut(text, []byte(" "))
		ns, _ := strconv.ParseInt(string(ran), 10, 64) // the kernel writes a number
		sum += time.Duration(ns)
	}
	return sum
}

// memory is what a process holds in memory and the most that it has held, in bytes; 0 once it has ended.
func memory(pid int) (now, peak float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, 0
	}
	for line := range bytes.SplitSeq(text, []byte("\n")) {
		name, rest, _ := bytes.Cut(line, []byte(":"))
		fields := bytes.Fields(rest)
		if len(fields) == 0 {
			continue
		}
		kb, _ := strconv.ParseFloat(string(fields[0]), 64) // of the lines below, the kernel writes a number of kB
		switch string(name) {
		case "VmRSS":
			now = kb * 1024
		case "VmHWM":
			peak = kb * 1024
		}
	}
	return now, peak
}
