package fairshare

import "time"

// pool is the processor time that is left of targetShare. What the agent's processes use for anything is taken from it. It
// may be overdrawn.
type pool struct {
	cores    float64
	left     time.Duration
	expected time.Duration // what pieces cost that have just started, of which the process may have used nothing yet
	updated  time.Time
	cpu      time.Duration // the processor time that the processes had used by then
	granted  time.Time     // when a piece last started
}

func newPool(cores float64, cpu time.Duration) pool {
	now := time.Now()
	return pool{cores: cores, left: maxSaved, updated: now, cpu: cpu, granted: now}
}

// hasTime reports whether a piece may start at a time when the processes have used the given processor time. Whatever
// they do, a piece may start every maxPause.
func (p *pool) hasTime(now time.Time, cpu time.Duration) bool {
	gained := time.Duration(float64(now.Sub(p.updated))*p.cores*targetShare) - (cpu - p.cpu)
	p.left = min(maxSaved, max(-maxDebt, p.left+gained))
	p.updated = now
	p.cpu = cpu
	if now.Sub(p.granted) >= minPause {
		p.piecesHaveRun()
	}
	return p.left > p.expected || now.Sub(p.granted) >= maxPause
}

// take records that a piece starts that is expected to take processor time.
func (p *pool) take(expected time.Duration, now time.Time) {
	p.expected += expected
	p.granted = now
}

// piecesHaveRun records that the pieces that have started before have run, so that what they cost has been taken.
func (p *pool) piecesHaveRun() { p.expected = 0 }
