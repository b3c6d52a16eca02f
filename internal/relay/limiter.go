package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/lists"
)

const (
	// maxQueueMillis is how long a caller may wait here for its whole list: less than its call may take, by what it may have
	// waited for news (aheadHold) and what writing and reading the list may need.
	longestQueue = discovery.RelayFullListTimeout * 5 / 8
	// lateGrace is how long after its time a promised turn is still kept for whoever it was promised to.
	lateGrace = balancer.NotifyBoundAfterFailure / 24
)

// gate hands whole lists out at a stated rate; changes go through at once, for they are small and have to be in time.
//
// Whoever cannot have its turn within maxQueueMillis is told when to come again, and that turn is kept. Promises bear no
// name: whoever asks takes the first turn that is due within maxQueueMillis, so that a turn whose owner went elsewhere is
// not lost, and an owner that finds its turn taken gets one that comes no later than those behind it.
type gate struct {
	mu       sync.Mutex
	gap      time.Duration // between two whole lists
	next     time.Time     // the first turn that nobody has
	promised []time.Time   // turns that callers were told to come back for, sorted
	most     int           // promises kept
	waiting  int           // callers here
}

func newGate(perSecond float64, most int) *gate {
	g := &gate{most: most}
	g.setRate(perSecond)
	return g
}

// setRate changes how many whole lists a second are handed out; turns that were given stay.
func (g *gate) setRate(perSecond float64) {
	g.mu.Lock()
	g.gap = time.Duration(float64(time.Second) / perSecond)
	g.mu.Unlock()
}

// Enter implements lists.Gate.
func (g *gate) Admit(ctx context.Context, w lists.Work) (time.Duration, error) {
	if !w.Complete {
		return 0, nil
	}
	now := time.Now()
	turn, err := g.take(now)
	if err != nil {
		return 0, err
	}
	defer g.leave()
	due := max(0, turn.Sub(now))
	timer := time.NewTimer(due)
	defer timer.Stop()
	select {
	case <-timer.C:
		return due, nil
	case <-ctx.Done():
		g.giveBack(turn)
		return 0, ctx.Err()
	}
}

// take finds a caller its turn, or refuses it.
func (g *gate) take(now time.Time) (time.Time, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.promised) > 0 && now.Sub(g.promised[0]) > lateGrace {
		g.promised = g.promised[1:]
	}
	if len(g.promised) > 0 && g.promised[0].Sub(now) <= longestQueue {
		turn := g.promised[0]
		g.promised = g.promised[1:]
		g.waiting++
		return turn, nil
	}
	if g.next.Before(now) {
		g.next = now
	}
	turn := g.next
	in := turn.Sub(now)
	switch {
	case in <= longestQueue:
		g.waiting++
	case in > balancer.NotifyBoundAfterFailure || len(g.promised) >= g.most: // nobody would wait for that
		return time.Time{}, lists.RejectedError{Cause: "too many callers want the whole list"}
	default:
		g.promised = append(g.promised, turn)
	}
	g.next = turn.Add(g.gap)
	if in > longestQueue {
		return time.Time{}, lists.RejectedError{RetryAfter: in, Cause: "other callers' whole lists come first"}
	}
	return turn, nil
}

// giveBack lets another caller have a turn that its owner does not wait for.
func (g *gate) giveBack(turn time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i, _ := slices.BinarySearchFunc(g.promised, turn, time.Time.Compare)
	g.promised = slices.Insert(g.promised, i, turn)
}

func (g *gate) leave() {
	g.mu.Lock()
	g.waiting--
	g.mu.Unlock()
}

// queued is how many callers wait for their turn.
func (g *gate) queued() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting
}
