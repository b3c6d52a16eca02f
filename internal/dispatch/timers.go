package dispatch

import (
	"container/heap"
	"slices"
	"time"

	"example.org/ryeloft/internal/balancer"
)

// minTimerLimit is the smallest number of timers at which those that are not pending any more are dropped.
const minTimerLimit = 1024

// setTimer sets a timer for the balancer. Most attempts end long before their timers are due, so without dropping those
// timers, a client that sends requests fast would make them take more and more memory.
func (l *Loop) setTimer(delay time.Duration, id balancer.TimerID) {
	if len(l.timers) >= l.timerLimit {
		l.timers = slices.DeleteFunc(l.timers, func(t timer) bool { return !l.balancer.TimerPending(t.id) })
		heap.Init(&l.timers)
		l.timerLimit = max(minTimerLimit, 2*len(l.timers))
	}
	heap.Push(&l.timers, timer{due: l.clock.Now() + delay, id: id})
}

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
