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
	tempFileName = "list.new" // renamed to listFileName once it is on the disk

	// A stored list is the magic, the text's length in 8 bytes, big-endian, its SHA-256, and the text: a full list as
	// discovery answers it.
	magic        = "relayls1"
	headerBytes  = len(magic) + 8 + sha256.Size
	maxTextBytes = 4 << 20 // as much as a client of discovery reads
)

// errCorrupt is a stored list that is not as it was written.
var errCorrupt = errors.New("the stored list is damaged")

// listFile is where a relay keeps its last list. One goroutine at a time uses it.
type listFile struct{ dir string }

// load reads the list that was saved last. Without one the error wraps fs.ErrNotExist; for anything that is not a full list as it
// was written it wraps errCorrupt.
func (f listFile) load() (discovery.EndpointList, error) {
	path := filepath.Join(f.dir, listFileName)
	info, err := os.Stat(path)
	switch {
	case err != nil:
		return discovery.EndpointList{}, fmt.Errorf("reading the stored list: %w", err)
	case !info.Mode().IsRegular() || info.Size() > int64(headerBytes+maxTextBytes):
		return discovery.EndpointList{}, fmt.Errorf("%w: %s is no file of up to %d bytes", errCorrupt, path, headerBytes+maxTextBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return discovery.EndpointList{}, fmt.Errorf("reading the stored list: %w", err)
	}
	return decodeFile(data)
}

// save makes the text of a full list the one that load finds, also after a crash at any moment: the old one stays until
// the new one is on the disk.
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

// encodeFile puts the header before a text.
func encodeFile(text []byte) []byte {
	sum := sha256.Sum256(text)
	data := make([]byte, 0, headerBytes+len(text))
	data = append(data, magic...)
	data = binary.BigEndian.AppendUint64(data, uint64(len(text)))
	data = append(data, sum[:]...)
	return append(data, text...)
}

// decodeFile checks the header and parses the text.
func decodeFile(data []byte) (discovery.EndpointList, error) {
	if len(data) < headerBytes || !bytes.HasPrefix(data, []byte(magic)) {
		return discovery.EndpointList{}, fmt.Errorf("%w: no header", errCorrupt)
	}
	text := data[headerBytes:]
	if n := binary.BigEndian.Uint64(data[len(magic):]); n != uint64(len(text)) {
		return discovery.EndpointList{}, fmt.Errorf("%w: %d bytes of %d", errCorrupt, len(text), n)
	}
	if sum := sha256.Sum256(text); !bytes.Equal(sum[:], data[headerBytes-sha256.Size:headerBytes]) {
		return discovery.EndpointList{}, fmt.Errorf("%w: its checksum does not fit", errCorrupt)
	}
	list, err := discovery.Parse(text)
	switch {
	case err != nil:
		return discovery.EndpointList{}, fmt.Errorf("%w: %w", errCorrupt, err)
	case !list.Complete:
		return discovery.EndpointList{}, fmt.Errorf("%w: not a whole list", errCorrupt)
	}
	return list, nil
}

// writeSynced writes a file anew and returns when it is on the disk.
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

// syncDir returns when a directory's names are on the disk.
func syncDir(dir string) (err error) {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return f.Sync()
}

// loadStored is the list that a relay starts with: the stored one, or none if that cannot be used.
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

// storeChanges stores the list when it has changed, no more often than saveInterval, until the context ends.
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

// storeList stores the list unless it is on the disk already. One that cannot be stored is tried again with the next change. Only
// Run's goroutine calls it.
func (r *Relay) storeList() {
	list := r.store.Since(0, false)
	if list.Body == nil {
		return
	}
	// The store encodes a revision once, so the same bytes are the same list.
	if r.savedBody != nil && &r.savedBody[0] == &list.Body[0] {
		return
	}
	if err := r.file.save(list.Body); err != nil {
		r.log.Error("storing the endpoint list failed", "error", err)
		return
	}
	r.savedBody = list.Body
}
