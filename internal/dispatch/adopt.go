package dispatch

import (
	"context"
	"slices"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
)

// adopt swaps the settings for others, in the balancer and here, or leaves all as it is. Handlers read requests by the settings from
// the swap on, so all that these requests need is there before it.
func (l *Loop) adopt(ctx context.Context, next *settings.Settings) error {
	if err := l.balancer.Adopt(next.Balancer); err != nil {
		return err
	}
	l.pool.Configure(next)
	l.metrics.AddClasses(next.ClassNames)
	old := l.settings.Swap(next)
	sameNames := slices.Equal(old.ZoneNames, next.ZoneNames) && slices.Equal(old.KindNames, next.KindNames)
	if sameNames || l.members.Len() == 0 {
		return nil
	}
	// Zones and kinds are positions in the settings' lists, which have changed under the endpoints.
	l.handle(ctx, balancer.Event{
		Kind: balancer.EventDiscovery, Update: balancer.EndpointsReplaced, Endpoints: l.updateEndpoints(l.members.Members()),
	})
	return nil
}

// translate finds a request's class and tenant in the settings now in force, by their names. It is false if there is no such
// class any more or its idempotency has changed, because the request was checked against the old one.
func (r *Request) translate(to *settings.Settings) bool {
	if r.Settings == to {
		return true
	}
	class := slices.Index(to.ClassNames, r.Settings.ClassNames[r.Class])
	if class < 0 || to.Balancer.Classes[class].Idempotency != r.Settings.Balancer.Classes[r.Class].Idempotency {
		return false
	}
	if len(to.TenantNames) > 0 {
		name := ""
		if len(r.Settings.TenantNames) > 0 {
			name = r.Settings.TenantNames[r.Tenant]
		}
		r.Tenant = slices.Index(to.TenantNames, name)
	}
	r.Settings = to
	r.Class = class
	return true
}
