package stream

import (
	"io"
	"time"
)

const (
	// BodyGrace is how long the first bytes of a body may take.
	BodyGrace = 300 * time.Millisecond
	// minBodyBytesPerSecond is a little under the 64 kB/s that clients may send at.
	minBodyBytesPerSecond = 56_000
	// minRequestTime is what a request has from its beginning whatever its pace, so that one that stalls is answered
	// within 3 s.
	minRequestTime = 2800 * time.Millisecond
	maxBodyPause   = 2 * time.Second
)

// ReadDeadliner sets the deadline of a connection's reads; http.ResponseController is one.
type ReadDeadliner interface {
	SetReadDeadline(time.Time) error
}

// PacedReader reads a client's body and ends when the client is slower than minBodyBytesPerSecond allows. Time in which
// nobody reads does not count, because then the server is slow. It is one goroutine's at a time.
type PacedReader struct {
	body     io.Reader
	conn     ReadDeadliner
	start    time.Time // the request did
	received int64     // bytes
	waited   time.Duration
}

// NewPacedReader returns a reader of a body that comes on a connection and belongs to a request that began then.
func NewPacedReader(body io.Reader, conn ReadDeadliner, start time.Time) *PacedReader {
	return &PacedReader{body: body, conn: conn, start: start}
}

// Read reads what has come. At the end of the body it takes the connection's deadline away, because from then on the
// connection is watched for a client that closes it, for as long as the answer takes.
func (p *PacedReader) Read(b []byte) (int, error) {
	now := time.Now()
	if err := p.conn.SetReadDeadline(now.Add(min(p.remaining(now), maxBodyPause))); err != nil {
		return 0, err
	}
	n, err := p.body.Read(b)
	p.received += int64(n)
	p.waited += time.Since(now)
	if err == io.EOF {
		if err := p.conn.SetReadDeadline(time.Time{}); err != nil {
			return n, err
		}
	}
	return n, err
}

// remaining returns how long the next bytes may take.
func (p *PacedReader) remaining(now time.Time) time.Duration {
	byRate := BodyGrace + time.Duration(p.received)*time.Second/minBodyBytesPerSecond - p.waited
	byStart := p.start.Add(minRequestTime).Sub(now)
	return max(byRate, byStart)
}
