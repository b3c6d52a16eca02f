package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

const (
	// maxValueBytes is the length of the longest member, and of any other value of a field.
	maxValueBytes = 8 << 10
	// readBytes is how much is read at a time, so that little more than one value is buffered.
	readBytes = 4 << 10
)

var (
	errValueTooLong = fmt.Errorf("a value of over %d bytes", maxValueBytes)
	errNotAnObject  = errors.New("not an object")
	errTrailingText = errors.New("text after the list")
	errNoRevision   = errors.New("no revision")
	errEnded        = errors.New("unexpected end of the list")
)

// listParser parses an endpoint list while it is read, one member at a time: a list is never in memory as text, and no more
// of it is parsed than is valid.
type listParser struct {
	decoder *json.Decoder
	in      *valueReader
	list    EndpointList
}

// parseList parses the list that a reader returns up to its end. An error that does not wrap ErrMalformedList is one of the
// reader.
func parseList(in io.Reader) (EndpointList, error) {
	p := &listParser{in: &valueReader{in: in}}
	p.decoder = json.NewDecoder(p.in)
	p.in.parsed = p.decoder.InputOffset
	err := p.parse()
	switch {
	case p.in.err != nil:
		return EndpointList{}, p.in.err
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return EndpointList{}, fmt.Errorf("%w: %w", ErrMalformedList, errEnded)
	case err != nil:
		return EndpointList{}, fmt.Errorf("%w: %w", ErrMalformedList, err)
	}
	return p.list, nil
}

func (p *listParser) parse() error {
	if err := p.expect('{', errNotAnObject); err != nil {
		return err
	}
	for p.decoder.More() {
		if err := p.parseField(); err != nil {
			return err
		}
	}
	if _, err := p.decoder.Token(); err != nil { // the end of the object
		return err
	}
	if _, err := p.decoder.Token(); !errors.Is(err, io.EOF) {
		return errTrailingText
	}
	if p.list.Revision == nil {
		return errNoRevision
	}
	return nil
}

// expect reads an opening delimiter, or returns the given error if there is something else.
func (p *listParser) expect(want json.Delim, otherwise error) error {
	token, err := p.decoder.Token()
	if err == nil && token != want {
		err = otherwise
	}
	return err
}

// parseField parses a field of the list. Fields of other names are skipped.
func (p *listParser) parseField() error {
	token, err := p.decoder.Token()
	if err != nil {
		return err
	}
	name, _ := token.(string)
	switch {
	case strings.EqualFold(name, "revision"):
		return p.decoder.Decode(&p.list.Revision)
	case strings.EqualFold(name, "complete"):
		return p.decoder.Decode(&p.list.Complete)
	case strings.EqualFold(name, "members"):
		return p.parseMembers()
	}
	var skipped json.RawMessage
	return p.decoder.Decode(&skipped)
}

func (p *listParser) parseMembers() error {
	token, err := p.decoder.Token()
	if err != nil || token == nil { // null stands for no members
		return err
	}
	if token != json.Delim('[') {
		return errors.New("members is not an array")
	}
	p.list.Members = nil
	seen := map[string]bool{}
	for i := 0; p.decoder.More(); i++ {
		if i == MaxMembers {
			return fmt.Errorf("members: more than %d", MaxMembers)
		}
		member, err := p.parseMember(seen)
		if err != nil {
			return fmt.Errorf("members[%d].%w", i, err)
		}
		p.list.Members = append(p.list.Members, member)
	}
	_, err = p.decoder.Token() // the end of the array
	return err
}

// parseMember parses a member whose id is none of those seen before.
func (p *listParser) parseMember(seen map[string]bool) (member Member, err error) {
	if err := p.decoder.Decode(&member); err != nil {
		return Member{}, err
	}
	if seen[member.ID] {
		return Member{}, fmt.Errorf("id %.40q is a duplicate", member.ID)
	}
	seen[member.ID] = true
	return member, member.validate()
}

// valueReader reads the text of a list for a decoder. It fails if the decoder has to buffer too much for a single value, or
// if the list is too long.
type valueReader struct {
	in     io.Reader
	parsed func() int64 // how much the decoder has parsed
	read   int64
	err    error // an error of in other than io.EOF
}

// Read implements io.Reader.
func (r *valueReader) Read(p []byte) (int, error) {
	if r.read-r.parsed() > maxValueBytes {
		return 0, errValueTooLong
	}
	if r.read > maxListBytes {
		return 0, fmt.Errorf("more than %d bytes", maxListBytes)
	}
	n, err := r.in.Read(p[:min(len(p), readBytes)])
	r.read += int64(n)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}
