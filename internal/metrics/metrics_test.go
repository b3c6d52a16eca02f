package metrics

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/discovery"
)

// Polls are counted, and failed ones also as errors. The slowest poll is the one that most exceeds its permitted wait,
// so that a long watch without changes does not look slow.
func TestDiscoveryPollsAreCounted(t *testing.T) {
	var m Metrics
	m.PollEnded(discovery.PollResult{Wait: 3 * time.Second, Duration: 3200 * time.Millisecond})
	m.PollEnded(discovery.PollResult{Duration: 500 * time.Millisecond, Err: discovery.ErrTruncatedList})
	m.PollEnded(discovery.PollResult{Wait: 2 * time.Second, Duration: time.Millisecond})
	m.PollEnded(discovery.PollResult{Err: discovery.ErrMalformedList, Rejected: true, Hedged: true, EndedByHedge: true})
	if m.interval.polls != 4 || m.interval.pollErrors != 2 || m.interval.slowestPoll != 500*time.Millisecond {
		t.Errorf("got %d polls, %d errors, the slowest %v, want 4, 2, 500ms", m.interval.polls, m.interval.pollErrors, m.interval.slowestPoll)
	}
	if m.interval.pollRejections != 1 || m.interval.pollHedges != 1 || m.interval.pollsEndedByHedge != 1 {
		t.Errorf("got %d rejected, %d hedged, %d ended by their hedge, want 1 of each",
			m.interval.pollRejections, m.interval.pollHedges, m.interval.pollsEndedByHedge)
	}
}

// withLongTimeZone replaces the time by one in a zone whose offset is written with the most characters.
func withLongTimeZone(_ []string, attr slog.Attr) slog.Attr {
	if attr.Key == slog.TimeKey {
		attr.Value = slog.TimeValue(time.Now().In(time.FixedZone("", int((5*time.Hour+30*time.Minute)/time.Second))))
	}
	return attr
}

// Log collectors truncate long lines, so no log line of the counters may exceed their limit even with large values.
func TestLogLinesAreShort(t *testing.T) {
	const maxLineBytes = 400
	var m Metrics
	var text strings.Builder
	log := slog.New(slog.NewTextHandler(&text, &slog.HandlerOptions{ReplaceAttr: withLongTimeZone})).With("agent", "a-name-of-20-letters")
	m.AddClasses([]string{"class"})
	m.count(func(i *intervalCounters) {
		i.lastBrokenResponse = "read tcp 127.127.127.127:30000->127.127.127.127:30000: read: connection reset by peer"
		i.lastBadRequest = "X-Call-Class is unknown"
		const large = 1_000_000
		for _, counter := range []*int{
			&i.requests, &i.clientsClosed, &i.overLimit, &i.dialed, &i.reused, &i.reusedBroken, &i.badRequests,
			&i.polls, &i.pollErrors, &i.pollRejections, &i.pollHedges, &i.pollsEndedByHedge, &i.healthChecks, &i.healthCheckErrors, &i.loadReports, &i.incompleteHeads, &i.headsOverLimit,
		} {
			*counter = large
		}
		i.slowestPoll = 1234567 * time.Microsecond
		i.slowestLoop = 1234567 * time.Microsecond
		for hop := range i.slowestHops {
			i.slowestHops[hop] = 1234567 * time.Microsecond
		}
		for outcome := range i.outcomes {
			i.outcomes[outcome] = large
		}
	})
	for result := range m.counters.responses {
		m.counters.responses[result] = 1_000_000
	}
	m.counters.attempts = 1_000_000
	m.Log(log, 1000, 1000)
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	if len(lines) != 8 {
		t.Errorf("got %d lines, want 8", len(lines))
	}
	if memory := lines[len(lines)-1]; !strings.Contains(memory, "msg=memory") || strings.Contains(memory, "held_kb=0 ") {
		t.Errorf("got the last line %s, want what the process holds", memory)
	}
	for _, line := range lines {
		if len(line) > maxLineBytes {
			t.Errorf("got %d bytes, want at most %d: %s", len(line), maxLineBytes, line)
		}
	}
}

// A request of a class that was not added is counted like any other. A missing counter must not make the request fail.
func TestUnknownClassIsCounted(t *testing.T) {
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
			t.Errorf("got\n%s\nwant the line %s", text.String(), want)
		}
	}
}
