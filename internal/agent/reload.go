package agent

import (
	"context"
	"slices"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/config"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/settings"
)

// follows puts each configuration in force that comes, until the context ends.
func (l *loop) follows(ctx context.Context, reloads <-chan config.ReloadResult, moves chan<- discovery.Target) {
	for {
		select {
		case r := <-reloads:
			l.reload(ctx, r, moves)
		case <-ctx.Done():
			return
		}
	}
}

// reload puts a configuration in force, its settings first and then where the list is to be had, or counts it as rejected.
func (l *loop) reload(ctx context.Context, r config.ReloadResult, moves chan<- discovery.Target) {
	err := r.Err
	if err == nil {
		adopted := make(chan error, 1)
		l.send(input{adopt: &r.Config.Settings, adopted: adopted})
		select {
		case err = <-adopted:
		case <-ctx.Done():
			return
		}
	}
	if err != nil {
		l.metrics.ConfigRejected()
		l.log.Error("not reloaded, the old configuration stays", "error", err)
		return
	}
	l.metrics.ConfigApplied()
	l.log.Info("reloaded", "discovery", r.Config.Discovery, "relays", len(r.Config.Relays), "classes", r.Config.Settings.ClassNames,
		"max_attempts", r.Config.Settings.Balancer.MaxAttempts)
	select {
	case moves <- discovery.Target{Addr: r.Config.Discovery, Relays: r.Config.Relays}:
	case <-ctx.Done():
	}
}

// adopt swaps the settings for others, in the module and here, or leaves all as it is.
func (l *loop) adopt(ctx context.Context, next *settings.Settings) error {
	if err := l.balancer.Adopt(next.Balancer); err != nil {
		return err
	}
	old := l.set.Swap(next)
	l.pool.Configure(next)
	l.metrics.AddClasses(next.ClassNames)
	if slices.Equal(old.ZoneNames, next.ZoneNames) && slices.Equal(old.KindNames, next.KindNames) || l.servers.Len() == 0 {
		return nil
	}
	// Danger: zones and kinds are positions in the settings' lists, and those have changed under the servers.
	l.handle(ctx, balancer.Event{Kind: balancer.EventDiscovery, Update: balancer.EndpointsReplaced, Endpoints: l.entries(l.servers.Members())})
	return nil
}

// translate finds a call's class and tenant in the settings now in force, by their names. It is false if the class has
// gone or has another effect: as what it was read, the request is no longer one that may be sent.
func (c *call) translate(to *settings.Settings) bool {
	if c.set == to {
		return true
	}
	i := slices.Index(to.ClassNames, c.set.ClassNames[c.class])
	if i < 0 || to.Balancer.Classes[i].Idempotency != c.set.Balancer.Classes[c.class].Idempotency {
		return false
	}
	if len(to.TenantNames) > 0 {
		name := ""
		if len(c.set.TenantNames) > 0 {
			name = c.set.TenantNames[c.tenant]
		}
		c.tenant = slices.Index(to.TenantNames, name)
	}
	c.set, c.class = to, i
	return true
}
