package dispatch

import (
	"fmt"
	"testing"
)

// The ids of ended requests are kept for a limited time and in a limited number.
func TestRequestIDsExpire(t *testing.T) {
	ids := newRequestIDs()
	for i := range 10 * maxRecentIDs {
		id := hashID(fmt.Sprint(i))
		ids.add(id)
		ids.close(id)
	}
	if n := len(ids.open) + len(ids.recent) + len(ids.older); n > 2*maxRecentIDs {
		t.Errorf("got %d ids, want %d at most", n, 2*maxRecentIDs)
	}
	if ids.expire(); !ids.add(hashID(fmt.Sprint(8*maxRecentIDs - 1))) {
		t.Error("an id has not expired")
	}
}
