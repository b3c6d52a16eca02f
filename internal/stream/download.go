package stream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// maxResponsePause is the longest that a server may pause within a long answer.
const maxResponsePause = 3 * time.Second

// Download is an answer that is too long to be held, on its way from an attempt to a client's handler. The attempt owns the
// connection and waits on Done; the handler, or whoever drops the answer, calls Finish once.
type Download struct {
	length int64  // below 0: not stated
	prefix []byte // read already
	source io.Reader
	conn   ReadDeadliner
	done   chan error // holds one, so that the handler never waits
	abort  func()
}

// NewDownload returns an answer of a length, below 0 if it is not stated, of which a prefix has been read already. The
// source reads from the connection to the server, which abort closes.
func NewDownload(length int64, prefix []byte, source io.Reader, conn ReadDeadliner, abort func()) *Download {
	return &Download{length: length, prefix: prefix, source: source, conn: conn, done: make(chan error, 1), abort: abort}
}

// Length returns the length that the server has stated, below 0 if none.
func (d *Download) Length() int64 { return d.length }

// Finish reports to the attempt how the answer ended; nil if the client has read it completely.
func (d *Download) Finish(err error) { d.done <- err }

// Done gives what Finish was called with.
func (d *Download) Done() <-chan error { return d.done }

// CopyTo passes the answer on to its client as the client reads it, and finishes it. The error says what broke it off; it
// wraps ErrNotRead if that is the client. A client that closes its connection ends the context.
func (d *Download) CopyTo(ctx context.Context, w http.ResponseWriter, buffers *Buffers) (err error) {
	defer func() { d.Finish(err) }()
	defer context.AfterFunc(ctx, d.abort)()
	buffer := buffers.Get(ctx)
	if buffer == nil {
		return ErrNotRead
	}
	defer buffers.Put(buffer)
	if err := writeAndFlush(w, d.prefix); err != nil {
		return err
	}
	for {
		if err := d.conn.SetReadDeadline(time.Now().Add(maxResponsePause)); err != nil {
			return err
		}
		n, err := d.source.Read(buffer)
		if n > 0 {
			if err := writeAndFlush(w, buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return d.conn.SetReadDeadline(time.Time{})
		}
		if err != nil {
			return fmt.Errorf("reading the rest of an answer: %w", err)
		}
	}
}

// writeAndFlush writes a part of an answer and sends it at once.
func writeAndFlush(w http.ResponseWriter, b []byte) error {
	conn := http.NewResponseController(w)
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("%w: %w", ErrNotRead, err)
	}
	if _, err := w.Write(b); err != nil {
		return fmt.Errorf("%w: %w", ErrNotRead, err)
	}
	if err := conn.Flush(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotRead, err)
	}
	return nil
}
