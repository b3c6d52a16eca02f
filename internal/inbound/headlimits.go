package inbound

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/stream"
)

const (
	// rejectionTimeout is how long a client may take to read the response to a head that is rejected while it arrives.
	rejectionTimeout = 100 * time.Millisecond
	// freeHeadCost is the memory that the head of a request may take without a reservation. It is that of some 25 fields,
	// and belongs to what each connection needs.
	freeHeadCost = 8 << 10
	// maxKeptLineBytes is how long a request's method and target may be together if its connection is to be kept open.
	maxKeptLineBytes = 1 << 10
)

var (
	// errNoMemory is returned for a request whose head or whose trailers take more memory than is left.
	errNoMemory = errors.New("no memory for the head or the trailers of the request")
	// errManyFields is returned for a request of more than protocol.MaxHeadFields fields.
	errManyFields = fmt.Errorf("more than %d header fields", protocol.MaxHeadFields)
)

// The responses to requests that are rejected before their heads are complete.
var (
	noMemoryResponse   = closingResponse(protocol.StatusRejected)
	manyFieldsResponse = closingResponse(http.StatusRequestHeaderFieldsTooLarge)
)

// closingResponse returns a response after which the connection closes.
func closingResponse(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}

// errHeadRejected is returned by the reads of a connection on which a request was rejected before its head was complete.
// net/http closes a connection without a response of its own if a read returns a timeout.
var errHeadRejected net.Error = headRejectedError{}

type headRejectedError struct{}

func (headRejectedError) Error() string   { return "the head of the request was rejected" }
func (headRejectedError) Timeout() bool   { return true }
func (headRejectedError) Temporary() bool { return false }

// checkHead reserves the memory that the parsed head of the current request and its trailers take, as far as they have been
// read. It returns errManyFields or errNoMemory if the request must be rejected.
func (c *clientConn) checkHead() error {
	if c.requests.Lines() > protocol.MaxHeadFields {
		return errManyFields
	}
	if !c.reserveHead() {
		return errNoMemory
	}
	return nil
}

// reserveHead reserves the memory for checkHead.
func (c *clientConn) reserveHead() (ok bool) {
	cost := c.requests.Cost()
	if cost <= freeHeadCost {
		return true
	}
	c.parsing, ok = c.listener.memory.TryGrow(c.parsing, cost)
	return ok
}

// moveParsing returns a reservation of n bytes for the parsed request, taken from that for its head, or less if less is
// reserved. The caller has to release it.
func (c *clientConn) moveParsing(n int) *stream.Reservation { return c.parsing.Split(int64(n)) }

// endParsing releases the memory that was reserved for the head of a request, except that for its request line: net/http
// keeps it for as long as the connection is open, or until the next request.
func (c *clientConn) endParsing(r *http.Request) {
	kept := 0
	if isLongLine(r) {
		kept = lineBytes(r)
	}
	c.parsing.Shrink(int64(kept))
}

// isLongLine reports whether the connection must close after the response because the request line is too long to keep.
func isLongLine(r *http.Request) bool { return lineBytes(r) > maxKeptLineBytes }

// lineBytes returns how long the method and the target of a request are.
func lineBytes(r *http.Request) int { return len(r.Method) + len(r.RequestURI) }

// dropHead drops what net/http would keep of a request's head until the response is written. The request that is passed on
// has a copy of what it needs.
func dropHead(r *http.Request) {
	r.Header = nil
	r.Trailer = nil
	r.Host = ""
	r.URL = &url.URL{}
}

// releaseParsing releases all that is reserved for the head of a request.
func (c *clientConn) releaseParsing() {
	c.parsing.Release()
	c.parsing = nil
}

// rejectHead rejects a request before its head is parsed. Nothing of the request is passed on.
func (c *clientConn) rejectHead(reason error) {
	c.releaseParsing()
	c.rejected = true
	response := noMemoryResponse
	if errors.Is(reason, errManyFields) {
		c.listener.metrics.BadRequest(reason.Error())
		response = manyFieldsResponse
	} else {
		c.listener.metrics.HeadOverLimit()
	}
	if c.SetWriteDeadline(time.Now().Add(rejectionTimeout)) == nil {
		_, _ = io.WriteString(c.TCPConn, response) // fails if the client has left or reads nothing
	}
}
