package control

import (
	"sync"
	"time"
)

// load follows the processor time of this process second by second, for as long as it runs.
type load struct {
	mu      sync.Mutex
	last    use
	seconds []float64 // of processor time, the worst spans are made of; the last maxSeconds
}

// begin starts anew.
func (l *load) begin(now use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last, l.seconds = now, nil
}

// follow looks once a second.
func (l *load) follow() {
	look := time.NewTicker(time.Second)
	defer look.Stop()
	for range look.C {
		if now, err := used(); err == nil {
			l.note(now)
		}
	}
}

// note takes in what was used since the last look, as of a whole second.
func (l *load) note(now use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wall := now.at.Sub(l.last.at).Seconds()
	if wall <= 0 {
		return
	}
	l.seconds = append(l.seconds, (now.cpu-l.last.cpu).Seconds()/wall)
	if len(l.seconds) > maxSeconds {
		l.seconds = l.seconds[1:]
	}
	l.last = now
}

// worst6s is the highest mean of worstSpan seconds on end, in cores; 0 if there are not so many yet.
func (l *load) worst6s() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.seconds) < worstSpan {
		return 0
	}
	return worst(l.seconds) / worstSpan
}
