package run

import (
	"context"
	"fmt"
	"os"
	"time"

	"example.org/ryeloft/internal/scale/procstat"
)

// memoryCheckInterval is how often the memory of all processes is summed up.
const memoryCheckInterval = 500 * time.Millisecond

// watchProcesses makes the run fail when a part or a real agent dies, or when all processes together hold too much memory.
// It ends with the run's context.
func (r *runner) watchProcesses(ctx context.Context) {
	memoryCheck := time.NewTicker(memoryCheckInterval)
	defer memoryCheck.Stop()
	var realAgentDied <-chan struct{}
	if r.realAgents != nil {
		realAgentDied = r.realAgents.Failed()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.controlPart.Done():
			r.fail(fmt.Errorf("the part %s died", r.controlPart.Role))
			return
		case <-r.simulatedPart.Done():
			r.fail(fmt.Errorf("the part %s died", r.simulatedPart.Role))
			return
		case <-realAgentDied:
			r.fail(r.realAgents.Err())
			return
		case <-memoryCheck.C:
			if held := procstat.TreeResidentBytes(os.Getpid()); held > maxMemoryBytes {
				r.fail(fmt.Errorf("all processes together hold %d MB, they may hold %d", held>>20, maxMemoryBytes>>20))
				return
			}
		}
	}
}
