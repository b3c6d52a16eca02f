package metrics

import (
	"log/slog"
	"runtime/metrics"
)

// The memory of the process as the Go runtime counts it. The pages of the program are not in it.
const (
	mappedBytes   = "/memory/classes/total:bytes"
	releasedBytes = "/memory/classes/heap/released:bytes"
	heapBytes     = "/memory/classes/heap/objects:bytes"
	stackBytes    = "/memory/classes/heap/stacks:bytes"
	limitBytes    = "/gc/gomemlimit:bytes"
	goroutines    = "/sched/goroutines:goroutines"
)

// logMemory logs what the process holds, so that its log tells what it held when it passed a limit.
func logMemory(log *slog.Logger) {
	value := readRuntime(mappedBytes, releasedBytes, heapBytes, stackBytes, limitBytes, goroutines)
	log.Info("memory", "held_kb", (value[mappedBytes]-value[releasedBytes])>>10, "heap_kb", value[heapBytes]>>10,
		"stacks_kb", value[stackBytes]>>10, "limit_kb", value[limitBytes]>>10, "goroutines", value[goroutines])
}

// readRuntime returns the current values of the named metrics of the runtime, all of which are integers.
func readRuntime(names ...string) map[string]uint64 {
	samples := make([]metrics.Sample, len(names))
	for i, name := range names {
		samples[i].Name = name
	}
	metrics.Read(samples)
	values := make(map[string]uint64, len(names))
	for _, s := range samples {
		values[s.Name] = s.Value.Uint64()
	}
	return values
}
