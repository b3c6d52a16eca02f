package simagent

import (
	"time"

	"example.org/ryeloft/internal/scale/result"
)

// phase is the part of the run in which a call at the root began; it and all that comes of it count there.
type phase uint8

const (
	before phase = iota // the measured part
	peace
	failing // the deepest service fails
	phases
)

// mostDepth is the deepest layer that is counted by itself; deeper ones count as this.
const mostDepth = 64

// longestRun is how many seconds have windows of their own; later ones count as the last.
const longestRun = 24 * 3600

// depth is what happened to calls of one layer in one phase.
type depth struct{ Calls, Attempts, OK, Failed, Refused int64 }

func (d *depth) add(o depth) {
	d.Calls += o.Calls
	d.Attempts += o.Attempts
	d.OK += o.OK
	d.Failed += o.Failed
	d.Refused += o.Refused
}

// counts is what one shard counts of the measured part.
type counts struct {
	From    time.Duration // when that began; 0: not yet
	Depths  [mostDepth + 1][phases]depth
	Windows []result.Window // by second
	Roots   [phases]int64
	Again   [3]int64 // by effect: attempts of calls that may have run before
	Logs    int64    // lines of the module
}

func (c *counts) depth(p phase, layer int) *depth {
	return &c.Depths[min(max(layer, 0), mostDepth)][p]
}

// begin counts a call at the root and returns its second.
func (c *counts) begin(p phase, now time.Duration) int {
	c.Roots[p]++
	if p == before {
		return 0
	}
	second := min(int(max(0, now-c.From)/time.Second), longestRun-1)
	for len(c.Windows) <= second {
		c.Windows = append(c.Windows, result.Window{Second: len(c.Windows)})
	}
	c.Windows[second].Roots++
	return second
}

// ended counts the end of a call.
func (c *counts) ended(of *call, layer int, how end) {
	d := c.depth(of.phase, layer)
	switch how {
	case served:
		d.OK++
		if of.root && of.phase != before && of.second < len(c.Windows) {
			c.Windows[of.second].Served++
		}
	case failed:
		d.Failed++
	case refused:
		d.Refused++
	}
}

// add takes in another shard's counts.
func (c *counts) add(o *counts) {
	for i := range o.Depths {
		for p := range o.Depths[i] {
			c.Depths[i][p].add(o.Depths[i][p])
		}
	}
	for len(c.Windows) < len(o.Windows) {
		c.Windows = append(c.Windows, result.Window{Second: len(c.Windows)})
	}
	for i, w := range o.Windows {
		c.Windows[i].Roots += w.Roots
		c.Windows[i].Served += w.Served
	}
	for p := range o.Roots {
		c.Roots[p] += o.Roots[p]
	}
	for e := range o.Again {
		c.Again[e] += o.Again[e]
	}
	c.Logs += o.Logs
}

// depths sums up what happened by layer, the first one first, as far down as anything was called.
func (c *counts) depths() (all []result.Depth) {
	for layer := 1; layer <= mostDepth; layer++ {
		p, f := c.Depths[layer][peace], c.Depths[layer][failing]
		if p.Calls+f.Calls == 0 {
			continue
		}
		d := result.Depth{
			Depth: layer, Calls: p.Calls, Attempts: p.Attempts, OK: p.OK, Failed: p.Failed, Refused: p.Refused,
			FailCalls: f.Calls, FailAttempts: f.Attempts, FailOK: f.OK,
			PerRoot: ratio(p.Attempts, c.Roots[peace]), FailPerRoot: ratio(f.Attempts, c.Roots[failing]),
			ServedMeanPercent: 100 * ratio(p.OK, p.Calls),
		}
		if d.PerRoot > 0 {
			d.Amplification = d.FailPerRoot / d.PerRoot
		}
		all = append(all, d)
	}
	return all
}

// windows returns the seconds with their shares. A call counts in the second that it began in, so that the last ones lack
// what is still under way.
func (c *counts) windows() []result.Window {
	for i := range c.Windows {
		w := &c.Windows[i]
		w.Percent = 100 * ratio(w.Served, w.Roots)
	}
	return c.Windows
}

// ratio is part over whole, and 0 of nothing.
func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
