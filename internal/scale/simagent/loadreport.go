package simagent

import (
	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
)

// loadReport is what a server reports of its load in its answers.
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

// toBalancer is what an agent reads from a report: the fields that its settings name.
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
