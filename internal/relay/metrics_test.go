package relay

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// Monitoring parses the text of the metrics, so it must not change by a byte.
func TestMetricsText(t *testing.T) {
	const want = `relay_calls_total 2
relay_whole_lists_total 1
relay_refused_total 0
relay_answer_bytes_total 202
relay_open_calls 0
relay_waiting_calls 0
relay_upstream_age_seconds 0.3
relay_revision 7
`
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		newUpstream(t, n, 7, member("x", "Ready", 0))
		r := startRelay(t, n, "relay:1", t.TempDir())
		call(t, n, r.addr, "")
		call(t, n, r.addr, "?after=7&wait_ms=0")
		time.Sleep(1100 * time.Millisecond) // about half a watch after the end of the last one
		response := httptest.NewRecorder()
		r.ServeMetrics(response, httptest.NewRequest("GET", "/", nil))
		if got := response.Body.String(); got != want {
			t.Errorf("got %s\nwant %s", got, want)
		}
		if got := response.Header().Get("Content-Type"); got != "text/plain; charset=utf-8" {
			t.Errorf("got content type %s, want text/plain; charset=utf-8", got)
		}
	})
}
