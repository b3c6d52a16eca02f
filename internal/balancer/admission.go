package balancer

import (
	"cmp"
	"math"
	"time"
)

const (
	// targetUtilization is the utilization at which the overload neither rises nor falls: responses take half of their
	// latency objective.
	targetUtilization = 0.5
	// maxUtilization limits a single utilization sample.
	maxUtilization = 2.0
	// overloadGain is the fraction of its difference from targetUtilization that a sample adds to the overload.
	overloadGain = 0.2
	// maxOverload limits the overload. It exceeds toleratedOverload by 1, since clients that retry need more than one
	// rejection to stop.
	maxOverload = 2.0
	// toleratedOverload is the overload up to which nothing is shed: the queues of single servers can cause it.
	toleratedOverload = 1.0
	// overloadHalfLifeObjectives is the half-life of the overload in latency objectives.
	overloadHalfLifeObjectives = 16.0
	// minAdmittedShare is the share of requests admitted under any overload, so that responses show when it ends.
	minAdmittedShare = 0.03
	// tenantShareRequests is the number of requests over which the tenants' shares are averaged.
	tenantShareRequests = 200.0
)

// adoptTenants resets each tenant's share of the requests to its quota.
func (b *Balancer) adoptTenants(tenants []Tenant) {
	b.tenantShares = nil
	for _, tenant := range tenants {
		b.tenantShares = append(b.tenantShares, tenant.Quota)
	}
}

// shouldShed randomly decides whether to shed a request. Tenants over their quota and low priorities are shed first.
func (b *Balancer) shouldShed(r *request) bool {
	usage := b.quotaUsage(r.tenant)
	b.decayOverload()
	excess := max(0, b.overload-toleratedOverload)
	probability := excess * usage * usage * b.meanPriorityWeight / r.class.PriorityWeight
	return b.rng.Float64() < min(probability, 1-minAdmittedShare)
}

// decayOverload lowers the overload over time: while most requests are shed, too few responses arrive to show that it
// has ended.
func (b *Balancer) decayOverload() {
	halfLife := overloadHalfLifeObjectives * b.classes[0].LatencyObjective.Seconds()
	b.overload *= math.Exp2((b.overloadDecayedAt - b.now).Seconds() / halfLife)
	b.overloadDecayedAt = b.now
}

// quotaUsage counts a request of a tenant and returns the tenant's share of the recent requests divided by its quota.
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

// recordUtilization updates the overload with a utilization sample. At utilization 1 responses just meet their latency
// objective.
func (b *Balancer) recordUtilization(utilization float64) {
	difference := min(utilization, maxUtilization) - targetUtilization
	b.overload = min(max(0, b.overload+overloadGain*difference), maxOverload)
}

// retryAfter returns the delay after which a rejected client may retry, or 0 for no advice. The delay covers the mean
// response latency, so that servers can finish their current requests, and grows with the overload. Clients without
// advice retry immediately and sustain the overload.
func (b *Balancer) retryAfter(c *class) time.Duration {
	if !b.settings.AdviseRetryAfter {
		return 0
	}
	wait := seconds(c.latencySeconds.value * (1 + b.overload))
	return min(wait, cmp.Or(b.settings.MaxRetryAfter, wait))
}
