package lists

import (
	"errors"
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
	"testing"
	"unsafe"

	"example.org/ryeloft/internal/discovery"
)

func member(id, state string) discovery.Member {
	return discovery.Member{
		ID: id, Address: "10.1.0.18:9000", Zone: "a", Kind: "m2", Cell: 3, State: state, Weight: 1.5, StartedAtMillis: 1764640000000,
	}
}

// readyMembers returns n members in state Ready, with the IDs s-0, s-1 and so on.
func readyMembers(n int) []discovery.Member {
	members := make([]discovery.Member, n)
	for i := range members {
		members[i] = member(fmt.Sprintf("s-%d", i), "Ready")
	}
	return members
}

// parse parses a response as an agent does.
func parse(t *testing.T, text []byte) discovery.EndpointList {
	t.Helper()
	l, err := discovery.Parse(text)
	if err != nil {
		t.Fatalf("%.300s: %v", text, err)
	}
	return l
}

// formatMembers formats members as "a:Ready b:Gone".
func formatMembers(members []discovery.Member) string {
	var all []string
	for _, m := range members {
		all = append(all, m.ID+":"+m.State)
	}
	return strings.Join(all, " ")
}

func TestEncode(t *testing.T) {
	odd := member("s-\"\\\n\u00e9<", "Terminating")
	odd.Weight = 0
	odd.StartedAtMillis = 0
	for _, c := range []struct {
		name    string
		members []discovery.Member
		want    string // exact text, if not empty
	}{
		{"none", nil, `{"revision":18446744073709551615,"complete":true,"members":[]}`},
		{"one", []discovery.Member{member("s-1", "Ready")}, `{"revision":18446744073709551615,"complete":true,"members":[` +
			`{"id":"s-1","host_port":"10.1.0.18:9000","locality":"a","flavor":"m2","cell":3,"phase":"Ready","size":1.5,"up_since_ms":1764640000000}]}`},
		{"names that need quoting", []discovery.Member{odd, member("t", "Gone")}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := Encode(math.MaxUint64, true, c.members)
			if c.want != "" && string(text) != c.want {
				t.Errorf("got %s\nwant %s", text, c.want)
			}
			l := parse(t, text)
			if *l.Revision != math.MaxUint64 || !l.Complete || !slices.Equal(l.Members, c.members) {
				t.Errorf("%s: parsed as %+v, want revision %d, complete, with members %+v", text, l, uint64(math.MaxUint64), c.members)
			}
		})
	}
	m := member("s-1", "Ready")
	m.Weight, m.StartedAtMillis = math.NaN(), math.Inf(1)
	if l := parse(t, Encode(1, false, []discovery.Member{m})); l.Complete || l.Members[0].Weight != 0 || l.Members[0].StartedAtMillis != 0 {
		t.Errorf("numbers that JSON cannot represent: parsed as %+v, want 0", l)
	}
}

// step is a call of Reset or Apply. Its entries are members as in "a:Ready b:Gone".
type step struct {
	reset    bool
	revision uint64
	entries  string
}

func (s step) members() []discovery.Member {
	var members []discovery.Member
	for _, w := range strings.Fields(s.entries) {
		id, state, _ := strings.Cut(w, ":")
		members = append(members, member(id, state))
	}
	return members
}

func (s step) apply(t *testing.T, store *Store) {
	t.Helper()
	if s.reset {
		store.Reset(s.revision, s.members())
	} else if err := store.Apply(s.revision, s.members()); err != nil {
		t.Fatal(err)
	}
}

