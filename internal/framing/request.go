package framing

import "math"

// part is the part of a message that the next byte belongs to.
type part int

const (
	partHead part = iota
	partBody      // of a stated length
	partChunkSize
	partChunk
	partChunkEnd
	partTrailers
	partEnd     // the message is complete
	partUnknown // the message's end cannot be found
)

const chunkEndBytes = 2

// Requests follows the requests that arrive on a connection, one after the other. The zero value is at the start of the
// first. It is not safe for concurrent use.
type Requests struct {
	complete  Head // the last complete head
	head      Head
	trailers  Head
	part      part
	remaining int64 // bytes of partBody, partChunk or partChunkEnd
	size      chunkSize
}

// Scan follows the bytes of text up to the end of the current request and returns their number. At the end of a request
// the next one begins.
func (r *Requests) Scan(text []byte) (n int) {
	if r.part == partEnd {
		r.part = partHead
		r.trailers = Head{}
		r.head = Head{} // a reader of Head may be looking at the last complete one
	}
	for n < len(text) && r.part != partEnd {
		n += r.scanPart(text[n:])
	}
	return n
}

// scanPart follows bytes of the current part and returns their number.
func (r *Requests) scanPart(text []byte) (n int) {
	switch r.part {
	case partHead:
		n = r.head.Scan(text)
		if r.head.Ended() {
			r.complete = r.head
			r.startBody()
		}
	case partBody, partChunk, partChunkEnd:
		n = int(min(int64(len(text)), r.remaining))
		r.Skip(n)
	case partChunkSize:
		n = r.size.scan(text)
		if r.size.ended {
			r.startChunk()
		}
	case partTrailers:
		n = r.trailers.Scan(text)
		if r.trailers.Ended() {
			r.part = partEnd
		}
	default:
		n = len(text)
	}
	return n
}

// BodyBytes returns how many of the next bytes are certain to belong to the body of the current request. They need not be
// scanned; Skip follows them.
func (r *Requests) BodyBytes() int64 {
	switch r.part {
	case partBody, partChunk:
		return r.remaining
	case partUnknown:
		return math.MaxInt64
	}
	return 0
}

// Skip follows n bytes, at most as many as BodyBytes returns.
func (r *Requests) Skip(n int) {
	if r.part == partUnknown {
		return
	}
	r.remaining -= int64(n)
	if r.remaining > 0 {
		return
	}
	switch r.part {
	case partChunk:
		r.part = partChunkEnd
		r.remaining = chunkEndBytes
	case partChunkEnd:
		r.part = partChunkSize
		r.size = chunkSize{}
	default:
		r.part = partEnd
	}
}

// Head returns the last head that is complete.
func (r *Requests) Head() *Head { return &r.complete }

// HeadIncomplete reports whether a head has begun and is not complete.
func (r *Requests) HeadIncomplete() bool { return r.part == partHead && r.head.size > 0 }

// InHead reports whether the next byte belongs to a head. It is also true between two requests.
func (r *Requests) InHead() bool { return r.part == partHead || r.part == partEnd }

// Lines returns the number of lines of the current request's head or of its trailers, whichever are more.
func (r *Requests) Lines() int { return max(r.head.Lines(), r.trailers.Lines()) }

// Cost returns about how much memory the head and the trailers of the current request take.
func (r *Requests) Cost() int64 { return r.head.Cost() + r.trailers.Cost() }

func (r *Requests) startBody() {
	switch length := r.head.Length(); length {
	case LengthChunked:
		r.part = partChunkSize
		r.size = chunkSize{}
	case LengthInvalid:
		r.part = partUnknown
	case 0:
		r.part = partEnd
	default:
		r.part = partBody
		r.remaining = int64(length)
	}
}

func (r *Requests) startChunk() {
	switch {
	case r.size.invalid:
		r.part = partUnknown
	case r.size.value == 0:
		r.part = partTrailers
		r.trailers = newTrailers()
	default:
		r.part = partChunk
		r.remaining = r.size.value
	}
}

// chunkSize follows the line that states the size of a chunk.
type chunkSize struct {
	value     int64
	digits    int
	extension bool // what follows the digits is ignored
	invalid   bool
	ended     bool
}

// scan follows the bytes of text up to the end of the line and returns their number.
func (c *chunkSize) scan(text []byte) (n int) {
	for n < len(text) && !c.ended {
		c.add(text[n])
		n++
	}
	return n
}

func (c *chunkSize) add(b byte) {
	digit := hexDigit(b)
	switch {
	case b == '\n':
		c.invalid = c.invalid || c.digits == 0
		c.ended = true
	case c.extension:
	case digit < 0:
		c.extension = true
	case c.value > math.MaxInt64>>4:
		c.invalid = true
	default:
		c.value = c.value<<4 | digit
		c.digits++
	}
}

// hexDigit returns the value of a hexadecimal digit, or -1.
func hexDigit(b byte) int64 {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0')
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10
	}
	return -1
}
