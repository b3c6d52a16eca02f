// Package lists serves the endpoint list as discovery does: the full list, or the changes since a revision, to watches that wait
// for them. A Store holds one list and hands the same bytes to all who ask the same; a Server answers calls from it. The package
// neither decides what is in the list nor, but for what its Limiter says, when a call is answered.
package lists

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"example.org/ryeloft/internal/discovery"
)

const (
	// cachedChanges is how many encoded ranges of changes are kept. Callers that follow the list all ask for the newest change;
	// a few lag behind by one or two.
	cachedChanges = 8
	// membersPerRevision is how many changed members the log holds for each of its revisions, on average.
	membersPerRevision = 16
)

var (
	errNoList     = errors.New("no list to change")
	errOutOfOrder = errors.New("revision does not follow")
)

// Response is the text of one answer and what it holds.
type Response struct {
	Body     []byte // JSON, shared by all who get it: never to be written to. Nil while the store has no list
	Revision uint64
	Complete bool // the full list, not changes
	Entries  int  // members
}

// Store is the newest full list and the changes that led to it, as far back as its log goes. It is safe for concurrent use. A
// revision names one state of the list: a source that counts anew must not reach revisions that are still held by someone as
// another state, for nothing in the protocol tells the two apart.
//
// Each text is encoded once, with the mutex held, into memory of its own, and nothing writes to it afterwards, so any number of
// callers may send it at once, also when the list has changed since. A change touches the members that it changes and no others; the
// list is neither copied nor encoded unless somebody asks for all of it, and then once for each revision.
type Store struct {
	maxLogged int // revisions in the log

	mu            sync.Mutex
	hasList       bool
	revision      uint64
	members       []discovery.Member // in no particular order, the same for the same history
	index         map[string]int     // positions in members by ID
	shared        bool               // members has been handed out: it is copied before the next change
	log           []change           // oldest first
	logFloor      uint64             // the log holds all changes after this revision
	loggedMembers int
	changed       chan struct{}                 // closed when the list changes
	complete      Response                      // the full list at this revision; no text: not encoded yet
	changes       [cachedChanges]cachedResponse // up to this revision
	nextChanges   int                           // of changes, the one to give up for another
}

// change is what one revision changed.
type change struct {
	revision uint64
	members  []discovery.Member
}

// cachedResponse is the answer to those who hold a revision. No text: none.
type cachedResponse struct {
	since    uint64
	response Response
}

// NewStore returns a store without a list, whose log will hold the changes of so many revisions: fewer where they are large, for
// changes longer than the full list help nobody.
func NewStore(maxLogged int) *Store {
	return &Store{maxLogged: max(maxLogged, 0), changed: make(chan struct{})}
}

// Reset replaces the list, by one of any revision; removed members are left out. The log is dropped, as it does not lead to this
// list: who holds another revision gets the full list. The store keeps no part of the slice.
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

// Apply changes the list by what a revision changed, removed members among it. It fails, and changes nothing, if there is no list
// yet or the revision is not above the one held; the revision held, with no changes, is no error. The store keeps no part of the
// slice.
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

// put sets one member, or removes it.
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

// trimLog drops the log's oldest revisions until it is within its bounds.
func (s *Store) trimLog() {
	maxMembers := max(s.maxLogged*membersPerRevision, len(s.members))
	for len(s.log) > s.maxLogged || s.loggedMembers > maxMembers {
		s.logFloor = s.log[0].revision
		s.loggedMembers -= len(s.log[0].members)
		s.log[0] = change{} // for the garbage collector
		s.log = s.log[1:]
	}
}

// setRevision makes this the newest revision: what was encoded led to another one, and those who wait are woken.
func (s *Store) setRevision(revision uint64) {
	s.revision = revision
	s.complete = Response{}
	s.changes = [cachedChanges]cachedResponse{}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Revision is the newest one, 0 if there is no list.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Members is the full list. The slice is shared by all who ask and must not be written to; the store itself copies it
// before it changes a member of it.
func (s *Store) Members() []discovery.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shared = true
	return slices.Clip(s.members)
}

// Changed is closed at the next change of the list. It is called before Since, lest a change in between be missed.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Since is the answer to one who holds a revision, or none if !known: the changes since then, each member once and as it is now,
// or the full list where the revision is not known, is ahead of the store or lies before the log.
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

// mergeChanges are the members that changed after a revision in the log, each as its last change left it, in the order of those.
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
