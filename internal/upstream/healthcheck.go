package upstream

import (
	"context"
	"net/http"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/settings"
)

const healthCheckTimeout = 300 * time.Millisecond

// HealthCheck requests an endpoint's load report if the settings enable reports, and otherwise only checks that the
// endpoint is alive.
func (p *Pool) HealthCheck(ctx context.Context, e *Endpoint, s *settings.Settings) *Result {
	path := protocol.PathLive
	reports := s.Balancer.Reports != balancer.ReportsOff
	if reports {
		path = protocol.PathLoad
	}
	request := NewRequest(http.MethodGet, path, e.addr, nil, nil, nil)
	request.healthCheck = true
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	result := p.Exchange(ctx, e, request, &Attempt{Deadline: deadline, LoadFields: s.ReportFields})
	if result.Outcome == balancer.OutcomeOK && reports {
		result.Load = parseLoadReport(string(result.Response.Body), s.ReportFields)
	}
	return result
}
