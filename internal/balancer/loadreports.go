package balancer

import "time"

const (
	// freshReportLatencies is the age up to which no health check asks for a new report, in mean latencies of the class.
	freshReportLatencies = 2.0
	// maxReportedUtilization keeps the queue of a single server from raising the overload.
	maxReportedUtilization = 0.9 * targetUtilization
)

// LoadReport is what a server reports of its own load. A field that is negative or NaN is absent; all of them are
// absent unless Known is set.
type LoadReport struct {
	Known bool
	// InFlight counts the requests that the server holds, Queue those of them that wait.
	InFlight float64
	Queue    float64
	// ServiceTime is how long recent requests took, without waiting.
	ServiceTime time.Duration
}

// reportsQueue reports whether the server's last report said how many requests wait.
func (s *server) reportsQueue() bool { return s.lastReport.Known && s.lastReport.Queue >= 0 }

// recordReport takes in a server's report of its load.
func (b *Balancer) recordReport(s *server, report LoadReport) {
	if !report.Known {
		return
	}
	if report.Queue >= 0 {
		b.queueLength[b.localityOf(s)].add(report.Queue, fleetSampleWeight)
	}
	if report.InFlight < 0 && report.Queue >= 0 {
		// Without this a server that reports only a long queue would count as idle.
		report.InFlight = report.Queue
		if report.Queue > 0 {
			report.InFlight++ // at least one request is served while others wait
		}
	}
	s.lastReport = report
	s.reportedAt = b.now
	s.sentSinceReport = 0
	if s.reportsQueue() {
		// When most requests are shed few answers come, and only reports of idle servers can end the overload.
		utilization := max(0, report.InFlight-1) / (2 * b.overloadQueue)
		b.recordUtilization(min(utilization, maxReportedUtilization))
	}
}

// checkHealth asks a server for a report if none comes with its answers and the last one is old. The request that it
// was picked for does not wait for the report: that would cost a round trip to the farthest zone.
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

// onHealthCheck takes in the end of a health check.
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
