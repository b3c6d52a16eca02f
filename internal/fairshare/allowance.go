package fairshare

import "time"

// allowance is processor time that grows at a rate, up to maxSaved, and is spent. It may be overdrawn.
type allowance struct {
	rate    float64 // processor time for each unit of time
	left    time.Duration
	updated time.Time
}

func newAllowance(rate float64, left time.Duration) allowance {
	return allowance{rate: rate, left: left, updated: time.Now()}
}

// saved returns what is left at a time, negative if the allowance is overdrawn.
func (r *allowance) saved(now time.Time) time.Duration {
	if elapsed := now.Sub(r.updated); elapsed > 0 {
		r.left = min(maxSaved, r.left+time.Duration(float64(elapsed)*r.rate))
		r.updated = now
	}
	return r.left
}

// spend takes processor time from the allowance.
func (r *allowance) spend(cost time.Duration) { r.left = max(-maxDebt, r.left-cost) }