func TestSince(t *testing.T) {
	list := step{true, 10, "a:Ready b:Ready c:Ready"}
	drain := step{false, 11, "b:Terminating"}
	leave := step{false, 13, "a:Gone d:Ready"}
	for _, c := range []struct {
		name     string
		log      int
		steps    []step
		since    uint64
		known    bool
		revision uint64
		complete bool
		want     string
	}{
		{"full", 8, []step{list}, 0, false, 10, true, "a:Ready b:Ready c:Ready"},
		{"full after changes", 8, []step{list, drain, leave}, 0, false, 13, true, "c:Ready b:Terminating d:Ready"},
		{"nothing newer", 8, []step{list}, 10, true, 10, false, ""},
		{"nothing newer after changes", 8, []step{list, drain}, 11, true, 11, false, ""},
		{"one change", 8, []step{list, drain}, 10, true, 11, false, "b:Terminating"},
		{"the last change only", 8, []step{list, drain, leave}, 11, true, 13, false, "a:Gone d:Ready"},
		{"skipped revision", 8, []step{list, drain, leave}, 12, true, 13, false, "a:Gone d:Ready"},
		{"two changes", 8, []step{list, drain, leave}, 10, true, 13, false, "b:Terminating a:Gone d:Ready"},
		{"merged to the newest state", 8, []step{list, drain, {false, 12, "c:Terminating b:Gone"}, {false, 13, "b:Ready"}}, 10, true, 13, false,
			"c:Terminating b:Ready"},
		{"member twice in one change", 8, []step{list, {false, 11, "b:Gone b:Ready"}}, 10, true, 11, false, "b:Ready"},
		{"added and removed", 8, []step{list, {false, 11, "d:Ready"}, {false, 12, "d:Gone"}}, 10, true, 12, false, "d:Gone"},
		{"revision without changes", 8, []step{list, {false, 11, ""}}, 10, true, 11, false, ""},
		{"same revision without changes", 8, []step{list, {false, 10, ""}}, 10, true, 10, false, ""},
		{"ahead", 8, []step{list}, 11, true, 10, true, "a:Ready b:Ready c:Ready"},
		{"before the list", 8, []step{list, drain}, 9, true, 11, true, "a:Ready b:Terminating c:Ready"},
		{"oldest revision in the log", 2, []step{list, drain, leave, {false, 14, "c:Gone"}}, 11, true, 14, false, "a:Gone d:Ready c:Gone"},
		{"before the log", 2, []step{list, drain, leave, {false, 14, "c:Gone"}}, 10, true, 14, true, "d:Ready b:Terminating"},
		{"no log", 0, []step{list, drain}, 10, true, 11, true, "a:Ready b:Terminating c:Ready"},
		{"no log, nothing newer", 0, []step{list, drain}, 11, true, 11, false, ""},
		{"reset", 8, []step{list, drain, {true, 20, "e:Ready f:Gone"}}, 11, true, 20, true, "e:Ready"},
		{"reset to a lower revision", 8, []step{list, drain, {true, 5, "e:Ready"}}, 11, true, 5, true, "e:Ready"},
		{"changes after a reset", 8, []step{list, {true, 20, "e:Ready"}, {false, 21, "e:Gone"}}, 20, true, 21, false, "e:Gone"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewStore(c.log)
			for _, step := range c.steps {
				step.apply(t, s)
			}
			a := s.Since(c.since, c.known)
			l := parse(t, a.Body)
			if got := formatMembers(l.Members); got != c.want || l.Complete != c.complete || *l.Revision != c.revision {
				t.Errorf("got %s, want revision %d, complete %v: %s", a.Body, c.revision, c.complete, c.want)
			}
			if a.Revision != *l.Revision || a.Complete != l.Complete || a.Entries != len(l.Members) {
				t.Errorf("got %+v, want the revision, completeness and member count of its body %s", a, a.Body)
			}
			if s.Revision() != c.revision {
				t.Errorf("got revision %d, want %d", s.Revision(), c.revision)
			}
		})
	}
}

// A change that is out of order must be rejected, leave the store unchanged and not wake waiting callers.
func TestApplyRejects(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []step
		bad   step
		want  error
	}{
		{"no list", nil, step{false, 1, "a:Ready"}, errNoList},
		{"lower revision", []step{{true, 10, "a:Ready"}}, step{false, 9, "b:Ready"}, errOutOfOrder},
		{"lower revision without changes", []step{{true, 10, "a:Ready"}}, step{false, 9, ""}, errOutOfOrder},
		{"same revision", []step{{true, 10, "a:Ready"}}, step{false, 10, "b:Ready"}, errOutOfOrder},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewStore(8)
			for _, step := range c.steps {
				step.apply(t, s)
			}
			before, changed := s.Since(0, false), s.Changed()
			if err := s.Apply(c.bad.revision, c.bad.members()); !errors.Is(err, c.want) {
				t.Errorf("got error %v, want %v", err, c.want)
			}
			if after := s.Since(0, false); string(after.Body) != string(before.Body) || after.Revision != before.Revision {
				t.Errorf("store after the rejected change: got %s, want %s", after.Body, before.Body)
			}
			select {
			case <-changed:
				t.Error("a rejected change wakes waiting callers")
			default:
			}
		})
	}
}

