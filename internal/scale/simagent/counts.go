package simagent

import (
	"time"

	"example.org/ryeloft/internal/scale/result"
)

// phase is the phase of the run in which a root call began. The call and all calls below it count in that phase.
type phase uint8

const (
	phaseBefore phase = iota // before the measurement period
	phaseHealthy
	phaseFailing // the deepest service fails
	phaseCount
)

// maxDepth is the deepest layer with separate counts. Calls to deeper layers count in this one.
const maxDepth = 64

// maxWindows is the number of seconds with separate windows. Later calls count in the last one.
const maxWindows = 24 * 3600

// depthCounts counts the calls to one layer in one phase.
type depthCounts struct{ Calls, Attempts, OK, Failed, Rejected int64 }

func (d *depthCounts) add(o depthCounts) {
	d.Calls += o.Calls
	d.Attempts += o.Attempts
	d.OK += o.OK
	d.Failed += o.Failed
	d.Rejected += o.Rejected
}

// shardCounts holds one shard's counts for the measurement period.
type shardCounts struct {
	startedAt time.Duration // start of the measurement period; 0: not yet started
	depths    [maxDepth + 1][phaseCount]depthCounts
	windows   []result.Window // indexed by second
	roots     [phaseCount]int64
	retries   [3]int64 // indexed by idempotency: attempts of calls that may have been executed already
	logLines  int64    // log lines of the balancers
}

// currentPhase returns the phase of a root call that begins now.
func (s *shard) currentPhase() phase {
	switch {
	case s.counts.startedAt == 0:
		return phaseBefore
	case s.fleet.deepestFailing.Load():
		return phaseFailing
	}
	return phaseHealthy
}

// countsFor returns the counts for a phase and layer.
func (c *shardCounts) countsFor(p phase, layer int) *depthCounts {
	return &c.depths[min(max(layer, 0), maxDepth)][p]
}

// countRootCall counts a root call and returns its second in the measurement period.
func (c *shardCounts) countRootCall(p phase, now time.Duration) int {
	c.roots[p]++
	if p == phaseBefore {
		return 0
	}
	second := min(int(max(0, now-c.startedAt)/time.Second), maxWindows-1)
	c.growWindows(second + 1)
	c.windows[second].Roots++
	return second
}

func (c *shardCounts) growWindows(seconds int) {
	for len(c.windows) < seconds {
		c.windows = append(c.windows, result.Window{Second: len(c.windows)})
	}
}

// countFinished counts a call with its result.
func (c *shardCounts) countFinished(ended *call, layer int, outcome callResult) {
	d := c.countsFor(ended.phase, layer)
	switch outcome {
	case callServed:
		d.OK++
		if ended.root && ended.phase != phaseBefore && ended.second < len(c.windows) {
			c.windows[ended.second].Served++
		}
	case callFailed:
		d.Failed++
	case callRejected:
		d.Rejected++
	}
}

// merge adds another shard's counts.
func (c *shardCounts) merge(o *shardCounts) {
	for i := range o.depths {
		for p := range o.depths[i] {
			c.depths[i][p].add(o.depths[i][p])
		}
	}
	c.growWindows(len(o.windows))
	for i, w := range o.windows {
		c.windows[i].Roots += w.Roots
		c.windows[i].Served += w.Served
	}
	for p := range o.roots {
		c.roots[p] += o.roots[p]
	}
	for i := range o.retries {
		c.retries[i] += o.retries[i]
	}
	c.logLines += o.logLines
}

// depthResults returns the results of each layer that was called, in order, starting at layer 1.
func (c *shardCounts) depthResults() (all []result.Depth) {
	for layer := 1; layer <= maxDepth; layer++ {
		healthy := c.depths[layer][phaseHealthy]
		failing := c.depths[layer][phaseFailing]
		if healthy.Calls+failing.Calls == 0 {
			continue
		}
		d := result.Depth{
			Depth: layer, Calls: healthy.Calls, Attempts: healthy.Attempts, OK: healthy.OK, Failed: healthy.Failed, Rejected: healthy.Rejected,
			FailCalls: failing.Calls, FailAttempts: failing.Attempts, FailOK: failing.OK,
			PerRoot: ratio(healthy.Attempts, c.roots[phaseHealthy]), FailPerRoot: ratio(failing.Attempts, c.roots[phaseFailing]),
			ServedMeanPercent: 100 * ratio(healthy.OK, healthy.Calls),
		}
		if d.PerRoot > 0 {
			d.Amplification = d.FailPerRoot / d.PerRoot
		}
		all = append(all, d)
	}
	return all
}

// windowResults returns the windows with the percentage of served calls filled in. A call counts in the second in which
// it began, so calls still in flight lower the percentages of the last seconds.
func (c *shardCounts) windowResults() []result.Window {
	for i := range c.windows {
		w := &c.windows[i]
		w.Percent = 100 * ratio(w.Served, w.Roots)
	}
	return c.windows
}

// ratio returns part / whole, or 0 if whole is 0.
func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
