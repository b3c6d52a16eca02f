package upstream

import (
	"math/bits"
	"time"
)

const (
	// firstIdleBand is the first band of idle ages; each further one is twice as long as the one before.
	firstIdleBand = 8 * time.Millisecond
	idleBands     = 12
	// A band is bad if minLostRequests were lost on its connections and they are more than maxLostShare of all. The share
	// is well above the resets that servers cause at any age.
	minLostRequests = 2.0
	maxLostShare    = 0.15
	// idleAgeDecay is what a sweep keeps of the counts, so that a bad band is tried again within half a minute.
	idleAgeDecay = 0.96
)

// idleAge learns how long a connection may have been idle and still carry a request. The settings state only when servers
// close one at the latest; some servers, or middleboxes, drop it far sooner without notice. Its owner guards it.
type idleAge struct {
	used, lost [idleBands]float64
}

// idleBand is the band that an idle age falls into.
func idleBand(age time.Duration) int {
	return min(bits.Len64(uint64(max(0, age)/firstIdleBand)), idleBands-1)
}

// record takes in whether a request was lost on a connection that had been idle for so long.
func (a *idleAge) record(age time.Duration, lost bool) {
	band := idleBand(age)
	a.used[band]++
	if lost {
		a.lost[band]++
	}
}

// allows says whether a connection that has been idle for so long may be used: no band up to its own is bad.
func (a *idleAge) allows(age time.Duration) bool {
	// The first band is left out, because what breaks without idle time breaks on a new connection too.
	for band := 1; band <= idleBand(age); band++ {
		if a.lost[band] >= minLostRequests && a.lost[band] > maxLostShare*a.used[band] {
			return false
		}
	}
	return true
}

// decay lets the counts fade.
func (a *idleAge) decay() {
	for band := range a.used {
		a.used[band] *= idleAgeDecay
		a.lost[band] *= idleAgeDecay
	}
}
