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
	// answerHeadTimeout is how long the head of an answer may take from its first byte to its last.
	answerHeadTimeout = time.Second
	// maxAnswerPause is how long a server may pause within a short answer.
	maxAnswerPause = time.Second
	// MaxBufferTime is how long the beginning of an answer that is long, or does not state its length, is held back: it may
	// be short after all, or break off.
	MaxBufferTime = 50 * time.Millisecond
)

var (
	errOtherProtocol = errors.New("server switched protocols")
	errAnswerTooLong = errors.New("answer too long to be held")
)

// serverAnswer is what was read of an answer: all of it, or the beginning of one that is too long to be held or slow to
// end.
type serverAnswer struct {
	head *http.Response
	body []byte
	rest io.Reader // nil if the body is complete
}

// readAnswer reads one answer.
func (c *conn) readAnswer() (*serverAnswer, error) {
	c.limit.N = protocol.MaxHeadBytes
	head, err := c.readHead()
	if err != nil {
		return nil, err
	}
	if head.ContentLength > stream.MaxBytes {
		return nil, fmt.Errorf("answer of %d bytes: over the limit of %d", head.ContentLength, stream.MaxBytes)
	}
	c.limit.N = math.MaxInt64
	body, complete, err := c.readBody(head)
	if err != nil {
		return nil, err
	}
	answer := &serverAnswer{head: head, body: body}
	if !complete {
		answer.rest = head.Body
	}
	return answer, nil
}

// readHead reads the head of an answer, and skips those that only announce one.
func (c *conn) readHead() (*http.Response, error) {
	for {
		if _, err := c.buffered.Peek(1); err != nil {
			return nil, err
		}
		if err := c.SetReadDeadline(time.Now().Add(answerHeadTimeout)); err != nil {
			return nil, err
		}
		head, err := http.ReadResponse(c.buffered, nil)
		if err != nil {
			return nil, err
		}
		if head.StatusCode == http.StatusSwitchingProtocols {
			return nil, errOtherProtocol
		}
		if head.StatusCode/100 != 1 {
			return head, nil
		}
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return nil, err
		}
	}
}

// readBody reads a body to its end if it is short, and otherwise its beginning: as much as can be held, or has come within
// MaxBufferTime. A break within the beginning shows here, where nothing was passed on that could not be taken back.
func (c *conn) readBody(head *http.Response) (body []byte, complete bool, err error) {
	short := head.ContentLength >= 0 && head.ContentLength <= stream.MaxHeldBytes
	if short {
		body = make([]byte, 0, head.ContentLength+1)
	}
	begun := time.Now()
	for {
		if !short && !c.readableBefore(begun.Add(MaxBufferTime)) {
			return body, false, nil
		}
		if err := c.SetReadDeadline(time.Now().Add(maxAnswerPause)); err != nil {
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
		case !short && len(body) > stream.MaxHeldBytes:
			return body, false, nil
		}
	}
}

// readableBefore says whether more of an answer comes until then. It leaves the body's reader alone, which a deadline would
// end.
func (c *conn) readableBefore(until time.Time) bool {
	if c.SetReadDeadline(until) != nil {
		return true // the next read fails
	}
	_, err := c.buffered.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// nothingRead says that no byte of the present answer has come.
func (c *conn) nothingRead() bool { return c.limit.N == protocol.MaxHeadBytes }
