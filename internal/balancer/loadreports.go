package balancer

const (
	fresh = 2.0 // usual answers' time that a report is news and no probe is due
)

func (s *server) tellsQueue() bool { return s.load.Known && s.load.Queue >= 0 }

// report takes in a server's own figures.
func (b *Balancer) report(s *server, l LoadReport) {
	if !l.Known {
		return
	}
	if l.Queue >= 0 {
		b.queue[b.near(s)].add(l.Queue, fleetGain)
	}
	if l.InFlight < 0 && l.Queue >= 0 {
		// Danger: where reports tell only who waits, a server with a long queue would look like an idle one.
		if l.InFlight = l.Queue; l.Queue > 0 {
			l.InFlight++
		}
	}
	s.load, s.loadAt, s.since = l, b.now, 0
	// Danger: where most is shed few answers come, and only reports of idle servers can end that. One server's queue
	// is not the fleet's.
	if s.tellsQueue() {
		b.press(min(max(0, l.InFlight-1)/(2*b.crowd), 0.9*aimShare))
	}
}

// probe asks what was drawn for its figures if the last are old, for the requests to come, where no answer tells
// them. Danger: at few requests an agent all reports are old, and a fleet would probe more than it sends. One that
// waited for the answers would wait a round trip to the farthest zone, which no setting tells.
func (b *Balancer) probe(r *request, pair ...*server) {
	for _, s := range pair {
		if !b.set.HealthChecks || b.set.Reports != ReportsOnHealthCheck || s == nil || s.probing ||
			s.load.Known && b.now-s.loadAt < seconds(fresh*r.class.usual.v) {
			continue
		}
		s.probing = true
		b.act(Action{Kind: ActionHealthCheck, Server: s.ID})
	}
}

func (b *Balancer) onProbed(ev *Event) {
	if s := b.servers[ev.Server]; s != nil {
		if s.probing = false; ev.Outcome == OutcomeOK {
			b.report(s, ev.Load)
		}
	}
}
