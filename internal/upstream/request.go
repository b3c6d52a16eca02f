package upstream

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"time"

	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/stream"
)

// Request is a client's request as it is forwarded to servers. Only its budget header differs between attempts. A
// Request is immutable, so several attempts may share it.
type Request struct {
	head        []byte // the request line and the headers without the budget header
	body        []byte
	upload      *stream.Upload // replaces body if the body is too large to buffer; nil otherwise
	healthCheck bool           // sent by the agent itself; not counted as an attempt
}

// NewRequest returns a request. A non-nil upload replaces a body that is too large to buffer.
func NewRequest(method, uri, host string, header http.Header, body []byte, upload *stream.Upload) *Request {
	var head bytes.Buffer // its writes never fail
	head.Grow(headBytes(method, uri, host, header))
	for _, text := range []string{method, " ", uri, " HTTP/1.1\r\nHost: ", host, "\r\n"} {
		head.WriteString(text)
	}
	switch {
	case upload != nil && upload.Length() < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case upload != nil:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", upload.Length())
	case len(body) > 0 || method == http.MethodPost:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	_ = header.WriteSubset(&head, map[string]bool{protocol.HeaderBudget: true})
	return &Request{head: head.Bytes(), body: body, upload: upload}
}

// framingBytes is an upper bound of the fixed texts of a request line, of the Host field and of the field that states the
// length of the body.
const framingBytes = 80

// headBytes returns an upper bound of the length of a request's head.
func headBytes(method, uri, host string, header http.Header) int {
	n := framingBytes + len(method) + len(uri) + len(host)
	for name, values := range header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}

// HeadBytes returns the memory that the head of the request takes.
func (r *Request) HeadBytes() int { return cap(r.head) }

// Upload returns the body that is too large to buffer, or nil if there is none.
func (r *Request) Upload() *stream.Upload { return r.upload }

// writeTo writes the request with the given remaining time in its budget header. An upload is not included. Head and body
// are not copied: with each attempt that would take as much memory as the request itself.
func (r *Request) writeTo(c *conn, budget time.Duration) error {
	end := fmt.Appendf(nil, "%s: %s\r\n\r\n", protocol.HeaderBudget, protocol.FormatBudget(budget))
	parts := net.Buffers{r.head, end}
	if len(r.body) > 0 {
		parts = append(parts, r.body)
	}
	_, err := parts.WriteTo(c.Conn) // in one call to the system
	return err
}
