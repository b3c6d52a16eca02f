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
	// writeSlack is by how much a change may be written later than the queue and the stated costs explain: the slack that
	// the protocol gives every limit on sockets.
	writeSlack = 50 * time.Millisecond
	// maxChanges is how many are kept: 54 MB at 830 agents.
	maxChanges = 4096
)

// notificationLog notes when changes come to agents, and counts calls.
type notificationLog struct {
	agents int

	mu           sync.Mutex
	changes      []ChangeNotification // by revision, from one to the next
	late         []bool               // of each change: it was written late to some watch
	acknowledged []int                // by agent: how many of the changes it has said that it holds
	written      []int                // by agent: how many have been written to it
	calls        int64
	fullLists    int64
	rejected     int64 // for a wait too long, or too many calls at a time
}

func newNotificationLog(agents int) *notificationLog {
	return &notificationLog{agents: agents, acknowledged: make([]int, agents), written: make([]int, agents)}
}

// reset forgets all.
func (t *notificationLog) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes, t.late = nil, nil
	clear(t.acknowledged)
	clear(t.written)
	t.calls, t.fullLists, t.rejected = 0, 0, 0
}

// addChange notes a change that is made now. Danger: it must be noted before it is told.
func (t *notificationLog) addChange(revision uint64, lines int) (time.Time, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.changes) >= maxChanges {
		return time.Time{}, fmt.Errorf("over %d changes", maxChanges)
	}
	now := time.Now()
	t.changes = append(t.changes, ChangeNotification{
		Revision: revision, At: now.UnixNano(), Lines: lines,
		Heard: make([]int64, t.agents), Written: make([]int64, t.agents),
	})
	t.late = append(t.late, false)
	return now, nil
}

// changesUpTo is how many changes there are up to a revision.
func (t *notificationLog) changesUpTo(revision uint64) int {
	return sort.Search(len(t.changes), func(i int) bool { return t.changes[i].Revision > revision })
}

// acknowledge notes that an agent holds a revision.
func (t *notificationLog) acknowledge(agent int, revision uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := t.changesUpTo(revision); t.acknowledged[agent] < n; t.acknowledged[agent]++ {
		t.changes[t.acknowledged[agent]].Heard[agent] = at.UnixNano()
	}
}

// callDone notes how a call ended.
func (t *notificationLog) callDone(c lists.CallRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	switch {
	case c.Status == http.StatusServiceUnavailable:
		t.rejected++
	case c.Status == http.StatusOK && c.Complete:
		t.fullLists++
	}
	if c.Status != http.StatusOK {
		return
	}
	n := t.changesUpTo(c.Revision)
	for ; t.written[c.Agent] < n; t.written[c.Agent]++ {
		t.changes[t.written[c.Agent]].Written[c.Agent] = c.WrittenAt.UnixNano()
	}
	if c.HeldAt.IsZero() {
		return
	}
	for i := t.changesUpTo(c.SinceRevision); i < n; i++ {
		at := time.Unix(0, t.changes[i].At)
		if !at.Before(c.HeldAt) && c.WrittenAt.Sub(at) > c.QueueDelay+writeSlack { // it came while the watch waited
			t.late[i] = true
		}
	}
}

// fill hands out copies of what was noted.
func (t *notificationLog) fill(r *StatsReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := &r.Machine
	m.Calls, m.WholeLists, m.Refused = t.calls, t.fullLists, t.rejected
	for i, c := range t.changes {
		c.Heard, c.Written = slices.Clone(c.Heard), slices.Clone(c.Written)
		r.Changes = append(r.Changes, c)
		if t.late[i] {
			r.LateTold++
		}
	}
}
