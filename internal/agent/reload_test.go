package agent

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/config"
	"example.org/ryeloft/internal/protocol"
)

// A reload adds and removes classes and makes one stricter. A request in flight is served as the class it was accepted
// with, and a rejected file changes nothing.
func TestReloadSettings(t *testing.T) {
	proceed := make(chan struct{}, 100)
	b := agenttest.NewServer(t, func(_ int, r *http.Request) (string, bool) {
		if r.Header.Get("X-Wait") != "" {
			<-proceed
		}
		return agenttest.OKResponse, false
	})
	a, console := startWithConsole(t, b)
	expect := func(line string) {
		t.Helper()
		for started := time.Now(); !strings.Contains(consoleCall(t, console, "vars\n"), line+"\n"); time.Sleep(time.Millisecond) {
			if time.Since(started) > agenttest.Timeout {
				t.Fatalf("got no %q in the metrics", line)
			}
		}
	}
	inFlight := a.request("celled", "15000m")
	inFlight.Header.Set("X-Wait", "1")
	answered := make(chan int, 1)
	go func() {
		status, _ := a.do(t, inFlight)
		answered <- status
	}()
	agenttest.Receive(t, "request", b.Requests)

	a.reloads <- config.ReloadResult{Err: errors.New("broken")}
	expect("gw_config_rejected_total 1")
	if status, _ := a.do(t, a.request("celled", "15000m")); status != 200 {
		t.Errorf("after a rejected file: got status %d, want 200", status)
	}

	// The class "celled" is removed, "safe" is no longer idempotent, and "new" is added before all others.
	text := strings.NewReplacer(`"categories":[`, `"categories":[
	  {"name":"new","aim":20000,"deadline":30000,"credit":1,"effect":"token","dedupScope":"all","repeatWindow":30000},`,
		`{"name":"celled","aim":20000,"deadline":30000,"credit":1,"effect":"token","dedupScope":"cell","repeatWindow":30000},`, "",
		`"effect":"pure"`, `"effect":"side_effect"`).Replace(agenttest.Settings)
	l := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("y", b.Addr, "Ready", 0)))
	next := agenttest.Config(t, l.Listener.Addr().String(), text)
	a.reloads <- config.ReloadResult{Config: next}
	expect("gw_config_applied_total 1")
	expect(`gw_responses_total{kind="new",result="ok"} 0`)
	agenttest.Receive(t, "call to the new discovery", l.Calls)
	for _, c := range []struct {
		class, method string
		want          int
	}{{"new", "POST", 200}, {"unsafe", "POST", 200}, {"celled", "POST", 400}, {"safe", "GET", 405}, {"safe", "POST", 200}} {
		req := a.request(c.class, "15000m")
		req.Method = c.method
		req.Header.Set(protocol.HeaderIdempotencyKey, "k")
		if status, _ := a.do(t, req); status != c.want {
			t.Errorf("%s %s: got status %d, want %d", c.method, c.class, status, c.want)
		}
	}
	proceed <- struct{}{}
	if status := agenttest.Receive(t, "response", answered); status != 200 {
		t.Errorf("request in flight: got status %d, want 200", status)
	}
	expect(`gw_responses_total{kind="celled",result="ok"} 2`)
}
