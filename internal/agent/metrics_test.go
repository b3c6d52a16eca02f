package agent

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
)

// The metrics count the results of requests per class, including classes without requests, and the attempts and
// servers.
func TestMetricsCountResults(t *testing.T) {
	b := agenttest.NewServer(t, func(n int, _ *http.Request) (string, bool) {
		if n == 0 {
			return "", true // the connection breaks: the request may have run
		}
		return agenttest.OKResponse, false
	})
	a, console := startWithConsole(t, b)
	expect := func(lines ...string) {
		t.Helper()
		var got string
		for started := time.Now(); time.Since(started) < agenttest.Timeout; time.Sleep(10 * time.Millisecond) {
			got = consoleCall(t, console, "vars\n")
			missing := false
			for _, l := range lines {
				missing = missing || !strings.Contains(got, l+"\n")
			}
			if !missing {
				return
			}
		}
		t.Fatalf("got metrics\n%swant\n%s", got, strings.Join(lines, "\n"))
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

// A request that the agent itself rejects is counted as shed, without an attempt.
func TestMetricsCountRejections(t *testing.T) {
	l := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("x", "127.0.0.1:1", "Terminating", 0)))
	cfg := agenttest.Config(t, l.Listener.Addr().String(), agenttest.Settings)
	cfg.AdminAddr = freeAddr(t)
	t.Setenv("TMPDIR", t.TempDir())
	a := start(t, cfg)
	a.do(t, a.request("unsafe", "15000m"))
	if got := consoleCall(t, cfg.AdminAddr, "vars\n"); !strings.Contains(got, `{kind="unsafe",result="shed"} 1`) ||
		!strings.Contains(got, "gw_tries_total 0\n") {
		t.Errorf("got metrics\n%swant one shed request and no attempt", got)
	}
}
