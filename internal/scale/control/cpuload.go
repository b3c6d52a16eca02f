package control

import (
	"sync"
	"time"
)

// cpuLoad follows the processor time of this process second by second, for as long as it runs.
type cpuLoad struct {
	mu          sync.Mutex
	last        usage
	coreSeconds []float64 // of processor time, the worst spans are made of; the last maxSeconds
}

// reset starts anew.
func (l *cpuLoad) reset(now usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last, l.coreSeconds = now, nil
}

// run looks once a second.
func (l *cpuLoad) run() {
	look := time.NewTicker(time.Second)
	defer look.Stop()
	for range look.C {
		if now, err := currentUsage(); err == nil {
			l.sample(now)
		}
	}
}

// sample takes in what was used since the last look, as of a whole second.
func (l *cpuLoad) sample(now usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wall := now.at.Sub(l.last.at).Seconds()
	if wall <= 0 {
		return
	}
	l.coreSeconds = append(l.coreSeconds, (now.cpu-l.last.cpu).Seconds()/wall)
	if len(l.coreSeconds) > maxSeconds {
		l.coreSeconds = l.coreSeconds[1:]
	}
	l.last = now
}

// worst6s is the highest mean of worstSpan seconds on end, in cores; 0 if there are not so many yet.
func (l *cpuLoad) worst6s() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.coreSeconds) < worstSpan {
		return 0
	}
	return worst(l.coreSeconds) / worstSpan
}
