package upstream

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"slices"
	"time"

	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/stream"
)

const (
	// responseHeadTimeout is how long the head of a response may take from its first byte to its last, unless
	// Attempt.PauseUntil is later.
	responseHeadTimeout = time.Second
	// maxResponsePause is how long a server may pause within a response that is being buffered, unless
	// Attempt.PauseUntil is later.
	maxResponsePause = time.Second
	// MaxBufferTime is how long the beginning of a response that is long or of unknown length is buffered before it is
	// forwarded: in this time the response may turn out to be short, or the connection may break.
	MaxBufferTime = 50 * time.Millisecond
)

var (
	errProtocolSwitched = errors.New("server switched protocols")
	errResponseTooLarge = errors.New("response too large to buffer")
)

// serverResponse is a response that was read completely, or the beginning of one that is too large to buffer or takes
// too long to end.
type serverResponse struct {
	head *http.Response
	body []byte
	rest io.Reader // the unread rest of the body; nil if body is complete
	// memory is the reservation of body.
	memory *stream.Reservation
}

// readResponse reads one response.
func (c *conn) readResponse(memory *stream.Memory, pauseUntil time.Time) (*serverResponse, error) {
	c.limit.N = protocol.MaxHeadBytes
	head, err := c.readHead(pauseUntil)
	if err != nil {
		return nil, err
	}
	if head.ContentLength > stream.MaxBytes {
		return nil, fmt.Errorf("response of %d bytes exceeds the limit of %d", head.ContentLength, stream.MaxBytes)
	}
	c.limit.N = math.MaxInt64
	short := head.ContentLength >= 0 && head.ContentLength <= stream.MaxBufferedBytes
	expected := int64(stream.MaxBufferedBytes)
	if short {
		expected = head.ContentLength
	}
	reserved, ok := memory.TryReserve(expected)
	if !ok {
		return &serverResponse{head: head, rest: head.Body}, nil
	}
	body, complete, err := c.readBody(head, short, pauseUntil)
	if err != nil {
		reserved.Release()
		return nil, err
	}
	response := &serverResponse{head: head, body: body, memory: reserved}
	if !complete {
		response.rest = head.Body
	}
	reserved.Shrink(int64(cap(body)))
	return response, nil
}

// readHead reads the head of a response and skips informational (1xx) responses.
func (c *conn) readHead(pauseUntil time.Time) (*http.Response, error) {
	for {
		if _, err := c.buffered.Peek(1); err != nil {
			return nil, err
		}
		if err := c.limitPause(responseHeadTimeout, pauseUntil); err != nil {
			return nil, err
		}
		head, err := http.ReadResponse(c.buffered, nil)
		if err != nil {
			return nil, err
		}
		if head.StatusCode == http.StatusSwitchingProtocols {
			return nil, errProtocolSwitched
		}
		if head.StatusCode/100 != 1 {
			return head, nil
		}
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return nil, err
		}
	}
}

// readBody reads a short body to its end. Of any other body it reads the beginning: as much as can be buffered, or
// arrives within MaxBufferTime. If the connection breaks in the beginning, the attempt fails here, before any of the
// response was forwarded to the client.
func (c *conn) readBody(head *http.Response, short bool, pauseUntil time.Time) (body []byte, complete bool, err error) {
	if short {
		body = make([]byte, 0, head.ContentLength+1)
	}
	start := time.Now()
	for {
		if !short && !c.readableBefore(start.Add(MaxBufferTime)) {
			return body, false, nil
		}
		if err := c.limitPause(maxResponsePause, pauseUntil); err != nil {
			return nil, false, err
		}
		if len(body) == cap(body) {
			body = slices.Grow(body, 4<<10)
		}
		n, err := head.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, true, c.SetReadDeadline(time.Time{})
		case err != nil:
			return nil, false, err
		case !short && len(body) > stream.MaxBufferedBytes:
			return body, false, nil
		}
	}
}

// limitPause sets the read deadline for the next part of a response.
func (c *conn) limitPause(limit time.Duration, pauseUntil time.Time) error {
	deadline := time.Now().Add(limit)
	if deadline.Before(pauseUntil) {
		deadline = pauseUntil
	}
	return c.SetReadDeadline(deadline)
}

// readableBefore reports whether more of a response arrives before the deadline. It does not read from the body,
// because the body's reader would fail permanently at the deadline.
func (c *conn) readableBefore(deadline time.Time) bool {
	if c.SetReadDeadline(deadline) != nil {
		return true // the next read fails
	}
	_, err := c.buffered.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// nothingRead reports whether no byte of the current response has been read.
func (c *conn) nothingRead() bool { return c.limit.N == protocol.MaxHeadBytes }
