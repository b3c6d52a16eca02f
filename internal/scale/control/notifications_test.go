package control

import (
	"testing"
	"time"

	"example.org/ryeloft/internal/lists"
)

// TestLateNotifications checks that a change counts as late only if it was written to a watch that waited for it, and
// later than its planned queue delay and writeSlack allow.
func TestLateNotifications(t *testing.T) {
	for _, c := range []struct {
		name    string
		waited  time.Duration // before the change; 0: the call did not wait
		planned time.Duration
		written time.Duration // after the change
		status  int
		late    int
	}{
		{"immediate", time.Second, 0, time.Millisecond, 200, 0},
		{"within writeSlack", time.Second, 0, writeSlack - time.Millisecond, 200, 0},
		{"late", time.Second, 0, writeSlack + time.Millisecond, 200, 1},
		{"within its cost", time.Second, time.Second, time.Second + writeSlack - time.Millisecond, 200, 0},
		{"later than its cost", time.Second, time.Second, time.Second + writeSlack + time.Millisecond, 200, 1},
		{"began to wait after the change", -time.Millisecond, 0, time.Second, 200, 0},
		{"did not wait", 0, 0, time.Second, 200, 0},
		{"never written", time.Second, 0, time.Second, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			log := newNotificationLog(2)
			at, err := log.addChange(8, 1)
			if err != nil {
				t.Fatal(err)
			}
			done := lists.CallRecord{Agent: 1, Status: c.status, SinceRevision: 7, HasSince: true, Revision: 8, Entries: 1, QueueDelay: c.planned, WrittenAt: at.Add(c.written)}
			if c.waited != 0 {
				done.HeldAt = at.Add(-c.waited)
			}
			log.callDone(done)
			var r StatsReply
			log.fill(&r)
			written := at.Add(c.written).UnixNano()
			if c.status != 200 {
				written = 0
			}
			if r.LateNotifications != c.late || r.Changes[0].WrittenAt[1] != written || r.Changes[0].WrittenAt[0] != 0 {
				t.Errorf("got %d late, changes %+v; want %d late, written to agent 1 only, at %d", r.LateNotifications, r.Changes, c.late, written)
			}
		})
	}
}

// TestFirstAcknowledgement checks that the first acknowledgement and write of a revision or a newer one is recorded,
// and that the number of recorded changes is bounded.
func TestFirstAcknowledgement(t *testing.T) {
	log := newNotificationLog(1)
	begin := time.Now()
	for r := range uint64(3) {
		if _, err := log.addChange(10+r, 1); err != nil {
			t.Fatal(err)
		}
	}
	for i, revision := range []uint64{9, 11, 10, 11, 12} {
		log.acknowledge(0, revision, begin.Add(time.Duration(i)))
		log.callDone(lists.CallRecord{Status: 200, Revision: revision, Complete: i == 0, WrittenAt: begin.Add(time.Duration(10 * i))})
	}
	var r StatsReply
	log.fill(&r)
	for i, want := range []int64{1, 1, 4} {
		c := r.Changes[i]
		if c.AcknowledgedAt[0] != begin.UnixNano()+want || c.WrittenAt[0] != begin.UnixNano()+10*want || c.Revision != uint64(10+i) {
			t.Errorf("change %d: got %+v, want it acknowledged %d ns and written %d ns after %d", i, c, want, 10*want, begin.UnixNano())
		}
	}
	if r.Machine.Calls != 5 || r.Machine.FullLists != 1 || r.Machine.Rejected != 0 {
		t.Errorf("got %+v, want 5 calls, 1 full list and none rejected", r.Machine)
	}
	for r := uint64(13); r < 10+maxChanges; r++ {
		if _, err := log.addChange(r, 1); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := log.addChange(10+maxChanges, 1); err == nil {
		t.Error("addChange beyond maxChanges: got no error")
	}
	log.reset()
	if _, err := log.addChange(10+maxChanges, 1); err != nil {
		t.Errorf("addChange after reset: %v", err)
	}
}
