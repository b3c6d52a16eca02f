package control

import (
	"os"
	"time"

	"example.org/ryeloft/internal/scale/procstat"
	"example.org/ryeloft/internal/scale/result"
)

// usage is the resource usage of this process at one time.
type usage struct {
	at       time.Time
	cpu      time.Duration // since the process started
	rssBytes float64
}

func currentUsage() (usage, error) {
	cpu, err := procstat.OwnCPU()
	if err != nil {
		return usage{}, err
	}
	rss, err := procstat.ResidentBytes(os.Getpid())
	if err != nil {
		return usage{}, err
	}
	return usage{at: time.Now(), cpu: cpu, rssBytes: float64(rss)}, nil
}

// fill sets the mean CPU usage since an earlier time and the current resident memory in m.
func (u usage) fill(m *result.ControlMachine, since usage) {
	if wall := u.at.Sub(since.at); wall > 0 {
		m.CPUPercent = 100 * float64(u.cpu-since.cpu) / float64(wall)
	}
	m.RSSBytes = u.rssBytes
}
