package metrics

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/discovery"
)

// A call of discovery is counted, as failed too if it was, and its time is what it took beyond its wait.
func TestCallsOfDiscoveryAreCounted(t *testing.T) {
	var m Metrics
	m.PollEnded(discovery.PollResult{Wait: 3 * time.Second, Duration: 3200 * time.Millisecond})
	m.PollEnded(discovery.PollResult{Duration: 500 * time.Millisecond, Err: discovery.ErrTruncatedList})
	m.PollEnded(discovery.PollResult{Wait: 2 * time.Second, Duration: time.Millisecond})
	m.PollEnded(discovery.PollResult{Err: discovery.ErrMalformedList, Rejected: true, Hedged: true, EndedByHedge: true})
	if m.interval.polls != 4 || m.interval.pollErrors != 2 || m.interval.slowestPoll != 500*time.Millisecond {
		t.Errorf("%d calls, %d failed, the slowest %v", m.interval.polls, m.interval.pollErrors, m.interval.slowestPoll)
	}
	if m.interval.pollRejections != 1 || m.interval.pollHedges != 1 || m.interval.pollsEndedByHedge != 1 {
		t.Errorf("%d rejected, %d hedged, %d ended by it", m.interval.pollRejections, m.interval.pollHedges, m.interval.pollsEndedByHedge)
	}
}

// inFarZone writes the time as in a zone whose offset takes the most letters.
func inFarZone(_ []string, attr slog.Attr) slog.Attr {
	if attr.Key == slog.TimeKey {
		attr.Value = slog.TimeValue(time.Now().In(time.FixedZone("", int((5*time.Hour+30*time.Minute)/time.Second))))
	}
	return attr
}

// No line of counters is longer than what collectors of logs keep of one.
func TestCountersAreShortLines(t *testing.T) {
	const kept = 400 // bytes
	var m Metrics
	var text strings.Builder
	log := slog.New(slog.NewTextHandler(&text, &slog.HandlerOptions{ReplaceAttr: inFarZone})).With("agent", "a-name-of-20-letters")
	m.AddClasses([]string{"class"})
	m.count(func(i *intervalCounters) {
		i.lastBrokenAnswer = "read tcp 127.127.127.127:30000->127.127.127.127:30000: read: connection reset by peer"
		i.lastBadRequest = "X-Call-Class is unknown"
		const many = 1_000_000
		for _, counter := range []*int{
			&i.requests, &i.clientsClosed, &i.overLimit, &i.dialed, &i.reused, &i.reusedBroken, &i.badRequests,
			&i.polls, &i.pollErrors, &i.pollRejections, &i.pollHedges, &i.pollsEndedByHedge, &i.healthChecks, &i.healthCheckErrors, &i.loadReports, &i.incompleteHeads,
		} {
			*counter = many
		}
		i.slowestPoll = 1234567 * time.Microsecond
		i.slowestLoop = 1234567 * time.Microsecond
		for outcome := range i.outcomes {
			i.outcomes[outcome] = many
		}
	})
	for result := range m.counters.responses {
		m.counters.responses[result] = 1_000_000
	}
	m.counters.attempts = 1_000_000
	m.Log(log, 1000, 1000)
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	if len(lines) != 6 {
		t.Errorf("%d lines, want 6", len(lines))
	}
	for _, line := range lines {
		if len(line) > kept {
			t.Errorf("%d bytes: %s", len(line), line)
		}
	}
}

// A request whose class was not added is counted like others: a counter must not take the request with it.
func TestRequestOfAnUnknownClassIsCounted(t *testing.T) {
	var m Metrics
	for result := range resultCount {
		m.RequestAnswered("new", result)
	}
	var text strings.Builder
	if err := m.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`gw_responses_total{kind="new",result="ok"} 1`, `gw_responses_total{kind="new",result="shed"} 1`,
		`gw_responses_total{kind="new",result="errors"} 1`,
	} {
		if !strings.Contains(text.String(), want+"\n") {
			t.Errorf("no line %s in\n%s", want, text.String())
		}
	}
}
