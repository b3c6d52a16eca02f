package control

import (
	"os"
	"time"

	"example.org/ryeloft/internal/scale/procstat"
	"example.org/ryeloft/internal/scale/result"
)

// usage is what this process had used by a time.
type usage struct {
	at       time.Time
	cpu      time.Duration
	rssBytes float64 // held at that time
}

func currentUsage() (usage, error) {
	cpu, err := procstat.OwnCPU()
	if err != nil {
		return usage{}, err
	}
	held, err := procstat.ResidentBytes(os.Getpid())
	if err != nil {
		return usage{}, err
	}
	return usage{at: time.Now(), cpu: cpu, rssBytes: float64(held)}, nil
}

// fill puts what was used since an earlier time, and is held now, into a machine's result.
func (u usage) fill(m *result.ControlMachine, since usage) {
	if wall := u.at.Sub(since.at); wall > 0 {
		m.CPUPercent = 100 * float64(u.cpu-since.cpu) / float64(wall)
	}
	m.RSSBytes = u.rssBytes
}
