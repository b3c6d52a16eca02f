package agent

import (
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/discovery"
)

// The figures tell each end of a request by class, every class from 0, and the tries and servers behind them.
func TestFigures(t *testing.T) {
	b := newBackend(t, func(n int, _ *http.Request) (string, bool) {
		if n == 0 {
			return "", true // the connection breaks: the request may have run
		}
		return okText, false
	})
	a, console := withConsole(t, b)
	expect := func(lines ...string) {
		t.Helper()
		var got string
		for begun := time.Now(); time.Since(begun) < wait; time.Sleep(10 * time.Millisecond) {
			got = operator(t, console, "vars\n")
			missing := false
			for _, l := range lines {
				missing = missing || !strings.Contains(got, l+"\n")
			}
			if !missing {
				return
			}
		}
		t.Fatalf("the figures\n%swant\n%s", got, strings.Join(lines, "\n"))
	}
	expect(`gw_responses_total{kind="celled",result="shed"} 0`, "gw_tries_total 0", "gw_active 0", "gw_pool_size 1",
		"gw_pool_ejected 0", "gw_config_applied_total 0", "gw_config_rejected_total 0")
	a.do(t, a.request("unsafe", "15000m")) // fails
	a.do(t, a.request("unsafe", "15000m"))
	a.do(t, a.request("safe", "15000m"))
	expect(`gw_responses_total{kind="unsafe",result="errors"} 1`, `gw_responses_total{kind="unsafe",result="ok"} 1`,
		`gw_responses_total{kind="safe",result="ok"} 1`, `gw_responses_total{kind="safe",result="shed"} 0`,
		"gw_tries_total 3", "gw_active 0")
}

// A call of discovery is counted, as failed too if it was, and its time is what it took beyond its wait.
func TestCallsOfDiscoveryAreCounted(t *testing.T) {
	var f figures
	f.called(discovery.PollResult{Wait: 3 * time.Second, Duration: 3200 * time.Millisecond})
	f.called(discovery.PollResult{Duration: 500 * time.Millisecond, Err: discovery.ErrTruncatedList})
	f.called(discovery.PollResult{Wait: 2 * time.Second, Duration: time.Millisecond})
	if f.listCalls != 3 || f.listFails != 1 || f.slowestList != 500*time.Millisecond {
		t.Errorf("%d calls, %d failed, the slowest %v", f.listCalls, f.listFails, f.slowestList)
	}
}

// What the agent itself turns away is refused, and counted so.
func TestFiguresOfRefusals(t *testing.T) {
	l := newLists(t, hosts(1, true, host("x", "127.0.0.1:1", "Terminating", 0)))
	cfg := configFor(t, l.Listener.Addr().String(), testSettings)
	cfg.AdminAddr = freeAddr(t)
	t.Setenv("TMPDIR", t.TempDir())
	a := start(t, cfg)
	a.do(t, a.request("unsafe", "15000m"))
	if got := operator(t, cfg.AdminAddr, "vars\n"); !strings.Contains(got, `{kind="unsafe",result="shed"} 1`) ||
		!strings.Contains(got, "gw_tries_total 0\n") {
		t.Errorf("the figures\n%s", got)
	}
}

// No line of counters is longer than what collectors of logs keep of one.
func TestCountersAreShortLines(t *testing.T) {
	const kept = 400 // bytes
	var f figures
	var text strings.Builder
	log := slog.New(slog.NewTextHandler(&text, nil)).With("agent", "a-name-of-20-letters")
	f.know([]string{"class"})
	f.count(func(c *tally) {
		c.lastBreak = "read tcp 127.127.127.127:30000->127.127.127.127:30000: read: connection reset by peer"
		c.lastBad = "X-Call-Class is unknown"
		const many = 1_000_000
		c.taken, c.gone, c.turnedAway, c.dialed, c.reused, c.brokenReused, c.badRequests = many, many, many, many, many, many, many
		c.listCalls, c.listFails, c.probes, c.probesFailed, c.reports, c.halfHeads = many, many, many, many, many, many
		c.slowestList, c.slowestLoop = 1234567*time.Microsecond, 1234567*time.Microsecond
		for i := range c.attempts {
			c.attempts[i] = many
		}
	})
	f.report(log, 1000, 1000)
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	if len(lines) != 5 {
		t.Errorf("%d lines, want 5", len(lines))
	}
	for _, line := range lines {
		if len(line) > kept {
			t.Errorf("%d bytes: %s", len(line), line)
		}
	}
}
