package balancer

const (
	freshReportLatencies = 2.0 // usual answers' time that a report is news and no probe is due
)

func (s *server) reportsQueue() bool { return s.lastReport.Known && s.lastReport.Queue >= 0 }

// recordReport takes in a server's own figures.
func (b *Balancer) recordReport(s *server, l LoadReport) {
	if !l.Known {
		return
	}
	if l.Queue >= 0 {
		b.queueLength[b.localityOf(s)].add(l.Queue, fleetSampleWeight)
	}
	if l.InFlight < 0 && l.Queue >= 0 {
		// Danger: where reports tell only who waits, a server with a long queue would look like an idle one.
		if l.InFlight = l.Queue; l.Queue > 0 {
			l.InFlight++
		}
	}
	s.lastReport, s.reportedAt, s.sentSinceReport = l, b.now, 0
	// Danger: where most is shed few answers come, and only reports of idle servers can end that. One server's queue
	// is not the fleet's.
	if s.reportsQueue() {
		b.recordUtilization(min(max(0, l.InFlight-1)/(2*b.overloadQueue), 0.9*targetUtilization))
	}
}

// checkHealth asks what was drawn for its figures if the last are old, for the requests to come, where no answer tells
// them. Danger: at few requests an agent all reports are old, and a fleet would probe more than it sends. One that
// waited for the answers would wait a round trip to the farthest zone, which no setting tells.
func (b *Balancer) checkHealth(r *request, pair ...*server) {
	for _, s := range pair {
		if !b.settings.HealthChecks || b.settings.Reports != ReportsOnHealthCheck || s == nil || s.healthCheckPending ||
			s.lastReport.Known && b.now-s.reportedAt < seconds(freshReportLatencies*r.class.latencySeconds.value) {
			continue
		}
		s.healthCheckPending = true
		b.act(Action{Kind: ActionHealthCheck, Server: s.ID})
	}
}

func (b *Balancer) onHealthCheck(ev *Event) {
	if s := b.serversByID[ev.Server]; s != nil {
		if s.healthCheckPending = false; ev.Outcome == OutcomeOK {
			b.recordReport(s, ev.Load)
		}
	}
}
