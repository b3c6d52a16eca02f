package inbound

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/dispatch"
	"example.org/ryeloft/internal/metrics"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/settings"
	"example.org/ryeloft/internal/stream"
	"example.org/ryeloft/internal/upstream"
)

const (
	// MaxRequestIDBytes is the maximum length of a request id.
	MaxRequestIDBytes = 256
	// MaxResponseMargin is the maximum time between the deadline of a response and its client's timeout.
	MaxResponseMargin = 25 * time.Millisecond
	// responseMarginDivisor limits the margin to the budget divided by it.
	responseMarginDivisor = 10
)

var (
	// hopHeaders are the hop-by-hop headers, which are not forwarded.
	hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding",
		"Upgrade", "Expect", "Content-Length"}
	// singleHeaders may occur only once in a request: if one occurred twice, a server could use a different value than
	// the agent.
	singleHeaders = []string{protocol.HeaderRequestID, protocol.HeaderClass, protocol.HeaderTenant,
		protocol.HeaderBudget, protocol.HeaderRetry, protocol.HeaderIdempotencyKey}
)

// badRequestError is the error for a malformed request, with the status and the text of the response.
type badRequestError struct {
	status int
	reason string
}

func (e *badRequestError) Error() string { return e.reason }

func badRequest(format string, args ...any) error {
	return &badRequestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// checkFraming checks the framing of a request's body before any of it is read. net/http ignores a Content-Length
// beside a chunked Transfer-Encoding, and a Transfer-Encoding where it is not allowed, so a request could be smuggled
// in a body that a server frames the other way.
func checkFraming(r *http.Request) *badRequestError {
	head := connOf(r).requests.Head()
	switch {
	case head.HasTransferEncoding && head.HasContentLength, head.HasTransferEncoding && len(r.TransferEncoding) == 0:
		return &badRequestError{http.StatusBadRequest, "Transfer-Encoding and Content-Length do not go together"}
	case r.ContentLength != int64(head.Length()):
		return &badRequestError{http.StatusBadRequest, "the length of the body is unclear"}
	case r.ContentLength > stream.MaxBytes:
		return &badRequestError{http.StatusRequestEntityTooLarge, fmt.Sprintf("a body of over %d bytes", stream.MaxBytes)}
	}
	return nil
}

// readRequest checks a request's head and then reads the request to its last byte, from which its budget counts. An
// error other than a badRequestError is one of the connection.
func (h *clientHandler) readRequest(w http.ResponseWriter, r *http.Request) (*dispatch.Request, error) {
	removeHopHeaders(r.Header)
	request, budget, err := parseHead(r, h.dispatcher.Settings())
	if err != nil {
		return nil, err
	}
	conn := connOf(r)
	control := http.NewResponseController(w)
	body, upload, err := h.readBody(r, request, stream.NewPacedReader(r.Body, control, conn.requestStart()), conn)
	if errors.Is(err, errNoMemory) {
		request.Memory.Release()
		request.Upstream = &upstream.Request{}
		return request, err
	}
	if err != nil {
		request.Memory.Release()
		return nil, &badRequestError{http.StatusRequestTimeout, fmt.Sprintf("the body does not come: %v", err)}
	}
	budget -= responseMargin(budget)
	request.Deadline = h.dispatcher.Now() + budget
	request.Received = time.Now()
	if upload == nil {
		unread := conn.unreadTime()
		h.metrics.HopTook(metrics.HopUnread, unread)
		request.Deadline -= unread
	}
	request.ClientClosed = conn.closedByClient
	request.Account = conn.account
	if upload != nil {
		upload.Budget = budget
		upload.ChargeReads(conn.account)
		conn.limitReceiveBuffer()
	} else if err := control.SetReadDeadline(time.Time{}); err != nil {
		// The deadline is cleared because from here on net/http watches the connection for a close by the client, for
		// as long as the response takes.
		return request, err
	}
	request.Upstream = upstream.NewRequest(r.Method, r.RequestURI, r.Host, r.Header, body, upload)
	request.Memory = conn.moveParsing(request.Upstream.HeadBytes()).Join(request.Memory)
	conn.endParsing(r)
	dropHead(r)
	return request, nil
}

// removeHopHeaders removes the hop-by-hop headers. This precedes all checks, because the Connection header may name a
// header that is checked.
func removeHopHeaders(header http.Header) {
	for _, names := range header["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// parseHead parses a request's head by the given settings, and returns the request and its budget.
func parseHead(r *http.Request, set *settings.Settings) (*dispatch.Request, time.Duration, error) {
	for _, name := range singleHeaders {
		if len(r.Header[name]) > 1 {
			return nil, 0, badRequest("%s stands there twice", name)
		}
	}
	request := dispatch.NewRequest(set)
	request.Retry = r.Header.Get(protocol.HeaderRetry) == "1"
	if err := parseClass(r, request); err != nil {
		return nil, 0, err
	}
	if err := parseTenant(r, request); err != nil {
		return nil, 0, err
	}
	budget, err := protocol.ParseBudget(r.Header.Get(protocol.HeaderBudget))
	if err != nil {
		return nil, 0, badRequest("%s is no time", protocol.HeaderBudget)
	}
	request.ID = r.Header.Get(protocol.HeaderRequestID)
	if request.ID == "" || len(request.ID) > MaxRequestIDBytes {
		return nil, 0, badRequest("%s is missing or too long", protocol.HeaderRequestID)
	}
	return request, budget, nil
}

// parseClass sets a request's class, and checks that the path and the method are those that the class requires.
func parseClass(r *http.Request, request *dispatch.Request) error {
	set := request.Settings
	request.Class = slices.Index(set.ClassNames, r.Header.Get(protocol.HeaderClass))
	if request.Class < 0 {
		return badRequest("%s is unknown", protocol.HeaderClass)
	}
	request.ClassName = set.ClassNames[request.Class]
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if first != request.ClassName || !strings.HasPrefix(r.RequestURI, "/") {
		return badRequest("the path does not begin with the class")
	}
	return checkIdempotency(set.Balancer.Classes[request.Class].Idempotency, r)
}

// checkIdempotency checks that a request has the method and the key that its class's idempotency requires. Without a
// key, servers could not recognize a retry.
func checkIdempotency(idempotency balancer.Idempotency, r *http.Request) error {
	method := http.MethodPost
	if idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		return &badRequestError{http.StatusMethodNotAllowed, "the class wants " + method}
	}
	if idempotency == balancer.IdempotentWithKey && r.Header.Get(protocol.HeaderIdempotencyKey) == "" {
		return badRequest("the class wants %s", protocol.HeaderIdempotencyKey)
	}
	return nil
}

// parseTenant sets a request's tenant, if the settings define any tenants.
func parseTenant(r *http.Request, request *dispatch.Request) error {
	names := request.Settings.TenantNames
	if len(names) == 0 {
		return nil
	}
	request.Tenant = slices.Index(names, r.Header.Get(protocol.HeaderTenant))
	if request.Tenant < 0 {
		return badRequest("%s is unknown", protocol.HeaderTenant)
	}
	return nil
}

// readBody reads a body that is short enough to be buffered, and reserves its memory, or returns an upload. Nothing of an
// upload's body has been read yet, or just more than can be buffered if its length is unknown.
func (h *clientHandler) readBody(r *http.Request, request *dispatch.Request, source io.Reader, client stream.ArrivalClock) (body []byte, upload *stream.Upload, err error) {
	expected := r.ContentLength
	if expected < 0 {
		expected = stream.BufferCost(stream.MaxBufferedBytes)
	}
	var reserved *stream.Reservation
	fits := r.ContentLength <= stream.MaxBufferedBytes
	if fits {
		reserved, fits = h.memory.TryReserve(expected)
	}
	if !fits {
		return nil, stream.NewUpload(r.ContentLength, nil, source, client), nil
	}
	defer func() { request.Memory = request.Memory.Join(reserved) }()
	if r.ContentLength >= 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(source, body)
		return body, nil, err
	}
	body, err = readBeginning(source)
	reserved.Shrink(int64(cap(body)))
	if len(body) > stream.MaxBufferedBytes {
		return nil, stream.NewUpload(r.ContentLength, body, source, client), err
	}
	return body, nil, err
}

// readBeginning reads a body to its end or to just more than can be buffered.
func readBeginning(source io.Reader) (body []byte, err error) {
	for len(body) <= stream.MaxBufferedBytes {
		if len(body) == cap(body) {
			body = stream.GrowBuffer(body, stream.MaxBufferedBytes)
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
	return body, nil
}

// responseMargin returns how long before its client's timeout a request must be answered, because a response that is
// sent at the timeout arrives too late.
func responseMargin(budget time.Duration) time.Duration {
	return min(MaxResponseMargin, budget/responseMarginDivisor)
}