// The log must be limited in members as well as in revisions: changes longer than the full list have no use.
func TestLogBoundedInMembers(t *testing.T) {
	const log, members = 4, 100
	s := NewStore(log)
	s.Reset(0, readyMembers(members))
	for r := range uint64(log) { // each changes nearly all members: two of them are longer than the list
		if err := s.Apply(r+1, readyMembers(members-1)); err != nil {
			t.Fatal(err)
		}
	}
	if !s.Since(log-2, true).Complete || s.Since(log-1, true).Complete || s.loggedMembers > members {
		t.Errorf("got a log of %d members in %d revisions, want one revision and at most %d members", s.loggedMembers, len(s.log), members)
	}
}

// Later changes must not modify members and response bodies that were returned before.
func TestMembersNotModified(t *testing.T) {
	s := NewStore(8)
	s.Reset(1, readyMembers(3))
	first, text := s.Members(), s.Since(0, false).Body
	want, wantText := slices.Clone(first), string(text)
	for r, entries := range []string{"s-1:Terminating", "s-0:Gone", "s-9:Ready"} {
		step{false, uint64(r + 2), entries}.apply(t, s)
	}
	if !slices.Equal(first, want) || string(text) != wantText {
		t.Errorf("after changes: got %v and %s, want %v and %s", first, text, want, wantText)
	}
	if got := formatMembers(s.Members()); got != "s-2:Ready s-1:Terminating s-9:Ready" {
		t.Errorf("members after the changes: got %s, want s-2:Ready s-1:Terminating s-9:Ready", got)
	}
}

// allocated returns the number of bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// However many agents watch the list, each change must be encoded once and the full list at most once, and neither may
// be copied.
func TestEncodedOnce(t *testing.T) {
	const members, followers, changes = 1024, 1000, 20
	s := NewStore(64)
	s.Reset(1, readyMembers(members))
	full := uint64(len(s.Since(0, false).Body))

	encodings := make(map[*byte]bool)
	bytesAllocated := allocated(func() {
		for r := uint64(2); r < 2+changes; r++ {
			if err := s.Apply(r, []discovery.Member{member("s-7", "Terminating")}); err != nil {
				t.Fatal(err)
			}
			for i := range followers {
				lag := uint64(i%3) / 2 // a third of them are one revision behind
				encodings[unsafe.SliceData(s.Since(r-1-min(lag, r-2), true).Body)] = true
			}
		}
	})
	t.Logf("%d changes for %d followers: %d encodings, %d bytes allocated; the full list has %d bytes", changes, followers, len(encodings), bytesAllocated, full)
	if len(encodings) > 2*changes || bytesAllocated > full {
		t.Errorf("%d changes for %d followers: got %d encodings and %d bytes allocated, want at most %d and %d",
			changes, followers, len(encodings), bytesAllocated, 2*changes, full)
	}

	encodings = make(map[*byte]bool)
	bytesAllocated = allocated(func() {
		for i := range followers { // without a list, ahead of the store, and before the log
			encodings[unsafe.SliceData(s.Since([]uint64{0, 1 << 40, 0}[i%3], i%3 != 0).Body)] = true
			s.Members()
		}
	})
	t.Logf("the full list for %d followers: %d encodings, %d bytes allocated", followers, len(encodings), bytesAllocated)
	if len(encodings) != 1 || bytesAllocated > 2*full {
		t.Errorf("the full list for %d followers: got %d encodings and %d bytes allocated, want 1 and at most %d", followers, len(encodings), bytesAllocated, 2*full)
	}
}
