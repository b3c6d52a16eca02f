package balancer

import (
	"slices"
	"time"
)

const (
	skipLatencies        = 3.0  // usual answers' time that a server which was full stays passed by
	maxEjectedShare      = 0.3  // of the servers at most, or one: more at once are overload or our own blindness
	ejectionObjectives   = 4.0  // aims that a first ejection lasts
	maxEjectionDoublings = 3    // times that this doubles while the server stays bad
	silenceLatencies     = 6.0  // usual answers' time until an attempt hangs; the aim at least
	singleFailureWeight  = 0.34 // of one that a failure counts soon after an answer: three in a row eject
	maxResetsInRow       = 3    // resets of connections without an answer between them: the server has died
)

// classHealth is what a server's answers to one class say.
type classHealth struct {
	failures     float64       // failures of late, halved by each success
	ejectedUntil time.Duration // ejected until then
	ejections    int           // ejections in a row
	lastAnswer   time.Duration // when it last answered, 0 if never
}

// recordOutcome draws the conclusions from an outcome.
func (b *Balancer) recordOutcome(c *class, a *attempt, how Outcome, part float64) {
	s := a.server
	switch how {
	case OutcomeOK:
		s.lastAnswer, s.resetsInRow = b.now, 0
		h := &s.health[c.index]
		h.failures, h.ejections, h.lastAnswer = h.failures/2, 0, b.now
		b.objectiveUsage.add(min(part, 1), sampleWeight)
		if !s.reportsQueue() {
			b.recordUtilization(part) // where queues are reported those have said it: one costly request is no crowd
		}
	case OutcomeTimeout:
		b.recordSlowdown(s, maxSlowdown/2, sampleWeight)
		if s.health[c.index].lastAnswer <= a.sentAt { // it may answer others and swallow this class
			b.recordSilence(c, a, 1)
		}
	case OutcomeRejected:
		// Danger: a server that turns requests away has few in flight and would win every pair. One that tells
		// its load may have reasons of its own to; were that taken for a crowd, its rejections alone would have
		// all requests shed from idle servers. What such a server holds is judged whenever it is drawn.
		b.skip(s)
		if !s.lastReport.Known {
			b.recordUtilization(2)
		}
	case OutcomeError:
		// Danger: a quick error looks like a quick answer. It teaches no speed and counts against the server.
		if b.failureWeight(c, s) == 1 {
			b.recordFailureForAllClasses(s, "errors")
		} else {
			b.recordFailure(c, s, singleFailureWeight, "errors")
		}
	case OutcomeReset:
		// Danger: networks cut connections to healthy servers. One that has died resets all, or refuses the next.
		if s.resetsInRow++; s.resetsInRow < maxResetsInRow {
			b.recordFailure(c, s, singleFailureWeight, "resets")
		} else {
			b.recordFailureForAllClasses(s, "resets")
		}
	case OutcomeConnectFailed:
		if s.resetsInRow > 0 || b.failureWeight(c, s) == 1 {
			b.recordFailureForAllClasses(s, "connections")
		} else { // danger: it takes no more connections, and those out for it would make others take more
			b.skip(s)
		}
	}
}

// recordFailureForAllClasses ejects a server from all lines: no class is served over connections that break.
func (b *Balancer) recordFailureForAllClasses(s *server, why string) {
	for _, c := range b.classes {
		b.recordFailure(c, s, 1, why)
	}
}

// recordFailure counts failures of a class against a server and ejects it from the class's line when there are too
// many; once two classes have, all do. Danger: a server may fail one class and serve the others well.
func (b *Balancer) recordFailure(c *class, s *server, much float64, why string) {
	h := &s.health[c.index]
	if h.failures += much; h.failures < 1 || h.ejectedUntil > b.now || s.State != Ready {
		return
	}
	out, of := 1, 0
	for _, o := range b.servers {
		if o.State == Ready && c.eligible(o) {
			of++
			if o.health[c.index].ejectedUntil > b.now {
				out++
			}
		}
	}
	if float64(out) > max(maxEjectedShare*float64(of), float64(min(1, of-1))) {
		return
	}
	wait := ejectionObjectives * c.LatencyObjective.Seconds() * float64(int(1)<<min(h.ejections, maxEjectionDoublings))
	h.ejectedUntil = b.now + seconds(wait*(0.75+b.rng.Float64()/2))
	h.ejections++
	h.failures = 0.5 // half bad: it will be readmitted on trial
	b.candidateEpoch++
	b.log("server %d ejected for class %d for %.1f s: %s", s.ID, c.index, wait, why)
	for i := range s.health {
		if o := &s.health[i]; o.ejectedUntil > b.now && i != c.index {
			b.recordFailureForAllClasses(s, "several classes")
			return
		}
	}
}

// recordSilence counts an attempt's silence against its server, up to so much. Danger: servers fall silent before
// they choke: where other answers are late too, the silence of one that was well is crowding.
func (b *Balancer) recordSilence(c *class, a *attempt, much float64) {
	if a.server.health[c.index].failures < 0.25 && !a.server.reportsQueue() {
		b.recordUtilization(4 * b.objectiveUsage.value)
	}
	b.recordFailure(c, a.server, much-a.silenceWeight, "silence")
	a.silenceWeight = much
}

// failureWeight is what a failure says against a server. Danger: a busy agent meets single failures all the time; if
// one were enough though answers come in between, half of the healthy would be out and the rest crowded.
func (b *Balancer) failureWeight(c *class, s *server) float64 {
	if s.lastAnswer > 0 && b.now-s.lastAnswer < c.LatencyObjective {
		return singleFailureWeight
	}
	return 1
}

// skip leaves a server without room alone for a while.
func (b *Balancer) skip(s *server) {
	s.skippedUntil = b.now + seconds(skipLatencies*b.latencySeconds.value)
}

// EjectedEndpoints counts the listed servers that are ejected for every class.
func (b *Balancer) EjectedEndpoints(now time.Duration) (n int) {
	for _, s := range b.servers {
		in := slices.ContainsFunc(b.classes, func(c *class) bool { return s.health[c.index].ejectedUntil <= now })
		if !in && s.State != Removed {
			n++
		}
	}
	return n
}
