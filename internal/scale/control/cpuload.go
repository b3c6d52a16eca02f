package control

import (
	"sync"
	"time"

	"example.org/ryeloft/internal/scale/result"
)

// cpuLoad samples the CPU time of this process once a second. mu guards its state.
type cpuLoad struct {
	mu          sync.Mutex
	last        usage
	coreSeconds []float64 // cores used in each of the last maxTrackedSeconds seconds
}

// reset discards all samples and starts from now.
func (l *cpuLoad) reset(now usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = now
	l.coreSeconds = nil
}

// run takes samples until the process ends.
func (l *cpuLoad) run() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for range ticker.C {
		if now, err := currentUsage(); err == nil {
			l.sample(now)
		}
	}
}

// sample records the mean usage since the last sample as one second.
func (l *cpuLoad) sample(now usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wall := now.at.Sub(l.last.at).Seconds()
	if wall <= 0 {
		return
	}
	l.coreSeconds = append(l.coreSeconds, (now.cpu-l.last.cpu).Seconds()/wall)
	if len(l.coreSeconds) > maxTrackedSeconds {
		l.coreSeconds = l.coreSeconds[1:]
	}
	l.last = now
}

// worst6s returns the mean number of cores used in the busiest window of result.WorstWindowSeconds, or 0 if there are
// too few samples for a window.
func (l *cpuLoad) worst6s() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.coreSeconds) < result.WorstWindowSeconds {
		return 0
	}
	return result.WorstWindow(l.coreSeconds)
}
