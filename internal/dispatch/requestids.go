package dispatch

import (
	"hash/fnv"
	"maps"
	"slices"
	"sync"
)

// maxRecentIDs is how many ids of ended requests are known, twice, and how many of another process.
const maxRecentIDs = 4096

// RequestIDs knows the clients' ids of the open requests and of those that ended a short while ago, by their hashes. Servers and
// clients distinguish requests by id, so a second request with the same one could get the first one's answer or run as its repeat.
// While another process replaces this one, it also knows the ids that the other has taken. A mutex guards it.
type RequestIDs struct {
	mu                  sync.Mutex
	open, recent, older map[uint64]struct{}
	claimed             map[uint64]struct{} // of requests that the other process has
}

func newRequestIDs() *RequestIDs {
	return &RequestIDs{open: map[uint64]struct{}{}, recent: map[uint64]struct{}{}, claimed: map[uint64]struct{}{}}
}

func hashID(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// add notes the id of a request that begins, unless it is known.
func (r *RequestIDs) add(id uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known(id) {
		return false
	}
	r.open[id] = struct{}{}
	return true
}

// known says whether an id is in use or was a short while ago. The mutex is held.
func (r *RequestIDs) known(id uint64) bool {
	for _, ids := range []map[uint64]struct{}{r.open, r.recent, r.older, r.claimed} {
		if _, found := ids[id]; found {
			return true
		}
	}
	return false
}

// close notes that the request with an id has ended.
func (r *RequestIDs) close(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, id)
	r.addRecent(id)
}

// addRecent notes an id that is not in use here. The mutex is held.
func (r *RequestIDs) addRecent(id uint64) {
	r.recent[id] = struct{}{}
	if len(r.recent) >= maxRecentIDs {
		r.rotate()
	}
}

// expire forgets what was recent at the last call but one.
func (r *RequestIDs) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate()
}

func (r *RequestIDs) rotate() {
	r.older = r.recent
	r.recent = map[uint64]struct{}{}
}

// Claim notes the id of a request that another process is to take, and returns whether it was free.
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

// DropClaims forgets what another process has claimed, which has ended.
func (r *RequestIDs) DropClaims() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.claimed)
}

// Known returns the ids of the open requests of this process and of those that ended a short while ago.
func (r *RequestIDs) Known() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := slices.Collect(maps.Keys(r.open))
	ids = slices.AppendSeq(ids, maps.Keys(r.recent))
	return slices.AppendSeq(ids, maps.Keys(r.older))
}

// Add notes the id of a request that another process had, which has ended.
func (r *RequestIDs) Add(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addRecent(id)
}
