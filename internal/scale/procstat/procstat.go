// Package procstat reads what processes cost the machine, from Linux's getrusage and /proc. It keeps no state.
package procstat

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// OwnCPU is the processor time, user and system, that this process has used so far.
func OwnCPU() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, fmt.Errorf("reading the own processor time: %w", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// ResidentBytes is the memory that a process holds.
func ResidentBytes(pid int) (int64, error) {
	path := fmt.Sprintf("/proc/%d/statm", pid)
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("reading the memory of a process: %w", err)
	}
	var size, residentPages int64
	if _, err := fmt.Sscan(string(text), &size, &residentPages); err != nil {
		return 0, fmt.Errorf("%s: %w", path, err)
	}
	return residentPages * int64(os.Getpagesize()), nil
}

// TreeResidentBytes is the memory that a process and its children hold. A process that ends meanwhile counts as nothing.
func TreeResidentBytes(pid int) int64 {
	sum := residentOrZero(pid)
	for _, child := range children(pid) {
		sum += residentOrZero(child)
	}
	return sum
}

func residentOrZero(pid int) int64 {
	held, err := ResidentBytes(pid)
	if err != nil {
		return 0
	}
	return held
}

// children are the processes whose parent a process is.
func children(pid int) (pids []int) {
	stats, _ := filepath.Glob("/proc/[0-9]*/stat") // it fails only for a malformed pattern
	parent := []byte(strconv.Itoa(pid))
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the process has ended
		}
		// The command's name, in parentheses, may hold anything; behind it come the state and the parent.
		fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
		if len(fields) < 2 || !bytes.Equal(fields[1], parent) {
			continue
		}
		child, err := strconv.Atoi(filepath.Base(filepath.Dir(path)))
		if err == nil {
			pids = append(pids, child)
		}
	}
	return pids
}
