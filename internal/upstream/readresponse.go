package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

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
	// maxHealthCheckBytes is the length of the longest response to a health check. A load report is shorter.
	maxHealthCheckBytes = 4 << 10
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

// readResponse reads one response. Its body is buffered up to the given limit, if the memory suffices.
func (c *conn) readResponse(limit int64, pauseUntil time.Time) (*serverResponse, error) {
	c.startResponse()
	head, err := c.readHead(pauseUntil)
	c.head.end()
	if err != nil {
		return nil, err
	}
	if head.ContentLength > stream.MaxBytes {
		return nil, fmt.Errorf("response of %d bytes exceeds the limit of %d", head.ContentLength, stream.MaxBytes)
	}
	short := head.ContentLength >= 0 && head.ContentLength <= limit
	expected := stream.BufferCost(limit)
	if short {
		expected = head.ContentLength
	}
	reserved, ok := c.head.memory.TryReserve(expected)
	if !ok {
		return &serverResponse{head: head, rest: head.Body}, nil
	}
	body, complete, err := c.readBody(head, short, limit, pauseUntil)
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
			return c.useHead(head), nil
		}
		if err := c.skipHead(); err != nil {
			return nil, err
		}
	}
}

// useHead returns the head of a response, reduced to what the agent uses.
func (c *conn) useHead(head *http.Response) *http.Response {
	keepUsedFields(head)
	if len(head.TransferEncoding) > 0 {
		head.Body = newChunkedBody(c.buffered)
	}
	return head
}

// skipHead prepares for the head that follows an informational one.
func (c *conn) skipHead() error {
	read, err := c.buffered.Peek(c.buffered.Buffered())
	if err != nil {
		return err
	}
	if err := c.head.skip(read); err != nil {
		return err
	}
	return c.SetReadDeadline(time.Time{})
}

// readBody reads a short body to its end. Of any other body it reads the beginning: as much as can be buffered, or
// arrives within MaxBufferTime. If the connection breaks in the beginning, the attempt fails here, before any of the
// response was forwarded to the client.
func (c *conn) readBody(head *http.Response, short bool, limit int64, pauseUntil time.Time) (body []byte, complete bool, err error) {
	if short {
		body = make([]byte, 0, head.ContentLength)
	}
	start := time.Now()
	for {
		if !short && !c.bodyReadableBefore(start.Add(MaxBufferTime), len(head.TransferEncoding) > 0) {
			return body, false, nil
		}
		if err := c.limitPause(maxResponsePause, pauseUntil); err != nil {
			return nil, false, err
		}
		if !short && len(body) == cap(body) {
			body = stream.GrowBuffer(body, limit)
		}
		n, err := head.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, true, c.SetReadDeadline(time.Time{})
		case err != nil:
			return nil, false, err
		case !short && int64(len(body)) > limit:
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

// bodyReadableBefore reports whether more of a response's body, or its end, arrives before the deadline. It does not read
// from the body, because the body's reader would fail permanently at the deadline.
func (c *conn) bodyReadableBefore(deadline time.Time, chunked bool) bool {
	if c.SetReadDeadline(deadline) != nil {
		return true // the next read fails
	}
	if !c.canPeek(1) {
		return false
	}
	// The end of a chunk may be all that has arrived. Reading it would wait for the next chunk.
	if arrived, _ := c.buffered.Peek(min(chunkEndBytes, c.buffered.Buffered())); chunked && strings.HasPrefix("\r\n", string(arrived)) {
		return c.canPeek(chunkEndBytes + 1)
	}
	return true
}

// chunkEndBytes is the length of the line break after a chunk.
const chunkEndBytes = 2

// canPeek reports whether n bytes arrive before the read deadline. It also returns true if the connection ends.
func (c *conn) canPeek(n int) bool {
	_, err := c.buffered.Peek(n)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}
