package dispatch

import (
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxRecentIDs bounds each of the two generations of ids of ended requests, and the ids that another process has
	// claimed.
	maxRecentIDs = 8 << 10
	// recentIDsAge is how long a generation collects ids, so an id is kept for this long and up to twice as long after its
	// request has ended, if there are not too many.
	recentIDsAge = 15 * time.Second
)

// RequestIDs holds the hashes of the ids of open requests and of recently ended ones. Servers and clients distinguish
// requests by id, so a second request with the same id could get the first one's response or be executed as its retry.
// While another process replaces this one, RequestIDs also holds the ids that the other process has claimed. Its mutex
// guards all fields.
type RequestIDs struct {
	mu                  sync.Mutex
	open, recent, older map[uint64]struct{} // recent and older are the two generations of ended requests
	claimed             map[uint64]struct{} // by the other process
	rotatedAt           time.Time           // when the generation of recent began
}

func newRequestIDs() *RequestIDs {
	return &RequestIDs{
		open: map[uint64]struct{}{}, recent: map[uint64]struct{}{}, claimed: map[uint64]struct{}{}, rotatedAt: time.Now(),
	}
}

func hashID(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// add records the id of a new request. It returns false if the id is known.
func (r *RequestIDs) add(id uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known(id) {
		return false
	}
	r.open[id] = struct{}{}
	return true
}

// known reports whether an id is in use or was used recently. The caller holds the mutex.
func (r *RequestIDs) known(id uint64) bool {
	for _, ids := range []map[uint64]struct{}{r.open, r.recent, r.older, r.claimed} {
		if _, found := ids[id]; found {
			return true
		}
	}
	return false
}

// close records that the request with an id has ended.
func (r *RequestIDs) close(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, id)
	r.addRecent(id)
}

// addRecent records the id of a request that is not open in this process. The caller holds the mutex.
func (r *RequestIDs) addRecent(id uint64) {
	r.recent[id] = struct{}{}
	if len(r.recent) >= maxRecentIDs {
		r.rotate(time.Now())
	}
}

// expire starts a new generation of ids if the present one is recentIDsAge old.
func (r *RequestIDs) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.rotatedAt) >= recentIDsAge {
		r.rotate(now)
	}
}

// rotate starts a new generation of recent ids and drops the older one. The caller holds the mutex.
func (r *RequestIDs) rotate(now time.Time) {
	r.rotatedAt = now
	r.older = r.recent
	r.recent = map[uint64]struct{}{}
}

// Claim records the id of a request that another process is about to accept. It returns false if the id is known.
func (r *RequestIDs) Claim(id uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known(id) {
		return false
	}
	if len(r.claimed) >= maxRecentIDs {
		clear(r.claimed)
	}
	r.claimed[id] = struct{}{}
	return true
}

// DropClaims drops the ids that another process has claimed. It is called when that process has ended.
func (r *RequestIDs) DropClaims() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.claimed)
}

// Known returns the ids of this process's open requests and of recently ended ones.
func (r *RequestIDs) Known() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := slices.Collect(maps.Keys(r.open))
	ids = slices.AppendSeq(ids, maps.Keys(r.recent))
	return slices.AppendSeq(ids, maps.Keys(r.older))
}

// Add records the id of a request that another process accepted before it ended.
func (r *RequestIDs) Add(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addRecent(id)
}
