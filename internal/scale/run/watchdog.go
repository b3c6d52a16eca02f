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

// lookEvery is how often the memory of all processes is summed up.
const lookEvery = 500 * time.Millisecond

// guard makes the run fail when a part or a real agent dies, or when all processes together hold too much memory. It ends
// with the run.
func (p *play) guard(ctx context.Context) {
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	var realDied <-chan struct{}
	if p.real != nil {
		realDied = p.real.Failed()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.control.Done():
			p.fail(fmt.Errorf("the part %s died", p.control.Role))
			return
		case <-p.hollow.Done():
			p.fail(fmt.Errorf("the part %s died", p.hollow.Role))
			return
		case <-realDied:
			p.fail(p.real.Err())
			return
		case <-look.C:
			if held := memory(os.Getpid()); held > mostMemory {
				p.fail(fmt.Errorf("all processes together hold %d MB, they may hold %d", held>>20, mostMemory>>20))
				return
			}
		}
	}
}

// memory is what a process and its children hold, in bytes. One that ends meanwhile counts as nothing.
func memory(pid int) int64 {
	sum := resident(pid)
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
			sum += resident(child)
		}
	}
	return sum
}

// resident is what one process holds, in bytes.
func resident(pid int) int64 {
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
