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

// maxResponseBytes bounds a response. Expected responses are short.
const maxResponseBytes = 16 << 10

var errNoResponse = errors.New("connection closed without a response")

// httpConn is a connection for sequential requests. It has less overhead per request than net/http's client, so that
// the measured time is that of the server. It must be used by only one goroutine.
type httpConn struct {
	net.Conn
	buf []byte
}

// response is valid until the next request.
type response struct {
	status     int
	close      bool // no further request is possible on the connection
	body       []byte
	receivedAt time.Time // when its last byte was read
}

func newHTTPConn(c net.Conn) *httpConn {
	return &httpConn{Conn: c, buf: make([]byte, maxResponseBytes)}
}

// roundTrip writes a request and reads its response. It returns errNoResponse if the connection ended before the first
// byte of the response.
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
			return response{}, fmt.Errorf("response exceeds %d bytes", n)
		}
	}
}

// noResponse wraps the error of a connection that ended before a response in errNoResponse. It returns a timeout
// unchanged, because the connection has not ended then.
func noResponse(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return fmt.Errorf("%w: %w", errNoResponse, err)
}

// parseResponse parses a response with a Content-Length, and reports whether it is complete. Agents and echo servers
// use no other framing for short bodies.
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
		return r, false, fmt.Errorf("invalid status line %q in response", status)
	}
	for field := range bytes.SplitSeq(fields, []byte("\r\n")) {
		name, value, _ := bytes.Cut(field, []byte(":"))
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			if length, err = strconv.Atoi(string(value)); err != nil || length < 0 {
				return r, false, fmt.Errorf("invalid Content-Length %q in response", value)
			}
		case bytes.EqualFold(name, []byte("Connection")):
			r.close = bytes.EqualFold(value, []byte("close"))
		}
	}
	if length < 0 {
		return r, false, fmt.Errorf("response without a Content-Length, status line %q", status)
	}
	if len(body) > length {
		return r, false, fmt.Errorf("%d extra bytes after response", len(body)-length)
	}
	r.body = body
	return r, len(body) == length, nil
}
