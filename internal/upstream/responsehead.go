package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"

	"example.org/ryeloft/internal/framing"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/stream"
)

const (
	// freeHeadCost is the memory that the head of a response may take without a reservation. It is that of some 15 fields,
	// and belongs to what each request needs.
	freeHeadCost = 4 << 10
	// maxFieldBytes is the length of the longest response field that is kept.
	maxFieldBytes = 1 << 10
)

var (
	errHeadTooLarge = fmt.Errorf("response head of over %d bytes or %d lines", protocol.MaxHeadBytes, protocol.MaxHeadFields)
	// errNoMemoryForHead is not the server's fault.
	errNoMemoryForHead  = fmt.Errorf("no memory for the head of a response: %w", stream.ErrNotRead)
	errTrailersTooLarge = fmt.Errorf("trailers of over %d bytes", responseBufferBytes)
)

// responseHead follows the heads of a response, informational ones included, while they are read, and reserves the memory
// that they take parsed.
type responseHead struct {
	memory   *stream.Memory
	reserved *stream.Reservation
	head     framing.Head
	bytes    int  // read since the request was written, until the last head has ended
	ended    bool // what is read belongs to a body
}

// start prepares for the heads of the next response.
func (h *responseHead) start() {
	h.head = framing.Head{}
	h.bytes = 0
	h.ended = false
}

// add follows bytes that were read. It returns an error if the head is too large.
func (h *responseHead) add(text []byte) error {
	if h.ended {
		return nil
	}
	h.bytes += len(text)
	return h.scan(text)
}

func (h *responseHead) scan(text []byte) error {
	h.head.Scan(text)
	if h.bytes > protocol.MaxHeadBytes+responseBufferBytes || h.head.Lines() > protocol.MaxHeadFields {
		return errHeadTooLarge
	}
	cost := h.head.Cost()
	if cost <= freeHeadCost {
		return nil
	}
	var ok bool
	h.reserved, ok = h.memory.TryGrow(h.reserved, cost)
	if !ok {
		return errNoMemoryForHead
	}
	return nil
}

// skip starts with the next head, of which text has been read already, after an informational one.
func (h *responseHead) skip(text []byte) error {
	h.head = framing.Head{}
	return h.scan(text)
}

// end ends the heads of a response and releases their memory.
func (h *responseHead) end() {
	h.ended = true
	h.reserved.Release()
	h.reserved = nil
}

// nothingRead reports whether no byte of the current response has been read.
func (h *responseHead) nothingRead() bool { return h.bytes == 0 }

// keepUsedFields drops what the agent does not use of a response's head, with the memory that the parts share.
func keepUsedFields(response *http.Response) {
	all := response.Header
	response.Header = make(http.Header, 3)
	for _, name := range []string{"Content-Type", protocol.HeaderRejected, protocol.HeaderLoadReport} {
		if value := all.Get(name); value != "" && len(value) <= maxFieldBytes {
			response.Header.Set(name, value)
		}
	}
	// These are parts of the status line.
	response.Status = ""
	response.Proto = ""
}

// chunkedBody reads a chunked body from a connection and skips the trailers. http.ReadResponse would keep them for as long
// as the response.
type chunkedBody struct {
	in     *bufio.Reader
	chunks io.Reader
	err    error // returned by all later reads
}

func newChunkedBody(in *bufio.Reader) *chunkedBody {
	return &chunkedBody{in: in, chunks: httputil.NewChunkedReader(in)}
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		err = skipTrailers(b.in)
	}
	b.err = err
	return n, err
}

// Close implements io.Closer.
func (b *chunkedBody) Close() error { return nil }

// skipTrailers reads the trailers of a chunked body. It returns io.EOF when they are complete.
func skipTrailers(in *bufio.Reader) error {
	for n := 0; n <= responseBufferBytes; {
		line, err := in.ReadSlice('\n')
		switch {
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case errors.Is(err, bufio.ErrBufferFull):
			return errTrailersTooLarge
		case err != nil:
			return err
		case len(line) == 1 || len(line) == 2 && line[0] == '\r':
			return io.EOF
		}
		n += len(line)
	}
	return errTrailersTooLarge
}
