package dispatch

import (
	"context"
	"slices"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
)

// adopt puts new settings in force in the balancer and the loop. If it returns an error, nothing has changed. Handlers
// parse requests by the new settings as soon as they are swapped, so the pool and the metrics are updated before that.
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
	// Endpoints refer to zones and kinds by their indexes in the settings' lists, which have changed.
	l.handle(ctx, balancer.Event{
		Kind: balancer.EventDiscovery, Update: balancer.EndpointsReplaced, Endpoints: l.updateEndpoints(l.members.Members()),
	})
	return nil
}

// translate looks up a request's class and tenant by name in the settings now in force. It returns false if the class
// no longer exists, or if its idempotency has changed, because the request was checked against the old one.
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
