package relay

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"example.org/ryeloft/internal/discovery"
)

const (
	listFileName   = "list"          // in the state directory
	sourceFileName = "discovery"     // address of the service whose list is stored, and a newline
	tempFileName   = "list.new"      // renamed to listFileName once it is synced to disk
	tempSourceName = "discovery.new" // renamed to sourceFileName likewise

	// The file of a stored list consists of the magic, the length of the text as a big-endian 64-bit integer, the
	// SHA-256 of the text, and the text: a full list in the JSON format of a discovery response.
	magic        = "relayls1"
	headerBytes  = len(magic) + 8 + sha256.Size
	maxTextBytes = 4 << 20 // also the limit of the discovery client
)

var (
	// errCorrupt is returned for a stored list whose content differs from what was written.
	errCorrupt = errors.New("stored list corrupt")
	// errOtherSource is returned for a stored list of another service, whose revisions are unrelated.
	errOtherSource = errors.New("stored list is from another discovery address")
)

// listFile stores a relay's last list in a directory, and which service it is from. Only one goroutine may use it at a
// time.
type listFile struct{ dir string }

// loadFrom loads the stored list if it is from the given service, and otherwise returns an error that wraps errOtherSource.
// Earlier releases did not store the source: their lists count as lists of the given service.
func (f listFile) loadFrom(source string) (discovery.EndpointList, error) {
	stored, err := f.source()
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return discovery.EndpointList{}, fmt.Errorf("reading the source of the stored list: %w", err)
	case stored != source:
		return discovery.EndpointList{}, fmt.Errorf("%w: %q, not %q", errOtherSource, stored, source)
	}
	return f.load()
}

// saveFrom stores the text of a full list from the given service. It is crash-safe: a list of another service is removed
// before the source changes, so the stored source is always that of the stored list.
func (f listFile) saveFrom(source string, text []byte) error {
	if stored, err := f.source(); err != nil || stored != source {
		if err := f.changeSource(source); err != nil {
			return fmt.Errorf("storing the source of the list: %w", err)
		}
	}
	return f.save(text)
}

// source returns the service whose list is stored.
func (f listFile) source() (string, error) {
	text, err := os.ReadFile(filepath.Join(f.dir, sourceFileName))
	return strings.TrimSuffix(string(text), "\n"), err
}

// changeSource removes the stored list, and stores the source of the next one.
func (f listFile) changeSource(source string) error {
	if err := os.Remove(filepath.Join(f.dir, listFileName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := syncDir(f.dir); err != nil {
		return err
	}
	return f.replaceFile(tempSourceName, sourceFileName, []byte(source+"\n"))
}

// load reads the list that was saved last. If there is none, the error wraps fs.ErrNotExist. If the file is not a full
// list exactly as written by save, the error wraps errCorrupt.
func (f listFile) load() (discovery.EndpointList, error) {
	path := filepath.Join(f.dir, listFileName)
	info, err := os.Stat(path)
	switch {
	case err != nil:
		return discovery.EndpointList{}, fmt.Errorf("reading the stored list: %w", err)
	case !info.Mode().IsRegular() || info.Size() > int64(headerBytes+maxTextBytes):
		return discovery.EndpointList{}, fmt.Errorf("%w: %s is not a regular file of at most %d bytes", errCorrupt, path, headerBytes+maxTextBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return discovery.EndpointList{}, fmt.Errorf("reading the stored list: %w", err)
	}
	return decodeFile(data)
}

// save stores the text of a full list. It is crash-safe: load returns the previous list until the new one is completely
// on disk.
func (f listFile) save(text []byte) error {
	if err := f.replaceFile(tempFileName, listFileName, encodeFile(text)); err != nil {
		return fmt.Errorf("storing the list: %w", err)
	}
	return nil
}

// replaceFile atomically replaces a file of the directory and syncs it to disk.
func (f listFile) replaceFile(tempName, name string, data []byte) error {
	temp := filepath.Join(f.dir, tempName)
	if err := writeSynced(temp, data); err != nil {
		return err
	}
	if err := os.Rename(temp, filepath.Join(f.dir, name)); err != nil {
		return err
	}
	return syncDir(f.dir)
}

// encodeFile returns the file content for a text: the header, then the text.
func encodeFile(text []byte) []byte {
	sum := sha256.Sum256(text)
	data := make([]byte, 0, headerBytes+len(text))
	data = append(data, magic...)
	data = binary.BigEndian.AppendUint64(data, uint64(len(text)))
	data = append(data, sum[:]...)
	return append(data, text...)
}

// decodeFile verifies the header and parses the text.
func decodeFile(data []byte) (discovery.EndpointList, error) {
	if len(data) < headerBytes || !bytes.HasPrefix(data, []byte(magic)) {
		return discovery.EndpointList{}, fmt.Errorf("%w: no valid header", errCorrupt)
	}
	text := data[headerBytes:]
	if n := binary.BigEndian.Uint64(data[len(magic):]); n != uint64(len(text)) {
		return discovery.EndpointList{}, fmt.Errorf("%w: got %d bytes of text, want %d", errCorrupt, len(text), n)
	}
	if sum := sha256.Sum256(text); !bytes.Equal(sum[:], data[headerBytes-sha256.Size:headerBytes]) {
		return discovery.EndpointList{}, fmt.Errorf("%w: checksum mismatch", errCorrupt)
	}
	list, err := discovery.Parse(text)
	switch {
	case err != nil:
		return discovery.EndpointList{}, fmt.Errorf("%w: %w", errCorrupt, err)
	case !list.Complete:
		return discovery.EndpointList{}, fmt.Errorf("%w: not a full list", errCorrupt)
	}
	return list, nil
}

// writeSynced creates or replaces a file and syncs it to disk.
func writeSynced(path string, data []byte) (err error) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	if _, err := f.Write(data); err != nil {
		return err
	}
	return f.Sync()
}

// syncDir syncs the entries of a directory to disk.
func syncDir(dir string) (err error) {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return f.Sync()
}

// loadStored returns the stored list, or an empty value if there is none, it is unusable or from another service.
func (r *Relay) loadStored() discovery.EndpointList {
	list, err := r.file.loadFrom(r.options.Discovery)
	switch {
	case errors.Is(err, errOtherSource):
		r.log.Info("stored endpoint list not used", "reason", err)
	case err == nil:
		r.log.Info("stored endpoint list loaded", "revision", *list.Revision, "members", len(list.Members))
		return list
	case !errors.Is(err, fs.ErrNotExist):
		r.log.Error("stored endpoint list unusable", "error", err)
	}
	return discovery.EndpointList{}
}

// storeChanges stores the list after each change, at most once per saveInterval, until the context ends.
func (r *Relay) storeChanges(ctx context.Context) {
	for {
		changed := r.store.Changed()
		r.storeList()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(saveInterval):
		case <-ctx.Done():
			return
		}
	}
}

// storeList stores the list unless it is already on disk. After an error, the list is not stored again before the next
// change or the end of Run. Only Run's goroutine calls it.
func (r *Relay) storeList() {
	r.mu.Lock()
	list, source := r.store.Since(0, false), r.source
	r.mu.Unlock()
	if list.Body == nil {
		return
	}
	// The store encodes each full list only once, so the same backing array means the same list.
	if r.savedBody != nil && &r.savedBody[0] == &list.Body[0] {
		return
	}
	if err := r.file.saveFrom(source, list.Body); err != nil {
		r.log.Error("storing the endpoint list failed", "error", err)
		return
	}
	r.savedBody = list.Body
}
