package dispatch

// maxRecentIDs is how many ids of ended requests are known, twice.
const maxRecentIDs = 4096

// requestIDs knows the clients' ids of the open requests and of those that ended a short while ago. Servers and clients
// distinguish requests by id, so a second request with the same one could get the first one's answer or run as its repeat.
type requestIDs struct {
	open, recent, older map[string]struct{}
}

func newRequestIDs() requestIDs {
	return requestIDs{open: map[string]struct{}{}, recent: map[string]struct{}{}}
}

// add notes the id of a request that begins, unless it is known.
func (r *requestIDs) add(id string) bool {
	for _, known := range []map[string]struct{}{r.open, r.recent, r.older} {
		if _, found := known[id]; found {
			return false
		}
	}
	r.open[id] = struct{}{}
	return true
}

// close notes that the request with an id has ended.
func (r *requestIDs) close(id string) {
	delete(r.open, id)
	r.recent[id] = struct{}{}
	if len(r.recent) >= maxRecentIDs {
		r.expire()
	}
}

// expire forgets what was recent at the last call but one.
func (r *requestIDs) expire() {
	r.older = r.recent
	r.recent = map[string]struct{}{}
}
