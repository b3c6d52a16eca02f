// Package agenttest has the fixtures that tests of several agent packages share: a configuration, scripted servers, a
// discovery service, and listeners that accept no connections. The agent itself does not use it.
package agenttest

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"testing"
	"time"

	"example.org/ryeloft/internal/config"
)

// Settings are the settings of a test agent. Its four classes are: keyed, with deduplication across the fleet; celled,
// with a key and deduplication within a cell; unsafe, which is not idempotent; and safe, which is idempotent.
const Settings = `{
 "categories":[
  {"name":"keyed","aim":20000,"deadline":30000,"credit":1,"effect":"token","dedupScope":"all","repeatWindow":30000},
  {"name":"celled","aim":20000,"deadline":30000,"credit":1,"effect":"token","dedupScope":"cell","repeatWindow":30000},
  {"name":"unsafe","aim":20000,"deadline":30000,"credit":1,"effect":"side_effect"},
  {"name":"safe","aim":20000,"deadline":30000,"credit":1,"effect":"pure"}],
 "accounts":[{"name":"acme","portion":1}],
 "localities":["a"],"skus":["m1"],"replicasOfMe":1,"rank":0,"discovery":"automatic","tick":5,
 "report":{"fields":["outstanding","recent_ms"],"how":"off"},
 "limits":{"maxAttempts":3,"cancel":true,"secondCopies":true,"retryAfter":true,"connectTimeout":2000,"idleClose":30000},
 "rules":{"coldFrom":0.5,"warmAfter":1000,"overloadFactor":2,"extraFloor":100,"extraWindow":1000}}`

// Config returns the configuration of an agent with the given discovery address and settings text. The agent has as many
// cores as the test's process, because the processor time of the clients and servers that run there counts as its own.
func Config(t *testing.T, discovery, settings string) *config.Config {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"1f",
		"limits":{"cores":%d,"memory_mb":192,"sockets":1024},
		"known":{"revision":1,"complete":true,"members":[]},"settings":%s}`, discovery, runtime.GOMAXPROCS(0), settings)
	cfg, err := config.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// DiscardLogger discards all log records.
var DiscardLogger = slog.New(slog.DiscardHandler)

// Timeout bounds each wait of a test. No test passes by reaching it.
const Timeout = 20 * time.Second

// Receive returns the next value of a channel, or fails the test if none arrives within Timeout.
func Receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(Timeout):
		t.Fatalf("got no %s within %v", what, Timeout)
		panic("unreachable")
	}
}

// Pattern returns n bytes of text that does not repeat.
func Pattern(n int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%d,", i)
	}
	return b.Bytes()[:n]
}

// send writes text to w. It ignores errors, since the peer under test may have closed the connection on purpose.
func send(w io.Writer, text string) {
	_, _ = io.WriteString(w, text)
}
