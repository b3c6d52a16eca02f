package simagent

import (
	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
)

// healthCheck sends a health check to a server, which reports its load.
func (a *agent) healthCheck(id balancer.ServerID) {
	target := a.serversByID[id]
	if target == nil {
		a.events = append(a.events, balancer.Event{
			Kind: balancer.EventHealthCheck, Server: id, Outcome: balancer.OutcomeExpired, Load: settings.UnknownLoad(),
		})
		return
	}
	a.shard.transmit(a.server, target, event{
		kind: eventHealthCheck, due: a.now, agent: a, incarnation: a.incarnation, server: target, token: uint64(id),
	})
}

// onHealthCheckDone passes the response to a health check to the balancer.
func (a *agent) onHealthCheckDone(ev *event) {
	if ev.incarnation != a.incarnation || !a.isUp {
		return
	}
	outcome := balancer.OutcomeConnectFailed
	if ev.ok {
		outcome = balancer.OutcomeOK
	}
	a.handle(balancer.Event{
		Kind: balancer.EventHealthCheck, Server: balancer.ServerID(ev.token), Outcome: outcome,
		Load: ev.report.toBalancer(a.settings.Load()),
	})
}

// onHealthCheck responds to a health check, unless the server's machine is unreachable.
func (s *server) onHealthCheck(ev *event) {
	if s.state == serverUnreachable {
		return
	}
	ok := s.state == serverUp
	response := event{
		kind: eventHealthCheckDone, due: s.shard.now, agent: ev.agent, incarnation: ev.incarnation, token: ev.token, ok: ok,
	}
	if ok {
		response.report = s.report()
	}
	s.shard.transmit(s, ev.agent.server, response)
}
