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
	// maxChanges bounds memory: 54 MB at 830 agents.
	maxChanges = 4096
)

// notificationLog records when changes come to agents, and counts calls. mu guards its state.
type notificationLog struct {
	agents int

	mu           sync.Mutex
	changes      []ChangeNotification // by revision, without gaps
	late         []bool               // by change: it was written late to some watch
	acknowledged []int                // by agent: how many of the changes it has acknowledged
	written      []int                // by agent: how many of the changes have been written to it
	calls        int64
	fullLists    int64
	rejected     int64 // for a long wait, or too many calls at a time
}

func newNotificationLog(agents int) *notificationLog {
	return &notificationLog{agents: agents, acknowledged: make([]int, agents), written: make([]int, agents)}
}

// reset forgets everything.
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

// addChange records a change that is made now. It comes before the change is published, or an agent could have it sooner.
func (n *notificationLog) addChange(revision uint64, lines int) (time.Time, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.changes) >= maxChanges {
		return time.Time{}, fmt.Errorf("recording revision %d: there are %d changes already", revision, maxChanges)
	}
	now := time.Now()
	n.changes = append(n.changes, ChangeNotification{
		Revision: revision, At: now.UnixNano(), Entries: lines,
		AcknowledgedAt: make([]int64, n.agents), WrittenAt: make([]int64, n.agents),
	})
	n.late = append(n.late, false)
	return now, nil
}

// changesUpTo is how many changes there are up to a revision. mu is held.
func (n *notificationLog) changesUpTo(revision uint64) int {
	return sort.Search(len(n.changes), func(i int) bool { return n.changes[i].Revision > revision })
}

// acknowledge records that an agent holds a revision.
func (n *notificationLog) acknowledge(agent int, revision uint64, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for upTo := n.changesUpTo(revision); n.acknowledged[agent] < upTo; n.acknowledged[agent]++ {
		n.changes[n.acknowledged[agent]].AcknowledgedAt[agent] = at.UnixNano()
	}
}

// callDone records how a call ended.
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

// fill puts copies of what was recorded into a reply.
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
