// Package framing follows the framing of HTTP/1.1 messages while their bytes are read, and tells what the parsed head of a
// message will cost in memory before it is parsed. It parses no message itself.
package framing

import (
	"bytes"
	"net/textproto"
	"strconv"
	"strings"
)

const (
	// fieldCost is the memory in bytes that a parsed header field takes apart from its text: its place in a map that may
	// just have grown, a slice and two allocations.
	fieldCost = 160
	// byteCost is how often the text of a head is in memory: as it was read, as it was parsed, and as it is forwarded.
	byteCost = 4
	// maxFieldText is how much of a field is kept. It is more than the fields that state a length need.
	maxFieldText = 64
)

// Length is the length of a body as its head states it, or one of the constants below.
type Length int64

const (
	// LengthChunked is the length of a chunked body.
	LengthChunked Length = -1
	// LengthInvalid is the length of a body whose head contradicts itself.
	LengthInvalid Length = -2
)

// Head follows the head of a message, or the trailers of a chunked body. The zero value is at the start of a head.
type Head struct {
	HasContentLength    bool
	HasTransferEncoding bool

	length Length
	size   int64 // bytes so far
	lines  int   // complete lines, without empty ones before the first
	ended  bool

	lineLength int  // bytes of the current line
	lineHasCR  bool // the current line begins with a carriage return
	// field is the current field, which may consist of several lines. White space is collapsed.
	field     [maxFieldText]byte
	fieldSize int  // bytes of field that are in use
	fieldCut  bool // the field is longer than that
}

// newTrailers returns a Head for the trailers of a body, of which there may be none.
func newTrailers() Head { return Head{lines: 1} }

// Scan follows the bytes of text up to the end of the head and returns their number.
func (h *Head) Scan(text []byte) (n int) {
	for n < len(text) && !h.ended {
		if text[n] == '\n' {
			h.endLine()
		} else {
			h.addToLine(text[n])
		}
		n++
	}
	h.size += int64(n)
	return n
}

// Ended reports whether the head is complete.
func (h *Head) Ended() bool { return h.ended }

// Length returns the length of the body. The head must be complete.
func (h *Head) Length() Length { return h.length }

// Cost returns about how much memory the head takes while it is parsed and forwarded.
func (h *Head) Cost() int64 { return int64(h.lines)*fieldCost + h.size*byteCost }

// Lines returns the number of complete lines.
func (h *Head) Lines() int { return h.lines }

// addToLine follows a byte other than a newline.
func (h *Head) addToLine(b byte) {
	if h.lineLength == 0 {
		continues := (b == ' ' || b == '\t') && h.lines > 1
		if !continues {
			h.endField()
		}
		h.lineHasCR = b == '\r'
	}
	h.lineLength++
	h.addToField(b)
}

// addToField keeps a byte of a field. A run of white space counts as one space, and none after the colon.
func (h *Head) addToField(b byte) {
	if b == '\t' || b == '\r' {
		b = ' '
	}
	if h.fieldSize == maxFieldText {
		h.fieldCut = h.fieldCut || b != ' '
		return
	}
	if b == ' ' && (h.fieldSize == 0 || h.field[h.fieldSize-1] == ' ' || h.field[h.fieldSize-1] == ':') {
		return
	}
	h.field[h.fieldSize] = b
	h.fieldSize++
}

// endLine follows a newline.
func (h *Head) endLine() {
	empty := h.lineLength == 0 || h.lineLength == 1 && h.lineHasCR
	h.lineLength = 0
	switch {
	case !empty:
		h.lines++
	case h.lines > 0:
		h.endField()
		h.ended = true
	}
}

// endField records what a complete field says about the body's length.
func (h *Head) endField() {
	name, value, _ := bytes.Cut(h.field[:h.fieldSize], []byte(":"))
	cut := h.fieldCut
	h.fieldSize = 0
	h.fieldCut = false
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.addContentLength(textproto.TrimString(string(value)), cut)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		isChunked := strings.EqualFold(textproto.TrimString(string(value)), "chunked") && !cut
		if h.HasTransferEncoding || h.HasContentLength || !isChunked {
			h.length = LengthInvalid
		} else {
			h.length = LengthChunked
		}
		h.HasTransferEncoding = true
	}
}

func (h *Head) addContentLength(value string, cut bool) {
	length, err := strconv.ParseUint(value, 10, 63)
	differs := h.HasContentLength && h.length != Length(length)
	h.HasContentLength = true
	if err != nil || cut || differs || h.HasTransferEncoding {
		h.length = LengthInvalid
		return
	}
	h.length = Length(length)
}
