// Package procstat reads what processes cost the machine, from Linux's getrusage and /proc. It keeps no state.
package procstat

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
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

// bytesPerKB is what the kernel calls a kB.
const bytesPerKB = 1 << 10

// ThreadsCPU is the time that a process's threads have run on a core, to the nanosecond, where /proc/PID/stat would give
// hundredths of a second. Go's threads stay; for a process that has ended it is 0.
func ThreadsCPU(pid int) (sum time.Duration) {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // it fails only for a malformed pattern
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // a thread that has just ended
		}
		ran, _, _ := bytes.Cut(text, []byte(" "))
		ns, _ := strconv.ParseInt(string(ran), 10, 64) // the kernel writes a number
		sum += time.Duration(ns)
	}
	return sum
}

// HeldAndPeakBytes are what a process holds in memory and the most that it has held, in bytes; 0 once it has ended.
func HeldAndPeakBytes(pid int) (held, peak float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, 0
	}
	for line := range bytes.SplitSeq(text, []byte("\n")) {
		name, rest, _ := bytes.Cut(line, []byte(":"))
		fields := bytes.Fields(rest)
		if len(fields) == 0 {
			continue
		}
		kb, _ := strconv.ParseFloat(string(fields[0]), 64) // of the lines below, the kernel writes a number of kB
		switch string(name) {
		case "VmRSS":
			held = kb * bytesPerKB
		case "VmHWM":
			peak = kb * bytesPerKB
		}
	}
	return held, peak
}
