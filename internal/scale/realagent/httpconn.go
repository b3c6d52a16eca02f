package realagent

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"
)

// maxResponseBytes bounds a response; those that are expected here are short.
const maxResponseBytes = 16 << 10

var errNoResponse = errors.New("the connection ended without a response")

// httpConn is a connection for requests in turn. It does less around a request than net/http's client, so that what it
// measures is the other side's time. It belongs to one goroutine.
type httpConn struct {
	net.Conn
	buf []byte
}

// response is valid until the next request.
type response struct {
	status     int
	close      bool // no request may follow on the connection
	body       []byte
	receivedAt time.Time // when its last byte had been read
}

func newHTTPConn(c net.Conn) *httpConn {
	return &httpConn{Conn: c, buf: make([]byte, maxResponseBytes)}
}

// roundTrip writes a request and reads its response. The error is errNoResponse if the connection ended before any byte.
func (t *httpConn) roundTrip(request []byte) (response, error) {
	if _, err := t.Write(request); err != nil {
		return response{}, noResponse(err)
	}
	for n := 0; ; {
		read, err := t.Read(t.buf[n:])
		receivedAt := time.Now()
		n += read
		if err != nil {
			if n == 0 {
				err = noResponse(err)
			}
			return response{}, err
		}
		r, complete, err := parseResponse(t.buf[:n])
		if err != nil || complete {
			r.receivedAt = receivedAt
			return r, err
		}
		if n == len(t.buf) {
			return response{}, fmt.Errorf("a response of over %d bytes", n)
		}
	}
}

// noResponse is the error of a connection that ended before a response; one that timed out has not ended.
func noResponse(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return fmt.Errorf("%w: %w", errNoResponse, err)
}

// parseResponse reads a response with a Content-Length, as far as it has come; agents and echo servers use no other framing
// for short bodies.
func parseResponse(text []byte) (r response, complete bool, err error) {
	head, body, ok := bytes.Cut(text, []byte("\r\n\r\n"))
	if !ok {
		return r, false, nil
	}
	status, fields, _ := bytes.Cut(head, []byte("\r\n"))
	length := -1
	if code, ok := bytes.CutPrefix(status, []byte("HTTP/1.1 ")); ok && len(code) >= 3 {
		r.status, err = strconv.Atoi(string(code[:3]))
	}
	if r.status == 0 || err != nil {
		return r, false, fmt.Errorf("a response that begins with %q", status)
	}
	for field := range bytes.SplitSeq(fields, []byte("\r\n")) {
		name, value, _ := bytes.Cut(field, []byte(":"))
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			if length, err = strconv.Atoi(string(value)); err != nil || length < 0 {
				return r, false, fmt.Errorf("a response with a length of %q", value)
			}
		case bytes.EqualFold(name, []byte("Connection")):
			r.close = bytes.EqualFold(value, []byte("close"))
		}
	}
	if length < 0 {
		return r, false, fmt.Errorf("a response without a length, %q", status)
	}
	if len(body) > length {
		return r, false, fmt.Errorf("%d bytes behind a response", len(body)-length)
	}
	r.body = body
	return r, len(body) == length, nil
}
