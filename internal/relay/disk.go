package relay

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"example.org/ryeloft/internal/discovery"
)

const (
	listFile = "list"     // in the state directory
	nextFile = "list.new" // becomes the list once it is whole

	// A list on disk is the magic, the text's length in 8 bytes, big end first, its SHA-256, and the text: a whole list as
	// discovery answers it.
	magic      = "relayls1"
	headerSize = len(magic) + 8 + sha256.Size
	maxText    = 4 << 20 // bytes, as much as a client of discovery reads
)

// errDamaged is a list on disk that is not as it was written.
var errDamaged = errors.New("the stored list is damaged")

// disk is the directory where a relay keeps its last list. One goroutine uses it.
type disk struct{ dir string }

// load reads the list that was saved last. Without one the error is fs.ErrNotExist; anything that is not a whole list as
// it was written is errDamaged.
func (d disk) load() (discovery.EndpointList, error) {
	path := filepath.Join(d.dir, listFile)
	info, err := os.Stat(path)
	switch {
	case err != nil:
		return discovery.EndpointList{}, fmt.Errorf("reading the stored list: %w", err)
	case !info.Mode().IsRegular() || info.Size() > int64(headerSize+maxText):
		return discovery.EndpointList{}, fmt.Errorf("%w: %s is no file of up to %d bytes", errDamaged, path, headerSize+maxText)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return discovery.EndpointList{}, fmt.Errorf("reading the stored list: %w", err)
	}
	return unseal(data)
}

// save makes the text of a whole list the one that load finds, also after a crash at any moment: the old one stays until
// the new one is on the disk.
func (d disk) save(text []byte) error {
	next := filepath.Join(d.dir, nextFile)
	if err := writeSynced(next, seal(text)); err != nil {
		return fmt.Errorf("storing the list: %w", err)
	}
	if err := os.Rename(next, filepath.Join(d.dir, listFile)); err != nil {
		return fmt.Errorf("storing the list: %w", err)
	}
	if err := syncDir(d.dir); err != nil {
		return fmt.Errorf("storing the list: %w", err)
	}
	return nil
}

func seal(text []byte) []byte {
	sum := sha256.Sum256(text)
	data := make([]byte, 0, headerSize+len(text))
	data = append(data, magic...)
	data = binary.BigEndian.AppendUint64(data, uint64(len(text)))
	data = append(data, sum[:]...)
	return append(data, text...)
}

func unseal(data []byte) (discovery.EndpointList, error) {
	if len(data) < headerSize || !bytes.HasPrefix(data, []byte(magic)) {
		return discovery.EndpointList{}, fmt.Errorf("%w: no header", errDamaged)
	}
	text := data[headerSize:]
	if n := binary.BigEndian.Uint64(data[len(magic):]); n != uint64(len(text)) {
		return discovery.EndpointList{}, fmt.Errorf("%w: %d bytes of %d", errDamaged, len(text), n)
	}
	if sum := sha256.Sum256(text); !bytes.Equal(sum[:], data[headerSize-sha256.Size:headerSize]) {
		return discovery.EndpointList{}, fmt.Errorf("%w: its checksum does not fit", errDamaged)
	}
	l, err := discovery.Parse(text)
	switch {
	case err != nil:
		return discovery.EndpointList{}, fmt.Errorf("%w: %w", errDamaged, err)
	case !l.Complete:
		return discovery.EndpointList{}, fmt.Errorf("%w: not a whole list", errDamaged)
	}
	return l, nil
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

// stored is the list that a relay starts with: the one on disk, or none. What cannot be used is told and passed over.
func (r *Relay) stored() discovery.EndpointList {
	l, err := r.disk.load()
	switch {
	case err == nil:
		r.log.Info("stored list", "revision", *l.Revision, "members", len(l.Members))
		return l
	case !errors.Is(err, fs.ErrNotExist):
		r.log.Error("starting without the stored list", "error", err)
	}
	return discovery.EndpointList{}
}
