package control

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"example.org/ryeloft/internal/scale/result"
)

// usage is what this process had used by a time.
type usage struct {
	at       time.Time
	cpu      time.Duration // user and system
	rssBytes float64       // bytes held then
}

func currentUsage() (usage, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return usage{}, fmt.Errorf("getrusage: %w", err)
	}
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return usage{}, err
	}
	var size, resident int64 // pages
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return usage{}, fmt.Errorf("/proc/self/statm: %w", err)
	}
	return usage{time.Now(), time.Duration(r.Utime.Nano() + r.Stime.Nano()), float64(resident) * float64(os.Getpagesize())}, nil
}

// fill puts what was used since an earlier time, and is held now, into a machine's figures.
func (u usage) fill(m *result.ControlMachine, since usage) {
	if wall := u.at.Sub(since.at); wall > 0 {
		m.CPUPercent = 100 * float64(u.cpu-since.cpu) / float64(wall)
	}
	m.RSSBytes = u.rssBytes
}
