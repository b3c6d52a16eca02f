package relay

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/lists"
)

func member(id, state string, cell int) discovery.Member {
	return discovery.Member{ID: id, Address: "10.0.0.1:80", Zone: "a", Kind: "m1", Cell: cell, State: state, Weight: 1}
}

// A stored list that is truncated, has a changed byte or trailing data, or is something else must be rejected as
// corrupt, so that a relay starts without it rather than with wrong endpoints.
func TestDamagedListRejected(t *testing.T) {
	f := listFile{dir: t.TempDir()}
	path := filepath.Join(f.dir, listFileName)
	if _, err := f.load(); !errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("no file: got error %v, want fs.ErrNotExist", err)
	}
	members := []discovery.Member{member("x", "Ready", 3), member("y", "Terminating", 0)}
	text := lists.Encode(41, true, members)
	if err := f.save(text); err != nil {
		t.Fatal(err)
	}
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	damaged := func(what string, n int, data []byte) {
		t.Helper()
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		if l, err := f.load(); !errors.Is(err, errCorrupt) || l.Members != nil {
			t.Fatalf("%s %d: got %+v, error %v, want no list and errCorrupt", what, n, l, err)
		}
	}
	for n := range good {
		damaged("truncated to", n, good[:n])
		changed := bytes.Clone(good)
		changed[n] ^= 1 << (n % 8)
		damaged("changed byte", n, changed)
	}
	damaged("trailing bytes", 1, append(bytes.Clone(good), 0))
	damaged("copies", 2, append(bytes.Clone(good), good...))
	damaged("changes in place of a full list", 0, encodeFile(lists.Encode(41, false, members)))
	damaged("other JSON in place of a list", 0, encodeFile([]byte("[]")))

	if err := os.WriteFile(path, good, 0o600); err != nil {
		t.Fatal(err)
	}
	l, err := f.load()
	if err != nil || *l.Revision != 41 || !l.Complete || !reflect.DeepEqual(l.Members, members) {
		t.Errorf("intact file: got %+v, error %v, want revision 41, complete, with members %+v", l, err, members)
	}
}

// Other releases read a stored list, so its format must not change by a byte.
func TestStoredListBytes(t *testing.T) {
	const want = "relayls1\x00\x00\x00\x00\x00\x00\x01\x19" +
		"\xc9D\xd7(qsX@.\xa0\xc2\xdbS\xe5\xf7\x1f\x05~5\xdbP\x1c\x8di\xf7\xa0\x013\xb9\xbbP\xe4" +
		`{"revision":41,"complete":true,"members":[` +
		`{"id":"x","host_port":"10.0.0.1:80","locality":"a","flavor":"m1","cell":3,"phase":"Ready","size":1,"up_since_ms":0},` +
		`{"id":"y","host_port":"10.0.0.1:80","locality":"a","flavor":"m1","cell":0,"phase":"Terminating","size":1,"up_since_ms":0}]}`
	f := listFile{dir: t.TempDir()}
	if err := f.save(lists.Encode(41, true, []discovery.Member{member("x", "Ready", 3), member("y", "Terminating", 0)})); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(filepath.Join(f.dir, "list"))
	if err != nil || string(got) != want {
		t.Errorf("got %q, error %v, want %q", got, err, want)
	}
}

// After a crash while a list is being stored, the old list must be loaded, however much of the new one is on disk.
func TestInterruptedSaveKeepsOldList(t *testing.T) {
	f := listFile{dir: t.TempDir()}
	if err := f.save(lists.Encode(1, true, []discovery.Member{member("x", "Ready", 0)})); err != nil {
		t.Fatal(err)
	}
	next := encodeFile(lists.Encode(2, true, nil))
	for n := range next {
		if err := os.WriteFile(filepath.Join(f.dir, tempFileName), next[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		if l, err := f.load(); err != nil || *l.Revision != 1 {
			t.Fatalf("%d bytes of the new file: got %+v, error %v, want revision 1", n, l, err)
		}
	}
	if err := f.save(lists.Encode(3, true, nil)); err != nil {
		t.Fatal(err)
	}
	if l, err := f.load(); err != nil || *l.Revision != 3 {
		t.Errorf("after the next save: got %+v, error %v, want revision 3", l, err)
	}
}

// After a crash while the list of another service is being stored, no list may be loaded for a service that it is not
// from, and the list must still be loaded if the crash came before it was removed.
func TestInterruptedChangeOfSource(t *testing.T) {
	const old, next = "10.0.0.1:80", "10.0.0.2:80"
	text := func(revision uint64) []byte {
		return lists.Encode(revision, true, []discovery.Member{member("x", "Ready", 0)})
	}
	for name, c := range map[string]struct {
		interrupted func(listFile) error
		old, next   uint64 // the revisions that are loaded for each service; 0: no list
	}{
		"nothing done":       {func(listFile) error { return nil }, 1, 0},
		"list removed":       {changeSourceHalfway, 0, 0},
		"source changed":     {func(f listFile) error { return f.changeSource(next) }, 0, 0},
		"stored completely":  {func(f listFile) error { return f.saveFrom(next, text(2)) }, 0, 2},
		"stored for the old": {func(f listFile) error { return f.saveFrom(old, text(3)) }, 3, 0},
	} {
		f := listFile{dir: t.TempDir()}
		if err := f.saveFrom(old, text(1)); err != nil {
			t.Fatal(err)
		}
		if err := c.interrupted(f); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got := loadedRevision(f, old); got != c.old {
			t.Errorf("%s: got revision %d for the old service, want %d", name, got, c.old)
		}
		if got := loadedRevision(f, next); got != c.next {
			t.Errorf("%s: got revision %d for the new service, want %d", name, got, c.next)
		}
	}
}

// changeSourceHalfway changes the source, but a directory in place of the temporary file lets the second step fail.
func changeSourceHalfway(f listFile) error {
	temp := filepath.Join(f.dir, tempSourceName)
	if err := os.Mkdir(temp, 0o700); err != nil {
		return err
	}
	if err := f.changeSource("10.0.0.2:80"); err == nil {
		return errors.New("the source was changed in spite of the directory")
	}
	return os.Remove(temp)
}

// loadedRevision returns the revision of the list that is loaded for a service, or 0 if there is none.
func loadedRevision(f listFile, source string) uint64 {
	l, err := f.loadFrom(source)
	if err != nil {
		return 0
	}
	return *l.Revision
}

// A list that an earlier release has stored, without its source, must still be loaded.
func TestListWithoutSourceIsLoaded(t *testing.T) {
	f := listFile{dir: t.TempDir()}
	if err := f.save(lists.Encode(41, true, []discovery.Member{member("x", "Ready", 0)})); err != nil {
		t.Fatal(err)
	}
	if l, err := f.loadFrom("10.0.0.1:80"); err != nil || *l.Revision != 41 {
		t.Errorf("got %+v, error %v, want revision 41", l, err)
	}
}

// A list that cannot be loaded or stored must be reported as an error.
func TestStorageErrors(t *testing.T) {
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, listFileName), 0o700); err != nil {
		t.Fatal(err)
	}
	f := listFile{dir: dir}
	if _, err := f.load(); !errors.Is(err, errCorrupt) {
		t.Errorf("a directory in place of the file: got error %v, want errCorrupt", err)
	}
	if err := f.save(lists.Encode(1, true, nil)); err == nil {
		t.Error("saving over a directory: got no error")
	}
	if err := (listFile{dir: filepath.Join(dir, "none")}).save(lists.Encode(1, true, nil)); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("missing directory: got error %v, want fs.ErrNotExist", err)
	}
}
