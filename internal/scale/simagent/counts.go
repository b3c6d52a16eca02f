package simagent

import (
	"time"

	"example.org/ryeloft/internal/scale/result"
)

// phase is the part of the run in which a call at the root began; it and all that comes of it count there.
type phase uint8

const (
	phaseBefore phase = iota // the measured part
	phaseHealthy
	phaseFailing // the deepest service fails
	phaseCount
)

// maxDepth is the deepest layer that is counted by itself; deeper ones count as this.
const maxDepth = 64

// maxWindows is how many seconds have windows of their own; later ones count as the last.
const maxWindows = 24 * 3600

// depthCounts is what happened to calls of one layer in one phase.
type depthCounts struct{ Calls, Attempts, OK, Failed, Refused int64 }

func (d *depthCounts) add(o depthCounts) {
	d.Calls += o.Calls
	d.Attempts += o.Attempts
	d.OK += o.OK
	d.Failed += o.Failed
	d.Refused += o.Refused
}

// shardCounts is what one shard counts of the measured part.
type shardCounts struct {
	startedAt time.Duration // when that began; 0: not yet
	depths    [maxDepth + 1][phaseCount]depthCounts
	windows   []result.Window // by second
	roots     [phaseCount]int64
	repeats   [3]int64 // by effect: attempts of calls that may have run before
	logLines  int64    // lines of the module
}

func (c *shardCounts) of(p phase, layer int) *depthCounts {
	return &c.depths[min(max(layer, 0), maxDepth)][p]
}

// countRootCall counts a call at the root and returns its second.
func (c *shardCounts) countRootCall(p phase, now time.Duration) int {
	c.roots[p]++
	if p == phaseBefore {
		return 0
	}
	second := min(int(max(0, now-c.startedAt)/time.Second), maxWindows-1)
	for len(c.windows) <= second {
		c.windows = append(c.windows, result.Window{Second: len(c.windows)})
	}
	c.windows[second].Roots++
	return second
}

// countEnd counts the end of a call.
func (c *shardCounts) countEnd(of *call, layer int, how callResult) {
	d := c.of(of.phase, layer)
	switch how {
	case callServed:
		d.OK++
		if of.root && of.phase != phaseBefore && of.second < len(c.windows) {
			c.windows[of.second].Served++
		}
	case callFailed:
		d.Failed++
	case callRejected:
		d.Refused++
	}
}

// merge takes in another shard's counts.
func (c *shardCounts) merge(o *shardCounts) {
	for i := range o.depths {
		for p := range o.depths[i] {
			c.depths[i][p].add(o.depths[i][p])
		}
	}
	for len(c.windows) < len(o.windows) {
		c.windows = append(c.windows, result.Window{Second: len(c.windows)})
	}
	for i, w := range o.windows {
		c.windows[i].Roots += w.Roots
		c.windows[i].Served += w.Served
	}
	for p := range o.roots {
		c.roots[p] += o.roots[p]
	}
	for e := range o.repeats {
		c.repeats[e] += o.repeats[e]
	}
	c.logLines += o.logLines
}

// depthResults sums up what happened by layer, the first one first, as far down as anything was called.
func (c *shardCounts) depthResults() (all []result.Depth) {
	for layer := 1; layer <= maxDepth; layer++ {
		p, f := c.depths[layer][phaseHealthy], c.depths[layer][phaseFailing]
		if p.Calls+f.Calls == 0 {
			continue
		}
		d := result.Depth{
			Depth: layer, Calls: p.Calls, Attempts: p.Attempts, OK: p.OK, Failed: p.Failed, Refused: p.Refused,
			FailCalls: f.Calls, FailAttempts: f.Attempts, FailOK: f.OK,
			PerRoot: ratio(p.Attempts, c.roots[phaseHealthy]), FailPerRoot: ratio(f.Attempts, c.roots[phaseFailing]),
			ServedMeanPercent: 100 * ratio(p.OK, p.Calls),
		}
		if d.PerRoot > 0 {
			d.Amplification = d.FailPerRoot / d.PerRoot
		}
		all = append(all, d)
	}
	return all
}

// windowResults returns the seconds with their shares. A call counts in the second that it began in, so that the last ones lack
// what is still under way.
func (c *shardCounts) windowResults() []result.Window {
	for i := range c.windows {
		w := &c.windows[i]
		w.Percent = 100 * ratio(w.Served, w.Roots)
	}
	return c.windows
}

// ratio is part over whole, and 0 of nothing.
func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
