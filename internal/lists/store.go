// Package lists serves the endpoint list as discovery does: the full list, or the changes since a revision, to watches
// that wait for them. A Store holds one list and returns the same bytes for the same query; a Server serves calls from
// it. The package does not decide what is in the list, and leaves it to the Limiter to delay or reject calls.
package lists

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"example.org/ryeloft/internal/discovery"
)

const (
	// cachedChanges is the number of encoded ranges of changes in the cache. Nearly all callers that watch the list
	// request the newest change; a few are one or two revisions behind.
	cachedChanges = 8
	// membersPerRevision is the average number of changed members per revision that the log has room for.
	membersPerRevision = 16
)

var (
	errNoList     = errors.New("no list to change")
	errOutOfOrder = errors.New("revision out of order")
)

// Response is an encoded response and a description of its content.
type Response struct {
	Body     []byte // JSON, shared by all callers: must not be modified. Nil while the store has no list
	Revision uint64
	Complete bool // whether it is the full list, not changes
	Entries  int  // number of members
}

// Store holds the newest full list and a bounded log of the changes that led to it. It is safe for concurrent use. A
// revision identifies one state of the list: a source that restarts its revision numbers must not reach a revision that
// a caller still holds for another state, because the protocol cannot distinguish the two.
//
// Each response is encoded once, with the mutex held, into newly allocated memory that is not modified afterwards. Any
// number of callers may therefore send it concurrently, even after the list has changed. Applying a change costs time
// only for the changed members: the list is copied or encoded only when a caller requests the full list, at most once
// per revision.
type Store struct {
	maxLogged int // maximum number of revisions in the log

	mu            sync.Mutex
	hasList       bool
	revision      uint64
	members       []discovery.Member // in no particular order, but the same order for the same history
	index         map[string]int     // positions in members, by ID
	shared        bool               // members was returned to a caller: it is copied before the next change
	log           []change           // oldest first
	logFloor      uint64             // the log has all changes after this revision
	loggedMembers int
	changed       chan struct{}                 // closed when the list changes
	complete      Response                      // the full list at this revision; no Body: not encoded yet
	changes       [cachedChanges]cachedResponse // encoded ranges of changes up to this revision
	nextChanges   int                           // index in changes of the next entry to replace
}

// change is the set of members that a revision changed.
type change struct {
	revision uint64
	members  []discovery.Member
}

// cachedResponse is the response to callers at revision since. It is empty if the response has no Body.
type cachedResponse struct {
	since    uint64
	response Response
}

// NewStore returns a store without a list. Its log keeps the changes of up to maxLogged revisions, or fewer if they are
// large: changes longer than the full list have no use.
func NewStore(maxLogged int) *Store {
	return &Store{maxLogged: max(maxLogged, 0), changed: make(chan struct{})}
}

// Reset replaces the list with one of any revision and skips removed members. It drops the log, which does not lead to
// the new list: callers at another revision get the full list. The store does not retain the slice.
func (s *Store) Reset(revision uint64, members []discovery.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasList = true
	s.members = make([]discovery.Member, 0, len(members))
	s.index = make(map[string]int, len(members))
	s.shared = false
	for _, m := range members {
		s.put(m)
	}
	s.log = nil
	s.logFloor = revision
	s.loggedMembers = 0
	s.setRevision(revision)
}

// Apply applies the changes of a revision, including removed members, to the list. It returns an error and changes
// nothing if there is no list yet or the revision is not above the current one. The current revision without changes is
// not an error. The store does not retain the slice.
func (s *Store) Apply(revision uint64, changed []discovery.Member) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.hasList:
		return fmt.Errorf("revision %d: %w", revision, errNoList)
	case revision == s.revision && len(changed) == 0:
		return nil
	case revision <= s.revision:
		return fmt.Errorf("%w: %d after %d", errOutOfOrder, revision, s.revision)
	}
	if s.shared {
		s.members = slices.Clone(s.members)
		s.shared = false
	}
	for _, m := range changed {
		s.put(m)
	}
	s.log = append(s.log, change{revision, slices.Clone(changed)})
	s.loggedMembers += len(changed)
	s.trimLog()
	s.setRevision(revision)
	return nil
}

// put adds, replaces or removes a member.
func (s *Store) put(m discovery.Member) {
	i, known := s.index[m.ID]
	switch {
	case !m.Removed() && known:
		s.members[i] = m
	case !m.Removed():
		s.index[m.ID] = len(s.members)
		s.members = append(s.members, m)
	case known:
		last := len(s.members) - 1
		s.members[i] = s.members[last]
		s.index[s.members[i].ID] = i
		s.members[last] = discovery.Member{}
		s.members = s.members[:last]
		delete(s.index, m.ID)
	}
}

// trimLog drops the oldest revisions until the log is within its limits.
func (s *Store) trimLog() {
	maxMembers := max(s.maxLogged*membersPerRevision, len(s.members))
	for len(s.log) > s.maxLogged || s.loggedMembers > maxMembers {
		s.logFloor = s.log[0].revision
		s.loggedMembers -= len(s.log[0].members)
		s.log[0] = change{} // for the garbage collector
		s.log = s.log[1:]
	}
}

// setRevision sets the newest revision, drops the cached responses, which end at an older one, and wakes waiting
// callers.
func (s *Store) setRevision(revision uint64) {
	s.revision = revision
	s.complete = Response{}
	s.changes = [cachedChanges]cachedResponse{}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Revision returns the newest revision, or 0 if there is no list.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Members returns the full list. The slice is shared by all callers and must not be modified; the store copies it
// before the next change.
func (s *Store) Members() []discovery.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shared = true
	return slices.Clip(s.members)
}

// Changed returns a channel that is closed at the next change of the list. Call it before Since, so that a change
// between the two calls is not missed.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Since returns the response to a caller at the given revision, or to one without a list if !known. The response has
// the changes since that revision, each member once and in its newest state. It is the full list if the caller has no
// list or if the revision is ahead of the store or older than the log.
func (s *Store) Since(revision uint64, known bool) Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasList {
		return Response{}
	}
	if !known || revision > s.revision || revision < s.logFloor {
		if s.complete.Body == nil {
			s.complete = encodeResponse(s.revision, true, s.members)
		}
		return s.complete
	}
	for i := range s.changes {
		if cached := &s.changes[i]; cached.response.Body != nil && cached.since == revision {
			return cached.response
		}
	}
	response := encodeResponse(s.revision, false, s.mergeChanges(revision))
	s.changes[s.nextChanges] = cachedResponse{since: revision, response: response}
	s.nextChanges = (s.nextChanges + 1) % cachedChanges
	return response
}

func encodeResponse(revision uint64, complete bool, members []discovery.Member) Response {
	return Response{Body: Encode(revision, complete, members), Revision: revision, Complete: complete, Entries: len(members)}
}

// mergeChanges returns the members that changed after a revision in the log, each in its newest state, in the order of
// their last changes.
func (s *Store) mergeChanges(since uint64) []discovery.Member {
	first, _ := slices.BinarySearchFunc(s.log, since, func(c change, since uint64) int {
		if c.revision <= since {
			return -1
		}
		return 1
	})
	log := s.log[first:]
	if len(log) == 0 {
		return nil
	}
	var members []discovery.Member
	seen := make(map[string]bool)
	for _, c := range slices.Backward(log) {
		for _, m := range slices.Backward(c.members) {
			if !seen[m.ID] {
				seen[m.ID] = true
				members = append(members, m)
			}
		}
	}
	slices.Reverse(members)
	return members
}
