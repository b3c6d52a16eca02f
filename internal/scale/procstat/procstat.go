// Package procstat reads the CPU time and memory of processes from getrusage and /proc on Linux. It keeps no state.
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

// OwnCPU returns the CPU time, user and system, that this process has used since it started.
func OwnCPU() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, fmt.Errorf("reading the CPU time of this process: %w", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// ResidentBytes returns the resident memory of a process.
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

// TreeResidentBytes returns the resident memory of a process and its direct children. A process that has ended or ends
// during the call counts as 0.
func TreeResidentBytes(pid int) int64 {
	sum := residentOrZero(pid)
	for _, child := range children(pid) {
		sum += residentOrZero(child)
	}
	return sum
}

func residentOrZero(pid int) int64 {
	resident, err := ResidentBytes(pid)
	if err != nil {
		return 0
	}
	return resident
}

// children returns the processes whose parent is pid.
func children(pid int) (pids []int) {
	stats, _ := filepath.Glob("/proc/[0-9]*/stat") // Glob fails only for a malformed pattern
	parent := []byte(strconv.Itoa(pid))
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the process has ended
		}
		// The command name in parentheses may contain any character. After it come the state and the parent's PID.
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

// bytesPerKB is the number of bytes in what the kernel calls a kB.
const bytesPerKB = 1 << 10

// ThreadsCPU returns the time that a process's threads have run on a core. The resolution is a nanosecond; that of
// /proc/PID/stat is a hundredth of a second. Threads that have ended are not included, but Go keeps its threads. For a
// process that has ended the result is 0.
func ThreadsCPU(pid int) (sum time.Duration) {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // Glob fails only for a malformed pattern
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		ran, _, _ := bytes.Cut(text, []byte(" "))
		ns, _ := strconv.ParseInt(string(ran), 10, 64) // the kernel writes a number
		sum += time.Duration(ns)
	}
	return sum
}

// ResidentAndPeakBytes returns the resident memory of a process and its peak, in bytes, or zeros if the process has
// ended.
func ResidentAndPeakBytes(pid int) (resident, peak float64) {
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
		kb, _ := strconv.ParseFloat(string(fields[0]), 64) // in the two lines below the kernel writes a number of kB
		switch string(name) {
		case "VmRSS":
			resident = kb * bytesPerKB
		case "VmHWM":
			peak = kb * bytesPerKB
		}
	}
	return resident, peak
}
