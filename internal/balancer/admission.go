package balancer

import (
	"cmp"
	"math"
	"time"
)

const (
	// targetUtilization is the utilization at which overload neither rises nor falls: answers that take half of their
	// latency objective.
	targetUtilization = 0.5
	// maxUtilization bounds a single sample.
	maxUtilization = 2.0
	// overloadGain is how much of the difference from targetUtilization one sample adds to the overload.
	overloadGain = 0.2
	// maxOverload bounds the overload. It exceeds toleratedOverload by 1, since clients that retry need more than one
	// rejection to stop.
	maxOverload = 2.0
	// toleratedOverload is the overload that the queues of single servers cause; nothing is shed up to it.
	toleratedOverload = 1.0
	// overloadHalfLifeObjectives is the time in which overload halves by itself, in latency objectives.
	overloadHalfLifeObjectives = 16.0
	// minAdmittedShare is admitted under any overload, so that answers show when it is over.
	minAdmittedShare = 0.03
	// tenantShareRequests is over how many requests the shares of the tenants are averaged.
	tenantShareRequests = 200.0
)

// adoptTenants starts each tenant's share of the requests at its quota.
func (b *Balancer) adoptTenants(tenants []Tenant) {
	b.tenantShares = nil
	for _, tenant := range tenants {
		b.tenantShares = append(b.tenantShares, tenant.Quota)
	}
}

// shouldShed decides by chance whether a request is shed. Tenants over their quota and low priorities are shed first.
func (b *Balancer) shouldShed(r *request) bool {
	usage := b.quotaUsage(r.tenant)
	b.decayOverload()
	excess := max(0, b.overload-toleratedOverload)
	chance := excess * usage * usage * b.meanPriorityWeight / r.class.PriorityWeight
	return b.rng.Float64() < min(chance, 1-minAdmittedShare)
}

// decayOverload lowers the overload with time: while most requests are shed few answers show that it is over.
func (b *Balancer) decayOverload() {
	halfLife := overloadHalfLifeObjectives * b.classes[0].LatencyObjective.Seconds()
	b.overload *= math.Exp2((b.overloadDecayedAt - b.now).Seconds() / halfLife)
	b.overloadDecayedAt = b.now
}

// quotaUsage counts a request of a tenant, and returns the tenant's share of the recent requests over its quota.
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

// recordUtilization moves the overload by a sample of the servers' utilization; at 1 answers just meet their objective.
func (b *Balancer) recordUtilization(utilization float64) {
	difference := min(utilization, maxUtilization) - targetUtilization
	b.overload = min(max(0, b.overload+overloadGain*difference), maxOverload)
}

// retryAfter returns when a rejected client may retry, 0 for no advice: once the servers have answered what they hold,
// and later under overload. Clients without advice retry at once and sustain the overload.
func (b *Balancer) retryAfter(c *class) time.Duration {
	if !b.settings.AdviseRetryAfter {
		return 0
	}
	wait := seconds(c.latencySeconds.value * (1 + b.overload))
	return min(wait, cmp.Or(b.settings.MaxRetryAfter, wait))
}
