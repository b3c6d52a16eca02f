package metrics

import (
	"log/slog"

	"example.org/ryeloft/internal/balancer"
)

// Log logs the counts since the last call, with the given numbers of ready and draining endpoints. It logs nothing if
// nothing was counted.
func (m *Metrics) Log(log *slog.Logger, ready, draining int) {
	m.mu.Lock()
	since, now, before := m.interval, m.counters, m.logged
	m.interval = intervalCounters{}
	m.logged = now
	m.mu.Unlock()
	if since == (intervalCounters{}) && now == before {
		return
	}
	responses := func(r Result) int { return now.responses[r] - before.responses[r] }
	log.Info("counters",
		"requests", since.requests, "ok", responses(ResultOK), "shed", responses(ResultShed), "over_limit", since.overLimit,
		"errors", responses(ResultErrors), "client_closed", since.clientsClosed, "attempts", now.attempts-before.attempts,
		"slowest_loop", since.slowestLoop, slog.Group("endpoints", "ready", ready, "draining", draining))
	if since.polls > 0 {
		log.Info("discovery polls", "polls", since.polls, "failed", since.pollErrors, "rejected", since.pollRejections, "slowest", since.slowestPoll,
			slog.Group("hedges", "sent", since.pollHedges, "ended_poll", since.pollsEndedByHedge))
	}
	since.logAttempts(log)
	since.logHops(log)
	logMemory(log)
}

// logAttempts logs the outcomes of attempts, server connections and health checks, and the last errors. They are split
// into several lines because log collectors may truncate a line at 400 bytes.
func (i *intervalCounters) logAttempts(log *slog.Logger) {
	outcome := func(o balancer.Outcome) int { return i.outcomes[o] }
	log.Info("attempts",
		"ok", outcome(balancer.OutcomeOK), "error", outcome(balancer.OutcomeError), "rejected", outcome(balancer.OutcomeRejected),
		"timeout", outcome(balancer.OutcomeTimeout), "connect_failed", outcome(balancer.OutcomeConnectFailed),
		"reset", outcome(balancer.OutcomeReset), "cancelled", outcome(balancer.OutcomeCancelled),
		"expired", outcome(balancer.OutcomeExpired), "server_draining", outcome(balancer.OutcomeServerDraining))
	log.Info("server connections", "dialed", i.dialed, "reused", i.reused, "reused_broken", i.reusedBroken,
		slog.Group("health_checks", "sent", i.healthChecks, "failed", i.healthCheckErrors), "load_reports", i.loadReports)
	if i.lastBrokenResponse != "" {
		log.Info("last broken answer", "error", i.lastBrokenResponse)
	}
	if i.badRequests > 0 || i.incompleteHeads > 0 || i.headsOverLimit > 0 {
		log.Info("bad requests", "requests", i.badRequests, "last", i.lastBadRequest, "incomplete_heads", i.incompleteHeads,
			"heads_over_limit", i.headsOverLimit)
	}
}
