package control

import (
	"testing"
	"time"

	"example.org/ryeloft/internal/lists"
)

// A change is late if a watch that waited for it was written later than its queue, its cost and the allowance explain.
func TestLateNotifications(t *testing.T) {
	for _, c := range []struct {
		name    string
		held    time.Duration // before the change; 0: the call did not wait
		due     time.Duration
		written time.Duration // after the change
		status  int
		late    int
	}{
		{"at once", time.Second, 0, time.Millisecond, 200, 0},
		{"within the allowance", time.Second, 0, writeSlack - time.Millisecond, 200, 0},
		{"late", time.Second, 0, writeSlack + time.Millisecond, 200, 1},
		{"within its cost", time.Second, time.Second, time.Second + writeSlack - time.Millisecond, 200, 0},
		{"later than its cost", time.Second, time.Second, time.Second + writeSlack + time.Millisecond, 200, 1},
		{"began to wait after it", -time.Millisecond, 0, time.Second, 200, 0},
		{"did not wait", 0, 0, time.Second, 200, 0},
		{"never written", time.Second, 0, time.Second, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			log := newNotificationLog(2)
			at, err := log.addChange(8, 1)
			if err != nil {
				t.Fatal(err)
			}
			done := lists.CallRecord{Agent: 1, Status: c.status, SinceRevision: 7, HasSince: true, Revision: 8, Entries: 1, QueueDelay: c.due, WrittenAt: at.Add(c.written)}
			if c.held != 0 {
				done.HeldAt = at.Add(-c.held)
			}
			log.callDone(done)
			var r StatsReply
			log.fill(&r)
			written := at.Add(c.written).UnixNano()
			if c.status != 200 {
				written = 0
			}
			if r.LateNotifications != c.late || r.Changes[0].WrittenAt[1] != written || r.Changes[0].WrittenAt[0] != 0 {
				t.Errorf("%d late, %+v", r.LateNotifications, r.Changes)
			}
		})
	}
}

// The first sign of a revision, or of a newer one, counts; changes are bounded.
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
			t.Errorf("change %d: %+v, want %d after %d", i, c, want, begin.UnixNano())
		}
	}
	if r.Machine.Calls != 5 || r.Machine.FullLists != 1 || r.Machine.Rejected != 0 {
		t.Errorf("%+v", r.Machine)
	}
	for r := uint64(13); r < 10+maxChanges; r++ {
		if _, err := log.addChange(r, 1); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := log.addChange(10+maxChanges, 1); err == nil {
		t.Error("more changes than can be kept are taken in")
	}
	log.reset()
	if _, err := log.addChange(10+maxChanges, 1); err != nil {
		t.Errorf("after Begin: %v", err)
	}
}
