package control

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"example.org/ryeloft/internal/lists"
)

const (
	// allowance is by how much a change may be written later than the queue and the stated costs explain: the slack that
	// the protocol gives every limit on sockets.
	allowance = 50 * time.Millisecond
	// maxChanges is how many are kept: 54 MB at 830 agents.
	maxChanges = 4096
)

// told notes when changes come to agents, and counts calls.
type told struct {
	agents int

	mu      sync.Mutex
	changes []ChangeTold // by revision, from one to the next
	late    []bool       // of each change: it was written late to some watch
	heard   []int        // by agent: how many of the changes it has said that it holds
	written []int        // by agent: how many have been written to it
	calls   int64
	whole   int64
	refused int64 // for a wait too long, or too many calls at a time
}

func newTold(agents int) *told {
	return &told{agents: agents, heard: make([]int, agents), written: make([]int, agents)}
}

// begin forgets all.
func (t *told) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes, t.late = nil, nil
	clear(t.heard)
	clear(t.written)
	t.calls, t.whole, t.refused = 0, 0, 0
}

// add notes a change that is made now. Danger: it must be noted before it is told.
func (t *told) add(revision uint64, lines int) (time.Time, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.changes) >= maxChanges {
		return time.Time{}, fmt.Errorf("over %d changes", maxChanges)
	}
	now := time.Now()
	t.changes = append(t.changes, ChangeTold{
		Revision: revision, At: now.UnixNano(), Lines: lines,
		Heard: make([]int64, t.agents), Written: make([]int64, t.agents),
	})
	t.late = append(t.late, false)
	return now, nil
}

// upTo is how many changes there are up to a revision.
func (t *told) upTo(revision uint64) int {
	return sort.Search(len(t.changes), func(i int) bool { return t.changes[i].Revision > revision })
}

// heardAt notes that an agent holds a revision.
func (t *told) heardAt(agent int, revision uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := t.upTo(revision); t.heard[agent] < n; t.heard[agent]++ {
		t.changes[t.heard[agent]].Heard[agent] = at.UnixNano()
	}
}

// done notes how a call ended.
func (t *told) done(c lists.CallRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	switch {
	case c.Status == http.StatusServiceUnavailable:
		t.refused++
	case c.Status == http.StatusOK && c.Complete:
		t.whole++
	}
	if c.Status != http.StatusOK {
		return
	}
	n := t.upTo(c.Revision)
	for ; t.written[c.Agent] < n; t.written[c.Agent]++ {
		t.changes[t.written[c.Agent]].Written[c.Agent] = c.WrittenAt.UnixNano()
	}
	if c.HeldAt.IsZero() {
		return
	}
	for i := t.upTo(c.SinceRevision); i < n; i++ {
		at := time.Unix(0, t.changes[i].At)
		if !at.Before(c.HeldAt) && c.WrittenAt.Sub(at) > c.QueueDelay+allowance { // it came while the watch waited
			t.late[i] = true
		}
	}
}

// stats hands out copies of what was noted.
func (t *told) stats(r *StatsReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := &r.Machine
	m.Calls, m.WholeLists, m.Refused = t.calls, t.whole, t.refused
	for i, c := range t.changes {
		c.Heard, c.Written = slices.Clone(c.Heard), slices.Clone(c.Written)
		r.Changes = append(r.Changes, c)
		if t.late[i] {
			r.LateTold++
		}
	}
}
