package dispatch

import (
	"time"

	"example.org/ryeloft/internal/balancer"
)

// timer is a pending timer that the balancer has set by an ActionSetTimer.
type timer struct {
	due time.Duration
	id  balancer.TimerID
}

// timers is a min-heap ordered by due time.
type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
