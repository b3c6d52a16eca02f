package control

import (
	"sync"
	"time"

	"example.org/ryeloft/internal/scale/result"
)

// cpuLoad samples the processor time of this process once a second. mu guards its state.
type cpuLoad struct {
	mu          sync.Mutex
	last        usage
	coreSeconds []float64 // cores used in each second; the last maxSeconds
}

// reset starts anew.
func (l *cpuLoad) reset(now usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = now
	l.coreSeconds = nil
}

// run samples for as long as the process runs.
func (l *cpuLoad) run() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for range ticker.C {
		if now, err := currentUsage(); err == nil {
			l.sample(now)
		}
	}
}

// sample adds what was used since the last sample as one second.
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

// worst6s is the worst window in cores; 0 if there are not enough seconds for one yet.
func (l *cpuLoad) worst6s() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.coreSeconds) < result.WorstWindowSeconds {
		return 0
	}
	return result.WorstWindow(l.coreSeconds)
}
