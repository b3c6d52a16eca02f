package simagent

import (
	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
)

// loadReport is the load that a server reports in its responses.
type loadReport struct {
	known            bool
	inFlight, queued int32
	recentMillis     float32
}

func (s *server) report() loadReport {
	return loadReport{
		known:        true,
		inFlight:     int32(len(s.inProgress) + len(s.queue)),
		queued:       int32(len(s.queue)),
		recentMillis: float32(s.recentMillis),
	}
}

// toBalancer converts a report to the balancer's form. It includes only the fields that the agent's settings name.
func (r loadReport) toBalancer(set *settings.Settings) balancer.LoadReport {
	l := settings.UnknownLoad()
	if !r.known || set.Balancer.Reports == balancer.ReportsOff {
		return l
	}
	for _, name := range set.ReportFields {
		switch name {
		case "outstanding":
			settings.SetLoadField(&l, name, float64(r.inFlight))
		case "backlog":
			settings.SetLoadField(&l, name, float64(r.queued))
		case "recent_ms":
			settings.SetLoadField(&l, name, float64(r.recentMillis))
		}
	}
	return l
}
