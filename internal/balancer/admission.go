package balancer

import (
	"cmp"
	"math"
	"time"
)

const (
	targetUtilization          = 0.5   // of the aim that a usual answer may take before work is shed
	maxOverload                = 2.0   // clients that repeat what is refused take more than one refusal to stop
	toleratedOverload          = 1.0   // pressure that queues of single servers build: it sheds nothing
	overloadGain               = 0.2   // of the intake shed for an answer one aim off: a few late answers halve it
	overloadHalfLifeObjectives = 16.0  // aims in which pressure halves by itself
	minAdmittedShare           = 0.03  // let through under any pressure, to learn when it is over
	tenantShareRequests        = 200.0 // requests over which the tenants' mix is remembered
)

// shouldShed says whether there is no room for the request: tenants over their share and low worth go first.
func (b *Balancer) shouldShed(r *request) bool {
	over := b.quotaUsage(r.tenant)
	// Danger: under pressure little is let through to tell that servers are idle again, so it eases by itself.
	halfLife := overloadHalfLifeObjectives * b.classes[0].LatencyObjective.Seconds()
	ease := (b.overloadDecayedAt - b.now).Seconds() / halfLife
	b.overload, b.overloadDecayedAt = b.overload*math.Exp2(ease), b.now
	chance := max(0, b.overload-toleratedOverload) * over * over * b.meanPriorityWeight / r.class.PriorityWeight
	return b.rng.Float64() < min(chance, 1-minAdmittedShare)
}

// quotaUsage counts a request and returns its tenant's part of the recent ones over its share.
func (b *Balancer) quotaUsage(tenant int) float64 {
	if tenant < 0 || tenant >= len(b.settings.Tenants) || !(b.settings.Tenants[tenant].Quota > 0) {
		return 1
	}
	for i := range b.tenantShares {
		b.tenantShares[i] -= b.tenantShares[i] / tenantShareRequests
	}
	b.tenantShares[tenant] += 1 / tenantShareRequests
	return b.tenantShares[tenant] / b.settings.Tenants[tenant].Quota
}

// recordUtilization moves the shed share by how full servers are or how long answers take, 1 being what no aim allows.
func (b *Balancer) recordUtilization(part float64) {
	b.overload = min(max(0, b.overload+overloadGain*(min(part, 2)-targetUtilization)), maxOverload)
}

// retryAfter is when a refused client may come again: when the servers have answered what they hold, later the
// more is shed. Danger: clients left to themselves come again at once and keep the overload up.
func (b *Balancer) retryAfter(c *class) time.Duration {
	if !b.settings.AdviseRetryAfter {
		return 0
	}
	wait := seconds(c.latencySeconds.value * (1 + b.overload))
	return min(wait, cmp.Or(b.settings.MaxRetryAfter, wait))
}
