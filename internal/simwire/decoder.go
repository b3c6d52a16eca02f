package simwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
)

// DecodeError describes an error in a batch and its position.
type DecodeError struct {
	Batch  uint32
	Offset int // offset of the first unread byte from the start of the batch
	Err    error
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("batch %d, offset %d: %v", e.Batch, e.Offset, e.Err)
}

func (e *DecodeError) Unwrap() error { return e.Err }

// Decoder reads batches from a stream. Its errors other than io.EOF are of type *DecodeError; after the first of them it
// must not be used.
type Decoder struct {
	in          io.Reader
	body        bytes.Buffer // body of the current batch; reused
	batch       uint32
	now         time.Duration
	unread      []byte // unread rest of body
	size        int    // size of body in bytes
	recordsLeft uint32 // unread records of the batch
	err         error
	lists       [maxEndpointLists][]balancer.Endpoint
	loadFields  map[uint32][]string // names of load report values, by instance
}

// NewDecoder returns a decoder that reads from in.
func NewDecoder(in io.Reader) *Decoder {
	return &Decoder{in: in, loadFields: map[uint32][]string{}}
}

// Batch reads the next batch and returns its number and clock. It returns io.EOF if the input ends between batches. All
// records of the previous batch must have been read.
func (d *Decoder) Batch() (uint32, time.Duration, error) {
	if d.recordsLeft > 0 || len(d.unread) > 0 {
		return 0, 0, d.failWith("previous batch has unread records")
	}
	var header [batchHeaderBytes]byte
	if n, err := io.ReadFull(d.in, header[:]); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return 0, 0, io.EOF
		}
		d.batch++
		return 0, 0, d.failWith("truncated header")
	}
	length, err := d.parseHeader(&header)
	if err != nil {
		return 0, 0, err
	}
	d.body.Reset()
	// The buffer grows with the received bytes; the length field is not trusted for an allocation.
	if _, err := io.CopyN(&d.body, d.in, int64(length-headerBytesInLength)); err != nil {
		return 0, 0, d.failWith("truncated batch")
	}
	d.unread = d.body.Bytes()
	d.size = d.body.Len()
	return d.batch, d.now, nil
}

// parseHeader parses a batch header, resets the decoder's state for the batch and returns the value of the length
// field.
func (d *Decoder) parseHeader(header *[batchHeaderBytes]byte) (length uint32, err error) {
	d.batch = binary.BigEndian.Uint32(header[0:])
	length = binary.BigEndian.Uint32(header[4:])
	clock := math.Float64frombits(binary.BigEndian.Uint64(header[8:]))
	d.recordsLeft = binary.BigEndian.Uint32(header[16:])
	d.size = 0
	d.unread = nil
	if length < headerBytesInLength {
		return 0, d.failWith("length is shorter than the header")
	}
	if math.IsNaN(clock) || math.Abs(clock) > settings.MaxMilliseconds || settings.Milliseconds(clock) < d.now {
		return 0, d.failWith("clock is not a valid time or runs backwards")
	}
	d.now = settings.Milliseconds(clock)
	return length, nil
}

// Next returns the next record of the batch, or io.EOF after the last one.
func (d *Decoder) Next() (Record, error) {
	for d.recordsLeft > 0 {
		d.recordsLeft--
		record, ok := d.record()
		if d.err != nil {
			return Record{}, d.err
		}
		if ok {
			return record, nil
		}
	}
	if len(d.unread) > 0 {
		return Record{}, d.failWith("extra bytes after the last record")
	}
	return Record{}, io.EOF
}

// fail stores err with the current offset as the decoder's error, unless there is an earlier error.
func (d *Decoder) fail(err error) {
	if d.err == nil {
		d.err = &DecodeError{Batch: d.batch, Offset: batchHeaderBytes + d.size - len(d.unread), Err: err}
	}
}

// failWith calls fail with the given text and returns the decoder's first error.
func (d *Decoder) failWith(text string) error {
	d.fail(errors.New(text))
	return d.err
}

// bytes reads the next n bytes of the batch. They are valid until the next batch is read.
func (d *Decoder) bytes(n uint32) []byte {
	if d.err != nil || uint64(n) > uint64(len(d.unread)) {
		d.fail(errors.New("truncated record"))
		return nil
	}
	b := d.unread[:n]
	d.unread = d.unread[n:]
	return b
}

// skip skips the next n bytes.
func (d *Decoder) skip(n uint32) { d.bytes(n) }

func (d *Decoder) u8() uint8 {
	if b := d.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *Decoder) u16() uint16 {
	if b := d.bytes(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (d *Decoder) u32() uint32 {
	if b := d.bytes(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (d *Decoder) u64() uint64 {
	if b := d.bytes(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (d *Decoder) f32() float64 { return float64(math.Float32frombits(d.u32())) }

func (d *Decoder) duration() time.Duration {
	return settings.Milliseconds(math.Float64frombits(d.u64()))
}
