package handover

import (
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/config"
)

// fakeProcessor is a Processor that only records the other processes.
type fakeProcessor struct {
	mu   sync.Mutex
	pids []int
}

func (f *fakeProcessor) SetOtherProcesses(pids []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pids = pids
}

func (f *fakeProcessor) others() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pids
}

// Guards against processes that each use the whole processor: each must know the other by its process id, and only while
// it runs.
func TestProcessesShareProcessor(t *testing.T) {
	path := filepath.Join(t.TempDir(), "l")
	cfg := &config.Config{MemoryMB: 1 << 20, Sockets: 384}
	var older, newer fakeProcessor
	first := Join(path, quotasFor(cfg), &fakeIDs{}, &older, agenttest.DiscardLogger)
	t.Cleanup(first.Close)
	if err := first.Announce(); err != nil {
		t.Fatal(err)
	}
	expect := func(name string, p *fakeProcessor, want ...int) {
		t.Helper()
		for start := time.Now(); !slices.Equal(p.others(), want); time.Sleep(time.Millisecond) {
			if time.Since(start) > agenttest.Timeout {
				t.Fatalf("%s: got other processes %v, want %v", name, p.others(), want)
			}
		}
	}
	second := Join(path, quotasFor(cfg), &fakeIDs{}, &newer, agenttest.DiscardLogger)
	expect("older process", &older, os.Getpid())
	expect("newer process", &newer, os.Getpid())
	second.Close()
	expect("older process alone", &older)
}
