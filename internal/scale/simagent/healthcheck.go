package simagent

import (
	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
)

// healthCheck asks a server for its load.
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

// onHealthCheckDone hands the answer of a health check to the balancer.
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

// onHealthCheck answers a health check, unless the server's machine is unreachable.
func (s *server) onHealthCheck(ev *event) {
	if s.state == serverUnreachable {
		return
	}
	ok := s.state == serverUp
	answer := event{
		kind: eventHealthCheckDone, due: s.shard.now, agent: ev.agent, incarnation: ev.incarnation, token: ev.token, ok: ok,
	}
	if ok {
		answer.report = s.report()
	}
	s.shard.transmit(s, ev.agent.server, answer)
}
