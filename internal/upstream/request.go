package upstream

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/stream"
)

// Request is a client's request as it goes on to a server, unchanged but for its budget. It is not changed once it is made,
// so that several attempts may share it.
type Request struct {
	head        []byte // the request line and the headers but for the budget
	body        []byte
	upload      *stream.Upload // in place of a body that is held; nil otherwise
	healthCheck bool           // the agent's own, no attempt
}

// NewRequest makes a request. An upload stands in place of a body that is too long to be held.
func NewRequest(method, uri, host string, header http.Header, body []byte, upload *stream.Upload) *Request {
	var head bytes.Buffer // takes all that is written
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, uri, host)
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

// Upload returns the body that is too long to be held, nil if there is none.
func (r *Request) Upload() *stream.Upload { return r.upload }

// encode writes the request with the time that is left for it.
func (r *Request) encode(budget time.Duration) []byte {
	text := make([]byte, 0, len(r.head)+len(protocol.HeaderBudget)+32+len(r.body))
	text = append(text, r.head...)
	text = fmt.Appendf(text, "%s: %s\r\n\r\n", protocol.HeaderBudget, protocol.FormatBudget(budget))
	return append(text, r.body...)
}
