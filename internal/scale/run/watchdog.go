package run

import (
	"context"
	"fmt"
	"os"
	"time"

	"example.org/ryeloft/internal/scale/procstat"
)

// memoryCheckInterval is how often the resident memory of all processes is checked.
const memoryCheckInterval = 500 * time.Millisecond

// ProcessDiedError is the cause of a run in which the process with the given role died.
type ProcessDiedError struct{ Role string }

// Error implements error.
func (e ProcessDiedError) Error() string { return fmt.Sprintf("process %s died", e.Role) }

// MemoryError is the cause of a run whose processes together exceed the memory limit.
type MemoryError struct{ ResidentBytes, LimitBytes int64 }

// Error implements error.
func (e MemoryError) Error() string {
	return fmt.Sprintf("all processes together use %d MB of memory, the limit is %d MB", e.ResidentBytes>>20, e.LimitBytes>>20)
}

// watchProcesses fails the run if control, the simulated agents or a real agent die, or if all processes together
// exceed the memory limit. It returns when ctx is done.
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
		case <-r.controlProcess.Done():
			r.fail(ProcessDiedError{r.controlProcess.Role})
			return
		case <-r.simulatedProcess.Done():
			r.fail(ProcessDiedError{r.simulatedProcess.Role})
			return
		case <-realAgentDied:
			r.fail(r.realAgents.Err())
			return
		case <-memoryCheck.C:
			if resident := procstat.TreeResidentBytes(os.Getpid()); resident > maxMemoryBytes {
				r.fail(MemoryError{ResidentBytes: resident, LimitBytes: maxMemoryBytes})
				return
			}
		}
	}
}
