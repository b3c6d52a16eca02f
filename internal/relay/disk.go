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
	"time"

	"example.org/ryeloft/internal/discovery"
)

const (
	listFileName = "list"     // in the state directory
	tempFileName = "list.new" // renamed to listFileName once it is synced to disk

	// The file of a stored list consists of the magic, the length of the text as a big-endian 64-bit integer, the
	// SHA-256 of the text, and the text: a full list in the JSON format of a discovery response.
	magic        = "relayls1"
	headerBytes  = len(magic) + 8 + sha256.Size
	maxTextBytes = 4 << 20 // also the limit of the discovery client
)

// errCorrupt is returned for a stored list whose content differs from what was written.
var errCorrupt = errors.New("stored list corrupt")

// listFile stores a relay's last list in a directory. Only one goroutine may use it at a time.
type listFile struct{ dir string }

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
	next := filepath.Join(f.dir, tempFileName)
	if err := writeSynced(next, encodeFile(text)); err != nil {
		return fmt.Errorf("storing the list: %w", err)
	}
	if err := os.Rename(next, filepath.Join(f.dir, listFileName)); err != nil {
		return fmt.Errorf("storing the list: %w", err)
	}
	if err := syncDir(f.dir); err != nil {
		return fmt.Errorf("storing the list: %w", err)
	}
	return nil
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

// loadStored returns the stored list, or an empty value if there is none or it is unusable.
func (r *Relay) loadStored() discovery.EndpointList {
	list, err := r.file.load()
	switch {
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
	list := r.store.Since(0, false)
	if list.Body == nil {
		return
	}
	// The store encodes each full list only once, so the same backing array means the same list.
	if r.savedBody != nil && &r.savedBody[0] == &list.Body[0] {
		return
	}
	if err := r.file.save(list.Body); err != nil {
		r.log.Error("storing the endpoint list failed", "error", err)
		return
	}
	r.savedBody = list.Body
}
