package agent

import (
	"runtime/debug"
	"testing"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/handover"
)

// The memory limit of the garbage collector is its share of the configured memory, even in an agent without a console.
func TestMemoryLimit(t *testing.T) {
	old := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(old)
	debug.SetMemoryLimit(1 << 40)
	a := startWith(t, agenttest.Settings, agenttest.NewServer(t, agenttest.Serve))
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	if got, want := debug.SetMemoryLimit(-1), handover.LimitsFor(cfg, 1).HeapBytes; got != want || want > int64(cfg.MemoryMB)<<20 {
		t.Errorf("%s: got a memory limit of %d bytes, want %d", a.url, got, want)
	}
}
