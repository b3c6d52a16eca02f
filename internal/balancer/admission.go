package balancer

import (
	"cmp"
	"math"
	"time"
)

const (
	aimShare     = 0.5   // of the aim that a usual answer may take before work is shed
	mostPressure = 2.0   // clients that repeat what is refused take more than one refusal to stop
	slack        = 1.0   // pressure that queues of single servers build: it sheds nothing
	pressureGain = 0.2   // of the intake shed for an answer one aim off: a few late answers halve it
	easeOver     = 16.0  // aims in which pressure halves by itself
	trickle      = 0.03  // let through under any pressure, to learn when it is over
	mixLife      = 200.0 // requests over which the tenants' mix is remembered
)

// shed says whether there is no room for the request: tenants over their share and low worth go first.
func (b *Balancer) shed(r *request) bool {
	over := b.over(r.tenant)
	// Danger: under pressure little is let through to tell that servers are idle again, so it eases by itself.
	ease := (b.eased - b.now).Seconds() / (easeOver * b.classes[0].LatencyObjective.Seconds())
	b.pressure, b.eased = b.pressure*math.Exp2(ease), b.now
	chance := max(0, b.pressure-slack) * over * over * b.worth / r.class.PriorityWeight
	return b.rng.Float64() < min(chance, 1-trickle)
}

// over counts a request and returns its tenant's part of the recent ones over its share.
func (b *Balancer) over(tenant int) float64 {
	if tenant < 0 || tenant >= len(b.set.Tenants) || !(b.set.Tenants[tenant].Quota > 0) {
		return 1
	}
	for i := range b.mix {
		b.mix[i] -= b.mix[i] / mixLife
	}
	b.mix[tenant] += 1 / mixLife
	return b.mix[tenant] / b.set.Tenants[tenant].Quota
}

// press moves the shed share by how full servers are or how long answers take, 1 being what no aim allows.
func (b *Balancer) press(part float64) {
	b.pressure = min(max(0, b.pressure+pressureGain*(min(part, 2)-aimShare)), mostPressure)
}

// advice is when a refused client may come again: when the servers have answered what they hold, later the
// more is shed. Danger: clients left to themselves come again at once and keep the overload up.
func (b *Balancer) advice(c *class) time.Duration {
	if !b.set.AdviseRetryAfter {
		return 0
	}
	wait := seconds(c.usual.v * (1 + b.pressure))
	return min(wait, cmp.Or(b.set.MaxRetryAfter, wait))
}
