package upstream

import (
	"math/bits"
	"time"
)

const (
	// firstIdleBucket is the width of the first bucket of idle ages. Each further bucket ends at twice the age of the
	// one before.
	firstIdleBucket = 8 * time.Millisecond
	idleBuckets     = 12
	// A bucket is bad if at least minLostRequests requests were lost on its connections and their share exceeds
	// maxLossRate. This is well above the rate of resets that servers cause at any idle age.
	minLostRequests = 2.0
	maxLossRate     = 0.15
	// idleAgeDecay is the factor that each sweep applies to the counts, so that a bad bucket is retried within half a
	// minute.
	idleAgeDecay = 0.96
)

// idleAgeStats estimates how long a connection may be idle and still be reused. The idle timeout in the settings is
// only an upper bound: some servers or middleboxes drop idle connections far sooner without notice. The owner
// synchronizes access.
type idleAgeStats struct {
	used, lost [idleBuckets]float64 // decayed request counts by idle age
}

// idleBucket returns the index of the bucket for an idle age.
func idleBucket(age time.Duration) int {
	return min(bits.Len64(uint64(max(0, age)/firstIdleBucket)), idleBuckets-1)
}

// record counts a request on a connection of the given idle age, and whether it was lost.
func (a *idleAgeStats) record(age time.Duration, lost bool) {
	bucket := idleBucket(age)
	a.used[bucket]++
	if lost {
		a.lost[bucket]++
	}
}

// allows reports whether a connection of the given idle age may be reused: no bucket up to its own is bad.
func (a *idleAgeStats) allows(age time.Duration) bool {
	// The bucket of connections that have just rested is skipped: a request that fails on one of these would also fail
	// on a new connection.
	for bucket := idleBucket(restAfterResponse) + 1; bucket <= idleBucket(age); bucket++ {
		if a.lost[bucket] >= minLostRequests && a.lost[bucket] > maxLossRate*a.used[bucket] {
			return false
		}
	}
	return true
}

// decay reduces the counts by idleAgeDecay.
func (a *idleAgeStats) decay() {
	for bucket := range a.used {
		a.used[bucket] *= idleAgeDecay
		a.lost[bucket] *= idleAgeDecay
	}
}
