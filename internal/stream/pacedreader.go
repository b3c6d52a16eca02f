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
	// minRequestTime is how long a request may take to arrive regardless of its rate. It makes sure that a request that
	// stalls is answered within 3 s.
	minRequestTime = 2800 * time.Millisecond
	maxBodyPause   = 2 * time.Second
)

// ReadDeadliner sets the deadline of a connection's reads; http.ResponseController is one.
type ReadDeadliner interface {
	SetReadDeadline(time.Time) error
}

// PacedReader reads a client's body and fails if the client is slower than minBodyBytesPerSecond allows. Only time
// spent in reads counts, because between reads the server is the slow side. A PacedReader must not be used
// concurrently.
type PacedReader struct {
	body     io.Reader
	conn     ReadDeadliner
	start    time.Time     // of the request
	received int64         // bytes
	waited   time.Duration // time spent in reads
}

// NewPacedReader returns a reader for a body that arrives on conn and belongs to a request that began at start.
func NewPacedReader(body io.Reader, conn ReadDeadliner, start time.Time) *PacedReader {
	return &PacedReader{body: body, conn: conn, start: start}
}

// Read implements io.Reader. At the end of the body it clears the connection's read deadline, because from then on
// net/http watches the connection for a close by the client, for as long as the response takes.
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

// remaining returns how long the client may take to send the next bytes.
func (p *PacedReader) remaining(now time.Time) time.Duration {
	byRate := BodyGrace + time.Duration(p.received)*time.Second/minBodyBytesPerSecond - p.waited
	byStart := p.start.Add(minRequestTime).Sub(now)
	return max(byRate, byStart)
}
