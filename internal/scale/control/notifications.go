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
	// writeSlack is how much later a change may be written than the queue and the configured costs explain. The
	// protocol grants the same slack to every time limit on sockets.
	writeSlack = 50 * time.Millisecond
	// maxChanges bounds the memory for recorded changes to 54 MB at 830 agents.
	maxChanges = 4096
)

// notificationLog records when agents receive changes, and counts calls. mu guards its state.
type notificationLog struct {
	agents int

	mu           sync.Mutex
	changes      []ChangeNotification // in order of revision, without gaps
	late         []bool               // by change: whether it was written late to any watch
	acknowledged []int                // by agent: number of changes that it has acknowledged
	written      []int                // by agent: number of changes that have been written to it
	calls        int64
	fullLists    int64
	rejected     int64 // after a long wait, or because of too many concurrent calls
}

func newNotificationLog(agents int) *notificationLog {
	return &notificationLog{agents: agents, acknowledged: make([]int, agents), written: make([]int, agents)}
}

// reset discards all changes and counts.
func (n *notificationLog) reset() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changes = nil
	n.late = nil
	clear(n.acknowledged)
	clear(n.written)
	n.calls = 0
	n.fullLists = 0
	n.rejected = 0
}

// addChange records a change and returns the time of the record. It must be called before the change is published;
// otherwise an agent could receive the change before that time.
func (n *notificationLog) addChange(revision uint64, entries int) (time.Time, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.changes) >= maxChanges {
		return time.Time{}, fmt.Errorf("recording revision %d: the limit of %d changes is reached", revision, maxChanges)
	}
	now := time.Now()
	n.changes = append(n.changes, ChangeNotification{
		Revision: revision, At: now.UnixNano(), Entries: entries,
		AcknowledgedAt: make([]int64, n.agents), WrittenAt: make([]int64, n.agents),
	})
	n.late = append(n.late, false)
	return now, nil
}

// changesUpTo returns the number of changes up to and including a revision. The caller holds mu.
func (n *notificationLog) changesUpTo(revision uint64) int {
	return sort.Search(len(n.changes), func(i int) bool { return n.changes[i].Revision > revision })
}

// acknowledge records that an agent has applied a revision and all earlier ones.
func (n *notificationLog) acknowledge(agent int, revision uint64, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for upTo := n.changesUpTo(revision); n.acknowledged[agent] < upTo; n.acknowledged[agent]++ {
		n.changes[n.acknowledged[agent]].AcknowledgedAt[agent] = at.UnixNano()
	}
}

// callDone records a finished call.
func (n *notificationLog) callDone(c lists.CallRecord) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	if c.Status == http.StatusServiceUnavailable {
		n.rejected++
	}
	if c.Status != http.StatusOK {
		return
	}
	if c.Complete {
		n.fullLists++
	}
	upTo := n.changesUpTo(c.Revision)
	for ; n.written[c.Agent] < upTo; n.written[c.Agent]++ {
		n.changes[n.written[c.Agent]].WrittenAt[c.Agent] = c.WrittenAt.UnixNano()
	}
	if c.HeldAt.IsZero() {
		return
	}
	for i := n.changesUpTo(c.SinceRevision); i < upTo; i++ {
		madeAt := time.Unix(0, n.changes[i].At)
		madeWhileWaiting := !madeAt.Before(c.HeldAt)
		if madeWhileWaiting && c.WrittenAt.Sub(madeAt) > c.QueueDelay+writeSlack {
			n.late[i] = true
		}
	}
}

// fill sets the counts and copies of the recorded changes in r.
func (n *notificationLog) fill(r *StatsReply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := &r.Machine
	m.Calls = n.calls
	m.FullLists = n.fullLists
	m.Rejected = n.rejected
	for i, c := range n.changes {
		c.AcknowledgedAt = slices.Clone(c.AcknowledgedAt)
		c.WrittenAt = slices.Clone(c.WrittenAt)
		r.Changes = append(r.Changes, c)
		if n.late[i] {
			r.LateNotifications++
		}
	}
}
