// Package lists serves the list of servers as discovery does: whole, or as the changes after a revision, to watches that
// wait for them. It holds one list and hands the same bytes to all who ask the same.
package lists

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"example.org/ryeloft/internal/discovery"
)

const (
	// spans is how many ranges of changes are kept encoded. Callers that follow the list all ask for the newest change;
	// a few lag behind by one or two.
	spans = 8
	// logLines is how many changed entries the log holds for each of its revisions, on average.
	logLines = 16
)

var (
	errNoList    = errors.New("no list to change")
	errBackwards = errors.New("revision does not follow")
)

// Answer is the text of one answer and what it holds.
type Answer struct {
	Body     []byte // JSON, shared by all who get it: never to be written to. Nil while the store has no list
	Revision uint64
	Complete bool // the whole list, not changes
	Entries  int  // entries
}

// Store is the newest whole list and the changes that led to it, as far back as its log goes. It is safe for concurrent
// use. A revision names one state of the list: a source that counts anew must not reach revisions that are still held by
// someone as another state, for nothing in the protocol tells the two apart.
//
// What is shared: each text is encoded once, under the lock, into memory of its own, and nothing writes to it afterwards,
// so any number of callers may send it at once, also when the list has long moved on. A change touches the entries that
// it changes and no others; the list is neither copied nor encoded unless somebody asks for all of it, and then once for
// each revision.
type Store struct {
	limit int // revisions in the log

	mu       sync.Mutex
	held     bool
	revision uint64
	floor    uint64             // the log holds all changes after this revision
	members  []discovery.Member // in no particular order, the same for the same history
	at       map[string]int     // positions in members by ID
	lent     bool               // members has been handed out: it is copied before the next change
	log      []change           // oldest first
	lines    int                // entries in the log
	changed  chan struct{}      // closed when the list changes
	whole    Answer             // of this revision; no text: not encoded yet
	spans    [spans]span        // up to this revision
	next     int                // the span to give up for another
}

// change is what one revision changed.
type change struct {
	revision uint64
	members  []discovery.Member
}

// span is the answer to those who hold the revision after. No text: none.
type span struct {
	after  uint64
	answer Answer
}

// NewStore returns a store without a list, whose log will hold the changes of so many revisions: fewer where they are
// large, for changes longer than the whole list help nobody.
func NewStore(log int) *Store {
	return &Store{limit: max(log, 0), changed: make(chan struct{})}
}

// Reset takes in a whole list, which may be of any revision; entries that are Gone are left out. What was logged before
// no longer leads to it: who holds another revision gets the whole list. The store keeps no part of the slice.
func (s *Store) Reset(revision uint64, members []discovery.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members, s.at, s.lent = make([]discovery.Member, 0, len(members)), make(map[string]int, len(members)), false
	for _, m := range members {
		s.put(m)
	}
	s.held, s.floor, s.log, s.lines = true, revision, nil, 0
	s.moved(revision)
}

// Apply takes in what a revision changed, Gone entries among it. It fails, and changes nothing, if there is no list yet
// or the revision is not above the one held; the revision held, with no changes, is no news and no error. The store
// keeps no part of the slice.
func (s *Store) Apply(revision uint64, changed []discovery.Member) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.held:
		return fmt.Errorf("revision %d: %w", revision, errNoList)
	case revision == s.revision && len(changed) == 0:
		return nil
	case revision <= s.revision:
		return fmt.Errorf("%w: %d after %d", errBackwards, revision, s.revision)
	}
	if s.lent {
		s.members, s.lent = slices.Clone(s.members), false
	}
	for _, m := range changed {
		s.put(m)
	}
	s.log = append(s.log, change{revision, slices.Clone(changed)})
	s.lines += len(changed)
	s.trim()
	s.moved(revision)
	return nil
}

// put sets one entry, or removes it.
func (s *Store) put(m discovery.Member) {
	i, known := s.at[m.ID]
	switch {
	case !m.Removed() && known:
		s.members[i] = m
	case !m.Removed():
		s.at[m.ID] = len(s.members)
		s.members = append(s.members, m)
	case known:
		last := len(s.members) - 1
		s.members[i] = s.members[last]
		s.at[s.members[i].ID] = i
		s.members[last] = discovery.Member{}
		s.members = s.members[:last]
		delete(s.at, m.ID)
	}
}

// trim drops the log's oldest revisions until it is within its bounds.
func (s *Store) trim() {
	lines := max(s.limit*logLines, len(s.members))
	for len(s.log) > s.limit || s.lines > lines {
		s.floor = s.log[0].revision
		s.lines -= len(s.log[0].members)
		s.log[0] = change{}
		s.log = s.log[1:]
	}
}

// moved makes this the newest revision: what was encoded led to another one, and those who wait are told.
func (s *Store) moved(revision uint64) {
	s.revision, s.whole, s.spans = revision, Answer{}, [spans]span{}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Revision is the newest one, 0 if there is no list.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Members is the whole list. The slice is shared by all who ask and must not be written to; the store itself copies it
// before it changes an entry of it.
func (s *Store) Members() []discovery.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lent = true
	return slices.Clip(s.members)
}

// Changed is closed at the next change of the list. Danger: take it before Since, or the change in between is missed.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Since is the answer to one who holds the revision after, or none if not known: the changes since then, each entry once
// and as it is now, or the whole list where after is not known, is ahead of the store or lies before the log.
func (s *Store) Since(after uint64, known bool) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.held:
		return Answer{}
	case !known || after > s.revision || after < s.floor:
		if s.whole.Body == nil {
			s.whole = answer(s.revision, true, s.members)
		}
		return s.whole
	}
	for i := range s.spans {
		if c := &s.spans[i]; c.answer.Body != nil && c.after == after {
			return c.answer
		}
	}
	c := &s.spans[s.next]
	s.next = (s.next + 1) % spans
	*c = span{after, answer(s.revision, false, s.merged(after))}
	return c.answer
}

func answer(revision uint64, complete bool, members []discovery.Member) Answer {
	return Answer{Body: Encode(revision, complete, members), Revision: revision, Complete: complete, Entries: len(members)}
}

// merged are the entries that changed after a revision in the log, each as its last change left it, in the order of
// those.
func (s *Store) merged(after uint64) []discovery.Member {
	first, _ := slices.BinarySearchFunc(s.log, after, func(c change, after uint64) int {
		if c.revision <= after {
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
