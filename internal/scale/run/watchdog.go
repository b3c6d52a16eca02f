package run

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// eventsPerPoll is how often the memory of all processes is summed up.
const memoryCheckInterval = 500 * time.Millisecond

// watchProcesses makes the run fail when a part or a real agent dies, or when all processes together hold too much memory. It ends
// with the run.
func (p *runner) watchProcesses(ctx context.Context) {
	look := time.NewTicker(memoryCheckInterval)
	defer look.Stop()
	var realDied <-chan struct{}
	if p.realAgents != nil {
		realDied = p.realAgents.Failed()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.controlPart.Done():
			p.fail(fmt.Errorf("the part %s died", p.controlPart.Role))
			return
		case <-p.simulatedPart.Done():
			p.fail(fmt.Errorf("the part %s died", p.simulatedPart.Role))
			return
		case <-realDied:
			p.fail(p.realAgents.Err())
			return
		case <-look.C:
			if held := processTreeMemory(os.Getpid()); held > maxMemoryBytes {
				p.fail(fmt.Errorf("all processes together hold %d MB, they may hold %d", held>>20, maxMemoryBytes>>20))
				return
			}
		}
	}
}

// processTreeMemory is what a process and its children hold, in bytes. One that ends meanwhile counts as nothing.
func processTreeMemory(pid int) int64 {
	sum := residentBytes(pid)
	stats, _ := filepath.Glob("/proc/[0-9]*/stat") // the pattern is right
	parent := []byte(strconv.Itoa(pid))
	for _, stat := range stats {
		text, err := os.ReadFile(stat)
		if err != nil {
			continue
		}
		// The name in brackets may hold anything; behind it come the state and the parent.
		fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
		if len(fields) > 1 && bytes.Equal(fields[1], parent) {
			child, _ := strconv.Atoi(filepath.Base(filepath.Dir(stat))) // the pattern lets only digits through
			sum += residentBytes(child)
		}
	}
	return sum
}

// residentBytes is what one process holds, in bytes.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text)
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(string(fields[1]), 10, 64) // the kernel writes a number
	return pages * int64(os.Getpagesize())
}
