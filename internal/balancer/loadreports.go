package balancer

import "time"

const (
	// freshReportLatencies is the age below which a report needs no health check, in mean latencies of the class.
	freshReportLatencies = 2.0
	// maxReportedUtilization limits the utilization from a single load report, so that the queue of one server does not
	// raise the overload.
	maxReportedUtilization = 0.9 * targetUtilization
)

// LoadReport is a server's report of its own load. A field that is negative or NaN is absent; all fields are absent
// unless Known is set.
type LoadReport struct {
	Known bool
	// InFlight is the number of requests on the server, Queue the number of them that wait.
	InFlight float64
	Queue    float64
	// ServiceTime is the processing time of recent requests, without queueing.
	ServiceTime time.Duration
}

// reportsQueue reports whether the server's last report includes its queue length.
func (s *server) reportsQueue() bool { return s.lastReport.Known && s.lastReport.Queue >= 0 }

// recordReport applies a server's load report.
func (b *Balancer) recordReport(s *server, report LoadReport) {
	if !report.Known {
		return
	}
	if report.Queue >= 0 {
		b.queueLength[b.localityOf(s)].add(report.Queue, fleetSampleWeight)
	}
	if report.InFlight < 0 && report.Queue >= 0 {
		// Otherwise a server that reports only a long queue would count as idle.
		report.InFlight = report.Queue
		if report.Queue > 0 {
			report.InFlight++ // at least one request is being processed while others wait
		}
	}
	s.lastReport = report
	s.reportedAt = b.now
	s.sentSinceReport = 0
	if s.reportsQueue() {
		// When most requests are shed, few responses arrive, and only the reports of idle servers can end the overload.
		utilization := max(0, report.InFlight-1) / (2 * b.overloadQueue)
		b.recordUtilization(min(utilization, maxReportedUtilization))
	}
}

// checkHealth requests a load report from a server if its responses carry none and the last one is old. The request for
// which the server was picked does not wait for the report: waiting would cost a round trip to the farthest zone.
func (b *Balancer) checkHealth(c *class, s *server) {
	if !b.settings.HealthChecks || b.settings.Reports != ReportsOnHealthCheck || s.healthCheckPending {
		return
	}
	isFresh := s.lastReport.Known && b.now-s.reportedAt < seconds(freshReportLatencies*c.latencySeconds.value)
	if isFresh {
		return
	}
	s.healthCheckPending = true
	b.emit(Action{Kind: ActionHealthCheck, Server: s.ID})
}

// onHealthCheck applies the result of a health check.
func (b *Balancer) onHealthCheck(ev *Event) {
	s := b.serversByID[ev.Server]
	if s == nil {
		return
	}
	s.healthCheckPending = false
	if ev.Outcome == OutcomeOK {
		b.recordReport(s, ev.Load)
	}
}
